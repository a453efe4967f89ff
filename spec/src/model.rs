//! The state space of the core protocol: states, actions and successors.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use heronbend::identity::NodeId;
use heronbend::register::{
    Ballot, Key, Progress, Proposal, Rejection, Replica, ReplicaReply, ReplicaRequest, ShardConfig,
    Transition, TransitionStep,
};

use crate::interner::Interner;
use crate::scenario::{Response, Scenario};

/// Size of a replica set.
pub const MEMBERS: usize = 3;
const MAX_HOSTS: usize = 4;
/// Largest number of proposers.
pub const MAX_PROPOSERS: usize = 3;
const MAX_DRIVERS: usize = 2;
const NETWORK_WORDS: usize = 8;

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of hosts; those beyond [`MEMBERS`] are spare.
    pub hosts: usize,
    /// Number of proposers.
    pub proposers: usize,
    /// Rounds that each proposer may start, over all its changes.
    pub rounds: [u8; MAX_PROPOSERS],
    /// Number of the first round of each proposer, which determines the order of ballots.
    pub first_round: [u8; MAX_PROPOSERS],
    /// Restarts of hosts in total.
    pub restarts: u8,
    /// Attempted epoch changes, each with its own driver.
    pub transitions: usize,
}

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A restarted replica keeps its incarnation, and thus its membership in the replica set.
    RestartKeepsIncarnation,
    /// A replica accepts a lower ballot than it has promised.
    BreaksPromises,
    /// A transition seals only one member of the old replica set.
    SealsOneMember,
    /// A new replica set starts without the state of the old one.
    SkipsStateTransfer,
    /// A proposal needs only one member instead of a majority.
    SingleMemberQuorum,
    /// A replica handles proposals of other epochs as if they were of its own.
    IgnoresEpochs,
}

/// The sender of a reply, and the reply.
type ReceivedReply<V> = (NodeId, ReplicaReply<V>);

/// A message to or from a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message<V> {
    Request { sender: Sender, to: NodeId, request: ReplicaRequest<V> },
    Reply { sender: Sender, from: NodeId, reply: ReplicaReply<V> },
}

/// The sender of a request, which receives the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Sender {
    Proposer(usize),
    Driver(usize),
}

/// State of a proposer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposer<V, P, C> {
    rounds: u8,
    change: Option<C>,
    proposal: Option<P>,
    _value: std::marker::PhantomData<V>,
}

/// The stored replica sets, newest last, and the number of restarts left.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Environment {
    configs: Vec<ShardConfig>,
    restarts: u8,
}

/// A global state; its components are indices of interned values, and the network is a bit set of
/// message indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    replicas: [u32; MAX_HOSTS],
    proposers: [u32; MAX_PROPOSERS],
    drivers: [u32; MAX_DRIVERS],
    environment: u32,
    observations: u32,
    network: [u64; NETWORK_WORDS],
}

type ProposerOf<S> =
    Proposer<<S as Scenario>::Value, Proposal<<S as Scenario>::Value>, crate::scenario::Change<S>>;

struct Tables<S: Scenario> {
    replicas: Interner<Replica<S::Value>>,
    proposers: Interner<ProposerOf<S>>,
    drivers: Interner<Option<Transition<S::Value>>>,
    environments: Interner<Environment>,
    observations: Interner<S::Observations>,
    messages: Interner<Message<S::Value>>,
    /// Cached deliveries, by the indices of the replica and the request.
    deliveries: HashMap<(u32, u32), Delivery>,
}

/// Result of a delivery: the indices of the new replica state and of the reply.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    replica: u32,
    reply: Option<u32>,
}

/// The core protocol with a scenario, bounds and a mutation.
pub struct Model<S: Scenario> {
    scenario: S,
    bounds: Bounds,
    mutation: Mutation,
    tables: RefCell<Tables<S>>,
}

fn key() -> Key {
    Key("key".to_owned())
}

fn host_node(host: usize, incarnation: u64) -> NodeId {
    NodeId::new(&format!("seat-{host}"), incarnation)
}

impl<S: Scenario> Model<S> {
    /// Creates a model.
    pub fn new(scenario: S, bounds: Bounds, mutation: Mutation) -> Self {
        assert!((MEMBERS..=MAX_HOSTS).contains(&bounds.hosts));
        assert!(bounds.proposers <= MAX_PROPOSERS && bounds.transitions <= MAX_DRIVERS);
        let tables = RefCell::new(Tables {
            replicas: Interner::default(),
            proposers: Interner::default(),
            drivers: Interner::default(),
            environments: Interner::default(),
            observations: Interner::default(),
            messages: Interner::default(),
            deliveries: HashMap::new(),
        });
        Self { scenario, bounds, mutation, tables }
    }

