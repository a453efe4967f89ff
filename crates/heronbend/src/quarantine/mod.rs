//! Requests that end the servers that run them, without I/O.
//!
//! A request may crash each server that begins it, and its caller comes again, at any daemon. It is the
//! request that is sick, not the servers, so that avoiding servers makes it worse: what is known has to
//! be kept by request, and by all daemons.
//!
//! - A server that goes while it runs requests is an *ending* for each of them. An ending needs
//!   evidence that the server is gone; a connection that broke is no more than a *doubt*.
//! - A request with an ending is *suspect*: it runs alone, so that little ends with it and the evidence
//!   against it is plain. A whole answer to it clears it: whatever ended those servers, it was not this.
//! - From a number of endings on it is *quarantined*: refused at once. A few spaced *probes* let one
//!   come back that was blamed wrongly; each has to be granted, so that all daemons together make no
//!   more of them.
//!
//! - A server that goes is an ending for each request that ran there, and one of them ended it. Where one
//!   of them is quarantined, it *explains* the ending: that does not count against those with fewer
//!   endings, for as long as they have few.
//!
//! What daemons know of a request is a set of endings, each of which may be excused later on. Sets are
//! joined, so that it does not matter in which order news comes, how often, or by whom.
//!
//! - [`fingerprint`]: what tells that two requests are the same one, come again.
//! - [`suspect`]: what is known of one request.
//! - [`table`]: all of them, and what is decided by it.

pub mod fingerprint;
pub mod suspect;
pub mod table;
#[cfg(test)]
mod tests;

use std::time::Duration;

use musli::Decode;
use musli::Encode;
use serde::Deserialize;
use serde::Serialize;

pub use fingerprint::Fingerprint;
pub use table::Table;

/// Rests before the probes, in units of the first: a request that was blamed wrongly is back soon, one
/// that ends each server has a minute and five of them where the first is five seconds.
const PROBE_RESTS: [u32; 3] = [1, 12, 60];

/// What the decisions go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Endings from which on a request is quarantined. One or two come by chance where servers crash
    /// for other reasons, three in a row without an answer hardly do.
    pub endings: usize,
    /// Rest before the first probe, counted from when the request was recorded. It is longer than a
    /// server takes to start anew, so that the probe does not meet the last one that is left.
    pub first_probe: Duration,
    /// Time after the last ending or probe in which a request is remembered.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            endings: 3,
            first_probe: Duration::from_secs(5),
            retention: Duration::from_secs(900),
        }
    }
}

impl Limits {
    /// Rest before a probe, counted from the one before; nothing where there is none any more.
    pub fn probe_rest(&self, probes: usize) -> Option<Duration> {
        PROBE_RESTS.get(probes).map(|rests| self.first_probe * *rests)
    }

    /// Endings from which on a request is quarantined even if others explain them, so that two which come
    /// together end no more servers than this each.
    pub fn most_endings(&self) -> usize {
        2 * self.endings
    }

    /// Time that all probes together take.
    pub fn probing(&self) -> Duration {
        self.first_probe * PROBE_RESTS.iter().sum()
    }
}

/// A server that went while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Ending {
    /// The run of the server.
    pub server: String,
    /// Whether an answer to the request has shown since that it was not the cause.
    pub is_excused: bool,
}

/// What one daemon tells others of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Report {
    /// The request.
    pub request: Fingerprint,
    /// The servers that went while they ran it.
    pub endings: Vec<Ending>,
}

/// What may become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing is held against it.
    Free,
    /// It may run at one server at a time, and with nothing else there if that can be.
    Alone,
    /// It may run once, if the next probe is granted.
    Probe,
    /// It may not run.
    Refused {
        /// Time after which it may.
        come_back: Duration,
    },
}

/// What the store holds of a quarantined request: the probes of all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The store's revision of it.
    pub revision: u64,
    /// Probes that have been granted.
    pub probes: usize,
}
