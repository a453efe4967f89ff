//! What the parts of one daemon share.
//!
//! A daemon runs on one thread: on its machines only one thread runs at a time, and each wake-up is
//! paid for. Nothing is locked; a part borrows what it needs and never holds it across a wait.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::access::KeyHasher;
use heronbend::admission::RetryBudget;
use heronbend::identity::NodeId;
use heronbend::membership::Candidate;
use heronbend::overlay::Tree;
use heronbend::placement::share;
use heronbend::quarantine::Limits;
use heronbend::Moment;
use rand::Rng;
use smol::LocalExecutor;

use crate::batch::crowd::Crowd;
use crate::batch::gate::Gate;
use crate::batch::length::Lengths;
use crate::batch::moves::MoveCost;
use crate::batch::registry::JobRegistry;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::dissemination::Telling;
use crate::duties::book::Book;
use crate::duties::book::Terms;
use crate::homes;
use crate::http::client::ConnectionPool;
use crate::lease_news::LeaseName;
use crate::lease_news::LeaseNews;
use crate::memory::Budget;
use crate::metrics::Metrics;
use crate::news_way::Way;
use crate::packed_news::Texts;
use crate::peers::Peers;
use crate::permits::ColdMargin;
use crate::permits::Permits;
use crate::places::Places;
use crate::ports::{Dialect, Ports, Provider};
use crate::quarantine::Quarantine;
use crate::relayed_store::RelayedStore;
use crate::replica::Replica;
use crate::split::Splitter;
use crate::versions::board::VersionBoard;

/// Longest wait for a connection to a server.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for a connection to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the machine's daemon and the run of its process.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Time constants that the surroundings set.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Pause between the last order of one holder of the lease and the first of another.
    pub lease_pause: Duration,
    /// How long results stay readable after a job has ended.
    pub result_retention: Duration,
    /// Most bytes of clients' bodies that are held at once.
    pub max_held_bytes: usize,
    /// Largest object that the store takes, in bytes.
    pub max_object_bytes: usize,
    /// Longest time from the signal to stop until the process is gone.
    pub stop_limit: Duration,
    /// Time within which a server that leaves has to be known everywhere.
    pub drain_notice: Duration,
    /// Time within which a configuration has to be in force everywhere.
    pub configuration_notice: Duration,
    /// How usage is to be reported, if it is.
    pub usage: Option<Terms>,
    /// Time without news of the configuration after which callers with keys are refused; never
    /// where there is none.
    pub closes_after: Option<Duration>,
    /// Thousandths of a core that the process may use; 0 where that is not stated.
    pub processor_millis: u32,
    /// Whether servers are to be ordered.
    pub scales: bool,
    /// Time within which nothing goes to an evacuated zone any more; nothing where zones are never
    /// evacuated.
    pub evacuation_notice: Option<Duration>,
    /// How much more than it bears a cold server may get.
    pub cold_margin: ColdMargin,
    /// When requests that end their servers are refused, and tried again.
    pub quarantine: Limits,
}