    /// Returns the scenario.
    pub fn scenario(&self) -> &S {
        &self.scenario
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the initial state.
    pub fn initial_state(&self) -> State {
        let mut tables = self.tables.borrow_mut();
        let members: BTreeSet<NodeId> = (0..MEMBERS).map(|host| host_node(host, 1)).collect();
        let config = ShardConfig { epoch: 1, transition: 0, members };
        let mut state = State {
            replicas: [0; MAX_HOSTS],
            proposers: [0; MAX_PROPOSERS],
            drivers: [0; MAX_DRIVERS],
            environment: 0,
            observations: tables.observations.intern(S::Observations::default()),
            network: [0; NETWORK_WORDS],
        };
        for host in 0..self.bounds.hosts {
            let mut replica = Replica::new(host_node(host, 1));
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
            state.replicas[host] = tables.replicas.intern(replica);
        }
        for proposer in 0..self.bounds.proposers {
            let first = Proposer {
                rounds: 0,
                change: Some(self.scenario.first_change(proposer)),
                proposal: None,
                _value: std::marker::PhantomData,
            };
            state.proposers[proposer] = tables.proposers.intern(first);
        }
        for driver in &mut state.drivers {
            *driver = tables.drivers.intern(None);
        }
        let environment = Environment { configs: vec![config], restarts: self.bounds.restarts };
        state.environment = tables.environments.intern(environment);
        state
    }

    /// Returns an invariant that a state violates, if there is one.
    pub fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        let tables = self.tables.borrow();
        self.scenario.violated_invariant(tables.observations.value(state.observations))
    }

    /// Returns the successors of a state, with descriptions of the actions if these are requested.
    pub fn successors(&self, state: &State, with_descriptions: bool) -> Vec<(State, String)> {
        let mut tables = self.tables.borrow_mut();
        let mut builder = SuccessorBuilder {
            model: self,
            tables: &mut tables,
            from: *state,
            with_descriptions,
            successors: Vec::new(),
        };
        builder.start_rounds();
        builder.deliver_requests();
        builder.deliver_replies();
        builder.restart_hosts();
        builder.learn_configs();
        builder.start_transitions();
        let mut successors = builder.successors;
        successors.retain(|(next, _)| next != state);
        successors
    }
}

/// Collects the successors of one state.
struct SuccessorBuilder<'a, S: Scenario> {
    model: &'a Model<S>,
    tables: &'a mut Tables<S>,
    from: State,
    with_descriptions: bool,
    successors: Vec<(State, String)>,
}

