//! Daemons among themselves: who is alive, hints by datagram, and reads of another's jobs.
//!
//! Nothing here carries safety. A daemon that hears nobody still serves; the store decides who owns
//! a job and who may give orders.

pub mod client;
pub mod duty;
pub mod messages;
pub mod store_relay;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::{NodeId, NodeName};
use heronbend::membership::{Liveness, Member};
use heronbend::Moment;
use smol::channel::{bounded, Receiver, Sender};

pub use messages::{Hint, PeerReply, PeerRequest};

/// Time after the start in which a daemon does not yet judge who is alive.
pub const INTRODUCTION: Duration = Duration::from_millis(1200);
/// Time after the start in which a daemon has heard of every other that is alive.
const ALL_HEARD_OF: Duration = Duration::from_secs(4);
/// Hints that may wait to be sent.
const HINT_CAPACITY: usize = 256;

/// What this daemon knows of the others.
pub struct Peers {
    members: RefCell<Vec<Member>>,
    /// Daemons that failed to tell news of the store, and until when they are not asked.
    untold: RefCell<HashMap<NodeId, Moment>>,
    hints: Sender<Hint>,
    hints_to_send: Receiver<Hint>,
    /// Notified when a member's state has changed.
    pub changed: Event,
}

impl Default for Peers {
    fn default() -> Self {
        let (hints, hints_to_send) = bounded(HINT_CAPACITY);
        let (members, untold) = (RefCell::default(), RefCell::default());
        Self { members, untold, hints, hints_to_send, changed: Event::new() }
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

    /// The zones of the other daemons that are alive.
    pub fn zones(&self) -> BTreeSet<String> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.map(|member| member.zone.clone()).collect()
    }

    /// The other daemons of a zone that are alive.
    pub fn alive_in(&self, zone: &str) -> Vec<NodeId> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.filter(|member| member.zone == zone).map(|member| member.id.clone()).collect()
    }

    /// Notes that a daemon failed to tell news of the store: it is not asked for a time.
    pub fn note_failed_to_tell(&self, now: Moment, rest: Duration, node: &NodeId) {
        let mut untold = self.untold.borrow_mut();
        untold.retain(|_, until| now < *until);
        untold.insert(node.clone(), now + rest);
    }

    /// Whether a daemon has failed to tell news a moment ago.
    pub fn has_failed_to_tell(&self, now: Moment, node: &NodeId) -> bool {
        self.untold.borrow().get(node).is_some_and(|until| now < *until)
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self) -> usize {
        let members = self.members.borrow();
        members.iter().filter(|member| member.liveness == Liveness::Alive).count()
    }

    /// Whether this very run of a daemon has certainly ended or cannot be reached. A daemon that
    /// nothing is known of is lost once this one has had time to hear of all others.
    pub fn is_lost(&self, now: Moment, node: &NodeId) -> bool {
        let members = self.members.borrow();
        match members.iter().find(|member| member.id.name == node.name) {
            Some(member) if member.id == *node => member.liveness > Liveness::Suspect,
            Some(member) => member.id.incarnation > node.incarnation,
            None => now >= ALL_HEARD_OF,
        }
    }

    /// Whether no run of a daemon can be reached.
    pub fn is_name_lost(&self, now: Moment, name: &NodeName) -> bool {
        let members = self.members.borrow();
        match members.iter().find(|member| member.id.name == *name) {
            Some(member) => member.liveness > Liveness::Suspect,
            None => now >= ALL_HEARD_OF,
        }
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
