//! How long a call waits for a server, and when it is refused.
//!
//! A call that cannot be served is refused at once: its caller may come back elsewhere, and a request
//! that waits here until its time is over is lost. It waits only for what may change in time: a server
//! that refused may have a place a moment later, one whose entry is missing may be listed again.

use std::time::Duration;

use super::eligibility::Exclusion;
use super::placer::Choice;
use crate::Moment;

/// Pause before servers that refused are asked again. Answers of busy servers come some hundredths of
/// a second apart, so that a place becomes free about as often.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(15);
/// Share of the target latency that a call which was offered to nobody waits for a server to be
/// listed: entries that lapse by mistake are back within a second, later than that its caller had
/// better come back.
const UNSENT_WAIT_FRACTION: f64 = 0.2;
/// The same for a call that servers refused, or whose servers ended a moment ago: these start anew within
/// a second or so. After its target an answer is worth little.
const SENT_WAIT_FRACTION: f64 = 1.0;
/// When a refused caller is to come back if nothing is known of when a server will be free.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The same where an operator has taken all servers out, or all but one are gone: that takes longer
/// than a call may wait.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a call has waited, and how long it may.
#[derive(Debug, Clone, Copy)]
pub struct WaitState {
    /// When its wait for a server began.
    pub since: Moment,
    /// When its caller's time is over.
    pub deadline: Moment,
    /// Time within which an answer is of full value.
    pub target: Duration,
    /// Whether a server has been sent it.
    pub was_sent: bool,
}

/// Why a call is refused, and when its caller is to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// What keeps most of the servers from it; nothing where there are none.
    pub reason: Option<Exclusion>,
    /// Time until it is worth coming back.
    pub retry_after: Duration,
}

/// What becomes of a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to a server.
    Place(Choice),
    /// It looks for a server again after so long.
    Wait(Duration),
    /// It is refused.
    Reject(Rejection),
}

/// What becomes of a call that no server can be sent now, where `reason` keeps it from most of them.
pub fn wait_or_reject(now: Moment, wait: &WaitState, reason: Option<Exclusion>) -> Decision {
    let is_transient = !matches!(
        reason,
        Some(Exclusion::Evacuated | Exclusion::RegionNotAllowed | Exclusion::LastHealthy)
    );
    if !is_transient {
        return Decision::Reject(Rejection { reason, retry_after: LONG_RETRY_AFTER });
    }
    let may_recover_soon = wait.was_sent || reason == Some(Exclusion::ServerExited);
    let fraction = if may_recover_soon { SENT_WAIT_FRACTION } else { UNSENT_WAIT_FRACTION };
    let give_up_at = (wait.since + wait.target.mul_f64(fraction)).min(wait.deadline);
    if now >= give_up_at {
        return Decision::Reject(Rejection { reason, retry_after: DEFAULT_RETRY_AFTER });
    }
    Decision::Wait(RETRY_INTERVAL)
}
