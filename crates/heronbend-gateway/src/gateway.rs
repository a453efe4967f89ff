//! Shared state of one gateway daemon.
//!
//! A daemon is single-threaded: all tasks run on one local executor, so the state uses `Cell` and
//! `RefCell` instead of locks. No borrow may be held across an `await`.

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

use crate::admission_settings::AdmissionSettings;
use crate::batch::in_flight::InFlightCalls;
use crate::batch::length_estimate::LengthEstimator;
use crate::batch::migration::MigrationCost;
use crate::batch::read_pacing::ReadPacer;
use crate::batch::registry::JobRegistry;
use crate::call_admission::CallAdmission;
use crate::clock::Clock;
use crate::compressed_update::UpdateCache;
use crate::configuration::Configuration;
use crate::demand_exchange::DemandExchange;
use crate::directory::Directory;
use crate::dissemination::UpdateAge;
use crate::duties::usage::ReportingSchedule;
use crate::duties::usage::UsageTracker;
use crate::failover_store::FailoverStore;
use crate::http::client::ConnectionPool;
use crate::lease_state::LeaseName;
use crate::lease_state::LeaseState;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::permits::ColdStartMargin;
use crate::permits::Permits;
use crate::ports::{Dialect, Ports, Provider};
use crate::quarantine::Quarantine;
use crate::region_policy;
use crate::replica::Replica;
use crate::shutdown;
use crate::slot_queue::SlotQueue;
use crate::traffic_split::TrafficSplitter;
use crate::upstream::Upstream;
use crate::versions::published::PublishedVersions;

/// Timeout for connecting to a server.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for connecting to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Fraction of the memory for responses, as a divisor, that large responses leave to small ones.
const SMALL_RESPONSE_DIVISOR: usize = 8;

/// Creates the memory budget for responses of at most `max_bytes` together.
pub fn response_budget(max_bytes: usize) -> Rc<MemoryBudget> {
    MemoryBudget::with_small_share(max_bytes, max_bytes / SMALL_RESPONSE_DIVISOR)
}

/// Shortest default for the time for which a client may leave a response unread.
const MIN_DEFAULT_UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Identity of a daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Node name and incarnation of the process.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
}

/// Deployment-specific limits and timeouts.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Delay between the last command of one lease holder and the first command of the next.
    pub lease_pause: Duration,
    /// How long the results of a finished job stay readable.
    pub result_retention: Duration,
    /// Maximum total size of buffered client request bodies, in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum total size of buffered responses to clients, in bytes.
    pub max_response_bytes: usize,
    /// Longest time without progress for which a client may leave a response unread; `None` for
    /// the default, see [`Gateway::unread_timeout`].
    pub unread_timeout: Option<Duration>,
    /// Maximum size of an object in the store, in bytes.
    pub max_object_bytes: usize,
    /// Maximum time from the stop signal to the exit of the process.
    pub stop_limit: Duration,
    /// Time within which all daemons must learn that a server is draining.
    pub drain_notice: Duration,
    /// Time within which all daemons must apply a new configuration.
    pub configuration_notice: Duration,
    /// Schedule of usage reports; `None` if usage isn't reported.
    pub usage: Option<ReportingSchedule>,
    /// Age of an unconfirmed configuration beyond which requests with API keys are rejected; `None`
    /// disables the check.
    pub max_configuration_age: Option<Duration>,
    /// CPU limit of the process in millicores; 0 if unknown.
    pub processor_millis: u32,
    /// Whether this daemon takes part in scaling the fleet.
    pub scaling_enabled: bool,
    /// Time within which all daemons must stop sending requests to an evacuated zone; `None` if
    /// zones are never evacuated.
    pub evacuation_notice: Option<Duration>,
    /// How far the request rate of a cold server may exceed its limit.
    pub cold_margin: ColdStartMargin,
    /// Thresholds for quarantining requests that crash servers.
    pub quarantine: Limits,
    /// Whether batch items are placed by the slack of their step.
    pub by_slack: bool,
}

