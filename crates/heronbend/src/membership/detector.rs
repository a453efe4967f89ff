//! Failure detector state machine, free of I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use super::gossip_queue::GossipQueue;
use super::messages::{ControlVersions, GossipMessage, GossipUpdate, Liveness, Member, Probe};
use crate::identity::{Incarnation, NodeName};
use crate::lifecycle::BackendPhase;
use crate::Moment;

/// Mean number of periods between two pings of dead members.
const DEAD_PING_INTERVAL: u32 = 4;

/// Maximum number of members that a daemon sends to a newcomer, which hears from other daemons too.
const MAX_MEMBERS_TO_NEWCOMER: usize = 32;
/// Maximum number of members per datagram, which keeps it within one packet.
const MEMBERS_PER_DATAGRAM: usize = 8;

/// Timing and fan-out of the failure detector.
#[derive(Debug, Clone, Copy)]
pub struct DetectorConfig {
    /// Interval between two probes.
    pub probe_period: Duration,
    /// Time to wait for a direct acknowledgement before indirect probes are sent.
    pub direct_timeout: Duration,
    /// Time after which a suspect that did not refute is declared dead.
    pub suspicion_timeout: Duration,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time after which a dead member, or one that left, is forgotten.
    pub forget_after: Duration,
    /// Number of members in the local region that receive urgent updates at once.
    pub local_region_fanout: usize,
    /// Number of members in other regions that receive urgent updates at once.
    pub remote_region_fanout: usize,
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(1000),
            direct_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_millis(4000),
            indirect_probes: 3,
            forget_after: Duration::from_secs(600),
            local_region_fanout: 3,
            remote_region_fanout: 2,
        }
    }
}

/// Action for the driver of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The datagram.
        gossip: Box<GossipMessage>,
    },
    /// The state of a member changed.
    Changed(MemberChange),
    /// Other daemons considered this one suspect or dead, or knew a later incarnation of it; this
    /// was refuted.
    Refuted,
    /// An update of a backend was received.
    Backend(BackendPhase),
    /// A peer holds newer control data, which should be fetched.
    Behind {
        /// Address of the peer.
        peer: SocketAddr,
        /// Versions that the peer holds.
        head: ControlVersions,
    },
}

/// A change of the known state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The new state.
    pub member: Member,
}

#[derive(Debug, Clone)]
struct KnownMember {
    member: Member,
    changed_at: Moment,
    /// Whether the suspect was pinged once more before it is declared dead.
    final_ping_sent: bool,
}

#[derive(Debug, Clone)]
struct PendingProbe {
    sequence: u64,
    target: NodeName,
    sent: Moment,
    is_indirect: bool,
}

/// A ping sent on behalf of another daemon.
#[derive(Debug, Clone)]
struct RelayedPing {
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Moment,
}

/// Failure detector of one daemon, with its view of all other members.
#[derive(Debug)]
pub struct Detector {
    config: DetectorConfig,
    local: Member,
    head: ControlVersions,
    members: BTreeMap<NodeName, KnownMember>,
    probe_order: Vec<NodeName>,
    probe: Option<PendingProbe>,
    relays: BTreeMap<u64, RelayedPing>,
    next_sequence: u64,
    next_probe_at: Moment,
    gossip_queue: GossipQueue,
    random: SmallRng,
}

