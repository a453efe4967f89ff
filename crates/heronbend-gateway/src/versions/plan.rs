//! Which servers load which version now.
//!
//! A step allows the version before the one it is numbered by, so a server need not load every
//! version: half of a model's servers take the odd ones and half the even ones. One half serves
//! while the other loads, and a load is spent only every second version. A model whose steps take
//! long gets every version on all its servers.
//!
//! A step of a pressed model begins at the very moment at which its version is named, and its step_items
//! need all slots then. A server takes nothing new while it loads, but what runs there goes on at the
//! same pace. So servers that can run the step load a little later, once its step_items have begun: half of
//! them loading at once had a tenth of a step's step_items wait for most of a second.
//!
//! A fleet may have many more servers than the steps of all trainers can use. Each order costs its server
//! a pause and its holder some calls, so only as many servers follow a model as its owed step_items need:
//! twice those that have slots for the step_items of two steps, since one half may be loading. The others
//! keep what they have until one that follows the model is lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::directory::Server;

/// Of so many servers one may load at a time without slowing another one's load.
const SERVERS_PER_LOAD: usize = 5;
/// Loads at a time with however few servers.
const MIN_CONCURRENT_LOADS: usize = 2;
/// Steps of one trainer whose step_items may be owed at the same time: the next one is handed in when the
/// version of the one before it is named, while late step_items of that one still run.
const CONCURRENT_STEPS: usize = 2;
/// Servers that follow a model for each one that its owed step_items fill: one half may be loading, or a
/// zone be lost, and the other half still has slots for all of them.
const CAPACITY_FACTOR: usize = 2;

/// Time from a version's naming after which the step_items of a pressed model's step have begun: most take
/// less than a second, and those that found no place at first have one by then.
pub const STEP_START_DELAY: Duration = Duration::from_millis(1500);

/// Loads that may be under way at the same time.
pub fn max_concurrent_loads(servers: usize) -> usize {
    (servers / SERVERS_PER_LOAD).max(MIN_CONCURRENT_LOADS)
}

/// A server as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// What it says of itself.
    pub server: Rc<Server>,
    /// Whether an order is under way at it, or was a moment ago.
    pub is_loading: bool,
    /// The model and version that it is loading, or has loaded without its entry showing it.
    pub loading: Option<(String, u64)>,
    /// Whether the load may take a part of what loads share.
    pub is_transferring: bool,
    /// Requests that are known to run there.
    pub in_flight: u32,
}

impl EngineState {
    fn id(&self) -> &str {
        &self.server.id
    }

    /// The version of a model that its entry shows; 0 where it does not hold the model.
    fn loaded(&self, model: &str) -> u64 {
        self.server.models.get(model).copied().unwrap_or(0)
    }

    /// The version of a model that it is loading, or has loaded without its entry showing it.
    fn loading(&self, model: &str) -> Option<u64> {
        let loading = self.loading.as_ref().filter(|(loading, _)| loading == model);
        loading.map(|(_, version)| *version)
    }
}

/// What is known of a model's trainer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelState {
    /// Newest named version.
    pub version: u64,
    /// Tokens that its last step was expected to make; servers are shared out by this.
    pub demand: u64,
    /// Texts of its last step; 0 where none is known.
    pub step_items: usize,
    /// Whether its steps take so long that half of its servers are not enough.
    pub has_slow_steps: bool,
    /// How long ago the newest version was named.
    pub published_for: Duration,
    /// Whether a text that runs through a load is of no use: all of it must come from one version.
    pub requires_single_version: bool,
}

impl ModelState {
    /// Servers of so many slots that its trainer's step_items need; all there are where no step is known.
    fn servers_needed(&self, slots: usize) -> usize {
        if self.step_items == 0 {
            return usize::MAX;
        }
        (self.step_items * CONCURRENT_STEPS).div_ceil(slots.max(1)) * CAPACITY_FACTOR
    }
}

/// When a load is to be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// At once: the server cannot run the step of the newest version, or half of the model's servers
    /// lack it.
    Now,
    /// At once, after those that cannot run the step.
    Soon,
    /// Once the server has nothing to run.
    WhenIdle,
}

