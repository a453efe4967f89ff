//! How fast a server makes the events of a text.

use std::time::Duration;

use heronbend::Moment;

/// Events after which a server's pace is judged anew.
const SAMPLE_EVENTS: u64 = 8;
/// Time after which it is judged by fewer: a slow server takes long for that many.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(420);
/// Events that it takes at least.
const MIN_SAMPLE_EVENTS: u64 = 2;

/// Measures the time that a server takes for an event.
pub struct ThroughputMeter {
    started: Moment,
    events: u64,
}

impl ThroughputMeter {
    /// A meter that begins now.
    pub fn new(now: Moment) -> Self {
        Self { started: now, events: 0 }
    }

    /// The mean time for an event, once enough have come.
    pub fn record(&mut self, now: Moment, events: u64) -> Option<Duration> {
        self.events += events;
        let elapsed = now.saturating_sub(self.started);
        let is_slow = elapsed >= MAX_SAMPLE_TIME && self.events >= MIN_SAMPLE_EVENTS;
        if self.events < SAMPLE_EVENTS && !is_slow {
            return None;
        }
        let mean = elapsed / u32::try_from(self.events).unwrap_or(u32::MAX);
        *self = Self::new(now);
        Some(mean)
    }
}
