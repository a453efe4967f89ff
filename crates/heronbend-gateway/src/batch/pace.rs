//! How fast a server makes the events of a text.

use std::time::Duration;

use heronbend::Moment;

/// Events after which a server's pace is judged anew.
const PACE_EVENTS: u64 = 8;

/// Measures the time that a server takes for an event.
pub struct PaceMeter {
    since: Moment,
    events: u64,
}

impl PaceMeter {
    /// A meter that begins now.
    pub fn new(now: Moment) -> Self {
        Self { since: now, events: 0 }
    }

    /// The mean time for an event, once enough have come.
    pub fn add(&mut self, now: Moment, events: u64) -> Option<Duration> {
        self.events += events;
        if self.events < PACE_EVENTS {
            return None;
        }
        let mean = now.saturating_sub(self.since) / u32::try_from(self.events).unwrap_or(u32::MAX);
        *self = Self::new(now);
        Some(mean)
    }
}
