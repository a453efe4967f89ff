//! How fast a server makes the events of a text.

use std::time::Duration;

use heronbend::Moment;

/// Events after which a server's pace is judged anew.
const PACE_EVENTS: u64 = 8;
/// Time after which it is judged by fewer: a slow server takes long for that many.
const PACE_TIME: Duration = Duration::from_millis(420);
/// Events that it takes at least.
const MIN_PACE_EVENTS: u64 = 2;

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
        let time = now.saturating_sub(self.since);
        let is_slow = time >= PACE_TIME && self.events >= MIN_PACE_EVENTS;
        if self.events < PACE_EVENTS && !is_slow {
            return None;
        }
        let mean = time / u32::try_from(self.events).unwrap_or(u32::MAX);
        *self = Self::new(now);
        Some(mean)
    }
}
