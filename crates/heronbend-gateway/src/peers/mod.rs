//! Daemons among themselves: who is alive, hints by datagram, and reads of another's jobs.
//!
//! Nothing here carries safety. A daemon that hears nobody still serves; the store decides who owns
//! a job and who may give orders.

pub mod bootstrap;
pub mod client;
pub mod membership;
pub mod membership_log;
pub mod messages;
pub mod store_messages;
pub mod store_relay;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::{NodeId, NodeName};
use heronbend::membership::{Candidate, Liveness, Member};
use heronbend::Moment;
use smol::channel::{bounded, Receiver, Sender};

use crate::homes;

pub use messages::{Hint, PeerReply, PeerRequest};

/// Time after the start in which a daemon does not yet judge who is alive.
pub const INTRODUCTION: Duration = Duration::from_millis(1200);
/// Time after the start in which a daemon has heard of every other that is alive.
const ALL_HEARD_OF: Duration = Duration::from_secs(4);
/// Commands that may wait for the task that drives the failure detector.
const COMMAND_CAPACITY: usize = 256;

/// What the task that drives the failure detector is asked to do.
enum Command {
    /// Send a hint to the other daemons.
    Tell(Hint),
    /// Send a hint to some daemons.
    TellSome(Vec<NodeId>, Hint),
    /// Take in members that another daemon knows.
    Learn(Vec<Member>),
    /// Make known that this daemon stops; the sender is dropped once that is sent.
    Leave(Sender<()>),
}

/// Why a daemon told no news of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Untelling {
    /// It did not answer, or does not watch the store.
    Silent,
    /// It watches the store, and has not heard from it lately.
    Uninformed,
}

#[derive(Debug, Clone, Copy)]
struct Untold {
    /// Until when it is not asked again.
    until: Moment,
    why: Untelling,
}

/// What is believed of the very run of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may be alive.
    Alive,
    /// It did not refute a suspicion: it has ended, is frozen or cannot be reached.
    Silent,
    /// It has certainly ended: it said so, or a later run of the daemon is known.
    Ended,
    /// Nothing is known of the daemon. It may have started a moment ago.
    Unknown,
}

/// What this daemon knows of the others.
pub struct Peers {
    members: RefCell<Vec<Member>>,
    version: Cell<u64>,
    /// Daemons that failed to tell news of the store.
    untold: RefCell<HashMap<NodeId, Untold>>,
    commands: Sender<Command>,
    commands_to_do: Receiver<Command>,
    /// What a peer told this daemon when it started.
    pub introduction: bootstrap::Introduction,
    /// Notified when a member's state has changed.
    pub changed: Event,
    /// Notified when others took this daemon for lost.
    pub was_doubted: Event,
}

impl Default for Peers {
    fn default() -> Self {
        let (commands, commands_to_do) = bounded(COMMAND_CAPACITY);
        Self {
            members: RefCell::default(),
            version: Cell::default(),
            untold: RefCell::default(),
            commands,
            commands_to_do,
            introduction: bootstrap::Introduction::default(),
            changed: Event::new(),
            was_doubted: Event::new(),
        }
    }
}

impl Peers {
    /// Sends a hint to the other daemons. One that does not fit is dropped: whatever it tells is
    /// found in the store as well.
    pub fn tell_all(&self, hint: Hint) {
        self.command(Command::Tell(hint));
    }

    /// Sends a hint to some daemons.
    pub fn tell(&self, to: Vec<NodeId>, hint: Hint) {
        self.command(Command::TellSome(to, hint));
    }

