//! Communication between daemons: failure detection, best-effort hints, and calls.
//!
//! Correctness does not depend on any of it: an isolated daemon still serves requests, and the
//! store decides who owns a job and who holds a lease.

pub mod bootstrap;
pub mod client;
pub mod membership;
pub mod membership_log;
pub mod messages;
pub mod recent_hints;
pub mod rendezvous;
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

use crate::region_policy;
use crate::versions::takeover::Successor;

pub use messages::{Hint, PeerReply, PeerRequest};

/// Time after the start during which a daemon does not rely on its view of the other members yet.
pub const MEMBERSHIP_GRACE: Duration = Duration::from_millis(1200);
/// Time after the start by which a daemon knows every other live daemon.
const ALL_MEMBERS_KNOWN: Duration = Duration::from_secs(4);
/// Capacity of the command queue of the membership task.
const COMMAND_CAPACITY: usize = 256;

/// A command to the membership task.
enum Command {
    /// Send a hint to all other daemons.
    Broadcast(Hint),
    /// Send a hint to some daemons.
    SendTo(Vec<NodeId>, Hint),
    /// Merge members that another daemon knows.
    Merge(Vec<Member>),
    /// Announce that this daemon drains.
    StartDraining,
    /// Announce that this daemon stops; the sender is dropped once that is sent.
    Leave(Sender<()>),
}

/// Why an upstream peer sent no update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// It did not answer, or does not serve updates.
    NoResponse,
    /// Its data is too old: it has received nothing from the store recently.
    Stale,
}

#[derive(Debug, Clone, Copy)]
struct FailedUpstream {
    /// When it may be followed again.
    retry_at: Moment,
    failure: UpstreamFailure,
}

/// Status of one run of a daemon, as seen by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// It may be alive.
    Alive,
    /// It did not refute a suspicion: it crashed, is frozen or cannot be reached.
    Unreachable,
    /// It has terminated: it announced that, or a later run of the daemon is known.
    Terminated,
    /// The daemon is not known. It may have just started.
    Unknown,
}

/// This daemon's view of the other daemons, and the queue of messages to them.
pub struct Peers {
    members: RefCell<Vec<Member>>,
    version: Cell<u64>,
    /// Upstream peers that failed recently.
    failed_upstreams: RefCell<HashMap<NodeId, FailedUpstream>>,
    commands: Sender<Command>,
    command_receiver: Receiver<Command>,
    /// State received from a peer at startup.
    pub bootstrap: bootstrap::Bootstrap,
    /// Notified when the state of a member changes.
    pub changed: Event,
    /// Notified when this daemon has refuted a suspicion of others.
    pub suspicion_refuted: Event,
}

impl Default for Peers {
    fn default() -> Self {
        let (commands, command_receiver) = bounded(COMMAND_CAPACITY);
        Self {
            members: RefCell::default(),
            version: Cell::default(),
            failed_upstreams: RefCell::default(),
            commands,
            command_receiver,
            bootstrap: bootstrap::Bootstrap::default(),
            changed: Event::new(),
            suspicion_refuted: Event::new(),
        }
    }
}

impl Peers {
    /// Sends a hint to all other daemons. Dropped if the queue is full: the store has the same
    /// information.
    pub fn broadcast(&self, hint: Hint) {
        self.enqueue(Command::Broadcast(hint));
    }

    /// Sends a hint to some daemons; dropped if the queue is full.
    pub fn send_to(&self, to: Vec<NodeId>, hint: Hint) {
        self.enqueue(Command::SendTo(to, hint));
    }