impl<S: Scenario> SuccessorBuilder<'_, S> {
    fn environment(&self) -> Environment {
        self.tables.environments.value(self.from.environment).clone()
    }

    /// Adds a successor; descriptions are only needed for counterexamples.
    fn emit(&mut self, next: State, action: impl FnOnce() -> String) {
        let action = if self.with_descriptions { action() } else { String::new() };
        self.successors.push((next, action));
    }

    /// A proposer starts its first round, or another one after a timeout, with the current or an
    /// earlier replica set.
    fn start_rounds(&mut self) {
        for proposer in 0..self.model.bounds.proposers {
            let current = self.tables.proposers.value(self.from.proposers[proposer]).clone();
            let Some(change) = current.change.clone() else {
                continue;
            };
            if current.rounds >= self.model.bounds.rounds[proposer] {
                continue;
            }
            for config in self.environment().configs {
                let epoch = config.epoch;
                let (proposal, request) = Proposal::start(
                    key(),
                    change.clone(),
                    self.proposal_config(config),
                    self.ballot(proposer, current.rounds),
                );
                let mut next = self.from;
                self.send(&mut next, Sender::Proposer(proposer), proposal.members(), &request);
                let started = Proposer {
                    rounds: current.rounds + 1,
                    proposal: Some(proposal),
                    ..current.clone()
                };
                next.proposers[proposer] = self.tables.proposers.intern(started);
                self.emit(next, || {
                    format!("proposer {proposer} starts {change:?} in epoch {epoch}")
                });
            }
        }
    }

    fn ballot(&self, proposer: usize, round: u8) -> Ballot {
        let first = self.model.bounds.first_round[proposer];
        Ballot { round: u64::from(first) + u64::from(round), proposer: proposer as u64 }
    }

    fn proposal_config(&self, mut config: ShardConfig) -> ShardConfig {
        if self.model.mutation == Mutation::SingleMemberQuorum {
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
            self.send_message(next, message);
        }
    }

    fn send_message(&mut self, next: &mut State, message: Message<S::Value>) {
        let index = self.tables.messages.intern(message);
        add_to_network(next, index);
    }

    /// Returns the indices of the messages in the network.
    fn messages_in_network(&self) -> Vec<u32> {
        let words = self.from.network.iter().enumerate();
        let mut indices = Vec::new();
        for (index, word) in words {
            let mut remaining = *word;
            while remaining != 0 {
                indices.push(index as u32 * u64::BITS + remaining.trailing_zeros());
                remaining &= remaining - 1;
            }
        }
        indices
    }

    fn deliver_requests(&mut self) {
        for index in self.messages_in_network() {
            for host in 0..self.model.bounds.hosts {
                let before = self.from.replicas[host];
                let Some(delivery) = self.delivery(before, index) else {
                    continue;
                };
                let mut next = self.from;
                next.replicas[host] = delivery.replica;
                if let Some(reply) = delivery.reply {
                    add_to_network(&mut next, reply);
                }
                let message = self.tables.messages.value(index).clone();
                self.emit(next, || match message {
                    Message::Request { to, request, .. } => format!("{to} handles {request:?}"),
                    Message::Reply { .. } => String::new(),
                });
            }
        }
    }

    /// Returns the result of delivering a request; `None` if the replica is not its receiver.
    fn delivery(&mut self, replica: u32, message: u32) -> Option<Delivery> {
        if let Some(cached) = self.tables.deliveries.get(&(replica, message)) {
            return Some(*cached);
        }
        let Message::Request { sender, to, request } = self.tables.messages.value(message).clone()
        else {
            return None;
        };
        let mut after = self.tables.replicas.value(replica).clone();
        if *after.node() != to {
            return None;
        }
        let request = self.with_epoch_mutation(&after, request);
        let reply = self.handle(&mut after, request);
        // Rejections are dropped: they only cause a new round, which may start at any time anyway.
        let is_rejection = matches!(reply, ReplicaReply::Rejected { .. });
        let reply = (!is_rejection)
            .then(|| self.tables.messages.intern(Message::Reply { sender, from: to, reply }));
        let delivery = Delivery { replica: self.tables.replicas.intern(after), reply };
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

    /// Proposers and drivers handle replies. Replies below a quorum have no observable effect, so
    /// all replies of a quorum are delivered in one action, for each quorum that has replied.
    fn deliver_replies(&mut self) {
        let mut replies: HashMap<Sender, Vec<ReceivedReply<S::Value>>> = HashMap::new();
        for index in self.messages_in_network() {
            if let Message::Reply { sender, from, reply } = self.tables.messages.value(index) {
                replies.entry(*sender).or_default().push((from.clone(), reply.clone()));
            }
        }
        for (sender, received) in replies {
            for order in reply_orders(&received) {
                match sender {
                    Sender::Proposer(proposer) => self.deliver_to_proposer(proposer, &order),
                    Sender::Driver(driver) => self.deliver_to_driver(driver, &order),
                }
            }
        }
    }

    fn with_epoch_mutation(
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

    fn deliver_to_proposer(
        &mut self,
        proposer: usize,
        replies: &[(NodeId, ReplicaReply<S::Value>)],
    ) {
        let current = self.tables.proposers.value(self.from.proposers[proposer]).clone();
        let Some(mut proposal) = current.proposal.clone() else {
            return;
        };
        for (from, reply) in replies {
            match proposal.on_reply(from, reply.clone()) {
                Progress::Waiting => {}
                Progress::Broadcast(request) => {
                    let mut next = self.from;
                    self.send(&mut next, Sender::Proposer(proposer), proposal.members(), &request);
                    let accepting = Proposer { proposal: Some(proposal), ..current };
                    next.proposers[proposer] = self.tables.proposers.intern(accepting);
                    self.emit(next, || format!("proposer {proposer} receives {replies:?}"));
                    return;
                }
                Progress::Done(response) => {
                    return self.finish_proposal(proposer, &current, &response)
                }
                Progress::Preempted { .. } => return,
            }
        }
    }

    fn finish_proposal(
        &mut self,
        proposer: usize,
        current: &ProposerOf<S>,
        response: &Response<S>,
    ) {
        let observations = self.tables.observations.value(self.from.observations).clone();
        for (change, observed) in
            self.model.scenario.continuations(proposer, response, &observations)
        {
            let mut next = self.from;
            let next_change = change.clone();
            let finished = Proposer { change, proposal: None, ..current.clone() };
            next.proposers[proposer] = self.tables.proposers.intern(finished);
            next.observations = self.tables.observations.intern(observed);
            self.emit(next, || {
                format!(
                    "proposer {proposer} receives {response:?} and continues with {next_change:?}"
                )
            });
        }
    }

    fn restart_hosts(&mut self) {
        let environment = self.environment();
        if environment.restarts == 0 {
            return;
        }
        for host in 0..self.model.bounds.hosts {
            let old = self.tables.replicas.value(self.from.replicas[host]).node().clone();
            let mut replica = if self.model.mutation == Mutation::RestartKeepsIncarnation {
                Replica::new(old.clone())
            } else {
                Replica::new(host_node(host, old.incarnation.0 + 1))
            };
            if self.model.mutation == Mutation::RestartKeepsIncarnation {
                let config = environment.configs[0].clone();
                replica.handle(ReplicaRequest::Configure { config });
            }
            let mut next = self.from;
            next.replicas[host] = self.tables.replicas.intern(replica);
            let after = Environment { restarts: environment.restarts - 1, ..environment.clone() };
            next.environment = self.tables.environments.intern(after);
            self.emit(next, || format!("{old} restarts without its state"));
        }
    }

    /// A replica learns the newest stored replica set.
    fn learn_configs(&mut self) {
        let environment = self.environment();
        let Some(config) = environment.configs.last() else {
            return;
        };
        for host in 0..self.model.bounds.hosts {
            let mut replica = self.tables.replicas.value(self.from.replicas[host]).clone();
            let node = replica.node().clone();
            replica.handle(ReplicaRequest::Configure { config: config.clone() });
            let mut next = self.from;
            next.replicas[host] = self.tables.replicas.intern(replica);
            self.emit(next, || format!("{node} learns epoch {}", config.epoch));
        }
    }

    /// A driver starts a transition to the current incarnations on [`MEMBERS`] of the hosts.
    fn start_transitions(&mut self) {
        let environment = self.environment();
        for driver in 0..self.model.bounds.transitions {
            if self.tables.drivers.value(self.from.drivers[driver]).is_some() {
                continue;
            }
            for excluded in MEMBERS.saturating_sub(1)..=self.model.bounds.hosts {
                let members = self.current_members(excluded);
                let Some(old) = environment.configs.last().cloned() else {
                    continue;
                };
                if members.len() != MEMBERS || members == old.members {
                    continue;
                }
                let identifier = driver as u64 + 1;
                let (transition, seal) =
                    Transition::start(self.seal_config(old.clone()), members, identifier);
                let mut next = self.from;
                self.send(&mut next, Sender::Driver(driver), &old.members, &seal);
                let target = transition.target().clone();
                next.drivers[driver] = self.tables.drivers.intern(Some(transition));
                self.emit(next, || {
                    format!("driver {driver} starts a transition to {:?}", target.members)
                });
            }
            return;
        }
    }

    /// Returns the current incarnations on all hosts except `excluded`, which may be out of range.
    fn current_members(&self, excluded: usize) -> BTreeSet<NodeId> {
        (0..self.model.bounds.hosts)
            .filter(|host| *host != excluded)
            .map(|host| self.tables.replicas.value(self.from.replicas[host]).node().clone())
            .collect()
    }

    fn seal_config(&self, mut config: ShardConfig) -> ShardConfig {
        if self.model.mutation == Mutation::SealsOneMember {
            config.members = config.members.into_iter().take(1).collect();
        }
        config
    }

    fn deliver_to_driver(&mut self, driver: usize, replies: &[(NodeId, ReplicaReply<S::Value>)]) {
        let current = self.tables.drivers.value(self.from.drivers[driver]).clone();
        let Some(mut transition) = current else {
            return;
        };
        for (from, reply) in replies {
            let step = transition.on_reply(from, reply.clone());
            let mut next = self.from;
            match step {
                TransitionStep::Waiting => continue,
                TransitionStep::Superseded => return,
                TransitionStep::Stage(mut request) => {
                    if self.model.mutation == Mutation::SkipsStateTransfer {
                        if let ReplicaRequest::Stage { slots, .. } = &mut request {
                            slots.clear();
                        }
                    }
                    let members = transition.target().members.clone();
                    self.send(&mut next, Sender::Driver(driver), &members, &request);
                }
                TransitionStep::Commit(config) => {
                    let mut environment = self.environment();
                    let newest = environment.configs.last().map_or(0, |config| config.epoch);
                    if newest + 1 == config.epoch {
                        environment.configs.push(config);
                    }
                    next.environment = self.tables.environments.intern(environment);
                }
            }
            next.drivers[driver] = self.tables.drivers.intern(Some(transition));
            self.emit(next, || format!("driver {driver} receives {replies:?}"));
            return;
        }
    }
}

/// Adds the message with this index to the network.
fn add_to_network(state: &mut State, index: u32) {
    let index = index as usize;
    assert!(index < NETWORK_WORDS * 64, "the network contains too many distinct messages");
    state.network[index / 64] |= 1 << (index % 64);
}

/// Returns orders of the replies, forward and backward from each position, such that every quorum
/// of three members comes first in one of them.
fn reply_orders<T: Clone>(replies: &[T]) -> Vec<Vec<T>> {
    let rotate = |first: usize| {
        let (head, tail) = replies.split_at(first);
        [tail, head].concat()
    };
    let forward: Vec<Vec<T>> = (0..replies.len()).map(rotate).collect();
    let backward = forward.iter().map(|order| order.iter().rev().cloned().collect()).collect();
    [forward, backward].concat()
}