/// Shared state of one daemon.
pub struct Gateway {
    /// Identity of this daemon.
    pub identity: Identity,
    /// Persistent object store, reached directly or through a peer.
    pub store: FailoverStore,
    /// Encoding of calls and objects.
    pub dialect: Rc<dyn Dialect>,
    /// Infrastructure provider, if this daemon calls it.
    pub provider: Option<Rc<dyn Provider>>,
    /// Executor of all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connection pool for servers.
    pub server_connections: ConnectionPool,
    /// Connection pool for peers.
    pub peer_connections: ConnectionPool,
    /// Local copies of the store's objects that peers may read, by kind.
    pub replicas: RefCell<HashMap<&'static str, Replica>>,
    /// Encoded updates of the replicas for peers.
    pub compressed_updates: UpdateCache,
    /// Upstream of the updates of each kind; kinds without an entry are read from the store.
    pub upstreams: RefCell<HashMap<&'static str, Upstream>>,
    /// Notified when a replica changes.
    pub replica_changed: Event,
    /// Hashes the API keys of tenants.
    pub key_hasher: KeyHasher,
    /// Active configuration.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Notified after a configuration has become active.
    pub configuration_changed: Event,
    /// Registered servers and the placement state.
    pub directory: RefCell<Directory>,
    /// Whether the servers have been listed from the store at least once.
    pub servers_loaded: Cell<bool>,
    /// Splits the traffic of a route among its destinations.
    pub splitter: RefCell<TrafficSplitter>,
    /// Batch items waiting for a free slot.
    pub slot_queue: SlotQueue,
    /// Calls that wait for a service whose servers cannot run all of them.
    pub call_admission: CallAdmission,
    /// Permits for sending requests to cold servers.
    pub permits: Permits,
    /// Exchange of the demand for services with other daemons.
    pub demand_exchange: DemandExchange,
    /// Quarantine of requests that crash servers.
    pub quarantine: Quarantine,
    /// Evacuated zones.
    pub evacuated: RefCell<BTreeSet<String>>,
    /// Whether this daemon is draining before it exits.
    pub draining: Cell<bool>,
    /// Progress of the shutdown.
    pub shutdown: shutdown::Progress,
    /// Other daemons of the fleet.
    pub members: Peers,
    /// Estimates the output length of batch items.
    pub length_estimator: RefCell<LengthEstimator>,
    /// Cost of migrating a batch item to another server.
    pub migration_cost: RefCell<MigrationCost>,
    /// Paces the reads of batch item streams.
    pub read_pacer: ReadPacer,
    /// Reward calls in flight.
    pub reward_calls: InFlightCalls,
    /// Batch jobs.
    pub jobs: JobRegistry,
    /// Usage counters per tenant, if usage is reported.
    pub usage: Option<Rc<UsageTracker>>,
    /// Lease for calls to the provider.
    pub duty_lease: LeaseState,
    /// Published model versions and commands in progress.
    pub versions: PublishedVersions,
    /// Peer addresses to contact while no other member is known.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Addresses of other daemons that were read from the store while no peer was alive.
    pub met_addresses: RefCell<Vec<SocketAddr>>,
    tuning: Cell<Tuning>,
    /// Queueing of calls under load, if enabled.
    admission_settings: RefCell<Option<Rc<AdmissionSettings>>>,
    /// Overlay tree of this daemon's zone, with the membership version it was built from.
    tree: RefCell<Option<(u64, Rc<Tree>)>>,
    /// When a peer last confirmed each kind as current, and the age of its state.
    pub update_ages: RefCell<HashMap<&'static str, UpdateAge>>,
    /// When a peer last sent an update of any kind.
    pub last_update_at: Cell<Moment>,
    /// Since when the store has answered without a failure.
    pub store_reachable_since: Cell<Moment>,
    /// When the active configuration was last confirmed to be current.
    pub configuration_confirmed_at: Cell<Moment>,
    /// Newest configuration version announced by a peer.
    pub newest_peer_configuration: Cell<u64>,
    /// Notified when watches may have missed updates and all kinds have to be listed again.
    pub restart_watches: Event,
    /// Memory budget for client request bodies.
    pub memory: Rc<MemoryBudget>,
    /// Memory budget for responses that are read from servers or wait for their clients.
    pub response_memory: Rc<MemoryBudget>,
    /// Retry budget shared by all requests.
    pub retries: RefCell<RetryBudget>,
    /// Metrics.
    pub metrics: Metrics,
    /// Notified when the machine resumes from suspension, so that deadlines are checked again.
    pub resumed: Event,
    clock: Clock,
}

