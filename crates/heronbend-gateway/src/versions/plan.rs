//! Which servers load which version now.
//!
//! A step allows the version before the one it is numbered by, so a server need not load every
//! version: half of a model's servers take the odd ones and half the even ones. One half serves
//! while the other loads, and a load is spent only every second version. A model whose steps take
//! long gets every version on all its servers.
//!
//! A step of a pressed model begins at the very moment at which its version is named, and its texts
//! need all places then. A server takes nothing new while it loads, but what runs there goes on at the
//! same pace. So servers that can run the step load a little later, once its texts have begun: half of
//! them loading at once had a tenth of a step's texts wait for most of a second.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Of so many servers one may load at a time without slowing another one's load.
const SERVERS_FOR_A_LOAD: usize = 5;
/// Loads at a time with however few servers.
const MIN_LOADS_AT_ONCE: usize = 2;

/// Time from a version's naming after which the texts of a pressed model's step have begun: most take
/// less than a second, and those that found no place at first have one by then.
pub const STEP_BEGUN: Duration = Duration::from_millis(1500);

/// Loads that may be under way at the same time.
pub fn loads_at_once(servers: usize) -> usize {
    (servers / SERVERS_FOR_A_LOAD).max(MIN_LOADS_AT_ONCE)
}

/// A server as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The server.
    pub id: String,
    /// Versions by model.
    pub models: BTreeMap<String, u64>,
    /// Whether an order is under way at it, or was a moment ago.
    pub is_loading: bool,
    /// The model and version that it is loading, or has loaded without its entry showing it.
    pub loading: Option<(String, u64)>,
    /// Whether the load may take a part of what loads share.
    pub is_under_way: bool,
    /// Requests that are known to run there.
    pub in_flight: u32,
}

/// What is known of a model's trainer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelState {
    /// Newest named version.
    pub version: u64,
    /// Tokens that its last step was expected to make; servers are shared out by this.
    pub demand: u64,
    /// Whether its steps take so long that half of its servers are not enough.
    pub is_pressed: bool,
    /// How long ago the newest version was named.
    pub named_for: Duration,
    /// Whether a text that runs through a load is of no use: all of it must come from one version.
    pub is_cut_by_loads: bool,
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
    fn rank(&self) -> Option<(Urgency, usize)> {
        let next = self.due.last()?;
        Some((next.urgency, self.ready * RANK_SCALE / self.hosts.max(1)))
    }
}

/// Steps in which the share of servers that are ready is told apart.
const RANK_SCALE: usize = 1000;

/// The loads that are to be ordered now, or when their servers are idle; the most urgent first. As
/// many as may be under way at once, shared out so that no model's servers lag behind the others'.
pub fn loads_due(models: &BTreeMap<String, ModelState>, engines: &[EngineState]) -> Vec<Load> {
    let hosts = assign(models, engines);
    let mut queues: Vec<Queue> =
        models.iter().map(|(model, state)| queue(model, state, &hosts, engines)).collect();
    let under_way = engines.iter().filter(|engine| engine.is_under_way).count();
    let free = loads_at_once(engines.len()).saturating_sub(under_way);
    let mut due = Vec::new();
    while due.len() < free {
        let neediest = queues
            .iter_mut()
            .filter_map(|queue| Some((queue.rank()?, queue)))
            .min_by_key(|(rank, _)| *rank);
        let Some((_, queue)) = neediest else {
            break;
        };
        queue.ready += 1;
        due.extend(queue.due.pop());
    }
    due
}

fn queue(
    model: &str,
    state: &ModelState,
    hosts: &HashMap<&str, &str>,
    engines: &[EngineState],
) -> Queue {
    let mut due = due_for_model(model, state, hosts, engines);
    due.sort_by_key(|load| load.urgency);
    due.reverse();
    let follows = |engine: &&EngineState| hosts.get(engine.id.as_str()) == Some(&model);
    let is_ready = |engine: &&EngineState| {
        let loading = engine.loading.as_ref().filter(|(loading, _)| loading == model);
        let held = engine.models.get(model).copied().unwrap_or(0);
        let held = loading.map_or(held, |(_, to)| held.max(*to));
        held + 1 >= state.version
    };
    let mine = engines.iter().filter(follows);
    Queue { due, ready: mine.clone().filter(is_ready).count(), hosts: mine.count() }
}

