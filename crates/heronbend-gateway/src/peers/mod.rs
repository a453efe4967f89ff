//! Daemons among themselves: who is alive, hints by datagram, and reads of another's jobs.
//!
//! Nothing here carries safety. A daemon that hears nobody still serves; the store decides who owns
//! a job and who may give orders.

pub mod client;
pub mod duty;
pub mod messages;

use std::cell::RefCell;
use std::net::SocketAddr;

use event_listener::Event;
use heronbend::identity::{NodeId, NodeName};
use heronbend::membership::{Liveness, Member};
use smol::channel::{bounded, Receiver, Sender};

pub use messages::{Hint, PeerReply, PeerRequest};

/// Hints that may wait to be sent.
const HINT_CAPACITY: usize = 256;

/// What this daemon knows of the others.
pub struct Peers {
    members: RefCell<Vec<Member>>,
    hints: Sender<Hint>,
    hints_to_send: Receiver<Hint>,
    /// Notified when a member's state has changed.
    pub changed: Event,
}

impl Default for Peers {
    fn default() -> Self {
        let (hints, hints_to_send) = bounded(HINT_CAPACITY);
        Self { members: RefCell::default(), hints, hints_to_send, changed: Event::new() }
    }
}

impl Peers {
    /// Sends a hint to all members that are alive. One that does not fit is dropped.
    pub fn tell_all(&self, hint: Hint) {
        let _ = self.hints.try_send(hint);
    }

    /// The other daemons that are alive, by what is known here.
    pub fn alive(&self) -> Vec<NodeId> {
        self.members
            .borrow()
            .iter()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Whether this very run of a daemon may be alive.
    pub fn may_be_alive(&self, node: &NodeId) -> bool {
        self.members
            .borrow()
            .iter()
            .any(|member| member.id == *node && member.liveness <= Liveness::Suspect)
    }

    /// Whether some run of a daemon may be alive.
    pub fn is_name_alive(&self, name: &NodeName) -> bool {
        self.members
            .borrow()
            .iter()
            .any(|member| member.id.name == *name && member.liveness <= Liveness::Suspect)
    }

    /// Where a daemon takes its peers' calls, if it may be alive.
    pub fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.id.name == node.name)?;
        (member.liveness <= Liveness::Suspect).then_some(member.address)
    }

    /// Takes over the detector's view.
    pub fn publish(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
        self.changed.notify(usize::MAX);
    }
}