    fn command(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            log::warn!("event=hint_dropped waiting={COMMAND_CAPACITY}");
        }
    }

    /// Takes in members that another daemon knows.
    pub async fn learn(&self, members: Vec<Member>) {
        // The receiver lives as long as this.
        let _ = self.commands.send(Command::Learn(members)).await;
    }

    /// Makes known that this daemon stops.
    pub async fn leave(&self) {
        let (sent, told) = bounded(1);
        let _ = self.commands.send(Command::Leave(sent)).await;
        // Ends with an error once the sender is dropped.
        let _ = told.recv().await;
    }

    /// All other daemons, as they are known here.
    pub fn all(&self) -> Vec<Member> {
        self.members.borrow().clone()
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

    /// The other daemons that are alive, as ones that may run jobs with these homes.
    pub fn alive_candidates(&self, homes: Option<&BTreeSet<String>>) -> Vec<Candidate> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        let alive = alive.filter(|member| homes::allow(homes, &member.region));
        alive.map(Candidate::from).collect()
    }

    /// The other daemons of a region that are alive.
    pub fn alive_in_region(&self, region: &str) -> Vec<NodeId> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.filter(|member| member.region == region).map(|member| member.id.clone()).collect()
    }

    /// The other daemons of a zone that may have a place in its tree. Suspects keep theirs: most refute
    /// the suspicion, and whoever follows them goes on elsewhere as soon as they do not answer.
    pub fn overlay_candidates(&self, zone: &str) -> Vec<Candidate> {
        let members = self.members.borrow();
        let may_live = members.iter().filter(|member| member.liveness <= Liveness::Suspect);
        may_live.filter(|member| member.zone == zone).map(Candidate::from).collect()
    }

    /// Grows with each change of what is known of the others.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Notes that a daemon failed to tell news of the store: it is not asked for a time.
    pub fn note_untold(&self, now: Moment, rest: Duration, node: &NodeId, why: Untelling) {
        let mut untold = self.untold.borrow_mut();
        untold.retain(|_, untold| now < untold.until);
        untold.insert(node.clone(), Untold { until: now + rest, why });
    }

    /// Whether a daemon has failed to tell news a moment ago.
    pub fn has_failed_to_tell(&self, now: Moment, node: &NodeId) -> bool {
        self.untold.borrow().get(node).is_some_and(|untold| now < untold.until)
    }

    /// Whether some daemon that watches the store has said a moment ago that it hears nothing of it.
    pub fn is_outage_told(&self, now: Moment) -> bool {
        let untold = self.untold.borrow();
        untold.values().any(|untold| now < untold.until && untold.why == Untelling::Uninformed)
    }

    /// Thousandths of a core that each of the other daemons that are alive may use.
    pub fn alive_processors(&self) -> Vec<u32> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.map(|member| member.processor_millis).collect()
    }

    /// How many other daemons are alive.
    pub fn count_alive(&self) -> usize {
        let members = self.members.borrow();
        members.iter().filter(|member| member.liveness == Liveness::Alive).count()
    }

    /// What is believed of this very run of a daemon.
    pub fn standing(&self, node: &NodeId) -> Standing {
        let members = self.members.borrow();
        match members.iter().find(|member| member.id.name == node.name) {
            Some(member) if member.id == *node => match member.liveness {
                Liveness::Alive | Liveness::Suspect => Standing::Alive,
                Liveness::Dead => Standing::Silent,
                Liveness::Left => Standing::Ended,
            },
            Some(member) if member.id.incarnation > node.incarnation => Standing::Ended,
            // A later run than the one that is known here.
            Some(_) => Standing::Alive,
            None => Standing::Unknown,
        }
    }

    /// Where a daemon took its peers' calls when it was last heard of.
    pub fn last_address(&self, node: &NodeId) -> Option<SocketAddr> {
        let members = self.members.borrow();
        members.iter().find(|member| member.id.name == node.name).map(|member| member.address)
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

    /// The run of a daemon that may be alive, by its name.
    pub fn named(&self, name: &NodeName) -> Option<NodeId> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.id.name == *name)?;
        (member.liveness <= Liveness::Suspect).then(|| member.id.clone())
    }

    /// Takes over the detector's view.
    pub fn publish(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
        self.version.set(self.version.get() + 1);
        self.changed.notify(usize::MAX);
    }
}
