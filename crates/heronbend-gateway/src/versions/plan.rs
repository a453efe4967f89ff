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
//!
//! A fleet may have many more servers than the steps of all trainers can use. Each order costs its server
//! a pause and its holder some calls, so only as many servers follow a model as its owed texts need:
//! twice those that have places for the texts of two steps, since one half may be loading. The others
//! keep what they have until one that follows the model is lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3;

use crate::directory::Server;

/// Of so many servers one may load at a time without slowing another one's load.
const SERVERS_FOR_A_LOAD: usize = 5;
/// Loads at a time with however few servers.
const MIN_LOADS_AT_ONCE: usize = 2;
/// Steps of one trainer whose texts may be owed at the same time: the next one is handed in when the
/// version of the one before it is named, while late texts of that one still run.
const STEPS_AT_ONCE: usize = 2;
/// Servers that follow a model for each one that its owed texts fill: one half may be loading, or a
/// zone be lost, and the other half still has places for all of them.
const RESERVE: usize = 2;

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
    /// What it says of itself.
    pub server: Rc<Server>,
    /// Whether an order is under way at it, or was a moment ago.
    pub is_loading: bool,
    /// The model and version that it is loading, or has loaded without its entry showing it.
    pub loading: Option<(String, u64)>,
    /// Whether the load may take a part of what loads share.
    pub is_under_way: bool,
    /// Requests that are known to run there.
    pub in_flight: u32,
}

impl EngineState {
    fn id(&self) -> &str {
        &self.server.id
    }

    /// The version of a model that its entry shows; 0 where it does not hold the model.
    fn held(&self, model: &str) -> u64 {
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
    pub texts: usize,
    /// Whether its steps take so long that half of its servers are not enough.
    pub is_pressed: bool,
    /// How long ago the newest version was named.
    pub named_for: Duration,
    /// Whether a text that runs through a load is of no use: all of it must come from one version.
    pub is_cut_by_loads: bool,
}

impl ModelState {
    /// Servers of so many places that its trainer's texts need; all there are where no step is known.
    fn servers_needed(&self, places: usize) -> usize {
        if self.texts == 0 {
            return usize::MAX;
        }
        (self.texts * STEPS_AT_ONCE).div_ceil(places.max(1)) * RESERVE
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
    let mut hosts = assign(models, engines);
    let mut queues: Vec<Queue> = models
        .iter()
        .map(|(model, state)| {
            queue(model, state, &hosts.remove(model.as_str()).unwrap_or_default())
        })
        .collect();
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

fn queue(model: &str, state: &ModelState, hosts: &[&EngineState]) -> Queue {
    let mut due = due_for_model(model, state, hosts);
    due.sort_by_key(|load| load.urgency);
    due.reverse();
    let is_ready = |engine: &&&EngineState| {
        let held = engine.held(model).max(engine.loading(model).unwrap_or(0));
        held + 1 >= state.version
    };
    Queue { due, ready: hosts.iter().filter(is_ready).count(), hosts: hosts.len() }
}

/// The loads of a model's newest version, those of the oldest versions first.
fn due_for_model(model: &str, state: &ModelState, hosts: &[&EngineState]) -> Vec<Load> {
    let version = state.version;
    let held = |engine: &EngineState| engine.held(model);
    let is_loading_it =
        |engine: &EngineState| engine.loading(model).is_some_and(|loading| loading >= version);
    let at_version = hosts.iter().filter(|engine| held(engine) >= version || is_loading_it(engine));
    let mut missing_in_half = hosts.len().div_ceil(2).saturating_sub(at_version.count());
    let mut candidates: Vec<&&EngineState> =
        hosts.iter().filter(|engine| !engine.is_loading && held(engine) < version).collect();
    candidates.sort_by_key(|engine| (held(engine), engine.in_flight, engine.id()));
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
        let (server, model) = (engine.id().to_owned(), model.to_owned());
        due.push(Load { server, model, version, urgency });
    }
    due
}

/// How well a server suits a model: the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Bid {
    /// Versions that the server lags behind the newest one.
    lag: u64,
    /// Spreads models over servers that lag alike.
    tie: u64,
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
    let mut left = shares(models, &names, engines);
    let wanted = left.iter().sum();
    let mut bids: Vec<Bid> = Vec::new();
    for (model, name) in names.iter().enumerate() {
        let newest = models.get(*name).map_or(1, |state| state.version);
        bids.extend(best_bids(model, name, newest, engines, wanted));
    }
    bids.sort_unstable();
    let mut is_taken = vec![false; engines.len()];
    let mut hosts: BTreeMap<&str, Vec<&EngineState>> = BTreeMap::new();
    for bid in bids {
        if !is_taken[bid.engine] && left[bid.model] > 0 {
            left[bid.model] -= 1;
            is_taken[bid.engine] = true;
            hosts.entry(names[bid.model]).or_default().push(&engines[bid.engine]);
        }
    }
    hosts
}

/// The best bids for a model. All models together take `wanted` servers, so no model's further ones can
/// matter, and thousands of servers need not be put in order.
fn best_bids(
    model: usize,
    name: &str,
    newest: u64,
    engines: &[EngineState],
    wanted: usize,
) -> Vec<Bid> {
    let key = rapidhash_v3(name.as_bytes());
    let mut bids: Vec<Bid> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let Some(held) = engine.server.models.get(name) else {
            continue;
        };
        let held = engine.loading(name).unwrap_or(*held);
        let server = rapidhash_v3(engine.id().as_bytes());
        let tie = rapidhash_v3(&(key ^ server).to_le_bytes());
        bids.push(Bid { lag: newest.saturating_sub(held), tie, engine: index, model });
    }
    if wanted < bids.len() {
        bids.select_nth_unstable(wanted);
        bids.truncate(wanted);
    }
    bids
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
    let places: usize = engines.iter().map(|engine| engine.server.slots as usize).sum();
    let places = places / engines.len().max(1);
    let parts = divide(engines.len(), &demands);
    let needed = |name| state(name).map_or(usize::MAX, |state| state.servers_needed(places));
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
        let neediest = (0..shares.len()).max_by(|a, b| missing(a).total_cmp(&missing(b)));
        if let Some(index) = neediest {
            shares[index] += 1;
        }
    }
    shares
}
