//! Pacing of one model's rollout, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::identity::Incarnation;
use crate::lifecycle::BackendName;
use crate::Moment;

/// Wait before an engine whose load failed is ordered again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which an order without an answer counts as failed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// An order to one engine to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadCommand {
    /// The engine.
    pub engine: BackendName,
    /// The version.
    pub version: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResult {
    /// The engine states that it has loaded the version.
    Loaded,
    /// The engine failed, or could not be reached.
    Failed,
    /// The engine has seen a newer fencing token: another daemon paces the rollout.
    Fenced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    Idle,
    Ordered { since: Moment },
    Resting { until: Moment },
}

#[derive(Debug, Clone)]
struct Engine {
    incarnation: Incarnation,
    version: Option<u64>,
    activity: Activity,
}

/// Brings all engines of a model to its newest version.
///
/// Invariant: of `n` engines at most `n - ceil(n * serving_floor)`, and at least one, are loading.
#[derive(Debug, Clone)]
pub struct VersionRollout {
    target: Option<u64>,
    serving_floor: f64,
    engines: BTreeMap<BackendName, Engine>,
}

impl VersionRollout {
    /// A rollout that keeps `serving_floor`, a share from 0 to 1, of the engines serving.
    pub fn new(serving_floor: f64) -> Self {
        Self { target: None, serving_floor, engines: BTreeMap::new() }
    }

    /// Changes the share of engines that keeps serving.
    pub fn set_serving_floor(&mut self, serving_floor: f64) {
        self.serving_floor = serving_floor;
    }

    /// A version is in the weight store; older ones than the newest are not rolled out.
    pub fn publish(&mut self, version: u64) {
        self.target = self.target.max(Some(version));
    }

    /// The version being rolled out.
    pub fn target(&self) -> Option<u64> {
        self.target
    }

    /// An engine states what it has loaded; `None` when it cannot vouch for a version.
    pub fn observe(&mut self, name: &BackendName, incarnation: Incarnation, version: Option<u64>) {
        let engine = self.engines.entry(name.clone()).or_insert(Engine {
            incarnation,
            version,
            activity: Activity::Idle,
        });
        if engine.incarnation != incarnation {
            engine.incarnation = incarnation;
            engine.activity = Activity::Idle;
            engine.version = version;
        }
        // Reports lag: one that is older than the engine's own answer to an order says nothing new.
        let lags = version.is_some() && version < engine.version;
        if !lags {
            engine.version = version;
        }
    }

    /// An engine is there, and nothing new is known of what it has loaded.
    pub fn observe_presence(&mut self, name: &BackendName, incarnation: Incarnation) {
        let known = self.engines.get(name);
        if known.is_none_or(|engine| engine.incarnation != incarnation) {
            self.observe(name, incarnation, None);
        }
    }

    /// Keeps only engines that are still there.
    pub fn retain(&mut self, is_present: impl Fn(&BackendName) -> bool) {
        self.engines.retain(|name, _| is_present(name));
    }

    /// An order has ended.
    pub fn on_result(&mut self, now: Moment, order: &LoadCommand, result: LoadResult) {
        let Some(engine) = self.engines.get_mut(&order.engine) else {
            return;
        };
        match result {
            LoadResult::Loaded => {
                engine.version = Some(order.version);
                engine.activity = Activity::Idle;
            }
            LoadResult::Failed => {
                engine.version = None;
                engine.activity = Activity::Resting { until: now + RETRY_DELAY };
            }
            LoadResult::Fenced => {
                engine.activity = Activity::Resting { until: now + RETRY_DELAY };
            }
        }
    }

    /// Orders to send now.
    pub fn tick(&mut self, now: Moment) -> Vec<LoadCommand> {
        for engine in self.engines.values_mut() {
            match engine.activity {
                Activity::Ordered { since } if now >= since + ORDER_TIMEOUT => {
                    engine.activity = Activity::Idle;
                }
                Activity::Resting { until } if now >= until => engine.activity = Activity::Idle,
                _ => {}
            }
        }
        let Some(target) = self.target else {
            return Vec::new();
        };
        let room = self.wave_size().saturating_sub(self.loading());
        let behind = self.engines.iter_mut().filter(|(_, engine)| {
            engine.version < Some(target) && engine.activity == Activity::Idle
        });
        behind
            .take(room)
            .map(|(name, engine)| {
                engine.activity = Activity::Ordered { since: now };
                LoadCommand { engine: name.clone(), version: target }
            })
            .collect()
    }

    /// Engines that state the target version.
    pub fn up_to_date(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.version.is_some() && engine.version >= self.target)
            .count()
    }

    /// Engines that take part.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }

    fn loading(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| matches!(engine.activity, Activity::Ordered { .. }))
            .count()
    }

    fn wave_size(&self) -> usize {
        let count = self.engines.len();
        let kept = (count as f64 * self.serving_floor).ceil() as usize;
        count.saturating_sub(kept).max(1)
    }
}
