//! The daemon that callers reach: starts the parts, answers calls, and stops without a loss.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use heronbend::membership::{Liveness, Member};
use http::Request;
use hyper::body::Incoming;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::{LocalExecutor, Timer};
use thiserror::Error;

use crate::batch::ownership_duty;
use crate::configuration::Configuration;
use crate::configuration::Finding;
use crate::directory::Run;
use crate::directory::Server;
use crate::directory::ServerState;
use crate::duties;
use crate::evacuations;
use crate::gateway::Gateway;
use crate::http::server::{Listener, ListenerLimits};
use crate::http::{bytes_answer, text_answer, Answer};
use crate::lease_keeper::LeaseKeeper;
use crate::lease_news::LeaseName;
use crate::mirror::{self, MirrorSink, Source};
use crate::peers;
use crate::ports::{DialectError, Object, Ports};
use crate::quarantine;
use crate::quarantine::evidence;
use crate::reload;
use crate::versions;
use crate::wait;

/// Share of the time for a change of servers in which further ones are gathered into one call. The
/// rest is for the store's answer, and for a call that has to be repeated.
const DIRECTORY_GATHERING: f64 = 0.5;
/// The same for the configuration, of which a storm of changes is to be in force soon.
const CONFIGURATION_GATHERING: f64 = 0.15;
/// Added to the idle timeout of clients before a kept connection is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time for the entry to stop sending new connections, after the daemon says it is not ready.
const STOP_NOTICE: Duration = Duration::from_millis(3500);
/// Kept back of the time to stop, for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(1200);
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time between two lines with what was counted.
const COUNTS_PERIOD: Duration = Duration::from_secs(5);
/// Longest time to tell the others that this daemon stops.
const LEAVE_LIMIT: Duration = Duration::from_millis(200);

/// Addresses that a daemon serves on.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// The entry's question whether the daemon is ready; may be the callers' address.
    pub ready: SocketAddr,
    /// Peers, by TCP and UDP.
    pub peers: SocketAddr,
    /// Counters.
    pub metrics: Option<SocketAddr>,
    /// Peer addresses of some other daemons; may be out of date.
    pub seeds: Vec<SocketAddr>,
}

/// Path at which the entry asks whether a daemon is ready.
#[derive(Debug, Clone, Copy)]
pub struct ReadyPath(pub &'static str);

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be served on.
    #[error("listening on {address} for {purpose}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// The system's error.
        error: std::io::Error,
    },
    /// Signals cannot be taken.
    #[error("taking signals: {0}")]
    Signals(std::io::Error),
}