impl Detector {
    /// Creates a detector for the daemon `local` without other members; `seed` makes its random
    /// choices reproducible.
    pub fn new(config: DetectorConfig, local: Member, seed: u64) -> Self {
        let mut gossip_queue = GossipQueue::default();
        gossip_queue.push(GossipUpdate::Member(local.clone()));
        Self {
            config,
            local,
            head: ControlVersions::default(),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            next_sequence: 1,
            next_probe_at: Moment::ZERO,
            gossip_queue,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the state of this daemon as sent to others.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Returns all other members, including those that are dead or have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Sets the control data versions that are sent to peers.
    pub fn set_control_versions(&mut self, head: ControlVersions) {
        self.head = head;
    }

    /// Queues an update of a backend for gossip.
    pub fn gossip_backend(&mut self, update: BackendPhase) {
        self.gossip_queue.push(GossipUpdate::Backend(update));
    }

    /// Sends queued updates and the control data versions to random members at once.
    ///
    /// If each daemon calls this for updates that are new to it, these reach nearly all daemons
    /// within a few hops instead of several probe periods. Members of the local region have their
    /// own fan-out, so that updates spread within a region while it is partitioned from others.
    pub fn announce(&mut self) -> Vec<Effect> {
        let (mut same_region, mut other_regions): (Vec<NodeName>, Vec<NodeName>) = self
            .probe_targets()
            .into_iter()
            .partition(|target| self.members[target].member.region == self.local.region);
        same_region.shuffle(&mut self.random);
        other_regions.shuffle(&mut self.random);
        same_region.truncate(self.config.local_region_fanout);
        other_regions.truncate(self.config.remote_region_fanout);
        same_region.into_iter().chain(other_regions).map(|target| self.ping(&target)).collect()
    }

    /// Pings an address, such as a seed, to exchange membership with the daemon there.
    pub fn ping_address(&mut self, address: SocketAddr) -> Effect {
        let sequence = self.take_sequence();
        self.send(address, Probe::Ping { sequence })
    }

    /// Merges the state of a member from another source, such as the platform's list.
    pub fn merge_member(&mut self, now: Moment, member: Member) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.merge(now, member, &mut effects);
        effects
    }

    /// Announces that this daemon is about to shut down, and serves until it leaves.
    pub fn start_draining(&mut self) -> Vec<Effect> {
        self.local.is_draining = true;
        self.gossip_queue.push(GossipUpdate::Member(self.local.clone()));
        self.announce()
    }

    /// Announces the shutdown of this daemon.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.local.liveness = Liveness::Left;
        self.gossip_queue.push(GossipUpdate::Member(self.local.clone()));
        self.announce()
    }

