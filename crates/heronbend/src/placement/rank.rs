//! Which of the servers that may run a request is the best: the one at which it is expected to take
//! the shortest time.

use super::server::Server;
use crate::Moment;

/// Assumed where nothing is known of any server, in milliseconds.
pub const DEFAULT_MILLIS: f64 = 20.0;
/// Shortest time that a server is taken to need, in milliseconds: the spread of the draw among
/// equals.
const MIN_MILLIS: f64 = 1.0;
/// Added to a server to which no connection is open, in milliseconds: more than the spread of the draw
/// among equals, so that a daemon with few calls keeps to few servers; less than another zone adds, so
/// that its calls return to a zone whose servers are back. Platforms state some 1 ms.
const CONNECT_MILLIS: f64 = 1.5;
/// One choice in so many leaves connections out of account: servers that are not connected are tried
/// at times, and get their part again after they were slow or away.
pub const EXPLORE_EVERY: u32 = 16;
/// How much of the distance counts for each event of a text: it is paid once, and texts have some
/// twenty events. Were it to count whole, the servers nearby would be filled before any other is used,
/// which slows each of their texts by a twentieth.
const BATCH_LATENCY_WEIGHT: f64 = 0.05;
/// Calls differ in the work that they make: up to this ratio to the fastest server's mean a server
/// counts as no slower. Without it a daemon with few calls goes after whichever server had the
/// shortest of them last, and has connections to all.
const CALL_TOLERANCE: f64 = 1.5;

/// How requests of a kind weigh a server's load and pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    load_penalty: f64,
    tolerance: f64,
    latency_weight: f64,
}

/// For calls, whose answer somebody waits for.
pub const CALL: Profile =
    Profile { load_penalty: CALL_LOAD_PENALTY, tolerance: CALL_TOLERANCE, latency_weight: 1.0 };
/// For texts, whose pace is measured over many events.
pub const BATCH_ITEM: Profile = Profile {
    load_penalty: BATCH_LOAD_PENALTY,
    tolerance: 1.0,
    latency_weight: BATCH_LATENCY_WEIGHT,
};

impl Weights {
    /// Weights at a time, where the fastest server's mean is so many milliseconds.
    pub fn new(now: Moment, best_millis: f64, profile: Profile) -> Self {
        let Profile { load_penalty, tolerance, latency_weight } = profile;
        Self { now, best_millis, load_penalty, tolerance, latency_weight }
    }
}

/// How much a server's queue grows with its load, for a call that waits for its answer: a full server
/// takes twice as long.
const CALL_LOAD_PENALTY: f64 = 1.0;
/// How much a full batch slows each text of an engine, as a share of the time that one alone takes. A
/// slow server is taken only once the faster ones are nearly full: texts that are expected to be long
/// are placed first.
const BATCH_LOAD_PENALTY: f64 = 0.2;

/// What a server's rank depends on beside the server.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// The time.
    pub now: Moment,
    /// Mean time of the fastest server, in milliseconds.
    pub best_millis: f64,
    /// How much a full server slows a request, as a share of its idle time.
    pub load_penalty: f64,
    /// Ratio of means up to which servers count as equally fast.
    pub tolerance: f64,
    /// How much of the time to a server and back counts.
    pub latency_weight: f64,
}

/// Mean time of the fastest of some servers, in milliseconds; for calls no more than the usual time of
/// their service's answers, which the only server that is known may exceed.
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

/// Expected time of one more request at a server, in milliseconds; `distance_millis` is what its zone
/// adds.
pub fn cost(server: &Server, weights: &Weights, network_millis: f64, is_connected: bool) -> f64 {
    let mean = server.health.decayed_mean_millis(weights.now, weights.best_millis).max(MIN_MILLIS);
    let is_as_fast = mean <= weights.best_millis * weights.tolerance;
    let mean = if is_as_fast { weights.best_millis.max(MIN_MILLIS) } else { mean };
    let utilization =
        f64::from(server.health.in_flight) / f64::from(server.registration.slots.max(1));
    let connecting = if is_connected { 0.0 } else { CONNECT_MILLIS };
    let latency_weight = network_millis * weights.latency_weight;
    mean * (1.0 + weights.load_penalty * utilization) + latency_weight + connecting
}