/// Shared state of one daemon.
pub struct Gateway {
    /// Who this daemon is.
    pub identity: Identity,
    /// Where everything lasting is kept.
    pub store: RelayedStore,
    /// How the surroundings spell things.
    pub dialect: Rc<dyn Dialect>,
    /// Who provides the machines, where this daemon has duties towards them.
    pub provider: Option<Rc<dyn Provider>>,
    /// Runs all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections to servers.
    pub servers: ConnectionPool,
    /// Connections to peers.
    pub peers: ConnectionPool,
    /// Objects of the store that peers may follow here, by kind.
    pub replicas: RefCell<HashMap<&'static str, Replica>>,
    /// News of those as it is told to peers.
    pub news_texts: Texts,
    /// By which way news of each kind comes; by the store where there is none.
    pub ways: RefCell<HashMap<&'static str, Way>>,
    /// Notified when a replica has changed.
    pub replica_changed: Event,
    /// Digests the keys of tenants.
    pub key_hasher: KeyHasher,
    /// The newest configuration.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Known servers, and what decides which of them runs what.
    pub directory: RefCell<Directory>,
    /// Whether the list of servers has been read.
    pub directory_known: Cell<bool>,
    /// Division of requests among destinations.
    pub splitter: RefCell<Splitter>,
    /// Texts that wait for places.
    pub places: Places,
    /// Permits for cold servers.
    pub permits: Permits,
    /// Requests that servers ended under.
    pub quarantine: Quarantine,
    /// Zones that are evacuated.
    pub evacuated: RefCell<BTreeSet<String>>,
    /// Whether this daemon is stopping.
    pub draining: Cell<bool>,
    /// The other daemons.
    pub members: Peers,
    /// How long texts become.
    pub lengths: RefCell<Lengths>,
    /// What it costs to move a text.
    pub move_cost: RefCell<MoveCost>,
    /// Texts of items that are read here.
    pub crowd: Crowd,
    /// Reward calls under way.
    pub reward_gate: Gate,
    /// Batch jobs.
    pub jobs: JobRegistry,
    /// What tenants use, where that is to be reported.
    pub usage: Option<Rc<Book>>,
    /// The lease for duties towards the provider.
    pub duty_lease: LeaseNews,
    /// Named versions and orders under way.
    pub versions: VersionBoard,
    /// Peer addresses of some other daemons, for as long as nobody is known.
    pub seeds: RefCell<Vec<SocketAddr>>,
    tuning: Cell<Tuning>,
    /// The tree of this daemon's zone, with the version of the members that it is of.
    tree: RefCell<Option<(u64, Rc<Tree>)>>,
    /// What other daemons told last of each kind.
    pub told: RefCell<HashMap<&'static str, Telling>>,
    /// When another daemon last told anything.
    pub told_last: Cell<Moment>,
    /// Since when the store has answered without a failure.
    pub store_reached_since: Cell<Moment>,
    /// When a daemon that watches the store last told whether the configuration has changed.
    pub configuration_told: Cell<Moment>,
    /// Newest version of the configuration that a peer has told of.
    pub behind: Cell<u64>,
    /// Notified when watches may hear nothing and lists are to be read.
    pub watches_doubted: Event,
    /// What clients' bodies take of the memory.
    pub memory: Rc<Budget>,
    /// Retries that failures may still cause.
    pub retries: RefCell<RetryBudget>,
    /// Counters.
    pub metrics: Metrics,
    /// Notified when the machine goes on after it was suspended: waits are looked at anew.
    pub resumed: Event,
    clock: Clock,
}

impl Gateway {
    /// The state of a daemon that knows nothing yet.
    pub fn new(
        identity: Identity,
        ports: Ports,
        executor: Rc<LocalExecutor<'static>>,
        tuning: Tuning,
    ) -> Rc<Self> {
        Self::with_clock(identity, ports, executor, tuning, Clock::system())
    }

    /// The same, with a clock of its own.
    pub fn with_clock(
        identity: Identity,
        ports: Ports,
        executor: Rc<LocalExecutor<'static>>,
        tuning: Tuning,
        clock: Clock,
    ) -> Rc<Self> {
        let metrics = Metrics::default();
        let Ports { store, dialect, provider } = ports;
        let permits = Permits::new(identity.node.name.clone());
        let mut directory = Directory::new(rand::rng().random());
        directory.placer.set_region(&identity.zone, &identity.region);
        directory.placer.set_local_zone(&identity.zone);
        let usage = tuning.usage.filter(|_| provider.is_some());
        let usage =
            usage.map(|terms| Rc::new(Book::new(identity.node.clone(), terms, Moment::ZERO)));
        let gateway = Rc::new(Self {
            identity,
            store: RelayedStore::new(store, metrics.clone(), clock.clone()),
            dialect,
            provider,
            servers: ConnectionPool::told(executor.clone(), SERVER_CONNECT_TIMEOUT, {
                let metrics = metrics.clone();
                move |reason| metrics.connection_opened(reason.name())
            }),
            peers: ConnectionPool::new(executor.clone(), PEER_CONNECT_TIMEOUT),
            executor,
            replicas: RefCell::default(),
            news_texts: Texts::default(),
            ways: RefCell::default(),
            replica_changed: Event::new(),
            key_hasher: KeyHasher::random(),
            configuration: RefCell::default(),
            directory: RefCell::new(directory),
            directory_known: Cell::new(false),
            splitter: RefCell::new(Splitter::new(rand::rng().random())),
            places: Places::default(),
            permits,
            quarantine: Quarantine::new(tuning.quarantine),
            evacuated: RefCell::default(),
            draining: Cell::new(false),
            members: Peers::default(),
            lengths: RefCell::default(),
            move_cost: RefCell::default(),
            crowd: Crowd::default(),
            reward_gate: Gate::default(),
            jobs: JobRegistry::new({
                let clock = clock.clone();
                move || clock.now()
            }),
            usage,
            duty_lease: LeaseNews::default(),
            versions: VersionBoard::default(),
            seeds: RefCell::default(),
            tuning: Cell::new(tuning),
            tree: RefCell::default(),
            told: RefCell::default(),
            told_last: Cell::new(Moment::ZERO),
            store_reached_since: Cell::new(Moment::ZERO),
            configuration_told: Cell::new(Moment::ZERO),
            behind: Cell::new(0),
            watches_doubted: Event::new(),
            memory: Budget::new(tuning.max_held_bytes),
            retries: RefCell::default(),
            metrics,
            resumed: Event::new(),
            clock,
        });
        gateway.store.relay_through(&gateway);
        gateway
    }