    /// Handles everything that is due at `now`: probes, suspicion timeouts and removal of members.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.probe_indirectly(now, &mut effects);
        if now >= self.next_probe_at {
            self.suspect_unacknowledged(now, &mut effects);
            self.start_probe(now, &mut effects);
            effects.extend(self.ping_random_dead_member());
            self.next_probe_at = now + self.config.probe_period;
        }
        self.send_final_pings(now, &mut effects);
        self.expire_members(now, &mut effects);
        let relay_timeout = self.config.probe_period * 2;
        self.relays.retain(|_, relay| now < relay.sent + relay_timeout);
        effects
    }

    /// Handles a datagram received from `source`.
    pub fn receive(
        &mut self,
        now: Moment,
        source: SocketAddr,
        gossip: GossipMessage,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let GossipMessage { from, probe, head, rumours } = gossip;
        if from.id.name == self.local.id.name {
            return effects;
        }
        let peer = from.address;
        let is_newcomer = self
            .members
            .get(&from.id.name)
            .is_none_or(|known| known.member.id.incarnation < from.id.incarnation);
        self.merge(now, from.clone(), &mut effects);
        if is_newcomer {
            effects.extend(self.send_members_to(&from));
        }
        self.queue_refutable_state(&from);
        for update in rumours {
            match update {
                GossipUpdate::Member(member) => self.merge(now, member, &mut effects),
                GossipUpdate::Backend(update) => effects.push(Effect::Backend(update)),
            }
        }
        if self.is_behind(head) {
            effects.push(Effect::Behind { peer, head });
        }
        match probe {
            Probe::Ping { sequence } => {
                effects.push(self.send(source, Probe::Ack { sequence }));
            }
            Probe::Ack { sequence } => self.on_ack(sequence, &mut effects),
            Probe::PingRequest { sequence, target } => {
                self.relay(now, source, sequence, &target, &mut effects);
            }
        }
        effects
    }

    /// Sends live members to a daemon that has just started. Gossip alone would take several
    /// periods, in which the newcomer would consider work of unknown members abandoned.
    fn send_members_to(&mut self, newcomer: &Member) -> Vec<Effect> {
        let mut known: Vec<Member> = self
            .members
            .values()
            .map(|known| known.member.clone())
            .filter(|member| member.liveness <= Liveness::Suspect)
            .filter(|member| member.id.name != newcomer.id.name)
            .collect();
        known.shuffle(&mut self.random);
        known.truncate(MAX_MEMBERS_TO_NEWCOMER);
        let datagrams = known.chunks(MEMBERS_PER_DATAGRAM).map(|members| {
            let gossip = GossipMessage {
                from: self.local.clone(),
                // Matches no probe, as sequence numbers start at 1.
                probe: Probe::Ack { sequence: 0 },
                head: self.head,
                rumours: members.iter().cloned().map(GossipUpdate::Member).collect(),
            };
            Effect::Send { to: newcomer.address, gossip: Box::new(gossip) }
        });
        datagrams.collect()
    }

    fn is_behind(&self, head: ControlVersions) -> bool {
        head.settings_revision > self.head.settings_revision
            || head.shard_epochs > self.head.shard_epochs
    }

    fn on_ack(&mut self, sequence: u64, effects: &mut Vec<Effect>) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let ack = Probe::Ack { sequence: relay.requester_sequence };
            effects.push(self.send(relay.requester, ack));
        } else if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
    }

    fn relay(
        &mut self,
        now: Moment,
        requester: SocketAddr,
        requester_sequence: u64,
        target: &NodeName,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.members.get(target) else {
            return;
        };
        let address = known.member.address;
        let sequence = self.take_sequence();
        let relay = RelayedPing { requester, requester_sequence, sent: now };
        self.relays.insert(sequence, relay);
        effects.push(self.send(address, Probe::Ping { sequence }));
    }

    /// Merges the state of a member. A wrong state of this daemon is refuted.
    fn merge(&mut self, now: Moment, mut member: Member, effects: &mut Vec<Effect>) {
        if member.id.name == self.local.id.name {
            if self.refute(&member) {
                effects.push(Effect::Refuted);
                effects.extend(self.announce());
            }
            return;
        }
        if let Some(known) = self.members.get(&member.id.name) {
            // A suspicion may come from a daemon that does not know of the announcement.
            member.is_draining |= known.member.is_draining && known.member.id == member.id;
            if !member.supersedes(&known.member) {
                return;
            }
        } else if member.liveness >= Liveness::Left {
            return;
        }
        self.gossip_queue.push(GossipUpdate::Member(member.clone()));
        let known = KnownMember { member: member.clone(), changed_at: now, final_ping_sent: false };
        self.members.insert(member.id.name.clone(), known);
        effects.push(Effect::Changed(MemberChange { member }));
    }

    /// Queues the known state of a sender that it has to refute, such as a suspicion.
    fn queue_refutable_state(&mut self, sender: &Member) {
        if let Some(known) = self.members.get(&sender.id.name) {
            if known.member.liveness > sender.liveness {
                self.gossip_queue.push(GossipUpdate::Member(known.member.clone()));
            }
        }
    }

    /// Refutes a wrong state of this daemon; returns whether there was anything to refute.
    fn refute(&mut self, claim: &Member) -> bool {
        if claim.id.incarnation > self.local.id.incarnation {
            // An earlier run had a clock that was ahead; this run must supersede it.
            self.local.id.incarnation = Incarnation(claim.id.incarnation.0 + 1);
            self.gossip_queue.push(GossipUpdate::Member(self.local.clone()));
            return true;
        }
        let is_accusation = claim.id == self.local.id && claim.liveness > self.local.liveness;
        let is_refutable = is_accusation && claim.refutation >= self.local.refutation;
        if is_refutable {
            self.local.refutation = claim.refutation + 1;
            self.gossip_queue.push(GossipUpdate::Member(self.local.clone()));
        }
        is_refutable
    }

    fn probe_targets(&self) -> Vec<NodeName> {
        self.members
            .values()
            .filter(|known| known.member.liveness <= Liveness::Suspect)
            .map(|known| known.member.id.name.clone())
            .collect()
    }

    fn start_probe(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if self.probe_order.is_empty() {
            self.probe_order = self.probe_targets();
            self.probe_order.shuffle(&mut self.random);
        }
        while let Some(target) = self.probe_order.pop() {
            let alive = self
                .members
                .get(&target)
                .is_some_and(|known| known.member.liveness <= Liveness::Suspect);
            if !alive {
                continue;
            }
            effects.push(self.ping(&target));
            self.probe = Some(PendingProbe {
                sequence: self.next_sequence - 1,
                target,
                sent: now,
                is_indirect: false,
            });
            return;
        }
    }

    /// Occasionally pings a dead member, so that two sides of a healed network partition find each
    /// other. The datagram carries the dead state, for the member to refute.
    fn ping_random_dead_member(&mut self) -> Option<Effect> {
        if !self.random.random_ratio(1, DEAD_PING_INTERVAL) {
            return None;
        }
        let dead: Vec<&Member> = self
            .members
            .values()
            .map(|known| &known.member)
            .filter(|member| member.liveness == Liveness::Dead)
            .collect();
        let member = (*dead.choose(&mut self.random)?).clone();
        let target = member.id.name.clone();
        self.gossip_queue.push(GossipUpdate::Member(member));
        Some(self.ping(&target))
    }

    fn probe_indirectly(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.is_indirect || now < probe.sent + self.config.direct_timeout {
            return;
        }
        probe.is_indirect = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let mut helpers: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|known| known.member.liveness == Liveness::Alive)
            .filter(|known| known.member.id.name != target)
            .map(|known| known.member.address)
            .collect();
        helpers.shuffle(&mut self.random);
        helpers.truncate(self.config.indirect_probes);
        for helper in helpers {
            let request = Probe::PingRequest { sequence, target: target.clone() };
            effects.push(self.send(helper, request));
        }
    }

    /// Marks the target of a probe as suspect if the probe was not acknowledged within the period.
    fn suspect_unacknowledged(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(known) = self.members.get(&probe.target) else {
            return;
        };
        if known.member.liveness == Liveness::Alive {
            let mut member = known.member.clone();
            member.liveness = Liveness::Suspect;
            self.merge(now, member, effects);
        }
    }

    /// Pings suspects once more before the suspicion times out.
    ///
    /// In a large fleet, a refutation may arrive after the suspicion timeout, and a daemon that was
    /// only briefly unreachable would be declared dead. The datagram carries the suspicion, so that
    /// the acknowledgement refutes it.
    fn send_final_pings(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let final_ping_after =
            self.config.suspicion_timeout.saturating_sub(self.config.direct_timeout * 2);
        let is_due = |known: &&mut KnownMember| {
            let is_suspect = known.member.liveness == Liveness::Suspect;
            is_suspect && !known.final_ping_sent && now >= known.changed_at + final_ping_after
        };
        let mut due = Vec::new();
        for known in self.members.values_mut().filter(is_due) {
            known.final_ping_sent = true;
            due.push(known.member.clone());
        }
        for suspect in due {
            let name = suspect.id.name.clone();
            self.gossip_queue.push(GossipUpdate::Member(suspect));
            effects.push(self.ping(&name));
        }
    }

    fn expire_members(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.liveness == Liveness::Suspect)
            .filter(|known| now >= known.changed_at + self.config.suspicion_timeout)
            .map(|known| known.member.clone())
            .collect();
        for mut member in expired {
            member.liveness = Liveness::Dead;
            self.merge(now, member, effects);
        }
        let forget_after = self.config.forget_after;
        self.members.retain(|_, known| {
            known.member.liveness <= Liveness::Suspect || now < known.changed_at + forget_after
        });
    }

    fn ping(&mut self, target: &NodeName) -> Effect {
        let sequence = self.take_sequence();
        let address = self.members[target].member.address;
        self.send(address, Probe::Ping { sequence })
    }

    fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence - 1
    }

    fn send(&mut self, to: SocketAddr, probe: Probe) -> Effect {
        let rumours = self.gossip_queue.take(self.members.len() + 1);
        let gossip = GossipMessage { from: self.local.clone(), probe, head: self.head, rumours };
        Effect::Send { to, gossip: Box::new(gossip) }
    }
}
