//! Which servers load which version now.
//!
//! A step allows the version before the one it is numbered by, so a server need not load every
//! version: half of a model's servers take the odd ones and half the even ones. One half serves
//! while the other loads, and a load is spent only every second version.

use std::collections::{BTreeMap, HashMap};

/// Servers that load at the same time without slowing each other.
pub const LOADS_AT_ONCE: usize = 2;

/// A server as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The server.
    pub id: String,
    /// Versions by model.
    pub models: BTreeMap<String, u64>,
    /// Whether an order is under way at it.
    pub is_loading: bool,
    /// The model and version that it is loading.
    pub loading: Option<(String, u64)>,
    /// Requests that are known to run there.
    pub in_flight: u32,
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
}

/// The loads that are to be ordered now, given the newest named version of each model.
pub fn loads_due(named: &HashMap<String, u64>, engines: &[EngineState]) -> Vec<Load> {
    let under_way = engines.iter().filter(|engine| engine.is_loading).count();
    let mut free = LOADS_AT_ONCE.saturating_sub(under_way);
    let mut due = Vec::new();
    let hosts = assign(named, engines);
    let mut models: Vec<_> = named.iter().collect();
    models.sort();
    for (model, &version) in models {
        for server in due_for_model(model, version, &hosts, engines) {
            if free == 0 {
                return due;
            }
            free -= 1;
            due.push(Load { server, model: model.clone(), version });
        }
    }
    due
}

/// The servers of a model that are to load its newest version, most urgent first.
fn due_for_model(
    model: &str,
    version: u64,
    hosts: &HashMap<&str, &str>,
    engines: &[EngineState],
) -> Vec<String> {
    let mine: Vec<&EngineState> =
        engines.iter().filter(|engine| hosts.get(engine.id.as_str()) == Some(&model)).collect();
    let held = |engine: &EngineState| engine.models.get(model).copied().unwrap_or(0);
    let is_loading_it = |engine: &EngineState| {
        engine.loading.as_ref().is_some_and(|(loading, to)| loading == model && *to >= version)
    };
    let at_version = mine.iter().filter(|engine| held(engine) >= version || is_loading_it(engine));
    let mut wanted = mine.len().div_ceil(2).saturating_sub(at_version.count());
    let mut candidates: Vec<&&EngineState> =
        mine.iter().filter(|engine| !engine.is_loading && held(engine) < version).collect();
    candidates.sort_by_key(|engine| (held(engine), engine.in_flight, engine.id.clone()));
    candidates
        .into_iter()
        .filter(|engine| {
            let is_useless = held(engine) + 1 < version;
            let fills_half = wanted > 0;
            wanted = wanted.saturating_sub(1);
            is_useless || fills_half
        })
        .map(|engine| engine.id.clone())
        .collect()
}

/// Divides the servers among the models that are trained: each server follows one of them, the one
/// it lags behind least, and no model gets more than its share.
fn assign<'a>(
    named: &'a HashMap<String, u64>,
    engines: &'a [EngineState],
) -> HashMap<&'a str, &'a str> {
    let mut models: Vec<&str> =
        engines.iter().flat_map(|engine| engine.models.keys().map(String::as_str)).collect();
    models.sort_unstable();
    models.dedup();
    let mut pairs: Vec<(u64, u64, &str, &str)> = Vec::new();
    for engine in engines {
        for model in engine.models.keys() {
            let newest = named.get(model).copied().unwrap_or(1);
            let loading = engine.loading.as_ref().filter(|(loading, _)| loading == model);
            let held = loading.map_or(engine.models[model], |(_, to)| *to);
            let key = format!("{model}/{}", engine.id);
            let tie = rapidhash::v3::rapidhash_v3(key.as_bytes());
            pairs.push((newest.saturating_sub(held), tie, &engine.id, model));
        }
    }
    pairs.sort_unstable();
    let mut hosts: HashMap<&str, &str> = HashMap::new();
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let share = engines.len().checked_div(models.len()).unwrap_or(0);
    let mut extra = engines.len().checked_rem(models.len()).unwrap_or(0);
    for (_, _, server, model) in pairs {
        let count = counts.entry(model).or_default();
        if hosts.contains_key(server) || *count > share || (*count == share && extra == 0) {
            continue;
        }
        if *count == share {
            extra -= 1;
        }
        *count += 1;
        hosts.insert(server, model);
    }
    hosts
}
