//! Bounds retries to a share of fresh requests, so that a failing zone causes no storm.

use std::time::Duration;

use rand::Rng;

/// Retries that may be saved up while nothing fails.
const MAX_SAVED: f64 = 20.0;
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const BACKOFF_CAP: Duration = Duration::from_millis(500);

/// A bucket that each fresh request fills by the budget's share and each retry empties by one.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Notes a fresh request; `share` is the number of retries it pays for.
    pub fn deposit(&mut self, share: f64) {
        self.saved = (self.saved + share).min(MAX_SAVED);
    }

    /// Takes one retry out, if one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// How long to wait before retry number `retry`, counted from 1: capped exponential, full jitter.
pub fn backoff(retry: u32, random: &mut impl Rng) -> Duration {
    let doubled = BACKOFF_BASE.saturating_mul(1 << retry.saturating_sub(1).min(16));
    doubled.min(BACKOFF_CAP).mul_f64(random.random::<f64>())
}
