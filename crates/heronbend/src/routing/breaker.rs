//! A circuit breaker for one back end.

use std::time::Duration;

use crate::Moment;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
const FIRST_OPEN: Duration = Duration::from_millis(500);
const LONGEST_OPEN: Duration = Duration::from_secs(10);

/// How an attempt ended, as far as the back end's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The back end answered; errors of the request itself count as answers.
    Answered,
    /// The back end could not be reached, broke off or failed by itself.
    Failed,
    /// The attempt was given up for reasons of its own, such as a client that went away.
    Cancelled,
}

/// Stops sending to a back end that fails, and probes it with one request at a time.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Option<Moment>,
    open_for: Duration,
    probing: bool,
}

impl Breaker {
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Moment) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Notes that a request is being sent.
    pub fn started(&mut self) {
        self.probing = self.open_until.is_some();
    }

    /// Notes how a request ended.
    pub fn finished(&mut self, now: Moment, outcome: RequestOutcome) {
        self.probing = false;
        match outcome {
            RequestOutcome::Answered => *self = Self::default(),
            RequestOutcome::Cancelled => {}
            RequestOutcome::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_OPEN {
                    self.open_for = (self.open_for * 2).clamp(FIRST_OPEN, LONGEST_OPEN);
                    self.open_until = Some(now + self.open_for);
                }
            }
        }
    }
}
