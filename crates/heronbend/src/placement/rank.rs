//! Which of the servers that may run a request is the best: the one at which it is expected to take
//! the shortest time.

use super::server::Server;
use crate::Moment;

/// Assumed where nothing is known of any server, in milliseconds.
pub const UNKNOWN_MILLIS: f64 = 20.0;
/// Shortest time that a server is taken to need, in milliseconds: the spread of the draw among
/// equals.
const LEAST_MILLIS: f64 = 1.0;
/// Added to a server to which no connection is open, in milliseconds: some less than the spread of
/// the draw among equals, so that connections are used again and other servers still tried at times.
/// Platforms state some 1 ms for a new connection.
const CONNECT_MILLIS: f64 = 0.8;

/// How much a server's queue grows with its load, for a call that waits for its answer: a full server
/// takes twice as long.
pub const CALL_CROWDING: f64 = 1.0;
/// How much a full batch slows each text of an engine, as a share of the time that one alone takes. A
/// slow server is taken only once the faster ones are nearly full: texts that are expected to be long
/// are placed first.
pub const TEXT_CROWDING: f64 = 0.2;

/// What a server's rank depends on beside the server.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// The time.
    pub now: Moment,
    /// Mean time of the fastest server, in milliseconds.
    pub best_millis: f64,
    /// How much a full server slows a request, as a share of its idle time.
    pub crowding: f64,
}

/// Mean time of the fastest of some servers, in milliseconds.
pub fn best_millis<'a>(servers: impl Iterator<Item = &'a Server>) -> f64 {
    let known = servers.filter_map(|server| server.load.mean_millis);
    known.reduce(f64::min).unwrap_or(UNKNOWN_MILLIS)
}

/// Expected time of one more request at a server, in milliseconds; `distance_millis` is what its zone
/// adds.
pub fn cost(server: &Server, weights: &Weights, distance_millis: f64, is_connected: bool) -> f64 {
    let mean = server.load.faded_millis(weights.now, weights.best_millis).max(LEAST_MILLIS);
    let occupied = f64::from(server.load.in_flight) / f64::from(server.listing.slots.max(1));
    let connecting = if is_connected { 0.0 } else { CONNECT_MILLIS };
    mean * (1.0 + weights.crowding * occupied) + distance_millis + connecting
}
