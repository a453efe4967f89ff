//! Decides which daemon may take over the issuing of commands, without I/O.
//!
//! Only candidates, the first daemons in the takeover order, watch published versions and are told
//! of accepted commands. What any other daemon knows of them may be out of date, so it cannot tell
//! whether the holder is idle.

use std::time::Duration;

use heronbend::Moment;

/// Number of daemons that are ready to take over the lease.
pub const CANDIDATES: usize = 3;
/// How long each daemon waits for the one ahead of it in the takeover order, if no command is
/// accepted.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2500);

/// The lease's holder, as known to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// None is known.
    Unknown,
    /// This daemon.
    Local,
    /// Another daemon that is alive as far as this one knows.
    Reachable,
    /// Another daemon that is lost.
    Lost,
}

/// What this daemon knows when it decides whether to issue the commands that are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverView {
    /// The holder of the lease.
    pub holder: Holder,
    /// Whether this daemon is shutting down.
    pub is_draining: bool,
    /// Whether this daemon is among the first in the takeover order.
    pub is_candidate: bool,
    /// When this daemon's current watch of published versions was complete, if it has one.
    pub listed_at: Option<Moment>,
    /// Live daemons ahead of this one in the takeover order, not counting the holder.
    pub ahead: usize,
    /// When the holder was last seen to be active, or to have a reason not to be.
    pub last_activity: Option<Moment>,
}

impl TakeoverView {
    /// Whether this daemon should issue the commands that are due.
    ///
    /// The last holder continues while it is alive. Otherwise the candidates take over in a fixed
    /// order with increasing delays, since the first one may be partitioned from the store without
    /// the others knowing.
    pub fn is_my_turn(&self, now: Moment) -> bool {
        match self.holder {
            Holder::Local => return true,
            Holder::Reachable | Holder::Lost if self.is_draining => return false,
            Holder::Unknown | Holder::Reachable | Holder::Lost => {}
        }
        let ahead = self.ahead + usize::from(self.holder == Holder::Reachable);
        let delay = TAKEOVER_DELAY * u32::try_from(ahead).unwrap_or(u32::MAX);
        self.idle_time(now).is_some_and(|idle| idle >= delay)
    }

    /// Time during which this daemon would have known of an accepted command, or `None` if it
    /// would not know of one now.
    fn idle_time(&self, now: Moment) -> Option<Duration> {
        let listed_at = self.listed_at.filter(|_| self.is_candidate)?;
        Some(now.saturating_sub(self.last_activity.unwrap_or_default().max(listed_at)))
    }
}
