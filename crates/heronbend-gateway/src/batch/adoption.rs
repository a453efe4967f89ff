//! When a daemon takes over the job of another one that is lost to it.
//!
//! Views of who is alive differ from daemon to daemon, the more the more daemons there are. A job that
//! is taken from an owner that is well is run twice for a time, so an owner that only stopped
//! answering probes is asked before its job is taken.

use std::time::Duration;

use crate::peers::PeerStatus;

/// Time that each daemon in line for a lost daemon's job is given before the next one takes it over.
const LINE_WAIT: Duration = Duration::from_millis(800);
/// Time after which the owner of a job is taken for lost if nothing was heard of it: it may have
/// started a moment ago, and the rumour of it takes some periods of the failure detector.
const UNKNOWN_WAIT: Duration = Duration::from_secs(4);

/// Why a job changes hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Its owner has not answered for some time.
    Silent,
    /// Its owner's run has certainly ended.
    Ended,
    /// Nobody has told of its owner.
    Unknown,
    /// It was run by an earlier run of this daemon.
    EarlierRun,
    /// The daemon that was to run it refused.
    Refused,
}

impl Reason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
            Self::EarlierRun => "earlier_run",
            Self::Refused => "refused",
        }
    }

    /// Whether the owner may be well, and is to be asked first.
    pub fn may_be_wrong(self) -> bool {
        self == Self::Silent
    }
}

/// Why the daemon at a place in line, counted from 0, takes a job over whose owner has been lost to it
/// for so long, if it is its turn. Those behind the first wait for it: it may not know the job yet, or
/// may be cut off from the store without the others knowing.
pub fn reason(owner: PeerStatus, lost_for: Duration, place: usize) -> Option<Reason> {
    let (reason, wait) = match owner {
        PeerStatus::Alive => return None,
        PeerStatus::Unreachable => (Reason::Silent, Duration::ZERO),
        PeerStatus::Terminated => (Reason::Ended, Duration::ZERO),
        PeerStatus::Unknown => (Reason::Unknown, UNKNOWN_WAIT),
    };
    let turn = LINE_WAIT.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX));
    (lost_for >= wait.saturating_add(turn)).then_some(reason)
}
