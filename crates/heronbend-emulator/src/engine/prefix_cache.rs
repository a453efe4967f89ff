//! Emulated LRU prefix cache whose events are delayed and partly lost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Maximum number of cached prefixes.
const MAX_PREFIXES: usize = 64;
/// Number of leading bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 64;
/// Delay until an event becomes visible.
const EVENT_DELAY: Duration = Duration::from_millis(500);
/// One in this many events is lost.
const LOST_EVENT_INTERVAL: u64 = 10;
const MAX_EVENTS: usize = 1000;

/// An insertion into or an eviction from the cache.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Sequence number; gaps indicate lost events.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// True for an insertion, false for an eviction.
    pub added: bool,
}

/// LRU cache of prompt prefixes and its recent events.
#[derive(Default)]
pub struct PrefixCache {
    recent: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Marks a prompt's prefix as most recently used, inserting it if needed.
    ///
    /// Returns whether it was cached before.
    pub fn touch(&mut self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        let position = self.recent.iter().position(|cached| *cached == prefix);
        match position {
            Some(position) => drop(self.recent.remove(position)),
            None => self.record_event(prefix, true),
        }
        self.recent.push_back(prefix);
        if self.recent.len() > MAX_PREFIXES {
            if let Some(evicted) = self.recent.pop_front() {
                self.record_event(evicted, false);
            }
        }
        position.is_some()
    }

    /// Returns the visible events after a sequence number.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(since, event)| event.sequence > sequence && since.elapsed() >= EVENT_DELAY)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn record_event(&mut self, prefix: u64, added: bool) {
        self.next_sequence += 1;
        if self.next_sequence.is_multiple_of(LOST_EVENT_INTERVAL) {
            return;
        }
        let event = CacheEvent { sequence: self.next_sequence, prefix, added };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