/// A load that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The server.
    pub server: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When to order it.
    pub urgency: Urgency,
}

/// The loads of one model that are due, and how far its servers are.
struct Queue {
    /// The most urgent last.
    due: Vec<Load>,
    /// Servers that can run a step of the newest version, or will once they have loaded.
    ready: usize,
    /// Servers that follow the model.
    hosts: usize,
}

impl Queue {
    /// What is taken first: urgent loads, and among them those of the model whose servers lag most.
    fn priority(&self) -> Option<(Urgency, usize)> {
        let next = self.due.last()?;
        Some((next.urgency, self.ready * READY_SHARE_SCALE / self.hosts.max(1)))
    }
}

/// Steps in which the share of servers that are ready is told apart.
const READY_SHARE_SCALE: usize = 1000;

/// The loads that are to be ordered now, or when their servers are idle; the most urgent first. As
/// many as may be under way at once, shared out so that no model's servers lag behind the others'.
pub fn loads_due(models: &BTreeMap<String, ModelState>, engines: &[EngineState]) -> Vec<Load> {
    let mut hosts = assign(models, engines);
    let mut queues: Vec<Queue> = models
        .iter()
        .map(|(model, state)| {
            queue(model, state, &hosts.remove(model.as_str()).unwrap_or_default())
        })
        .collect();
    let transferring = engines.iter().filter(|engine| engine.is_transferring).count();
    let free = max_concurrent_loads(engines.len()).saturating_sub(transferring);
    let mut due = Vec::new();
    while due.len() < free {
        let next = queues
            .iter_mut()
            .filter_map(|queue| Some((queue.priority()?, queue)))
            .min_by_key(|(priority, _)| *priority);
        let Some((_, queue)) = next else {
            break;
        };
        queue.ready += 1;
        due.extend(queue.due.pop());
    }
    due
}

fn queue(model: &str, state: &ModelState, hosts: &[&EngineState]) -> Queue {
    let mut due = due_for_model(model, state, hosts);
    due.sort_by_key(|load| load.urgency);
    due.reverse();
    let is_ready = |engine: &&&EngineState| {
        let loaded = engine.loaded(model).max(engine.loading(model).unwrap_or(0));
        loaded + 1 >= state.version
    };
    Queue { due, ready: hosts.iter().filter(is_ready).count(), hosts: hosts.len() }
}

/// The loads of a model's newest version, those of the oldest versions first.
fn due_for_model(model: &str, state: &ModelState, hosts: &[&EngineState]) -> Vec<Load> {
    let version = state.version;
    let loaded = |engine: &EngineState| engine.loaded(model);
    let is_loading_version =
        |engine: &EngineState| engine.loading(model).is_some_and(|loading| loading >= version);
    let current =
        hosts.iter().filter(|engine| loaded(engine) >= version || is_loading_version(engine));
    let mut missing_in_half = hosts.len().div_ceil(2).saturating_sub(current.count());
    let mut candidates: Vec<&&EngineState> =
        hosts.iter().filter(|engine| !engine.is_loading && loaded(engine) < version).collect();
    candidates.sort_by_key(|engine| (loaded(engine), engine.in_flight, engine.id()));
    let mut due = Vec::new();
    for engine in candidates {
        let is_too_old = loaded(engine) + 1 < version;
        let completes_half = missing_in_half > 0;
        missing_in_half = missing_in_half.saturating_sub(1);
        let urgency = if is_too_old || (completes_half && !state.has_slow_steps) {
            Urgency::Now
        } else if state.has_slow_steps && state.published_for >= STEP_START_DELAY {
            if state.requires_single_version && !completes_half {
                Urgency::WhenIdle
            } else {
                Urgency::Soon
            }
        } else {
            continue;
        };
        let (server, model) = (engine.id().to_owned(), model.to_owned());
        due.push(Load { server, model, version, urgency });
    }
    due
}

/// How well a server suits a model: the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Versions that the server lags behind the newest one.
    lag: u64,
    /// Spreads models over servers that lag alike.
    tie_breaker: u64,
    engine: usize,
    model: usize,
}