impl Gateway {
    /// Creates the state of a daemon that uses the system clock.
    pub fn new(
        identity: Identity,
        ports: Ports,
        executor: Rc<LocalExecutor<'static>>,
        tuning: Tuning,
    ) -> Rc<Self> {
        Self::with_clock(identity, ports, executor, tuning, Clock::system())
    }

    /// Creates the state of a daemon that uses `clock`.
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
        directory.placer.set_slack_scheduling(tuning.by_slack);
        let usage = tuning.usage.filter(|_| provider.is_some());
        let usage = usage.map(|schedule| {
            Rc::new(UsageTracker::new(identity.node.clone(), schedule, Moment::ZERO))
        });
        let gateway = Rc::new(Self {
            identity,
            store: FailoverStore::new(store, metrics.clone(), clock.clone()),
            dialect,
            provider,
            server_connections: ConnectionPool::with_open_observer(
                executor.clone(),
                SERVER_CONNECT_TIMEOUT,
                {
                    let metrics = metrics.clone();
                    move |reason| metrics.record_connection(reason.name())
                },
            ),
            peer_connections: ConnectionPool::new(executor.clone(), PEER_CONNECT_TIMEOUT),
            executor,
            replicas: RefCell::default(),
            compressed_updates: UpdateCache::default(),
            upstreams: RefCell::default(),
            replica_changed: Event::new(),
            key_hasher: KeyHasher::random(),
            configuration: RefCell::default(),
            configuration_changed: Event::new(),
            directory: RefCell::new(directory),
            servers_loaded: Cell::new(false),
            splitter: RefCell::new(TrafficSplitter::new(rand::rng().random())),
            slot_queue: SlotQueue::default(),
            call_admission: CallAdmission::default(),
            permits,
            demand_exchange: DemandExchange::default(),
            quarantine: Quarantine::new(tuning.quarantine),
            evacuated: RefCell::default(),
            draining: Cell::new(false),
            shutdown: shutdown::Progress::default(),
            members: Peers::default(),
            length_estimator: RefCell::default(),
            migration_cost: RefCell::default(),
            read_pacer: ReadPacer::default(),
            reward_calls: InFlightCalls::default(),
            jobs: JobRegistry::new({
                let clock = clock.clone();
                move || clock.now()
            }),
            usage,
            duty_lease: LeaseState::default(),
            versions: PublishedVersions::default(),
            seeds: RefCell::default(),
            met_addresses: RefCell::default(),
            tuning: Cell::new(tuning),
            admission_settings: RefCell::default(),
            tree: RefCell::default(),
            update_ages: RefCell::default(),
            last_update_at: Cell::new(Moment::ZERO),
            store_reachable_since: Cell::new(Moment::ZERO),
            configuration_confirmed_at: Cell::new(Moment::ZERO),
            newest_peer_configuration: Cell::new(0),
            restart_watches: Event::new(),
            memory: MemoryBudget::new(tuning.max_buffered_bytes),
            response_memory: response_budget(tuning.max_response_bytes),
            retries: RefCell::default(),
            metrics,
            resumed: Event::new(),
            clock,
        });
        gateway.store.set_relay(&gateway);
        gateway
    }

    /// Time since this daemon started.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Clock of this daemon.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Current limits and timeouts.
    pub fn tuning(&self) -> Tuning {
        self.tuning.get()
    }

    /// Replaces the limits and timeouts.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.quarantine.set_limits(tuning.quarantine);
        self.directory.borrow_mut().placer.set_slack_scheduling(tuning.by_slack);
        self.tuning.set(tuning);
    }

    /// How calls are queued under load; `None` if they are not.
    pub fn admission_settings(&self) -> Option<Rc<AdmissionSettings>> {
        self.admission_settings.borrow().clone()
    }

    /// Replaces the admission settings; `None` disables the queueing of calls.
    pub fn set_admission_settings(&self, settings: Option<AdmissionSettings>) {
        self.admission_settings.replace(settings.map(Rc::new));
    }

    /// Active configuration, if one has been loaded.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Version of the active configuration; 0 if none has been loaded.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.borrow().as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Whether a peer has announced a newer configuration than the active one.
    pub fn is_configuration_behind(&self) -> bool {
        self.newest_peer_configuration.get() > self.configuration_version()
    }

    /// Time since the active configuration was last confirmed to be current.
    pub fn configuration_age(&self) -> Duration {
        let told = self.now().saturating_sub(self.configuration_confirmed_at.get());
        told.min(self.store.since_last_response())
    }

    /// Whether the active configuration is too old to accept API keys, which may have been revoked
    /// meanwhile.
    pub fn rejects_keys(&self) -> bool {
        let limit = self.tuning().max_configuration_age;
        limit.is_some_and(|limit| self.configuration_age() > limit)
    }

    /// Longest time without progress for which a client may leave a response unread.
    ///
    /// The default is no shorter than any deadline: a client that has read nothing for as long is
    /// past the deadline of its request.
    pub fn unread_timeout(&self) -> Duration {
        self.tuning().unread_timeout.unwrap_or_else(|| {
            let longest = self.configuration().and_then(|configuration| {
                configuration.routes.iter().map(|route| route.timeout).max()
            });
            longest.unwrap_or_default().max(MIN_DEFAULT_UNREAD_TIMEOUT)
        })
    }

    /// Whether this daemon can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.draining.get()
            && self.servers_loaded.get()
            && self.directory.borrow().placer.evacuations_loaded()
            && self.configuration.borrow().is_some()
    }

    /// Known state of a lease.
    pub fn lease_state(&self, lease: LeaseName) -> &LeaseState {
        match lease {
            LeaseName::Orders => &self.versions.lease,
            LeaseName::Duties => &self.duty_lease,
        }
    }

    /// Overlay tree of this daemon's zone, through which store updates are relayed.
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

    /// Overlay tree of another zone.
    pub fn tree_of(&self, zone: &str) -> Tree {
        Tree::new(self.members.overlay_candidates(zone))
    }

    fn own_candidate(&self) -> Candidate {
        let processor_millis = self.tuning().processor_millis;
        Candidate { node: self.identity.node.clone(), processor_millis }
    }

    /// Live daemons that may run jobs restricted to `allowed_regions`; includes this daemon unless
    /// it is draining.
    pub fn job_candidates(&self, allowed_regions: Option<&BTreeSet<String>>) -> Vec<Candidate> {
        let mut candidates = self.members.alive_candidates(allowed_regions);
        if !self.draining.get() && region_policy::allows(allowed_regions, &self.identity.region) {
            candidates.push(self.own_candidate());
        }
        candidates
    }

    /// Whether this daemon has seeds configured but sees no live peer.
    pub fn has_lost_all_peers(&self) -> bool {
        self.members.alive_count() == 0 && !self.seeds.borrow().is_empty()
    }

    /// Whether any route or tenant restricts the regions in which its requests run.
    pub fn restricts_regions(&self) -> bool {
        self.configuration().is_some_and(|configuration| configuration.restricts_regions())
    }

    /// Sets the region of each zone.
    pub fn set_zone_regions(&self, zones: &BTreeMap<String, String>) {
        let placer = &mut self.directory.borrow_mut().placer;
        zones.iter().for_each(|(zone, region)| placer.set_region(zone, region));
    }

    /// Updates the connection limits of all services: the live daemons share the connections that
    /// each server accepts.
    pub fn update_service_limits(&self) {
        let own = self.tuning().processor_millis;
        let mut processors = self.members.alive_cpu_millis();
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
