//! The gateway daemon: startup, listeners, background tasks and graceful shutdown.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::membership::{Liveness, Member};
use heronbend_net::binding;
use http::Request;
use hyper::body::Incoming;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::{LocalExecutor, Timer};
use thiserror::Error;

use crate::batch::expiry;
use crate::batch::ownership_manager;
use crate::configuration::Configuration;
use crate::configuration::Finding;
use crate::directory::RunOrder;
use crate::directory::Server;
use crate::directory::ServerState;
use crate::duties;
use crate::evacuations;
use crate::gateway::Gateway;
use crate::http::server::{Listener, ListenerLimits};
use crate::http::{bytes_response, text_response, HttpResponse};
use crate::lease_manager::LeaseManager;
use crate::lease_state::LeaseName;
use crate::peers;
use crate::ports::{DialectError, Object, Ports};
use crate::quarantine;
use crate::quarantine::crash_detection;
use crate::reflector::{self, ObjectHandler, Source};
use crate::reload;
use crate::replacements::Replacements;
use crate::shutdown;
use crate::versions;

/// Fraction of the drain propagation limit during which server updates are batched. The rest is
/// left for the store's response and a retry.
const DIRECTORY_BATCHING_RATIO: f64 = 0.5;
/// Fraction of the configuration propagation limit during which configuration updates are batched.
const CONFIGURATION_BATCHING_RATIO: f64 = 0.15;
/// Added to the idle timeout of clients before an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Interval of the log lines with counters.
const COUNTER_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Listening addresses of a daemon.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer; may equal `callers`.
    pub ready: SocketAddr,
    /// Peers, over TCP and UDP.
    pub peers: SocketAddr,
    /// Metrics page.
    pub metrics: Option<SocketAddr>,
    /// Peer addresses of other daemons; may be outdated.
    pub seeds: Vec<SocketAddr>,
}

/// Path of the readiness check.
#[derive(Debug, Clone, Copy)]
pub struct ReadyPath(pub &'static str);

/// Why a daemon failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error("listening on {address} for {purpose}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Purpose of the listener.
        purpose: &'static str,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// Registering signal handlers failed.
    #[error("taking signals: {0}")]
    Signals(std::io::Error),
}

