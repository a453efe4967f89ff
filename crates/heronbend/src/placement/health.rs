//! Load and health of a server as observed by this daemon.
//!
//! Servers are not probed: the outcomes of real requests determine their health. Observations
//! decay, so that a server that was slow is tried again.

use std::time::Duration;

use crate::Moment;

/// Weight of a new sample in a server's mean latency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Half-life of the difference between a server's mean latency and that of the fastest server.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Backoff of a server that rejected a request.
const REJECTED_BACKOFF: Duration = Duration::from_millis(60);
/// Backoff of a server that reaches the failure threshold; doubled by each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff of a failing server.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Number of consecutive failures from which on a server is in backoff.
const FAILURE_THRESHOLD: u32 = 2;
/// Maximum number of times the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Outcome of an attempt on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// It responded after this time.
    Succeeded(Duration),
    /// It rejected the request without running it.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// Its process has exited.
    ServerExited,
    /// It broke off the response or timed out.
    Failed,
    /// The attempt was cancelled for other reasons.
    Abandoned,
}

/// Load and health of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Number of requests this daemon has in flight on the server.
    pub in_flight: u32,
    /// Number of those requests that may crash the server.
    pub suspects: u32,
    /// Mean time of a response, or of an event of a batch item, in milliseconds.
    pub mean_millis: Option<f64>,
    last_sample_at: Moment,
    consecutive_failures: u32,
    backoff_until: Moment,
    /// Whether the current backoff began because the process exited.
    exited: bool,
}

impl ServerHealth {
    /// Whether the server is in backoff.
    pub fn is_in_backoff(&self, now: Moment) -> bool {
        self.backoff_until > now
    }

    /// Whether the process is believed to have exited. This holds only during the backoff, since a
    /// server that stays registered may have been unreachable for another reason.
    pub fn has_exited(&self, now: Moment) -> bool {
        self.exited && self.is_in_backoff(now)
    }

    /// Mean latency in milliseconds, which decays towards `best`, the mean latency of the fastest
    /// server.
    pub fn decayed_mean_millis(&self, now: Moment, best: f64) -> f64 {
        let age = now.saturating_sub(self.last_sample_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / DECAY_HALF_LIFE.as_secs_f64());
        let known = self.mean_millis.unwrap_or(best);
        best + (known - best) * remaining
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now: Moment, outcome: AttemptOutcome) {
        self.exited = self.has_exited(now);
        match outcome {
            AttemptOutcome::Succeeded(latency) => {
                let millis = latency.as_secs_f64() * 1e3;
                let old = self.mean_millis.unwrap_or(millis);
                self.mean_millis = Some(old + (millis - old) * SAMPLE_WEIGHT);
                self.last_sample_at = now;
                self.consecutive_failures = 0;
                self.backoff_until = Moment::ZERO;
                self.exited = false;
            }
            AttemptOutcome::Rejected => self.set_backoff(now + REJECTED_BACKOFF),
            AttemptOutcome::Unreachable => self.record_failure(now, FAILURE_THRESHOLD),
            AttemptOutcome::Failed => self.record_failure(now, 1),
            // A replacement process is registered as another server.
            AttemptOutcome::ServerExited => {
                self.backoff_until = now + MAX_BACKOFF;
                self.exited = true;
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn record_failure(&mut self, now: Moment, count: u32) {
        self.consecutive_failures += count;
        if self.consecutive_failures >= FAILURE_THRESHOLD {
            let doublings =
                (self.consecutive_failures - FAILURE_THRESHOLD).min(MAX_BACKOFF_DOUBLINGS);
            self.set_backoff(now + (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF));
        }
    }

    /// Sets the backoff; never shortens that of an exited server.
    fn set_backoff(&mut self, until: Moment) {
        self.backoff_until = if self.exited { self.backoff_until.max(until) } else { until };
    }
}
