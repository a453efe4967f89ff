//! The failure detector, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use super::messages::{Gossip, Head, Liveness, Member, Probe, Rumour};
use super::rumours::RumourQueue;
use crate::identity::{Incarnation, NodeName};
use crate::lifecycle::BackendPhase;
use crate::Moment;

/// Periods between two pings of dead members, on average.
const DEAD_PROBE_PERIODS: u32 = 4;

/// Members that a daemon which has just started is told of by one other; many others tell it too.
const MAX_INTRODUCED: usize = 32;
/// Members in one datagram, so that it stays within one packet.
const INTRODUCED_A_DATAGRAM: usize = 8;

/// Time constants of the detector.
#[derive(Debug, Clone, Copy)]
pub struct DetectorConfig {
    /// Time between two probes.
    pub period: Duration,
    /// Time a direct probe may take before helpers are asked.
    pub direct_timeout: Duration,
    /// Time a suspect has to refute.
    pub suspicion: Duration,
    /// Helpers asked to probe in this daemon's place.
    pub helpers: usize,
    /// Time after which a dead member is forgotten.
    pub forget_after: Duration,
    /// Members of the own region that are told at once of what cannot wait for the next probe.
    pub fanout_in_region: usize,
    /// Members of other regions that are told at once.
    pub fanout_elsewhere: usize,
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(1000),
            direct_timeout: Duration::from_millis(300),
            suspicion: Duration::from_millis(4000),
            helpers: 3,
            forget_after: Duration::from_secs(600),
            fanout_in_region: 3,
            fanout_elsewhere: 2,
        }
    }
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        gossip: Box<Gossip>,
    },
    /// A member's state has changed.
    Changed(MemberChange),
    /// Others took this daemon for lost, or for an earlier run, which it now refutes.
    Refuted,
    /// A back end's phase was heard of.
    Backend(BackendPhase),
    /// A peer holds newer control data.
    Behind {
        /// The peer.
        peer: SocketAddr,
        /// What it holds.
        head: Head,
    },
}

/// A change of what is believed of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member as it is known now.
    pub member: Member,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    since: Moment,
    /// Whether it was asked a last time before it is declared dead.
    asked_again: bool,
}

#[derive(Debug, Clone)]
struct OpenProbe {
    sequence: u64,
    target: NodeName,
    sent: Moment,
    helpers_asked: bool,
}

/// A ping made on behalf of another daemon.
#[derive(Debug, Clone)]
struct Relay {
    asker: SocketAddr,
    asker_sequence: u64,
    sent: Moment,
}

/// One daemon's view of all others.
#[derive(Debug)]
pub struct Detector {
    config: DetectorConfig,
    me: Member,
    head: Head,
    members: BTreeMap<NodeName, Known>,
    order: Vec<NodeName>,
    probe: Option<OpenProbe>,
    relays: BTreeMap<u64, Relay>,
    next_sequence: u64,
    next_probe: Moment,
    rumours: RumourQueue,
    random: SmallRng,
}

impl Detector {
    /// A detector for `me`, which knows nobody yet.
    pub fn new(config: DetectorConfig, me: Member, seed: u64) -> Self {
        let mut rumours = RumourQueue::default();
        rumours.push(Rumour::Member(me.clone()));
        Self {
            config,
            me,
            head: Head::default(),
            members: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            next_sequence: 1,
            next_probe: Moment::ZERO,
            rumours,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// This daemon as it makes itself known.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Everybody else, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Sets the control data that is made known to peers.
    pub fn set_head(&mut self, head: Head) {
        self.head = head;
    }

    /// Spreads a back end's phase.
    pub fn spread_backend(&mut self, stated: BackendPhase) {
        self.rumours.push(Rumour::Backend(stated));
    }

    /// Sends the newest rumours and control data to some members at once.
    ///
    /// A daemon that learns something for the first time and passes it on in this way makes it known
    /// to nearly all within a few hops, where probes alone take some periods.
    ///
    /// Most are of the own region, so that it spreads there also while the region is cut off.
    pub fn announce(&mut self) -> Vec<Effect> {
        let (mut near, mut far): (Vec<NodeName>, Vec<NodeName>) = self
            .probe_targets()
            .into_iter()
            .partition(|target| self.members[target].member.region == self.me.region);
        near.shuffle(&mut self.random);
        far.shuffle(&mut self.random);
        near.truncate(self.config.fanout_in_region);
        far.truncate(self.config.fanout_elsewhere);
        near.into_iter().chain(far).map(|target| self.ping(&target)).collect()
    }

    /// Pings an address of which nothing is known yet, so that whoever is there becomes a member.
    pub fn greet(&mut self, address: SocketAddr) -> Effect {
        let sequence = self.take_sequence();
        self.send(address, Probe::Ping { sequence })
    }

    /// Takes in a member from another source, such as the platform's list.
    pub fn learn(&mut self, now: Moment, member: Member) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.merge(now, member, &mut effects);
        effects
    }

    /// Announces that this daemon stops.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.me.liveness = Liveness::Left;
        self.rumours.push(Rumour::Member(self.me.clone()));
        self.announce()
    }

