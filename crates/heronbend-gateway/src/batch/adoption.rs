//! Decides when a daemon takes over the job of a lost owner, without I/O.
//!
//! Membership views differ between daemons. Adopting the job of a healthy owner would run it twice
//! for a while, so an owner that merely stopped answering probes is asked first.

use std::time::Duration;

use crate::peers::PeerStatus;

/// Time that each daemon in the takeover order has before it is the next one's turn.
const TURN_DELAY: Duration = Duration::from_millis(800);
/// Time after which an owner that is not in the membership view counts as lost. Gossip about a
/// newly started daemon takes several probe periods to spread.
const UNKNOWN_OWNER_GRACE: Duration = Duration::from_secs(4);

/// Reason for adopting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdoptionReason {
    /// The owner has stopped answering probes.
    Silent,
    /// The owner's incarnation has ended.
    Ended,
    /// The owner is not in the membership view.
    Unknown,
    /// The owner is an earlier incarnation of this daemon.
    EarlierRun,
    /// The selected owner refused the job.
    Refused,
    /// The outcome of an earlier adoption by this daemon is unknown.
    OutcomeUnknown,
}

impl AdoptionReason {
    /// The reason as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
            Self::EarlierRun => "earlier_run",
            Self::Refused => "refused",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Whether the owner may be healthy and has to be asked first.
    pub fn needs_confirmation(self) -> bool {
        self == Self::Silent
    }
}

/// Returns why the daemon at `position` in the takeover order should adopt a job, or `None` if it
/// is not its turn. `lost_for` is the time since it first saw the owner as lost.
///
/// Later daemons wait in case the first does not know the job or cannot reach the store.
pub fn reason_for_position(
    owner: PeerStatus,
    lost_for: Duration,
    position: usize,
) -> Option<AdoptionReason> {
    let (reason, grace) = match owner {
        PeerStatus::Alive => return None,
        PeerStatus::Unreachable => (AdoptionReason::Silent, Duration::ZERO),
        PeerStatus::Terminated => (AdoptionReason::Ended, Duration::ZERO),
        PeerStatus::Unknown => (AdoptionReason::Unknown, UNKNOWN_OWNER_GRACE),
    };
    let turn_delay = TURN_DELAY.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX));
    (lost_for >= grace.saturating_add(turn_delay)).then_some(reason)
}
