//! What this daemon sees of a server's load and health.
//!
//! No server is probed: latencies, refusals and failures of real requests decide. What is known of a
//! server fades, so that one that was slow is tried again.

use std::time::Duration;

use crate::Moment;

/// Weight of a new sample in a server's mean latency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time after which half of the difference to the fastest server is forgotten.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which a server that refused is avoided: its queue moves within that.
const REJECTED_BACKOFF: Duration = Duration::from_millis(60);
/// Time for which a server that failed is avoided at first; doubled by each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time for which a server that fails is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Failures in a row from which on a server is avoided; a single lost answer says little.
const FAILURE_THRESHOLD: u32 = 2;
/// Doublings after which the pause is the longest.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// It answered after so long.
    Succeeded(Duration),
    /// It refused without running the request.
    Rejected,
    /// It could not be reached at all.
    Unreachable,
    /// It is gone: its process has ended.
    ServerExited,
    /// It broke off, or did not answer in time.
    Failed,
    /// The attempt was given up for other reasons.
    Abandoned,
}

/// Load and health of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Requests that this daemon has under way there.
    pub in_flight: u32,
    /// Those of them that may end the server.
    pub suspects: u32,
    /// Mean time of an answer, or of an event of a text, in milliseconds.
    pub mean_millis: Option<f64>,
    last_sample_at: Moment,
    consecutive_failures: u32,
    backoff_until: Moment,
    /// Whether it is avoided since its process was found to have ended.
    has_exited_flag: bool,
}

impl ServerHealth {
    /// Whether the server is being avoided.
    pub fn is_in_backoff(&self, now: Moment) -> bool {
        self.backoff_until > now
    }

    /// Whether its process was found to have ended. That is believed for a while only: an entry that stays
    /// may be of a server that could not be reached for another reason.
    pub fn has_exited(&self, now: Moment) -> bool {
        self.has_exited_flag && self.is_in_backoff(now)
    }

    /// Mean time in milliseconds. What is known fades towards `best`, the mean of the fastest server.
    pub fn decayed_mean_millis(&self, now: Moment, best: f64) -> f64 {
        let age = now.saturating_sub(self.last_sample_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / DECAY_HALF_LIFE.as_secs_f64());
        let known = self.mean_millis.unwrap_or(best);
        best + (known - best) * remaining
    }

    /// Notes an outcome.
    pub fn record_outcome(&mut self, now: Moment, end: AttemptOutcome) {
        self.has_exited_flag = self.has_exited(now);
        match end {
            AttemptOutcome::Succeeded(latency) => {
                let millis = latency.as_secs_f64() * 1e3;
                let old = self.mean_millis.unwrap_or(millis);
                self.mean_millis = Some(old + (millis - old) * SAMPLE_WEIGHT);
                self.last_sample_at = now;
                self.consecutive_failures = 0;
                self.backoff_until = Moment::ZERO;
                self.has_exited_flag = false;
            }
            AttemptOutcome::Rejected => self.set_backoff(now + REJECTED_BACKOFF),
            AttemptOutcome::Unreachable => self.record_failure(now, FAILURE_THRESHOLD),
            AttemptOutcome::Failed => self.record_failure(now, 1),
            // What starts in its place is another server.
            AttemptOutcome::ServerExited => {
                self.backoff_until = now + MAX_BACKOFF;
                self.has_exited_flag = true;
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

    /// Avoids the server until then; one that has ended for no less than it is already.
    fn set_backoff(&mut self, until: Moment) {
        self.backoff_until =
            if self.has_exited_flag { self.backoff_until.max(until) } else { until };
    }
}
