//! How long a call waits for a server, and when it is rejected.
//!
//! A call waits only while a server may become available soon: one that rejected it may have a free
//! slot, and one that is missing may register again. Otherwise it is rejected early, so that its
//! caller can retry elsewhere in time.

use std::time::Duration;

use super::eligibility::Exclusion;
use super::placer::Choice;
use crate::Moment;

/// Interval between attempts to place a waiting call. Busy servers answer some hundredths of a
/// second apart, so that a slot becomes free about as often.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Fraction of the target latency that a call waits if it has not been sent to any server.
const UNSENT_WAIT_FRACTION: f64 = 0.2;
/// Fraction of the target latency that a call waits if servers rejected it or have just exited,
/// since these are expected to recover soon.
const SENT_WAIT_FRACTION: f64 = 1.0;
/// How long a call waits for the successor of an exited server. A process restarts within a second,
/// and its registration takes some hundred milliseconds to arrive.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(1500);
/// Maximum fraction of its time that a call waits for a successor, so that its caller has time for
/// another attempt.
const MAX_SUCCESSOR_WAIT_FRACTION: f64 = 0.4;
/// Retry-after of a rejected call if it is unknown when a server will be available.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry-after of a call whose servers are evacuated, outside its allowed regions, or reduced to
/// the last healthy one, which a call cannot wait out.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The wait of a call for a server.
#[derive(Debug, Clone, Copy)]
pub struct WaitState {
    /// When the wait began.
    pub since: Moment,
    /// Deadline of the call.
    pub deadline: Moment,
    /// Target latency of the call.
    pub target: Duration,
    /// Whether the call has been sent to a server before.
    pub was_sent: bool,
}

/// Rejection of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The most frequent reason why servers are excluded; `None` if there are no servers.
    pub reason: Option<Exclusion>,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// What to do with a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a server.
    Place(Choice),
    /// Try to place it again after this delay.
    Wait(Duration),
    /// Reject it.
    Reject(Rejection),
}

/// Decides whether a call that cannot be placed now waits or is rejected. `reason` is the most
/// frequent reason why servers are excluded.
pub fn wait_or_reject(now: Moment, wait: &WaitState, reason: Option<Exclusion>) -> Decision {
    let is_transient = !matches!(
        reason,
        Some(Exclusion::Evacuated | Exclusion::RegionNotAllowed | Exclusion::LastHealthy)
    );
    if !is_transient {
        return Decision::Reject(Rejection { reason, retry_after: LONG_RETRY_AFTER });
    }
    let give_up_at = (wait.since + max_wait(wait, reason)).min(wait.deadline);
    if now >= give_up_at {
        return Decision::Reject(Rejection { reason, retry_after: DEFAULT_RETRY_AFTER });
    }
    Decision::Wait(RETRY_INTERVAL)
}

/// How long a call waits at most if servers are excluded for `reason`.
fn max_wait(wait: &WaitState, reason: Option<Exclusion>) -> Duration {
    if reason == Some(Exclusion::ServerExited) {
        let time = wait.deadline.saturating_sub(wait.since);
        let for_successor = SUCCESSOR_WAIT.min(time.mul_f64(MAX_SUCCESSOR_WAIT_FRACTION));
        return for_successor.max(wait.target.mul_f64(SENT_WAIT_FRACTION));
    }
    let fraction = if wait.was_sent { SENT_WAIT_FRACTION } else { UNSENT_WAIT_FRACTION };
    wait.target.mul_f64(fraction)
}