    /// Time since this daemon started.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The clock that it goes by.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Time constants.
    pub fn tuning(&self) -> Tuning {
        self.tuning.get()
    }

    /// Changes the time constants.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.quarantine.set_limits(tuning.quarantine);
        self.tuning.set(tuning);
    }

    /// The configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Version of the configuration in force; 0 when none is known.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.borrow().as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Whether a peer has told of a newer configuration than the one in force here.
    pub fn is_configuration_behind(&self) -> bool {
        self.behind.get() > self.configuration_version()
    }

    /// Time for which the configuration in force here may have been replaced unheard.
    pub fn configuration_age(&self) -> Duration {
        let told = self.now().saturating_sub(self.configuration_told.get());
        told.min(self.store.silent_for())
    }

    /// Whether a key may have been taken away unheard for longer than callers with keys are served.
    pub fn is_closed(&self) -> bool {
        let limit = self.tuning().closes_after;
        limit.is_some_and(|limit| self.configuration_age() > limit)
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.draining.get()
            && self.directory_known.get()
            && self.directory.borrow().placer.evacuations_loaded()
            && self.configuration.borrow().is_some()
    }

    /// What is told of a lease.
    pub fn lease_news(&self, lease: LeaseName) -> &LeaseNews {
        match lease {
            LeaseName::Orders => &self.versions.lease,
            LeaseName::Duties => &self.duty_lease,
        }
    }

    /// The tree by which news of the store reaches this daemon's zone.
    pub fn tree(&self) -> Rc<Tree> {
        let version = self.members.version();
        let mut known = self.tree.borrow_mut();
        if let Some((_, tree)) = known.as_ref().filter(|(of, _)| *of == version) {
            return tree.clone();
        }
        let mut candidates = self.members.overlay_candidates(&self.identity.zone);
        candidates.push(self.own_candidate());
        let tree = Rc::new(Tree::new(candidates));
        *known = Some((version, tree.clone()));
        tree
    }

    /// The tree of another zone.
    pub fn tree_of(&self, zone: &str) -> Tree {
        Tree::new(self.members.overlay_candidates(zone))
    }

    fn own_candidate(&self) -> Candidate {
        let processor_millis = self.tuning().processor_millis;
        Candidate { node: self.identity.node.clone(), processor_millis }
    }

    /// The daemons that may run jobs with these homes now, this one among them unless it stops.
    pub fn job_candidates(&self, homes: Option<&BTreeSet<String>>) -> Vec<Candidate> {
        let mut candidates = self.members.alive_candidates(homes);
        if !self.draining.get() && homes::allow(homes, &self.identity.region) {
            candidates.push(self.own_candidate());
        }
        candidates
    }

    /// Whether this daemon knows of no other although there are some.
    pub fn is_alone_of_several(&self) -> bool {
        self.members.count_alive() == 0 && !self.seeds.borrow().is_empty()
    }

    /// Whether requests of some route or tenant may be in some regions only.
    pub fn has_homes(&self) -> bool {
        self.configuration().is_some_and(|configuration| configuration.has_homes())
    }

    /// Notes the region of each zone.
    pub fn know_zones(&self, zones: &BTreeMap<String, String>) {
        let placer = &mut self.directory.borrow_mut().placer;
        zones.iter().for_each(|(zone, region)| placer.set_region(zone, region));
    }

    /// Brings the limits of services up to date: all daemons that are alive share what a server takes.
    pub fn share_servers(&self) {
        let own = self.tuning().processor_millis;
        let mut processors = self.members.alive_processors();
        processors.push(own);
        let daemons = share::Daemons::count(&processors);
        let Some(configuration) = self.configuration() else {
            return;
        };
        let placer = &mut self.directory.borrow_mut().placer;
        for service in configuration.services.values() {
            let share = daemons.share(own, service.max_connections);
            placer.set_service_limits(&service.name, share, service.cold);
        }
    }
}
