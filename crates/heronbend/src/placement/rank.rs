//! Ranks eligible servers by the expected time of a request.

use super::server::Server;
use crate::Moment;

/// Latency assumed if none is known, in milliseconds.
pub const DEFAULT_MILLIS: f64 = 20.0;
/// Minimum latency of a server, in milliseconds; equals the range of the random tie-breaker.
const MIN_MILLIS: f64 = 1.0;
/// Cost of opening a connection, in milliseconds. It exceeds the random tie-breaker, so that a
/// daemon with few calls reuses its connections, and is less than [the latency of another
/// zone](super::Placer::zone_latency), so that calls return to their own zone.
const CONNECT_MILLIS: f64 = 1.5;
/// Open connections are ignored in one of this many choices on average, so that unused servers get
/// traffic again.
pub const EXPLORE_EVERY: u32 = 16;
/// Weight of the network latency for an event of a batch item. It is low because the latency is
/// paid once per item of some twenty events, and a higher weight would fill nearby servers before
/// others are used, which slows each of their texts by a twentieth.
const BATCH_LATENCY_WEIGHT: f64 = 0.05;
/// Ratio to the lowest mean latency up to which servers count as equally fast for calls. Calls vary
/// in the work they require, so that smaller differences are noise.
const CALL_TOLERANCE: f64 = 1.5;

/// How load and latency affect the cost of a kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    load_penalty: f64,
    tolerance: f64,
    latency_weight: f64,
}

/// Profile of calls, which are latency-sensitive.
pub const CALL: Profile =
    Profile { load_penalty: CALL_LOAD_PENALTY, tolerance: CALL_TOLERANCE, latency_weight: 1.0 };
/// Profile of batch items, whose latency is averaged over many events.
pub const BATCH_ITEM: Profile = Profile {
    load_penalty: BATCH_LOAD_PENALTY,
    tolerance: 1.0,
    latency_weight: BATCH_LATENCY_WEIGHT,
};

impl CostParameters {
    /// Creates the parameters for requests at `now`, where the fastest server has a mean latency of
    /// `best_millis`.
    pub fn new(now: Moment, best_millis: f64, profile: Profile) -> Self {
        let Profile { load_penalty, tolerance, latency_weight } = profile;
        Self { now, best_millis, load_penalty, tolerance, latency_weight }
    }
}

/// Load penalty of calls: a full server takes twice as long as an idle one.
const CALL_LOAD_PENALTY: f64 = 1.0;
/// Load penalty of batch items. It is low because engines process a batch in parallel: a slow
/// server is used only if the faster ones are nearly full.
const BATCH_LOAD_PENALTY: f64 = 0.2;

/// Parameters of [`cost`] that are common to all servers.
#[derive(Debug, Clone, Copy)]
pub struct CostParameters {
    /// The current time.
    pub now: Moment,
    /// Mean latency of the fastest server, in milliseconds.
    pub best_millis: f64,
    /// Slowdown of a full server relative to an idle one, as a fraction of the idle latency.
    pub load_penalty: f64,
    /// Ratio of mean latencies up to which servers count as equally fast.
    pub tolerance: f64,
    /// Weight of the network latency.
    pub latency_weight: f64,
}

/// Mean latency of the fastest server, in milliseconds. For calls it is at most the service's
/// `baseline`, which a single slow server may exceed.
pub fn best_millis<'a>(
    servers: impl Iterator<Item = &'a Server>,
    baseline: Option<f64>,
    profile: Profile,
) -> f64 {
    let known = servers.filter_map(|server| server.health.mean_millis);
    let best = known.reduce(f64::min);
    let baseline = baseline.filter(|_| profile == CALL);
    match (best, baseline) {
        (Some(best), Some(baseline)) => best.min(baseline),
        (best, baseline) => best.or(baseline).unwrap_or(DEFAULT_MILLIS),
    }
}

/// Expected time of one more request on a server, in milliseconds. `network_millis` is the network
/// latency of its zone.
pub fn cost(
    server: &Server,
    parameters: &CostParameters,
    network_millis: f64,
    is_connected: bool,
) -> f64 {
    let mean =
        server.health.decayed_mean_millis(parameters.now, parameters.best_millis).max(MIN_MILLIS);
    let is_as_fast = mean <= parameters.best_millis * parameters.tolerance;
    let mean = if is_as_fast { parameters.best_millis.max(MIN_MILLIS) } else { mean };
    let utilization =
        f64::from(server.health.in_flight) / f64::from(server.registration.slots.max(1));
    let connecting = if is_connected { 0.0 } else { CONNECT_MILLIS };
    let network_cost = network_millis * parameters.latency_weight;
    mean * (1.0 + parameters.load_penalty * utilization) + network_cost + connecting
}
