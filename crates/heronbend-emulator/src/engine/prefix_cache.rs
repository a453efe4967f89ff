//! A prefix cache of limited size, and its late events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Prefixes that fit.
const CAPACITY: usize = 64;
/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;
/// How late an event shows.
const EVENT_LAG: Duration = Duration::from_millis(500);
/// One event in this many is never shown.
const GAP_EVERY: u64 = 10;
const KEPT_EVENTS: usize = 1000;

/// A change of the cache.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Whether it came in or went out.
    pub added: bool,
}

/// Least recently used prefixes go first.
#[derive(Default)]
pub struct PrefixCache {
    recent: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    /// Looks a prompt's prefix up and keeps it; whether it was there.
    pub fn touch(&mut self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        let position = self.recent.iter().position(|known| *known == prefix);
        match position {
            Some(position) => drop(self.recent.remove(position)),
            None => self.note(prefix, true),
        }
        self.recent.push_back(prefix);
        if self.recent.len() > CAPACITY {
            if let Some(evicted) = self.recent.pop_front() {
                self.note(evicted, false);
            }
        }
        position.is_some()
    }

    /// Events after a sequence number that are old enough to show.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(since, event)| event.sequence > sequence && since.elapsed() >= EVENT_LAG)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn note(&mut self, prefix: u64, added: bool) {
        self.next_sequence += 1;
        if self.next_sequence.is_multiple_of(GAP_EVERY) {
            return;
        }
        let event = CacheEvent { sequence: self.next_sequence, prefix, added };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
