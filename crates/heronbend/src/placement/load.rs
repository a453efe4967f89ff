//! What this daemon sees of a server's load and health.
//!
//! No server is probed: latencies, refusals and failures of real requests decide. What is known of a
//! server fades, so that one that was slow is tried again.

use std::time::Duration;

use crate::Moment;

/// Weight of a new sample in a server's mean latency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time after which half of the difference to the fastest server is forgotten.
const FADE: Duration = Duration::from_secs(3);
/// Time for which a server that refused is avoided: its queue moves within that.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a server that failed is avoided at first; doubled by each further failure.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which a server that fails is avoided.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Failures in a row from which on a server is avoided; a single lost answer says little.
const FAILURES_TO_AVOID: u32 = 2;
/// Doublings after which the pause is the longest.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

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
pub struct Load {
    /// Requests that this daemon has under way there.
    pub in_flight: u32,
    /// Those of them that may end the server.
    pub suspects: u32,
    /// Mean time of an answer, or of an event of a text, in milliseconds.
    pub mean_millis: Option<f64>,
    sampled: Moment,
    failures: u32,
    avoid_until: Moment,
    /// Whether it is avoided since its process was found to have ended.
    is_ended: bool,
}

impl Load {
    /// Whether the server is being avoided.
    pub fn is_in_backoff(&self, now: Moment) -> bool {
        self.avoid_until > now
    }

    /// Whether its process was found to have ended. That is believed for a while only: an entry that stays
    /// may be of a server that could not be reached for another reason.
    pub fn has_ended(&self, now: Moment) -> bool {
        self.is_ended && self.is_in_backoff(now)
    }

    /// Mean time in milliseconds. What is known fades towards `best`, the mean of the fastest server.
    pub fn faded_millis(&self, now: Moment, best: f64) -> f64 {
        let age = now.saturating_sub(self.sampled).as_secs_f64();
        let kept = 0.5_f64.powf(age / FADE.as_secs_f64());
        let known = self.mean_millis.unwrap_or(best);
        best + (known - best) * kept
    }

    /// Notes an outcome.
    pub fn record_outcome(&mut self, now: Moment, end: AttemptOutcome) {
        self.is_ended = self.has_ended(now);
        match end {
            AttemptOutcome::Succeeded(latency) => {
                let millis = latency.as_secs_f64() * 1e3;
                let old = self.mean_millis.unwrap_or(millis);
                self.mean_millis = Some(old + (millis - old) * SAMPLE_WEIGHT);
                self.sampled = now;
                self.failures = 0;
                self.avoid_until = Moment::ZERO;
                self.is_ended = false;
            }
            AttemptOutcome::Rejected => self.avoid(now + REFUSED_PAUSE),
            AttemptOutcome::Unreachable => self.fail(now, FAILURES_TO_AVOID),
            AttemptOutcome::Failed => self.fail(now, 1),
            // What starts in its place is another server.
            AttemptOutcome::ServerExited => {
                self.avoid_until = now + LONGEST_PAUSE;
                self.is_ended = true;
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn fail(&mut self, now: Moment, weight: u32) {
        self.failures += weight;
        if self.failures >= FAILURES_TO_AVOID {
            let doublings = (self.failures - FAILURES_TO_AVOID).min(MAX_PAUSE_DOUBLINGS);
            self.avoid(now + (FAILED_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE));
        }
    }

    /// Avoids the server until then; one that has ended for no less than it is already.
    fn avoid(&mut self, until: Moment) {
        self.avoid_until = if self.is_ended { self.avoid_until.max(until) } else { until };
    }
}
