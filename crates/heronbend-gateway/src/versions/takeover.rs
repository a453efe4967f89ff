//! Decides which daemon may take over the issuing of commands, without I/O.
//!
//! Only candidates, the first daemons in the takeover order, watch published versions and are told
//! of accepted commands. What any other daemon knows of them may be out of date, so it cannot tell
//! whether the holder is idle.

use std::cmp::Reverse;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::batch::ownership;
use crate::lease_state::LeaseName;

/// Number of daemons that are ready to take over the lease.
pub const CANDIDATES: usize = 3;
/// How long each daemon waits for the one ahead of it in the takeover order, if no command is
/// accepted.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2500);

/// A live daemon that may follow the lease's holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Successor {
    /// The daemon.
    pub node: NodeId,
    /// Whether it is shutting down.
    pub is_draining: bool,
}

/// The daemons that may take over, first in line first.
///
/// Draining daemons are left out. Each takes part for up to the limit of a shutdown, for which
/// nobody would follow a lost holder if all candidates drained.
#[derive(Debug, Clone)]
pub struct TakeoverOrder(Vec<NodeId>);

impl TakeoverOrder {
    /// Creates the order of all live daemons.
    pub fn new(live: impl IntoIterator<Item = Successor>) -> Self {
        let eligible = live.into_iter().filter(|successor| !successor.is_draining);
        let mut nodes: Vec<NodeId> = eligible.map(|successor| successor.node).collect();
        nodes.sort_by_cached_key(|node| {
            Reverse(ownership::rendezvous_weight(LeaseName::Orders.object_name(), node))
        });
        Self(nodes)
    }

    /// The daemons that are ready to take over.
    pub fn candidates(&self) -> &[NodeId] {
        &self.0[..self.0.len().min(CANDIDATES)]
    }

    /// Number of daemons ahead of `node`, not counting `holder`.
    pub fn position(&self, node: &NodeId, holder: Option<&NodeName>) -> usize {
        let ahead = self.0.iter().take_while(|other| *other != node);
        ahead.filter(|other| Some(&other.name) != holder).count()
    }
}

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
            _ if self.is_draining => return false,
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
