//! Measures how fast a server generates the events of a text.

use std::time::Duration;

use heronbend::Moment;

/// Number of events in a full sample.
const SAMPLE_EVENTS: u64 = 8;
/// Time after which a sample is closed early, so that slow servers are detected soon.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(420);
/// Minimum number of events in a sample.
const MIN_SAMPLE_EVENTS: u64 = 2;

/// Measures the mean time between events in consecutive samples.
pub struct ThroughputMeter {
    started: Moment,
    events: u64,
}

impl ThroughputMeter {
    /// Starts a sample at `now`.
    pub fn new(now: Moment) -> Self {
        Self { started: now, events: 0 }
    }

    /// Records new events. Returns the mean time per event when a sample is complete.
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
