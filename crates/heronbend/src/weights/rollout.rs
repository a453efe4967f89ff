//! State machine of the weight rollout of one model.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::identity::Incarnation;
use crate::lifecycle::BackendName;
use crate::Moment;

/// Delay before a failed or fenced load is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which a load command without a response may be sent again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// A command to one engine to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadCommand {
    /// Name of the engine.
    pub engine: BackendName,
    /// Version to load.
    pub version: u64,
}

/// Outcome of a [`LoadCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadResult {
    /// The engine has loaded the version.
    Loaded,
    /// The load failed or the engine was unreachable.
    Failed,
    /// The engine has seen a higher fencing token: another daemon runs the rollout.
    Fenced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    Idle,
    Loading { since: Moment },
    Backoff { until: Moment },
}

#[derive(Debug, Clone)]
struct Engine {
    incarnation: Incarnation,
    version: Option<u64>,
    activity: Activity,
}

/// Brings all engines of a model to its newest version.
///
/// Invariant: of `n` engines, at most `max(1, n - ceil(n * serving_floor))` are loading at a time.
#[derive(Debug, Clone)]
pub struct VersionRollout {
    target: Option<u64>,
    serving_floor: f64,
    engines: BTreeMap<BackendName, Engine>,
}

impl VersionRollout {
    /// Creates a rollout that keeps at least the fraction `serving_floor`, from 0 to 1, of the
    /// engines serving.
    pub fn new(serving_floor: f64) -> Self {
        Self { target: None, serving_floor, engines: BTreeMap::new() }
    }

    /// Sets the fraction of engines that keep serving.
    pub fn set_serving_floor(&mut self, serving_floor: f64) {
        self.serving_floor = serving_floor;
    }

    /// Sets `version` as the target unless a newer version was published before.
    pub fn publish(&mut self, version: u64) {
        self.target = self.target.max(Some(version));
    }

    /// Returns the version being rolled out, if any.
    pub fn target(&self) -> Option<u64> {
        self.target
    }

    /// Records the version that an engine reports, `None` if it has no fully loaded version.
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
        // Reports may be stale: ignore a version older than the last one known.
        let is_stale = version.is_some() && version < engine.version;
        if !is_stale {
            engine.version = version;
        }
    }

    /// Records that an engine exists without a report of its version.
    pub fn observe_presence(&mut self, name: &BackendName, incarnation: Incarnation) {
        let known = self.engines.get(name);
        if known.is_none_or(|engine| engine.incarnation != incarnation) {
            self.observe(name, incarnation, None);
        }
    }

    /// Removes engines for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&BackendName) -> bool) {
        self.engines.retain(|name, _| is_present(name));
    }

    /// Records the outcome of a command.
    pub fn on_result(&mut self, now: Moment, command: &LoadCommand, result: LoadResult) {
        let Some(engine) = self.engines.get_mut(&command.engine) else {
            return;
        };
        match result {
            LoadResult::Loaded => {
                engine.version = Some(command.version);
                engine.activity = Activity::Idle;
            }
            LoadResult::Failed => {
                engine.version = None;
                engine.activity = Activity::Backoff { until: now + RETRY_DELAY };
            }
            LoadResult::Fenced => {
                engine.activity = Activity::Backoff { until: now + RETRY_DELAY };
            }
        }
    }

    /// Returns the commands to send now.
    pub fn tick(&mut self, now: Moment) -> Vec<LoadCommand> {
        for engine in self.engines.values_mut() {
            match engine.activity {
                Activity::Loading { since } if now >= since + LOAD_TIMEOUT => {
                    engine.activity = Activity::Idle;
                }
                Activity::Backoff { until } if now >= until => engine.activity = Activity::Idle,
                _ => {}
            }
        }
        let Some(target) = self.target else {
            return Vec::new();
        };
        let capacity = self.wave_size().saturating_sub(self.loading_count());
        let outdated = self.engines.iter_mut().filter(|(_, engine)| {
            engine.version < Some(target) && engine.activity == Activity::Idle
        });
        outdated
            .take(capacity)
            .map(|(name, engine)| {
                engine.activity = Activity::Loading { since: now };
                LoadCommand { engine: name.clone(), version: target }
            })
            .collect()
    }

    /// Returns the number of engines that have loaded the target version.
    pub fn up_to_date(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.version.is_some() && engine.version >= self.target)
            .count()
    }

    /// Returns the number of known engines.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }

    fn loading_count(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| matches!(engine.activity, Activity::Loading { .. }))
            .count()
    }

    fn wave_size(&self) -> usize {
        let engine_count = self.engines.len();
        let min_serving = (engine_count as f64 * self.serving_floor).ceil() as usize;
        engine_count.saturating_sub(min_serving).max(1)
    }
}