    fn enqueue(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            log::warn!("event=hint_dropped waiting={COMMAND_CAPACITY}");
        }
    }

    /// Merges members that another daemon knows into this daemon's view.
    pub async fn merge_members(&self, members: Vec<Member>) {
        // Sending cannot fail: `self` owns the receiver.
        let _ = self.commands.send(Command::Merge(members)).await;
    }

    /// Announces that this daemon drains.
    pub fn start_draining(&self) {
        self.enqueue(Command::StartDraining);
    }

    /// Announces that this daemon stops; returns once that is sent.
    pub async fn leave(&self) {
        let (done, acknowledged) = bounded(1);
        let _ = self.commands.send(Command::Leave(done)).await;
        // Fails once the sender is dropped.
        let _ = acknowledged.recv().await;
    }

    /// All other known daemons.
    pub fn all(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// The other daemons that are alive.
    pub fn alive(&self) -> Vec<NodeId> {
        self.members
            .borrow()
            .iter()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| member.id.clone())
            .collect()
    }

    /// The other daemons that are alive, as possible successors of a lease holder.
    pub fn successors(&self) -> Vec<Successor> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        let successor = |member: &Member| Successor {
            node: member.id.clone(),
            is_draining: member.is_draining,
        };
        alive.map(successor).collect()
    }

    /// The zones of the other live daemons.
    pub fn zones(&self) -> BTreeSet<String> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.map(|member| member.zone.clone()).collect()
    }

    /// The other live daemons in the allowed regions, as candidates for running a job.
    pub fn alive_candidates(&self, allowed_regions: Option<&BTreeSet<String>>) -> Vec<Candidate> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        let alive = alive.filter(|member| region_policy::allows(allowed_regions, &member.region));
        alive.map(Candidate::from).collect()
    }

    /// The other live daemons of a region.
    pub fn alive_in_region(&self, region: &str) -> Vec<NodeId> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.filter(|member| member.region == region).map(|member| member.id.clone()).collect()
    }

    /// The other daemons of a zone that belong to its overlay tree. Includes suspects: most refute
    /// the suspicion, and followers fail over as soon as a peer does not answer.
    pub fn overlay_candidates(&self, zone: &str) -> Vec<Candidate> {
        let members = self.members.borrow();
        let possibly_alive = members.iter().filter(|member| member.liveness <= Liveness::Suspect);
        possibly_alive.filter(|member| member.zone == zone).map(Candidate::from).collect()
    }

    /// Version of this view; increases with each change.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Records that an upstream peer failed, so that it is not followed for `backoff`.
    pub fn mark_upstream_failed(
        &self,
        now: Moment,
        backoff: Duration,
        node: &NodeId,
        failure: UpstreamFailure,
    ) {
        let mut failed = self.failed_upstreams.borrow_mut();
        failed.retain(|_, entry| now < entry.retry_at);
        failed.insert(node.clone(), FailedUpstream { retry_at: now + backoff, failure });
    }

    /// Whether an upstream peer failed recently.
    pub fn is_upstream_failed(&self, now: Moment, node: &NodeId) -> bool {
        self.failed_upstreams.borrow().get(node).is_some_and(|entry| now < entry.retry_at)
    }

    /// Whether an upstream peer recently reported that its data is stale.
    pub fn is_outage_reported(&self, now: Moment) -> bool {
        let failed = self.failed_upstreams.borrow();
        failed.values().any(|entry| now < entry.retry_at && entry.failure == UpstreamFailure::Stale)
    }

    /// The CPU limit of each other live daemon, in thousandths of a core.
    pub fn alive_cpu_millis(&self) -> Vec<u32> {
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| member.liveness == Liveness::Alive);
        alive.map(|member| member.processor_millis).collect()
    }

    /// Number of other live daemons.
    pub fn alive_count(&self) -> usize {
        let members = self.members.borrow();
        members.iter().filter(|member| member.liveness == Liveness::Alive).count()
    }

    /// Status of one run of a daemon.
    pub fn status_of(&self, node: &NodeId) -> PeerStatus {
        let members = self.members.borrow();
        match members.iter().find(|member| member.id.name == node.name) {
            Some(member) if member.id == *node => match member.liveness {
                Liveness::Alive | Liveness::Suspect => PeerStatus::Alive,
                Liveness::Dead => PeerStatus::Unreachable,
                Liveness::Left => PeerStatus::Terminated,
            },
            Some(member) if member.id.incarnation > node.incarnation => PeerStatus::Terminated,
            // A later run than the known one.
            Some(_) => PeerStatus::Alive,
            None => PeerStatus::Unknown,
        }
    }

    /// Last known address of a daemon, whatever its status.
    pub fn last_address(&self, node: &NodeId) -> Option<SocketAddr> {
        let members = self.members.borrow();
        members.iter().find(|member| member.id.name == node.name).map(|member| member.address)
    }

    /// Whether no run of a daemon with this name is reachable.
    pub fn is_unreachable(&self, now: Moment, name: &NodeName) -> bool {
        let members = self.members.borrow();
        match members.iter().find(|member| member.id.name == *name) {
            Some(member) => member.liveness > Liveness::Suspect,
            None => now >= ALL_MEMBERS_KNOWN,
        }
    }

    /// Address of a daemon, if it is alive or suspected.
    pub fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.id.name == node.name)?;
        (member.liveness <= Liveness::Suspect).then_some(member.address)
    }

    /// The run of a daemon with this name, if it is alive or suspected.
    pub fn find_by_name(&self, name: &NodeName) -> Option<NodeId> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.id.name == *name)?;
        (member.liveness <= Liveness::Suspect).then(|| member.id.clone())
    }

    /// Replaces this view by that of the failure detector.
    pub fn publish(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
        self.version.set(self.version.get() + 1);
        self.changed.notify(usize::MAX);
    }
}
