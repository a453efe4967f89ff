//! Quarantine of requests that crash the servers that run them, without I/O.
//!
//! A poison request crashes every server that runs it, and its caller retries it through any
//! daemon. Avoiding the crashed servers only spreads the damage, so state is kept per request and
//! shared by all daemons.
//!
//! - A server that goes away while it runs requests counts as a *crash* for each of them. A broken
//!   connection alone is an *unconfirmed crash*; it needs evidence that the server is gone.
//! - A request with crashes is *suspect*: it runs isolated, which limits the damage and shows
//!   whether it is the cause. A complete response clears it.
//! - From a threshold of crashes on it is *quarantined*: refused immediately. A few spaced *probes*
//!   let a wrongly blamed request recover; each is granted by the store, so that all daemons share
//!   one limit.
//! - Of the requests that ran on a crashed server one is the cause. If one of them is quarantined,
//!   it *explains* the crash, which then does not count against requests with fewer crashes.
//!
//! The state of a request is a set of crashes, each of which may be excused later. Merging sets is
//! commutative and idempotent, so the order and number of deliveries do not matter.
//!
//! - [`fingerprint`]: identifies retries of the same request.
//! - [`suspect`]: the state of one request.
//! - [`table`]: the states of all requests, and the decisions based on them.

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

/// Delays before each probe, as multiples of the first one.
const PROBE_DELAY_FACTORS: [u32; 3] = [1, 12, 60];

/// Thresholds and delays of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of crashes from which a request is quarantined.
    pub crash_threshold: usize,
    /// Delay from the creation of a request's record to its first probe. Longer than a server takes
    /// to restart, so that the probe cannot crash the last server that is left.
    pub first_probe_delay: Duration,
    /// How long a request is kept after its last crash or probe.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            first_probe_delay: Duration::from_secs(5),
            retention: Duration::from_secs(900),
        }
    }
}

impl Limits {
    /// Delay before the next probe after `probes` probes; `None` if no probes are left.
    pub fn probe_delay(&self, probes: usize) -> Option<Duration> {
        PROBE_DELAY_FACTORS.get(probes).map(|factor| self.first_probe_delay * *factor)
    }

    /// Number of crashes from which a request is quarantined even if others explain them. Limits
    /// the crashes caused by two poison requests that arrive together.
    pub fn max_crashes(&self) -> usize {
        2 * self.crash_threshold
    }

    /// Total duration of all probe delays.
    pub fn total_probe_time(&self) -> Duration {
        self.first_probe_delay * PROBE_DELAY_FACTORS.iter().sum()
    }
}

/// The crash of a server while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Crash {
    /// Identifier of the server's run.
    pub server: String,
    /// Whether a later response to the request has shown that it was not the cause.
    pub is_excused: bool,
}

/// What one daemon reports to others about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Report {
    /// The request.
    pub request: Fingerprint,
    /// Crashes of servers that ran it.
    pub endings: Vec<Crash>,
}

/// Decision on whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run without restrictions.
    Allowed,
    /// It may run on one server at a time, preferably with no other requests there.
    Isolated,
    /// It may run once, if the store grants the next probe.
    Probe,
    /// It may not run.
    Refused {
        /// Time after which it may be retried.
        retry_after: Duration,
    },
}

impl Admission {
    /// Returns how the request may be sent. Who grants a [`SendMode::Probe`] is up to the caller:
    /// the store for all daemons, or a daemon for itself.
    pub fn send_mode(self) -> Result<SendMode, Refused> {
        match self {
            Self::Allowed => Ok(SendMode::Normal),
            Self::Isolated => Ok(SendMode::Isolated),
            Self::Probe => Ok(SendMode::Probe),
            Self::Refused { retry_after } => Err(Refused { retry_after }),
        }
    }
}

/// How a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendMode {
    /// Without restrictions.
    Normal,
    /// To one server at a time, isolated from other requests if possible.
    Isolated,
    /// Isolated, in a single attempt.
    Probe,
}

/// A request that may not be sent to servers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// The stored record of a quarantined request, which counts the probes of all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The store's revision of the record.
    pub revision: u64,
    /// Number of probes granted.
    pub probes: usize,
}