    /// Advances time: probes, suspicions, and forgetting.
    pub fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.ask_helpers(now, &mut effects);
        if now >= self.next_probe {
            self.close_probe(now, &mut effects);
            self.open_probe(now, &mut effects);
            effects.extend(self.ping_a_dead_member());
            self.next_probe = now + self.config.period;
        }
        self.ask_suspects(now, &mut effects);
        self.declare_dead(now, &mut effects);
        let expired = self.config.period * 2;
        self.relays.retain(|_, relay| now < relay.sent + expired);
        effects
    }

    /// Takes in a datagram that came from `source`.
    pub fn receive(&mut self, now: Moment, source: SocketAddr, gossip: Gossip) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Gossip { from, probe, head, rumours } = gossip;
        if from.id.name == self.me.id.name {
            return effects;
        }
        let peer = from.address;
        let is_new = self
            .members
            .get(&from.id.name)
            .is_none_or(|known| known.member.id.incarnation < from.id.incarnation);
        self.merge(now, from.clone(), &mut effects);
        if is_new {
            effects.extend(self.introduce(&from));
        }
        self.tell_what_is_said_of(&from);
        for rumour in rumours {
            match rumour {
                Rumour::Member(member) => self.merge(now, member, &mut effects),
                Rumour::Backend(stated) => effects.push(Effect::Backend(stated)),
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

    /// Tells a daemon that has just started of the members that are alive: rumours alone would take
    /// it some periods, in which it would take the others' work for abandoned.
    fn introduce(&mut self, newcomer: &Member) -> Vec<Effect> {
        let mut known: Vec<Member> = self
            .members
            .values()
            .map(|known| known.member.clone())
            .filter(|member| member.liveness <= Liveness::Suspect)
            .filter(|member| member.id.name != newcomer.id.name)
            .collect();
        known.shuffle(&mut self.random);
        known.truncate(MAX_INTRODUCED);
        let datagrams = known.chunks(INTRODUCED_A_DATAGRAM).map(|members| {
            let gossip = Gossip {
                from: self.me.clone(),
                // Acknowledges no probe: numbers begin at 1.
                probe: Probe::Ack { sequence: 0 },
                head: self.head,
                rumours: members.iter().cloned().map(Rumour::Member).collect(),
            };
            Effect::Send { to: newcomer.address, gossip: Box::new(gossip) }
        });
        datagrams.collect()
    }

    fn is_behind(&self, head: Head) -> bool {
        head.settings_revision > self.head.settings_revision
            || head.shard_epochs > self.head.shard_epochs
    }

    fn on_ack(&mut self, sequence: u64, effects: &mut Vec<Effect>) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let ack = Probe::Ack { sequence: relay.asker_sequence };
            effects.push(self.send(relay.asker, ack));
        } else if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
        }
    }

    fn relay(
        &mut self,
        now: Moment,
        asker: SocketAddr,
        asker_sequence: u64,
        target: &NodeName,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.members.get(target) else {
            return;
        };
        let address = known.member.address;
        let sequence = self.take_sequence();
        let relay = Relay { asker, asker_sequence, sent: now };
        self.relays.insert(sequence, relay);
        effects.push(self.send(address, Probe::Ping { sequence }));
    }

    /// Merges knowledge of a member, refuting what is wrongly said of this daemon.
    fn merge(&mut self, now: Moment, member: Member, effects: &mut Vec<Effect>) {
        if member.id.name == self.me.id.name {
            if self.refute(&member) {
                effects.push(Effect::Refuted);
                effects.extend(self.announce());
            }
            return;
        }
        if let Some(known) = self.members.get(&member.id.name) {
            if !member.supersedes(&known.member) {
                return;
            }
        } else if member.liveness >= Liveness::Left {
            return;
        }
        self.rumours.push(Rumour::Member(member.clone()));
        let known = Known { member: member.clone(), since: now, asked_again: false };
        self.members.insert(member.id.name.clone(), known);
        effects.push(Effect::Changed(MemberChange { member }));
    }

    /// A sender that is wrongly believed dead must hear of it to refute it.
    fn tell_what_is_said_of(&mut self, sender: &Member) {
        if let Some(known) = self.members.get(&sender.id.name) {
            if known.member.liveness > sender.liveness {
                self.rumours.push(Rumour::Member(known.member.clone()));
            }
        }
    }

    /// Whether something wrong was said of this daemon, which is now refuted.
    fn refute(&mut self, said: &Member) -> bool {
        if said.id.incarnation > self.me.id.incarnation {
            // An earlier run whose clock was ahead: this run is the later one all the same.
            self.me.id.incarnation = Incarnation(said.id.incarnation.0 + 1);
            self.rumours.push(Rumour::Member(self.me.clone()));
            return true;
        }
        let is_worse = said.id == self.me.id && said.liveness > self.me.liveness;
        let is_wrong = is_worse && said.refutation >= self.me.refutation;
        if is_wrong {
            self.me.refutation = said.refutation + 1;
            self.rumours.push(Rumour::Member(self.me.clone()));
        }
        is_wrong
    }

    fn probe_targets(&self) -> Vec<NodeName> {
        self.members
            .values()
            .filter(|known| known.member.liveness <= Liveness::Suspect)
            .map(|known| known.member.id.name.clone())
            .collect()
    }

    fn open_probe(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if self.order.is_empty() {
            self.order = self.probe_targets();
            self.order.shuffle(&mut self.random);
        }
        while let Some(target) = self.order.pop() {
            let alive = self
                .members
                .get(&target)
                .is_some_and(|known| known.member.liveness <= Liveness::Suspect);
            if !alive {
                continue;
            }
            effects.push(self.ping(&target));
            self.probe = Some(OpenProbe {
                sequence: self.next_sequence - 1,
                target,
                sent: now,
                helpers_asked: false,
            });
            return;
        }
    }

    /// Now and then tries a member that is believed dead: after a cut between two groups each takes
    /// the other for dead, and nobody would ever ask again. The datagram says so, to be refuted.
    fn ping_a_dead_member(&mut self) -> Option<Effect> {
        if !self.random.random_ratio(1, DEAD_PROBE_PERIODS) {
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
        self.rumours.push(Rumour::Member(member));
        Some(self.ping(&target))
    }

    fn ask_helpers(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.helpers_asked || now < probe.sent + self.config.direct_timeout {
            return;
        }
        probe.helpers_asked = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let mut helpers: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|known| known.member.liveness == Liveness::Alive)
            .filter(|known| known.member.id.name != target)
            .map(|known| known.member.address)
            .collect();
        helpers.shuffle(&mut self.random);
        helpers.truncate(self.config.helpers);
        for helper in helpers {
            let request = Probe::PingRequest { sequence, target: target.clone() };
            effects.push(self.send(helper, request));
        }
    }

    /// A probe that is still open when the next is due makes its target a suspect.
    fn close_probe(&mut self, now: Moment, effects: &mut Vec<Effect>) {
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

    /// Asks suspects a last time, shortly before they would be declared dead.
    ///
    /// Among many daemons a rumour takes some periods to reach all: most hear of a suspicion before
    /// they hear of its refutation, and would declare a daemon dead that was silent for a moment. The
    /// datagram says what is believed of the suspect, so that its answer refutes it.
    fn ask_suspects(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let last_ask = self.config.suspicion.saturating_sub(self.config.direct_timeout * 2);
        let is_due = |known: &&mut Known| {
            let is_suspect = known.member.liveness == Liveness::Suspect;
            is_suspect && !known.asked_again && now >= known.since + last_ask
        };
        let mut due = Vec::new();
        for known in self.members.values_mut().filter(is_due) {
            known.asked_again = true;
            due.push(known.member.clone());
        }
        for suspect in due {
            let name = suspect.id.name.clone();
            self.rumours.push(Rumour::Member(suspect));
            effects.push(self.ping(&name));
        }
    }

    fn declare_dead(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let overdue: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.liveness == Liveness::Suspect)
            .filter(|known| now >= known.since + self.config.suspicion)
            .map(|known| known.member.clone())
            .collect();
        for mut member in overdue {
            member.liveness = Liveness::Dead;
            self.merge(now, member, effects);
        }
        let forget_after = self.config.forget_after;
        self.members.retain(|_, known| {
            known.member.liveness <= Liveness::Suspect || now < known.since + forget_after
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
        let rumours = self.rumours.take(self.members.len() + 1);
        let gossip = Gossip { from: self.me.clone(), probe, head: self.head, rumours };
        Effect::Send { to, gossip: Box::new(gossip) }
    }
}
