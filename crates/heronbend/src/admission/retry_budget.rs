//! Token bucket that limits retries to a fraction of requests, so that a failing zone causes no
//! retry storm.

use std::time::Duration;

use rand::Rng;

/// Capacity of the bucket, in retries.
const MAX_TOKENS: f64 = 20.0;
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Token bucket to which each new request adds a fraction of a token, and from which each retry
/// takes one.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of a new request; `retry_ratio` is the number of retries allowed per
    /// request.
    pub fn deposit(&mut self, retry_ratio: f64) {
        self.tokens = (self.tokens + retry_ratio).min(MAX_TOKENS);
    }

    /// Takes the token for one retry. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The budget's token of a request's next retry, which the request holds while the retry waits for
/// a server.
#[derive(Debug, Clone, Default)]
pub struct RetryToken {
    is_held: bool,
}

impl RetryToken {
    /// Takes a token from the budget unless one is held. Returns whether one is held now.
    pub fn take(&mut self, budget: &mut RetryBudget) -> bool {
        self.is_held = self.is_held || budget.withdraw();
        self.is_held
    }

    /// Uses the token for an attempt.
    pub fn spend(&mut self) {
        self.is_held = false;
    }
}

/// Delay before retry number `retry`, counted from 1: capped exponential backoff with full jitter.
pub fn backoff(retry: u32, random: &mut impl Rng) -> Duration {
    let uncapped = BACKOFF_BASE.saturating_mul(1 << retry.saturating_sub(1).min(16));
    uncapped.min(MAX_BACKOFF).mul_f64(random.random::<f64>())
}
