//! States, and the steps that lead from one to the next.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use heronbend::identity::NodeId;
use heronbend::register::{
    Ballot, Key, Progress, Proposal, Rejection, Replica, ReplicaReply, ReplicaRequest, ShardConfig,
    Transition, TransitionStep,
};

use crate::interner::Interner;
use crate::scenario::{Response, Scenario};

/// Replicas of the set, and seats in the model.
pub const MEMBERS: usize = 3;
const MAX_SEATS: usize = 4;
/// Most authors.
pub const MAX_AUTHORS: usize = 3;
const MAX_DRIVERS: usize = 2;
const NETWORK_WORDS: usize = 8;

/// How far the checker goes.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Seats; those beyond [`MEMBERS`] are spare daemons.
    pub seats: usize,
    /// Authors.
    pub authors: usize,
    /// Rounds that each author may start, for all its changes together.
    pub rounds: [u8; MAX_AUTHORS],
    /// Number of each author's first round; a higher one is later in the order of ballots.
    pub first_round: [u8; MAX_AUTHORS],
    /// Restarts, of all seats together.
    pub restarts: u8,
    /// Epoch changes that may be attempted, each by a driver of its own.
    pub transitions: usize,
}

/// A guard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None: the protocol as it is.
    None,
    /// A restarted replica keeps its incarnation, and so its seat in the replica set.
    RestartKeepsIncarnation,
    /// A replica accepts a ballot below one that it has promised.
    BreaksPromises,
    /// A transition is content with the state of one old member.
    SealsOneMember,
    /// A new replica set starts without the state of the old one.
    StagesNothing,
    /// A proposal is content with one member.
    MajorityOfOne,
    /// A replica takes a proposal of another epoch for one of its own.
    IgnoresEpochs,
}

/// A replica's reply and whose it is.
type Heard<V> = (NodeId, ReplicaReply<V>);

/// A message on its way to or from a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message<V> {
    Request { sender: Sender, to: NodeId, request: ReplicaRequest<V> },
    Reply { sender: Sender, from: NodeId, reply: ReplicaReply<V> },
}

/// Who sent a request and gets its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Sender {
    Author(usize),
    Driver(usize),
}

/// An author between two events.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Author<V, P, C> {
    rounds: u8,
    change: Option<C>,
    proposal: Option<P>,
    _value: std::marker::PhantomData<V>,
}

/// The stored replica sets, newest last, and what is left of the bounds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    configs: Vec<ShardConfig>,
    restarts: u8,
}

/// A state; its parts are numbers of interned values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    replicas: [u32; MAX_SEATS],
    authors: [u32; MAX_AUTHORS],
    drivers: [u32; MAX_DRIVERS],
    world: u32,
    witness: u32,
    network: [u64; NETWORK_WORDS],
}

type AuthorOf<S> =
    Author<<S as Scenario>::Value, Proposal<<S as Scenario>::Value>, crate::scenario::Change<S>>;

struct Tables<S: Scenario> {
    replicas: Interner<Replica<S::Value>>,
    authors: Interner<AuthorOf<S>>,
    drivers: Interner<Option<Transition<S::Value>>>,
    worlds: Interner<World>,
    witnesses: Interner<S::Witness>,
    messages: Interner<Message<S::Value>>,
    /// What a replica, by number, makes of a request, by number.
    deliveries: HashMap<(u32, u32), Delivery>,
}

/// A replica after a request, and its reply.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    replica: u32,
    reply: Option<u32>,
}

/// A scenario within bounds.
pub struct Model<S: Scenario> {
    scenario: S,
    bounds: Bounds,
    mutation: Mutation,
    tables: RefCell<Tables<S>>,
}

fn key() -> Key {
    Key("key".to_owned())
}

fn seat_node(seat: usize, incarnation: u64) -> NodeId {
    NodeId::new(&format!("seat-{seat}"), incarnation)
}