/// Runs a daemon until it is told to stop and has drained.
pub fn run(
    ready_path: ReadyPath,
    source: reload::Source,
    ports: impl FnOnce(Rc<LocalExecutor<'static>>) -> Ports,
) -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    let ports = ports(executor.clone());
    let stop = crate::keeper::stop_signal(&[SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let hang_up = crate::keeper::stop_signal(&[SIGHUP]).map_err(StartError::Signals)?;
    let (identity, tuning) = (source.settings.identity(), source.settings.tuning());
    let addresses = source.settings.addresses();
    let first_start = source.settings.first_start;
    let gateway = Gateway::new(identity, ports, executor.clone(), tuning);
    gateway.know_zones(&source.settings.zones);
    smol::block_on(executor.run(async move {
        gateway.members.introduction.begin(first_start);
        let callers = start(&gateway, &addresses, ready_path)?;
        gateway.executor.spawn(reload::follow(gateway.clone(), source, hang_up)).detach();
        stop.wait().await;
        drain(&gateway, &callers).await;
        Ok(())
    }))
}

fn start(
    gateway: &Rc<Gateway>,
    addresses: &Addresses,
    ready_path: ReadyPath,
) -> Result<Rc<Listener>, StartError> {
    let callers = listen(gateway, addresses.callers, "callers", {
        let gateway = gateway.clone();
        move |request| answer_caller(gateway.clone(), request, ready_path)
    })?;
    if addresses.ready != addresses.callers {
        let gateway = gateway.clone();
        let executor = gateway.clone();
        listen(&executor, addresses.ready, "ready", move |request| {
            answer_ready(gateway.clone(), request, ready_path)
        })?;
    }
    {
        let served = gateway.clone();
        listen(gateway, addresses.peers, "peers", move |request| {
            peers::duty::answer_peer(served.clone(), request)
        })?;
    }
    if let Some(address) = addresses.metrics {
        let told = gateway.clone();
        let page = move |_| {
            let page = told.metrics.page();
            async move { bytes_answer(http::StatusCode::OK, "text/plain", page.into()) }
        };
        if let Err(error) = listen(gateway, address, "metrics", page) {
            log::warn!("event=metrics_not_served error=\"{error}\"");
        }
    }
    start_membership(gateway, addresses)?;
    start_duties(gateway, &callers);
    log::info!(
        "event=started node={} zone={} callers={} peers={}",
        gateway.identity.node,
        gateway.identity.zone,
        addresses.callers,
        addresses.peers
    );
    Ok(callers)
}

fn listen<H, F>(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    purpose: &'static str,
    handler: H,
) -> Result<Rc<Listener>, StartError>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: std::future::Future<Output = Answer> + 'static,
{
    let failed = |error| StartError::Listen { address, purpose, error };
    let socket = TcpListener::bind(address).map_err(failed)?;
    let socket = smol::Async::new(socket).map_err(failed)?;
    let listener = Listener::new();
    let serving = listener.clone().serve(gateway.executor.clone(), socket.into(), handler);
    gateway.executor.spawn(serving).detach();
    Ok(listener)
}

fn start_membership(gateway: &Rc<Gateway>, addresses: &Addresses) -> Result<(), StartError> {
    let address = addresses.peers;
    let failed = |error| StartError::Listen { address, purpose: "peers' datagrams", error };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    let socket = smol::Async::new(socket).map_err(failed)?;
    let me = Member {
        id: gateway.identity.node.clone(),
        address,
        http_address: addresses.callers,
        zone: gateway.identity.zone.clone(),
        region: gateway.identity.region.clone(),
        processor_millis: gateway.tuning().processor_millis,
        refutation: 0,
        liveness: Liveness::Alive,
    };
    let others = addresses.seeds.iter().copied().filter(|seed| *seed != address);
    *gateway.seeds.borrow_mut() = others.collect();
    let membership = peers::duty::run_membership(gateway.clone(), socket.into(), me);
    gateway.executor.spawn(membership).detach();
    Ok(())
}

fn start_duties(gateway: &Rc<Gateway>, callers: &Rc<Listener>) {
    let spawn = |task| gateway.executor.spawn::<()>(task).detach();
    let kinds = gateway.dialect.kinds();
    let configuration = ConfigurationSink { gateway: gateway.clone(), callers: callers.clone() };
    let (configurations, servers) = (kinds.configuration, kinds.servers);
    let followed = gateway.clone();
    spawn(Box::pin(async move {
        let gathering = followed.tuning().configuration_notice.mul_f64(CONFIGURATION_GATHERING);
        mirror::follow(followed, configurations, Source::Watchers, gathering, configuration).await;
    }) as std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>);
    let directory = DirectorySink::new(gateway.clone());
    let gathering = gateway.tuning().drain_notice.mul_f64(DIRECTORY_GATHERING);
    spawn(Box::pin(mirror::follow(
        gateway.clone(),
        servers,
        Source::Watchers,
        gathering,
        directory,
    )));
    if gateway.tuning().evacuation_notice.is_some() {
        gateway.directory.borrow_mut().placer.await_evacuations();
        spawn(Box::pin(evacuations::follow(gateway.clone())));
    }
    spawn(Box::pin(quarantine::record::follow(gateway.clone())));
    spawn(Box::pin(quarantine::keep_up(gateway.clone())));
    spawn(Box::pin(peers::introduction::run(gateway.clone())));
    spawn(Box::pin(mirror::probe_store(gateway.clone())));
    spawn(Box::pin(log_counts(gateway.clone())));
    spawn(Box::pin(ownership_duty::follow(gateway.clone())));
    spawn(Box::pin(ownership_duty::adopt_orphans(gateway.clone())));
    spawn(Box::pin(versions::named::follow_versions(gateway.clone())));
    spawn(Box::pin(versions::duty::run(gateway.clone())));
    start_provider_duties(gateway);
}

fn start_provider_duties(gateway: &Rc<Gateway>) {
    let Some(provider) = gateway.provider.clone() else {
        return;
    };
    let lease = Rc::new(LeaseKeeper::new(gateway.clone(), LeaseName::Duties));
    if gateway.tuning().scales {
        let scaling = duties::scaling::run(gateway.clone(), provider.clone(), lease.clone());
        gateway.executor.spawn(scaling).detach();
    }
    if let Some(book) = gateway.usage.clone() {
        let spawn = |task| gateway.executor.spawn::<()>(task).detach();
        let telling = duties::telling::run(gateway.clone(), book.clone());
        spawn(Box::pin(telling) as std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>);
        spawn(Box::pin(duties::reporting::run(gateway.clone(), book, provider, lease)));
    }
}

async fn answer_caller(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    ready_path: ReadyPath,
) -> Answer {
    if request.uri().path() == ready_path.0 {
        return ready(&gateway);
    }
    crate::calls::answer(gateway, request).await
}

async fn answer_ready(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    ready_path: ReadyPath,
) -> Answer {
    if request.uri().path() != ready_path.0 {
        return text_answer(http::StatusCode::NOT_FOUND, "no such call");
    }
    ready(&gateway)
}

fn ready(gateway: &Gateway) -> Answer {
    if gateway.is_ready() {
        text_answer(http::StatusCode::OK, "ready")
    } else {
        text_answer(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

struct ConfigurationSink {
    gateway: Rc<Gateway>,
    callers: Rc<Listener>,
}

impl ConfigurationSink {
    fn adopt(&self, configuration: Configuration) {
        let known = self.gateway.configuration().map_or(0, |known| known.version);
        if configuration.version <= known && known > 0 {
            return;
        }
        let limits = configuration.limits;
        self.callers.set_limits(ListenerLimits {
            max_head_bytes: limits.max_header_bytes,
            head_timeout: limits.idle_timeout + IDLE_MARGIN,
        });
        log::info!(
            "event=configuration_adopted version={} before={known} routes={} services={} tenants={}",
            configuration.version,
            configuration.routes.len(),
            configuration.services.len(),
            configuration.access.as_ref().map_or(0, |access| access.len())
        );
        for finding in configuration.findings.iter().chain(&self.homeless(&configuration)) {
            log::warn!(
                "event=configuration_finding version={} place={} problem=\"{}\"",
                configuration.version,
                finding.place,
                finding.problem
            );
        }
        let names: BTreeSet<&str> =
            configuration.routes.iter().map(|route| route.name.as_str()).collect();
        self.gateway.splitter.borrow_mut().retain(|name| names.contains(name));
        *self.gateway.configuration.borrow_mut() = Some(Rc::new(configuration));
        self.gateway.share_servers();
        self.gateway.places.changed.notify(usize::MAX);
    }
}

impl ConfigurationSink {
    /// Routes and tenants whose homes name a region that no zone of the settings is in.
    fn homeless(&self, configuration: &Configuration) -> Vec<Finding> {
        let placer = &self.gateway.directory.borrow().placer;
        let unknown = |place: String, homes: &BTreeSet<String>| {
            let missing = homes.iter().find(|region| !placer.is_known_region(region))?;
            Some(Finding { place, problem: format!("no zone is in the region {missing}") })
        };
        let routes = configuration.routes.iter().filter_map(|route| {
            unknown(format!("routes/{}/homes", route.name), route.homes.as_ref()?)
        });
        let tenants = configuration.tenant_homes.iter();
        let tenants =
            tenants.filter_map(|(name, homes)| unknown(format!("tenants/{name}/homes"), homes));
        routes.chain(tenants).collect()
    }
}

impl MirrorSink for ConfigurationSink {
    fn keep(&self, _names: &BTreeSet<String>) {
        // A configuration stays in force until there is a later one.
    }

    fn put(&self, object: &Object) {
        if object.name != self.gateway.dialect.kinds().configuration_name {
            return;
        }
        match self.gateway.dialect.configuration(&object.content, &self.gateway.key_hasher) {
            Ok(configuration) => self.adopt(configuration),
            Err(error) => log::error!("event=configuration_malformed error=\"{error}\""),
        }
    }

    fn remove(&self, _name: &str) {
        // The configuration in force stays until there is another one.
    }
}

struct DirectorySink {
    gateway: Rc<Gateway>,
    /// Names of entries that cannot be understood: each is logged once.
    malformed: RefCell<BTreeSet<String>>,
}

impl DirectorySink {
    fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, malformed: RefCell::default() }
    }

    /// An entry that cannot be understood names no server to use, whatever it said before.
    fn drop_malformed(&self, name: &str, error: &DialectError) {
        self.gateway.directory.borrow_mut().remove(self.gateway.now(), name);
        if self.malformed.borrow_mut().insert(name.to_owned()) {
            self.gateway.metrics.server_entries_malformed.inc();
            log::warn!("event=server_malformed error=\"{error}\"");
        }
    }

    fn note_draining(&self, server: &Server) {
        let directory = self.gateway.directory.borrow();
        let known = directory.get(&server.id).map(|known| known.state);
        if server.state == ServerState::Draining && known != Some(server.state) {
            log::info!("event=server_draining server={} revision={}", server.id, server.revision);
        }
    }

    /// A server that has started again under the id that it had: its former run has ended, with what ran
    /// there and the connections to it.
    fn note_restart(&self, server: &Server) {
        if self.gateway.directory.borrow().run(server) != Run::Later {
            return;
        }
        let Some(known) = self.gateway.directory.borrow().get(&server.id).cloned() else {
            return;
        };
        log::info!(
            "event=server_restarted server={} incarnation={} before={}",
            server.id,
            server.incarnation,
            known.incarnation
        );
        self.gateway.metrics.servers_restarted.inc();
        self.note_gone(&server.id);
        self.gateway.servers.close_idle(known.address);
    }

    /// A server whose entry went, and that had not said that it would leave: where connections to it
    /// broke a moment ago, it has ended.
    fn note_gone(&self, id: &str) {
        let state = self.gateway.directory.borrow().get(id).map(|server| server.state);
        if state == Some(ServerState::Ready) {
            evidence::note_gone(&self.gateway, id);
        }
    }
}

impl MirrorSink for DirectorySink {
    fn keep(&self, names: &BTreeSet<String>) {
        let gateway = &self.gateway;
        let known: Vec<String> =
            gateway.directory.borrow().all().map(|server| server.id.clone()).collect();
        known.iter().filter(|id| !names.contains(*id)).for_each(|id| self.note_gone(id));
        gateway.directory.borrow_mut().retain(gateway.now(), names);
        self.malformed.borrow_mut().retain(|name| names.contains(name));
    }

    fn listed(&self) {
        let servers = self.gateway.directory.borrow().all().count();
        log::info!("event=servers_listed servers={servers}");
        self.gateway.directory_known.set(true);
    }

    fn put(&self, object: &Object) {
        match self.gateway.dialect.server(&object.name, &object.content) {
            Ok(mut server) => {
                server.revision = object.revision;
                self.malformed.borrow_mut().remove(&object.name);
                self.note_draining(&server);
                self.note_restart(&server);
                self.gateway.directory.borrow_mut().insert(self.gateway.now(), server);
            }
            Err(error) => self.drop_malformed(&object.name, &error),
        }
    }

    fn remove(&self, name: &str) {
        log::info!("event=server_gone server={name}");
        self.note_gone(name);
        self.malformed.borrow_mut().remove(name);
        self.gateway.directory.borrow_mut().remove(self.gateway.now(), name);
    }

    fn applied(&self) {
        self.gateway.places.changed.notify(usize::MAX);
        self.gateway.versions.changed.notify(usize::MAX);
    }
}

/// Logs what was counted, now and then: on-call engineers may have nothing but logs.
async fn log_counts(gateway: Rc<Gateway>) {
    loop {
        Timer::after(COUNTS_PERIOD).await;
        count_cold_servers(&gateway);
        log_count(&gateway);
    }
}

fn count_cold_servers(gateway: &Gateway) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    let zones: BTreeSet<String> = directory.all().map(|server| server.zone.clone()).collect();
    for zone in zones {
        let key = directory.placer.zone(&zone);
        gateway.metrics.servers_cold(&zone, directory.placer.count_cold_servers(now, key));
    }
}

fn log_count(gateway: &Gateway) {
    if let Some(line) = gateway.metrics.line() {
        log::info!("{line}");
    }
}

/// Stops: says so at the entry, serves what still comes, and ends once nothing is under way.
async fn drain(gateway: &Rc<Gateway>, callers: &Rc<Listener>) {
    let begun = gateway.now();
    gateway.draining.set(true);
    callers.start_draining();
    log::info!("event=draining exchanges={}", callers.exchanges());
    Timer::after(STOP_NOTICE).await;
    callers.close();
    let limit = begun + gateway.tuning().stop_limit.saturating_sub(STOP_MARGIN);
    while gateway.now() < limit && (callers.connections() > 0 || runs_jobs(gateway)) {
        Timer::after(STOP_POLL).await;
    }
    if let Some(book) = &gateway.usage {
        duties::telling::tell_last(gateway, book);
    }
    // The others need not find out by probes, and take its jobs over at once.
    wait::at_most(LEAVE_LIMIT, gateway.members.leave()).await;
    log_count(gateway);
    log::info!(
        "event=stopped exchanges_cut={} connections_cut={}",
        callers.exchanges(),
        callers.connections()
    );
    log::logger().flush();
}

fn runs_jobs(gateway: &Gateway) -> bool {
    gateway.jobs.all().iter().any(|job| job.running.get())
}
