//! Decides whether a text in progress should migrate to a faster server, without I/O.
//!
//! A migration has a cost: the new server processes the prompt and all previous events again, the
//! text may wait to join a batch, and a connection is closed. Throughput samples are noisy, so
//! without hysteresis texts would migrate back and forth.

use std::time::Duration;

/// Minimum time that a migration has to save.
const MIN_GAIN: Duration = Duration::from_millis(200);
/// Minimum ratio of the time saved to the mean migration cost.
const GAIN_FACTOR: f64 = 1.5;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of the result deadline by which a text should complete. The remainder covers the reward
/// call, the commit and texts that are longer than estimated.
const DEADLINE_SHARE: f64 = 0.6;

/// Moving average of the cost of recent migrations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MigrationCost {
    mean: Option<Duration>,
}

impl MigrationCost {
    /// Records the time from sending a migrated text to its new server until the first event.
    pub fn record(&mut self, delay: Duration) {
        let mean = self.mean.unwrap_or(delay);
        self.mean = Some(mean.mul_f64(1.0 - SAMPLE_WEIGHT) + delay.mul_f64(SAMPLE_WEIGHT));
    }

    /// Whether saving `gain` justifies a migration.
    pub fn is_exceeded_by(&self, gain: Duration) -> bool {
        gain > self.min_gain()
    }

    /// Time that a migration has to save.
    pub fn min_gain(&self) -> Duration {
        self.mean.unwrap_or_default().mul_f64(GAIN_FACTOR).max(MIN_GAIN)
    }
}

/// Whether a text that needs `remaining` more time completes early enough on its current server.
/// `age` is the time since the job was first seen and `deadline` is relative to the same instant.
/// False without a deadline.
pub fn meets_deadline(age: Duration, remaining: Duration, deadline: Option<Duration>) -> bool {
    deadline.is_some_and(|deadline| age + remaining <= target_age(deadline))
}

/// Age of a job by which its texts should be complete.
pub fn target_age(deadline: Duration) -> Duration {
    deadline.mul_f64(DEADLINE_SHARE)
}
