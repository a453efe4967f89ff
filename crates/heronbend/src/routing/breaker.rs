//! Circuit breaker of a single backend.

use std::time::Duration;

use crate::Moment;

/// Number of consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 5;
/// Shortest backoff of an open breaker.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff of an open breaker.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Outcome of a request, as a signal of the backend's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The backend responded. This includes errors caused by the request itself.
    Answered,
    /// The backend was unreachable, closed the connection early or failed internally.
    Failed,
    /// The caller gave up, for example because its client disconnected.
    Cancelled,
}

/// Circuit breaker that opens after consecutive failures.
///
/// An open breaker rejects all requests until its backoff has passed, then admits one probe at a
/// time (half-open). Each failed probe doubles the backoff; a successful one closes the breaker.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    open_until: Option<Moment>,
    backoff: Duration,
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may be sent at `now`.
    pub fn allows(&self, now: Moment) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Records that a request is sent.
    pub fn started(&mut self) {
        self.probing = self.open_until.is_some();
    }

    /// Records the outcome of a request.
    pub fn finished(&mut self, now: Moment, outcome: RequestOutcome) {
        self.probing = false;
        match outcome {
            RequestOutcome::Answered => *self = Self::default(),
            RequestOutcome::Cancelled => {}
            RequestOutcome::Failed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURE_THRESHOLD {
                    self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
                    self.open_until = Some(now + self.backoff);
                }
            }
        }
    }
}