impl<S: Scenario> Model<S> {
    /// A model of a scenario.
    pub fn new(scenario: S, bounds: Bounds, mutation: Mutation) -> Self {
        assert!((MEMBERS..=MAX_SEATS).contains(&bounds.seats));
        assert!(bounds.authors <= MAX_AUTHORS && bounds.transitions <= MAX_DRIVERS);
        let tables = RefCell::new(Tables {
            replicas: Interner::default(),
            authors: Interner::default(),
            drivers: Interner::default(),
            worlds: Interner::default(),
            witnesses: Interner::default(),
            messages: Interner::default(),
            deliveries: HashMap::new(),
        });
        Self { scenario, bounds, mutation, tables }
    }

    /// The scenario.
    pub fn scenario(&self) -> &S {
        &self.scenario
    }

    /// The bounds.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// The state in which nothing has happened.
    pub fn start(&self) -> State {
        let mut tables = self.tables.borrow_mut();
        let members: BTreeSet<NodeId> = (0..MEMBERS).map(|seat| seat_node(seat, 1)).collect();
        let config = ShardConfig { epoch: 1, transition: 0, members };
        let mut state = State {
            replicas: [0; MAX_SEATS],
            authors: [0; MAX_AUTHORS],
            drivers: [0; MAX_DRIVERS],
            world: 0,
            witness: tables.witnesses.number(S::Witness::default()),
            network: [0; NETWORK_WORDS],
        };
        for seat in 0..self.bounds.seats {
            let mut replica = Replica::new(seat_node(seat, 1));
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
            state.replicas[seat] = tables.replicas.number(replica);
        }
        for author in 0..self.bounds.authors {
            let first = Author {
                rounds: 0,
                change: Some(self.scenario.first_change(author)),
                proposal: None,
                _value: std::marker::PhantomData,
            };
            state.authors[author] = tables.authors.number(first);
        }
        for driver in &mut state.drivers {
            *driver = tables.drivers.number(None);
        }
        let world = World { configs: vec![config], restarts: self.bounds.restarts };
        state.world = tables.worlds.number(world);
        state
    }

    /// The invariant that does not hold in a state, if one does not.
    pub fn violation(&self, state: &State) -> Option<&'static str> {
        let tables = self.tables.borrow();
        self.scenario.violation(tables.witnesses.value(state.witness))
    }

    /// Every state that one event leads to, with the event's description if that is wanted.
    pub fn successors(&self, state: &State, describes: bool) -> Vec<(State, String)> {
        let mut tables = self.tables.borrow_mut();
        let mut step =
            Step { model: self, tables: &mut tables, from: *state, describes, found: Vec::new() };
        step.start_rounds();
        step.deliver_requests();
        step.hear_replies();
        step.restart_seats();
        step.learn_configs();
        step.start_transitions();
        let mut found = step.found;
        found.retain(|(next, _)| next != state);
        found
    }
}

/// Collects the successors of one state.
struct Step<'a, S: Scenario> {
    model: &'a Model<S>,
    tables: &'a mut Tables<S>,
    from: State,
    describes: bool,
    found: Vec<(State, String)>,
}