/// Runs a daemon until a stop signal arrives and the daemon has drained.
pub fn run(
    ready_path: ReadyPath,
    source: reload::SettingsSource,
    ports: impl FnOnce(Rc<LocalExecutor<'static>>) -> Ports,
) -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    let ports = ports(executor.clone());
    let stop =
        crate::retirement::listen_for_signals(&[SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let reload_signal =
        crate::retirement::listen_for_signals(&[SIGHUP]).map_err(StartError::Signals)?;
    let (identity, tuning) = (source.settings.identity(), source.settings.tuning());
    let addresses = source.settings.addresses();
    let first_start = source.settings.first_start;
    let gateway = Gateway::new(identity, ports, executor.clone(), tuning);
    gateway.set_zone_regions(&source.settings.zones);
    gateway.set_admission_settings(source.settings.admission.clone());
    smol::block_on(executor.run(async move {
        gateway.members.bootstrap.begin(first_start);
        let starting = async { Some(start(&gateway, &addresses, ready_path).await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        let Some(callers) = starting.or(stopped).await.transpose()? else {
            log::info!("event=stopped exchanges_cut=0 connections_cut=0");
            return Ok(());
        };
        gateway
            .executor
            .spawn(reload::watch_settings(gateway.clone(), source, reload_signal))
            .detach();
        stop.wait().await;
        shutdown::drain(&gateway, &callers).await;
        Ok(())
    }))
}

/// Starts to listen, and all background tasks. Waits for addresses that are in use; the ready check
/// fails meanwhile, and the peers do not know this daemon.
async fn start(
    gateway: &Rc<Gateway>,
    addresses: &Addresses,
    ready_path: ReadyPath,
) -> Result<Rc<Listener>, StartError> {
    let callers = listen(gateway, addresses.callers, "callers", {
        let gateway = gateway.clone();
        move |request| answer_caller(gateway.clone(), request, ready_path)
    })
    .await?;
    if addresses.ready != addresses.callers {
        let gateway = gateway.clone();
        let executor = gateway.clone();
        listen(&executor, addresses.ready, "ready", move |request| {
            answer_ready(gateway.clone(), request, ready_path)
        })
        .await?;
    }
    {
        let served = gateway.clone();
        listen(gateway, addresses.peers, "peers", move |request| {
            peers::membership::handle_request(served.clone(), request)
        })
        .await?;
    }
    if let Some(address) = addresses.metrics {
        gateway.executor.spawn(serve_metrics(gateway.clone(), address)).detach();
    }
    start_membership(gateway, addresses).await?;
    start_background_tasks(gateway, &callers);
    log::info!(
        "event=started node={} zone={} callers={} peers={}",
        gateway.identity.node,
        gateway.identity.zone,
        addresses.callers,
        addresses.peers
    );
    Ok(callers)
}

/// Serves the metrics page.
async fn serve_metrics(gateway: Rc<Gateway>, address: SocketAddr) {
    let served = gateway.clone();
    let page = move |_| {
        served.metrics.set_response_memory(&served.response_memory);
        let page = served.metrics.encode();
        async move { bytes_response(http::StatusCode::OK, "text/plain", page.into()) }
    };
    if let Err(error) = listen(&gateway, address, "metrics", page).await {
        log::warn!("event=metrics_not_served error=\"{error}\"");
    }
}

async fn listen<H, F>(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    purpose: &'static str,
    handler: H,
) -> Result<Rc<Listener>, StartError>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: std::future::Future<Output = HttpResponse> + 'static,
{
    let failed = |error| StartError::Listen { address, purpose, error };
    let socket = binding::retry(address, TcpListener::bind).await.map_err(failed)?;
    let socket = smol::Async::new(socket).map_err(failed)?;
    let listener = Listener::new();
    let (metrics, limited) = (gateway.metrics.clone(), gateway.clone());
    let timeout = Rc::new(move || limited.unread_timeout());
    listener.set_unread_timeout(timeout, move |reader| {
        metrics.slow_readers_cut.inc();
        log::warn!(
            "event=slow_reader_cut id={} purpose=\"{purpose}\" bytes={} idle_ms={}",
            reader.id,
            reader.sent_bytes,
            reader.idle.as_millis()
        );
    });
    let serving = listener.clone().serve(gateway.executor.clone(), socket.into(), handler);
    gateway.executor.spawn(serving).detach();
    Ok(listener)
}

async fn start_membership(gateway: &Rc<Gateway>, addresses: &Addresses) -> Result<(), StartError> {
    let address = addresses.peers;
    let failed = |error| StartError::Listen { address, purpose: "peers' datagrams", error };
    let socket = binding::retry(address, UdpSocket::bind).await.map_err(failed)?;
    let socket = smol::Async::new(socket).map_err(failed)?;
    let local = Member {
        id: gateway.identity.node.clone(),
        address,
        http_address: addresses.callers,
        zone: gateway.identity.zone.clone(),
        region: gateway.identity.region.clone(),
        processor_millis: gateway.tuning().processor_millis,
        refutation: 0,
        liveness: Liveness::Alive,
        is_draining: false,
    };
    let others = addresses.seeds.iter().copied().filter(|seed| *seed != address);
    *gateway.seeds.borrow_mut() = others.collect();
    let membership = peers::membership::run_membership(gateway.clone(), socket.into(), local);
    gateway.executor.spawn(membership).detach();
    gateway.executor.spawn(peers::rendezvous::run(gateway.clone(), address)).detach();
    Ok(())
}

fn start_background_tasks(gateway: &Rc<Gateway>, callers: &Rc<Listener>) {
    let spawn = |task| gateway.executor.spawn::<()>(task).detach();
    let kinds = gateway.dialect.kinds();
    let configuration = ConfigurationSink { gateway: gateway.clone(), callers: callers.clone() };
    let (configurations, servers) = (kinds.configuration, kinds.servers);
    let followed = gateway.clone();
    spawn(Box::pin(async move {
        let batching_delay =
            followed.tuning().configuration_notice.mul_f64(CONFIGURATION_BATCHING_RATIO);
        reflector::run(followed, configurations, Source::Peers, batching_delay, configuration)
            .await;
    }) as std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>);
    let directory = DirectorySink::new(gateway.clone());
    let batching_delay = gateway.tuning().drain_notice.mul_f64(DIRECTORY_BATCHING_RATIO);
    spawn(Box::pin(reflector::run(
        gateway.clone(),
        servers,
        Source::Peers,
        batching_delay,
        directory,
    )));
    if gateway.tuning().evacuation_notice.is_some() {
        gateway.directory.borrow_mut().placer.await_evacuations();
        spawn(Box::pin(evacuations::follow(gateway.clone())));
    }
    spawn(Box::pin(quarantine::record::follow(gateway.clone())));
    spawn(Box::pin(quarantine::run_maintenance(gateway.clone())));
    spawn(Box::pin(peers::bootstrap::run(gateway.clone())));
    spawn(Box::pin(reflector::probe_store(gateway.clone())));
    spawn(Box::pin(log_counters_periodically(gateway.clone())));
    spawn(Box::pin(ownership_manager::refresh_ownerships(gateway.clone())));
    spawn(Box::pin(ownership_manager::adopt_orphans(gateway.clone())));
    spawn(Box::pin(expiry::run(gateway.clone())));
    spawn(Box::pin(versions::watch::watch_versions(gateway.clone())));
    spawn(Box::pin(versions::dispatcher::run(gateway.clone())));
    start_provider_duties(gateway);
}

fn start_provider_duties(gateway: &Rc<Gateway>) {
    let Some(provider) = gateway.provider.clone() else {
        return;
    };
    let lease = Rc::new(LeaseManager::new(gateway.clone(), LeaseName::Duties));
    if gateway.tuning().scaling_enabled {
        let scaling = duties::scaling::run(gateway.clone(), provider.clone(), lease.clone());
        gateway.executor.spawn(scaling).detach();
    }
    if let Some(usage) = gateway.usage.clone() {
        let spawn = |task| gateway.executor.spawn::<()>(task).detach();
        let broadcast = duties::usage_broadcast::run(gateway.clone(), usage.clone());
        spawn(Box::pin(broadcast) as std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>);
        spawn(Box::pin(duties::reporting::run(gateway.clone(), usage, provider, lease)));
    }
}

async fn answer_caller(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    ready_path: ReadyPath,
) -> HttpResponse {
    if request.uri().path() == ready_path.0 {
        return ready(&gateway);
    }
    crate::calls::handle(gateway, request).await
}

async fn answer_ready(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    ready_path: ReadyPath,
) -> HttpResponse {
    if request.uri().path() != ready_path.0 {
        return text_response(http::StatusCode::NOT_FOUND, "no such call");
    }
    ready(&gateway)
}

fn ready(gateway: &Gateway) -> HttpResponse {
    if gateway.is_ready() {
        text_response(http::StatusCode::OK, "ready")
    } else {
        text_response(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

struct ConfigurationSink {
    gateway: Rc<Gateway>,
    callers: Rc<Listener>,
}

impl ConfigurationSink {
    fn apply(&self, configuration: Configuration) {
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
        for finding in configuration.findings.iter().chain(&self.unknown_regions(&configuration)) {
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
        self.gateway.update_service_limits();
        self.gateway.configuration_changed.notify(usize::MAX);
        self.gateway.slot_queue.changed.notify(usize::MAX);
    }
}

impl ConfigurationSink {
    /// Finds routes and tenants that are restricted to a region that has no zone.
    fn unknown_regions(&self, configuration: &Configuration) -> Vec<Finding> {
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

impl ObjectHandler for ConfigurationSink {
    fn retain(&self, _names: &BTreeSet<String>) {
        // A deleted configuration stays active until it is replaced.
    }

    fn upsert(&self, object: &Object) {
        if object.name != self.gateway.dialect.kinds().configuration_name {
            return;
        }
        match self.gateway.dialect.configuration(&object.content, &self.gateway.key_hasher) {
            Ok(configuration) => self.apply(configuration),
            Err(error) => log::error!("event=configuration_malformed error=\"{error}\""),
        }
    }

    fn remove(&self, _name: &str) {
        // A deleted configuration stays active until it is replaced.
    }
}

struct DirectorySink {
    gateway: Rc<Gateway>,
    /// Names of malformed registrations, each of which is logged once.
    malformed: RefCell<BTreeSet<String>>,
    /// Services that wait for successors of removed servers.
    replacements: RefCell<Replacements>,
}

impl DirectorySink {
    fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway, malformed: RefCell::default(), replacements: RefCell::default() }
    }

    /// Removes the server of a malformed registration.
    fn drop_malformed(&self, name: &str, error: &DialectError) {
        self.gateway.directory.borrow_mut().remove(self.gateway.now(), name);
        if self.malformed.borrow_mut().insert(name.to_owned()) {
            self.gateway.metrics.malformed_registrations.inc();
            log::warn!("event=server_malformed error=\"{error}\"");
        }
    }

    fn log_draining(&self, server: &Server) {
        let directory = self.gateway.directory.borrow();
        let known = directory.get(&server.id).map(|known| known.state);
        if server.state == ServerState::Draining && known != Some(server.state) {
            log::info!("event=server_draining server={} revision={}", server.id, server.revision);
        }
    }

    /// Handles a restarted server: its previous run has exited, with all requests and connections.
    fn record_restart(&self, server: &Server) {
        if self.gateway.directory.borrow().compare_run(server) != RunOrder::Newer {
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
        self.record_exit(&server.id);
        self.gateway.server_connections.close_idle(known.address);
    }

    /// Reports that a server which had not announced that it was draining is missing from a list.
    fn record_unlisted(&self, id: &str) {
        let server = self.gateway.directory.borrow().get(id).cloned();
        if let Some(server) = server.filter(|server| server.state == ServerState::Ready) {
            crash_detection::note_server_unlisted(&self.gateway, &server);
        }
    }

    /// Reports the exit of a server that had not announced that it was draining. Recently broken
    /// connections to it are then counted as crashes.
    fn record_exit(&self, id: &str) {
        let state = self.gateway.directory.borrow().get(id).map(|server| server.state);
        if state == Some(ServerState::Ready) {
            crash_detection::note_server_gone(&self.gateway, id);
        }
    }
}

impl ObjectHandler for DirectorySink {
    fn retain(&self, names: &BTreeSet<String>) {
        let gateway = &self.gateway;
        let known: Vec<String> =
            gateway.directory.borrow().all().map(|server| server.id.clone()).collect();
        known.iter().filter(|id| !names.contains(*id)).for_each(|id| self.record_unlisted(id));
        gateway.directory.borrow_mut().retain(gateway.now(), names);
        self.malformed.borrow_mut().retain(|name| names.contains(name));
    }

    fn on_list(&self) {
        let servers = self.gateway.directory.borrow().all().count();
        log::info!("event=servers_listed servers={servers}");
        self.gateway.servers_loaded.set(true);
    }

    fn upsert(&self, object: &Object) {
        match self.gateway.dialect.server(&object.name, &object.content) {
            Ok(mut server) => {
                server.revision = object.revision;
                self.malformed.borrow_mut().remove(&object.name);
                self.log_draining(&server);
                self.record_restart(&server);
                self.gateway.directory.borrow_mut().insert(self.gateway.now(), server);
            }
            Err(error) => self.drop_malformed(&object.name, &error),
        }
    }

    fn remove(&self, name: &str) {
        log::info!("event=server_gone server={name}");
        self.record_exit(name);
        self.malformed.borrow_mut().remove(name);
        let removed = self.gateway.directory.borrow().get(name).cloned();
        self.gateway.directory.borrow_mut().remove(self.gateway.now(), name);
        if let Some(server) = removed {
            self.replacements.borrow_mut().note_gone(self.gateway.now(), &server.service);
        }
    }

    /// A crashed server's successor is registered just after the removal, so that a full batch
    /// would delay it while calls are rejected.
    fn needs_changes_soon(&self) -> bool {
        let (now, directory) = (self.gateway.now(), self.gateway.directory.borrow());
        let has_servers = |service: &str, count| directory.has_usable_servers(now, service, count);
        self.replacements.borrow_mut().are_urgent(now, has_servers)
    }

    fn on_batch(&self) {
        self.gateway.slot_queue.changed.notify(usize::MAX);
        self.gateway.versions.changed.notify(usize::MAX);
    }
}

/// Logs the metrics periodically, for operators that have only logs.
async fn log_counters_periodically(gateway: Rc<Gateway>) {
    loop {
        Timer::after(COUNTER_LOG_INTERVAL).await;
        count_cold_servers(&gateway);
        gateway.metrics.log_counters();
    }
}

fn count_cold_servers(gateway: &Gateway) {
    let now = gateway.now();
    let mut directory = gateway.directory.borrow_mut();
    let zones: BTreeSet<String> = directory.all().map(|server| server.zone.clone()).collect();
    for zone in zones {
        let key = directory.placer.zone(&zone);
        gateway.metrics.set_cold_servers(&zone, directory.placer.count_cold_servers(now, key));
    }
}