/// The loads of a model's newest version, those of the oldest versions first.
fn due_for_model(
    model: &str,
    state: &ModelState,
    hosts: &HashMap<&str, &str>,
    engines: &[EngineState],
) -> Vec<Load> {
    let version = state.version;
    let mine: Vec<&EngineState> =
        engines.iter().filter(|engine| hosts.get(engine.id.as_str()) == Some(&model)).collect();
    let held = |engine: &EngineState| engine.models.get(model).copied().unwrap_or(0);
    let is_loading_it = |engine: &EngineState| {
        engine.loading.as_ref().is_some_and(|(loading, to)| loading == model && *to >= version)
    };
    let at_version = mine.iter().filter(|engine| held(engine) >= version || is_loading_it(engine));
    let mut missing_in_half = mine.len().div_ceil(2).saturating_sub(at_version.count());
    let mut candidates: Vec<&&EngineState> =
        mine.iter().filter(|engine| !engine.is_loading && held(engine) < version).collect();
    candidates.sort_by_key(|engine| (held(engine), engine.in_flight, engine.id.clone()));
    let mut due = Vec::new();
    for engine in candidates {
        let cannot_serve = held(engine) + 1 < version;
        let fills_half = missing_in_half > 0;
        missing_in_half = missing_in_half.saturating_sub(1);
        let urgency = if cannot_serve || (fills_half && !state.is_pressed) {
            Urgency::Now
        } else if state.is_pressed && state.named_for >= STEP_BEGUN {
            if state.is_cut_by_loads && !fills_half {
                Urgency::WhenIdle
            } else {
                Urgency::Soon
            }
        } else {
            continue;
        };
        let (server, model) = (engine.id.clone(), model.to_owned());
        due.push(Load { server, model, version, urgency });
    }
    due
}

/// Divides the servers among the models, in proportion to their demand: each server follows one of
/// them, the one it lags behind least.
fn assign<'a>(
    models: &'a BTreeMap<String, ModelState>,
    engines: &'a [EngineState],
) -> HashMap<&'a str, &'a str> {
    let mut names: Vec<&str> =
        engines.iter().flat_map(|engine| engine.models.keys().map(String::as_str)).collect();
    names.sort_unstable();
    names.dedup();
    let demands: Vec<u64> =
        names.iter().map(|name| models.get(*name).map_or(0, |state| state.demand)).collect();
    let shares: HashMap<&str, usize> =
        names.iter().copied().zip(divide(engines.len(), &demands)).collect();
    let mut pairs: Vec<(u64, u64, &str, &str)> = Vec::new();
    for engine in engines {
        for (model, held) in &engine.models {
            let newest = models.get(model).map_or(1, |state| state.version);
            let loading = engine.loading.as_ref().filter(|(loading, _)| loading == model);
            let held = loading.map_or(*held, |(_, to)| *to);
            let key = format!("{model}/{}", engine.id);
            let tie = rapidhash::v3::rapidhash_v3(key.as_bytes());
            pairs.push((newest.saturating_sub(held), tie, &engine.id, model));
        }
    }
    pairs.sort_unstable();
    let mut hosts: HashMap<&str, &str> = HashMap::new();
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for (_, _, server, model) in pairs {
        let count = counts.entry(model).or_default();
        if !hosts.contains_key(server) && *count < shares[model] {
            *count += 1;
            hosts.insert(server, model);
        }
    }
    hosts
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
        let neediest = (0..shares.len()).max_by(|a, b| missing(a).total_cmp(&missing(b)));
        if let Some(index) = neediest {
            shares[index] += 1;
        }
    }
    shares
}