/// Divides the servers among the models, in proportion to their demand and no more than each needs: a
/// server follows one of them, the one it lags behind least. Some follow none.
fn assign<'a>(
    models: &BTreeMap<String, ModelState>,
    engines: &'a [EngineState],
) -> BTreeMap<&'a str, Vec<&'a EngineState>> {
    let names: BTreeSet<&str> =
        engines.iter().flat_map(|engine| engine.server.models.keys().map(String::as_str)).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let mut remaining = shares(models, &names, engines);
    let total = remaining.iter().sum();
    let mut candidates: Vec<Candidate> = Vec::new();
    for (model, name) in names.iter().enumerate() {
        let newest = models.get(*name).map_or(1, |state| state.version);
        candidates.extend(best_candidates(model, name, newest, engines, total));
    }
    candidates.sort_unstable();
    let mut is_assigned = vec![false; engines.len()];
    let mut hosts: BTreeMap<&str, Vec<&EngineState>> = BTreeMap::new();
    for candidate in candidates {
        if !is_assigned[candidate.engine] && remaining[candidate.model] > 0 {
            remaining[candidate.model] -= 1;
            is_assigned[candidate.engine] = true;
            hosts.entry(names[candidate.model]).or_default().push(&engines[candidate.engine]);
        }
    }
    hosts
}

/// The best candidates for a model. All models together take `total` servers, so no model's further ones can
/// matter, and thousands of servers need not be put in order.
fn best_candidates(
    model: usize,
    name: &str,
    newest: u64,
    engines: &[EngineState],
    total: usize,
) -> Vec<Candidate> {
    let key = rapidhash_v3(name.as_bytes());
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let Some(loaded) = engine.server.models.get(name) else {
            continue;
        };
        let loaded = engine.loading(name).unwrap_or(*loaded);
        let server = rapidhash_v3(engine.id().as_bytes());
        let tie_breaker = rapidhash_v3(&(key ^ server).to_le_bytes());
        candidates.push(Candidate {
            lag: newest.saturating_sub(loaded),
            tie_breaker,
            engine: index,
            model,
        });
    }
    if total < candidates.len() {
        candidates.select_nth_unstable(total);
        candidates.truncate(total);
    }
    candidates
}

/// How many servers each model gets: its part by demand, and no more than it needs.
fn shares(
    models: &BTreeMap<String, ModelState>,
    names: &[&str],
    engines: &[EngineState],
) -> Vec<usize> {
    let state = |name: &&str| models.get(*name);
    let demands: Vec<u64> =
        names.iter().map(|name| state(name).map_or(0, |state| state.demand)).collect();
    let slots: usize = engines.iter().map(|engine| engine.server.slots as usize).sum();
    let slots = slots / engines.len().max(1);
    let parts = divide(engines.len(), &demands);
    let needed = |name| state(name).map_or(usize::MAX, |state| state.servers_needed(slots));
    parts.into_iter().zip(names).map(|(part, name)| part.min(needed(name))).collect()
}

/// Divides `total` by largest remainders, at least one for each part while they last. Parts whose
/// demand is not known get a mean share.
fn divide(total: usize, demands: &[u64]) -> Vec<usize> {
    if demands.is_empty() {
        return Vec::new();
    }
    let known: Vec<u64> = demands.iter().copied().filter(|demand| *demand > 0).collect();
    let mean = if known.is_empty() { 1 } else { known.iter().sum::<u64>() / known.len() as u64 };
    let weights: Vec<u64> =
        demands.iter().map(|demand| if *demand > 0 { *demand } else { mean.max(1) }).collect();
    let sum: u64 = weights.iter().sum();
    let at_least_one = usize::from(total >= demands.len());
    let spread = total - at_least_one * demands.len().min(total);
    let exact: Vec<f64> =
        weights.iter().map(|weight| *weight as f64 * total as f64 / sum as f64).collect();
    let mut shares: Vec<usize> = vec![at_least_one; demands.len()];
    for _ in 0..spread {
        let missing = |index: &usize| exact[*index] - shares[*index] as f64;
        let next = (0..shares.len()).max_by(|a, b| missing(a).total_cmp(&missing(b)));
        if let Some(index) = next {
            shares[index] += 1;
        }
    }
    shares
}