impl<S: Scenario> Step<'_, S> {
    fn world(&self) -> World {
        self.tables.worlds.value(self.from.world).clone()
    }

    /// Notes a successor; its description is made only for a counterexample.
    fn emit(&mut self, next: State, event: impl FnOnce() -> String) {
        let event = if self.describes { event() } else { String::new() };
        self.found.push((next, event));
    }

    /// An author begins a round, for the first time or because it has waited long enough, on the
    /// replica set in force or on one that was in force before.
    fn start_rounds(&mut self) {
        for author in 0..self.model.bounds.authors {
            let known = self.tables.authors.value(self.from.authors[author]).clone();
            let Some(change) = known.change.clone() else {
                continue;
            };
            if known.rounds >= self.model.bounds.rounds[author] {
                continue;
            }
            for config in self.world().configs {
                let epoch = config.epoch;
                let (proposal, request) = Proposal::start(
                    key(),
                    change.clone(),
                    self.proposers_config(config),
                    self.ballot(author, known.rounds),
                );
                let mut next = self.from;
                self.send(&mut next, Sender::Author(author), proposal.members(), &request);
                let started =
                    Author { rounds: known.rounds + 1, proposal: Some(proposal), ..known.clone() };
                next.authors[author] = self.tables.authors.number(started);
                self.emit(next, || format!("author {author} starts {change:?} in epoch {epoch}"));
            }
        }
    }

    fn ballot(&self, author: usize, round: u8) -> Ballot {
        let first = self.model.bounds.first_round[author];
        Ballot { round: u64::from(first) + u64::from(round), proposer: author as u64 }
    }

    fn proposers_config(&self, mut config: ShardConfig) -> ShardConfig {
        if self.model.mutation == Mutation::MajorityOfOne {
            config.members = config.members.into_iter().take(1).collect();
        }
        config
    }

    fn send(
        &mut self,
        next: &mut State,
        sender: Sender,
        members: &BTreeSet<NodeId>,
        request: &ReplicaRequest<S::Value>,
    ) {
        for to in members {
            let message = Message::Request { sender, to: to.clone(), request: request.clone() };
            self.put(next, message);
        }
    }

    fn put(&mut self, next: &mut State, message: Message<S::Value>) {
        let number = self.tables.messages.number(message);
        put_number(next, number);
    }

    /// Numbers of the messages in the network.
    fn in_network(&self) -> Vec<u32> {
        let words = self.from.network.iter().enumerate();
        let mut numbers = Vec::new();
        for (index, word) in words {
            let mut left = *word;
            while left != 0 {
                numbers.push(index as u32 * u64::BITS + left.trailing_zeros());
                left &= left - 1;
            }
        }
        numbers
    }

    fn deliver_requests(&mut self) {
        for number in self.in_network() {
            for seat in 0..self.model.bounds.seats {
                let before = self.from.replicas[seat];
                let Some(delivery) = self.delivery(before, number) else {
                    continue;
                };
                let mut next = self.from;
                next.replicas[seat] = delivery.replica;
                if let Some(reply) = delivery.reply {
                    put_number(&mut next, reply);
                }
                let message = self.tables.messages.value(number).clone();
                self.emit(next, || match message {
                    Message::Request { to, request, .. } => format!("{to} handles {request:?}"),
                    Message::Reply { .. } => String::new(),
                });
            }
        }
    }

    /// What a replica makes of a request; `None` when the request is not for it.
    fn delivery(&mut self, replica: u32, message: u32) -> Option<Delivery> {
        if let Some(known) = self.tables.deliveries.get(&(replica, message)) {
            return Some(*known);
        }
        let Message::Request { sender, to, request } = self.tables.messages.value(message).clone()
        else {
            return None;
        };
        let mut after = self.tables.replicas.value(replica).clone();
        if *after.node() != to {
            return None;
        }
        let request = self.tampered(&after, request);
        let reply = self.handle(&mut after, request);
        // A refusal only makes its receiver start anew, which it may do at any time anyway.
        let is_refusal = matches!(reply, ReplicaReply::Rejected { .. });
        let reply = (!is_refusal)
            .then(|| self.tables.messages.number(Message::Reply { sender, from: to, reply }));
        let delivery = Delivery { replica: self.tables.replicas.number(after), reply };
        self.tables.deliveries.insert((replica, message), delivery);
        Some(delivery)
    }

    fn handle(
        &self,
        replica: &mut Replica<S::Value>,
        request: ReplicaRequest<S::Value>,
    ) -> ReplicaReply<S::Value> {
        let reply = replica.handle(request.clone());
        let breaks_promises = self.model.mutation == Mutation::BreaksPromises;
        match (request, &reply) {
            (
                ReplicaRequest::Accept { epoch, key, ballot, value },
                ReplicaReply::Rejected { reason: Rejection::Ballot { promised }, .. },
            ) if breaks_promises => {
                replica.handle(ReplicaRequest::Accept { epoch, key, ballot: *promised, value });
                ReplicaReply::Accepted { ballot }
            }
            _ => reply,
        }
    }

    /// Authors and drivers act on replies. An author that has heard of too few does nothing anyone
    /// could notice, so it hears of a quorum at once: of every quorum that has replied.
    fn hear_replies(&mut self) {
        let mut replies: HashMap<Sender, Vec<Heard<S::Value>>> = HashMap::new();
        for number in self.in_network() {
            if let Message::Reply { sender, from, reply } = self.tables.messages.value(number) {
                replies.entry(*sender).or_default().push((from.clone(), reply.clone()));
            }
        }
        for (sender, heard) in replies {
            for order in arrangements(&heard) {
                match sender {
                    Sender::Author(author) => self.tell_author(author, &order),
                    Sender::Driver(driver) => self.tell_driver(driver, &order),
                }
            }
        }
    }

    fn tampered(
        &self,
        replica: &Replica<S::Value>,
        mut request: ReplicaRequest<S::Value>,
    ) -> ReplicaRequest<S::Value> {
        if self.model.mutation != Mutation::IgnoresEpochs {
            return request;
        }
        if let (
            Some(active),
            ReplicaRequest::Prepare { epoch, .. } | ReplicaRequest::Accept { epoch, .. },
        ) = (replica.active_epoch(), &mut request)
        {
            *epoch = active;
        }
        request
    }

    fn tell_author(&mut self, author: usize, replies: &[(NodeId, ReplicaReply<S::Value>)]) {
        let known = self.tables.authors.value(self.from.authors[author]).clone();
        let Some(mut proposal) = known.proposal.clone() else {
            return;
        };
        for (from, reply) in replies {
            match proposal.on_reply(from, reply.clone()) {
                Progress::Waiting => {}
                Progress::Broadcast(request) => {
                    let mut next = self.from;
                    self.send(&mut next, Sender::Author(author), proposal.members(), &request);
                    let accepting = Author { proposal: Some(proposal), ..known };
                    next.authors[author] = self.tables.authors.number(accepting);
                    self.emit(next, || format!("author {author} hears {replies:?}"));
                    return;
                }
                Progress::Done(response) => return self.finish(author, &known, &response),
                Progress::Preempted { .. } => return,
            }
        }
    }

    fn finish(&mut self, author: usize, known: &AuthorOf<S>, response: &Response<S>) {
        let witness = self.tables.witnesses.value(self.from.witness).clone();
        for (change, seen) in self.model.scenario.continuations(author, response, &witness) {
            let mut next = self.from;
            let next_change = change.clone();
            let finished = Author { change, proposal: None, ..known.clone() };
            next.authors[author] = self.tables.authors.number(finished);
            next.witness = self.tables.witnesses.number(seen);
            self.emit(next, || {
                format!("author {author} is told {response:?} and goes on with {next_change:?}")
            });
        }
    }

    fn restart_seats(&mut self) {
        let world = self.world();
        if world.restarts == 0 {
            return;
        }
        for seat in 0..self.model.bounds.seats {
            let old = self.tables.replicas.value(self.from.replicas[seat]).node().clone();
            let mut replica = if self.model.mutation == Mutation::RestartKeepsIncarnation {
                Replica::new(old.clone())
            } else {
                Replica::new(seat_node(seat, old.incarnation.0 + 1))
            };
            if self.model.mutation == Mutation::RestartKeepsIncarnation {
                let config = world.configs[0].clone();
                replica.handle(ReplicaRequest::Configure { config });
            }
            let mut next = self.from;
            next.replicas[seat] = self.tables.replicas.number(replica);
            let after = World { restarts: world.restarts - 1, ..world.clone() };
            next.world = self.tables.worlds.number(after);
            self.emit(next, || format!("{old} restarts with nothing kept"));
        }
    }

    /// A replica learns the stored replica set, from whomever.
    fn learn_configs(&mut self) {
        let world = self.world();
        let Some(config) = world.configs.last() else {
            return;
        };
        for seat in 0..self.model.bounds.seats {
            let mut replica = self.tables.replicas.value(self.from.replicas[seat]).clone();
            let node = replica.node().clone();
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
            let mut next = self.from;
            next.replicas[seat] = self.tables.replicas.number(replica);
            self.emit(next, || format!("{node} learns epoch {}", config.epoch));
        }
    }

    /// A driver begins to move the shard to the present runs of some three seats.
    fn start_transitions(&mut self) {
        let world = self.world();
        for driver in 0..self.model.bounds.transitions {
            if self.tables.drivers.value(self.from.drivers[driver]).is_some() {
                continue;
            }
            for left_out in MEMBERS.saturating_sub(1)..=self.model.bounds.seats {
                let members = self.present_members(left_out);
                let Some(old) = world.configs.last().cloned() else {
                    continue;
                };
                if members.len() != MEMBERS || members == old.members {
                    continue;
                }
                let identifier = driver as u64 + 1;
                let (transition, seal) =
                    Transition::start(self.sealed_config(old.clone()), members, identifier);
                let mut next = self.from;
                self.send(&mut next, Sender::Driver(driver), &old.members, &seal);
                let target = transition.target().clone();
                next.drivers[driver] = self.tables.drivers.number(Some(transition));
                self.emit(next, || format!("driver {driver} moves to {:?}", target.members));
            }
            return;
        }
    }

    /// The present runs of all seats but one; of all when there is no such seat.
    fn present_members(&self, left_out: usize) -> BTreeSet<NodeId> {
        (0..self.model.bounds.seats)
            .filter(|seat| *seat != left_out)
            .map(|seat| self.tables.replicas.value(self.from.replicas[seat]).node().clone())
            .collect()
    }

    fn sealed_config(&self, mut config: ShardConfig) -> ShardConfig {
        if self.model.mutation == Mutation::SealsOneMember {
            config.members = config.members.into_iter().take(1).collect();
        }
        config
    }

    fn tell_driver(&mut self, driver: usize, replies: &[(NodeId, ReplicaReply<S::Value>)]) {
        let known = self.tables.drivers.value(self.from.drivers[driver]).clone();
        let Some(mut transition) = known else {
            return;
        };
        for (from, reply) in replies {
            let step = transition.on_reply(from, reply.clone());
            let mut next = self.from;
            match step {
                TransitionStep::Waiting => continue,
                TransitionStep::Superseded => return,
                TransitionStep::Stage(mut request) => {
                    if self.model.mutation == Mutation::StagesNothing {
                        if let ReplicaRequest::Stage { slots, .. } = &mut request {
                            slots.clear();
                        }
                    }
                    let members = transition.target().members.clone();
                    self.send(&mut next, Sender::Driver(driver), &members, &request);
                }
                TransitionStep::Commit(config) => {
                    let mut world = self.world();
                    let newest = world.configs.last().map_or(0, |config| config.epoch);
                    if newest + 1 == config.epoch {
                        world.configs.push(config);
                    }
                    next.world = self.tables.worlds.number(world);
                }
            }
            next.drivers[driver] = self.tables.drivers.number(Some(transition));
            self.emit(next, || format!("driver {driver} hears {replies:?}"));
            return;
        }
    }
}

fn put_number(state: &mut State, number: u32) {
    let number = number as usize;
    assert!(number < NETWORK_WORDS * 64, "the network holds too many different messages");
    state.network[number / 64] |= 1 << (number % 64);
}

/// Replies in orders such that each subset of senders comes first in one of them: leaving out none
/// or any one reply, which for three members gives every quorum.
fn arrangements<T: Clone>(replies: &[T]) -> Vec<Vec<T>> {
    let rotated = |first: usize| {
        let (head, tail) = replies.split_at(first);
        [tail, head].concat()
    };
    let forward: Vec<Vec<T>> = (0..replies.len()).map(rotated).collect();
    let backward = forward.iter().map(|order| order.iter().rev().cloned().collect()).collect();
    [forward, backward].concat()
}
