//! Services that wait for the successors of servers that are gone.
//!
//! Changes of the directory are read in batches. A service with no server, or with one that the
//! next crash would end, needs its successors sooner than with a full batch.

use std::collections::BTreeMap;
use std::time::Duration;

use heronbend::Moment;

/// Number of usable servers from which on a service waits for a full batch.
const ENOUGH_SERVERS: usize = 2;
/// How long successors are awaited. Most processes restart and register within this time; a server
/// that is removed for good has none.
const AWAIT_PERIOD: Duration = Duration::from_secs(3);

/// Services that lost servers recently.
#[derive(Debug, Clone, Default)]
pub struct Replacements {
    awaited_until: BTreeMap<String, Moment>,
}

impl Replacements {
    /// Records that a server of a service is gone.
    pub fn note_gone(&mut self, now: Moment, service: &str) {
        self.awaited_until.insert(service.to_owned(), now + AWAIT_PERIOD);
    }

    /// Whether any service needs a successor soon. `has_servers` tells whether a service has at
    /// least a number of usable servers.
    pub fn are_urgent(&mut self, now: Moment, has_servers: impl Fn(&str, usize) -> bool) -> bool {
        self.awaited_until.retain(|_, until| now < *until);
        self.awaited_until.keys().any(|service| !has_servers(service, ENOUGH_SERVERS))
    }
}
