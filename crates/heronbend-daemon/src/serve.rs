//! Startup and graceful shutdown of a daemon.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::Args;
use heronbend::identity::{Incarnation, NodeId, NodeName};
use heronbend_net::binding;
use serde::Deserialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::shared::{Identity, MembershipInput, Shared};
use crate::tasks::{self, shards, spawn_thread, Polling};
use crate::{admin, front};

/// Maximum time that shutdown waits for in-flight requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for load balancers and peers to notice that this daemon is draining.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long idle connections are kept open during draining.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that readiness waits for complete replica sets.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Flags of `serve`. A file given with --config may set the same options; flags take precedence.
#[derive(Args, Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeArguments {
    /// TOML file with the same options as these flags, with underscores instead of hyphens.
    #[arg(long)]
    #[serde(skip)]
    config: Option<PathBuf>,
    /// Name of this daemon, stable across restarts.
    #[arg(long)]
    node: Option<String>,
    /// Zone of this machine.
    #[arg(long)]
    zone: Option<String>,
    /// Region of this machine.
    #[arg(long)]
    region: Option<String>,
    /// Address on which callers and trainers connect.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address on which other daemons connect, TCP and UDP.
    #[arg(long)]
    peer_listen: Option<SocketAddr>,
    /// Address of the operators' interface.
    #[arg(long)]
    admin_listen: Option<SocketAddr>,
    /// Address of the platform API.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Peer addresses of other daemons, used to start while the platform is down.
    #[arg(long, value_delimiter = ',')]
    seed_peers: Vec<SocketAddr>,
    /// Number of threads that serve callers.
    #[arg(long)]
    front_threads: Option<usize>,
    /// Allow tests to inject faults through the operators' interface.
    #[arg(long)]
    allow_failpoints: bool,
}

impl ServeArguments {
    /// Fills missing flags from the configuration file.
    fn with_config_file(self) -> anyhow::Result<Self> {
        let Some(path) = &self.config else {
            return Ok(self);
        };
        let text =
            std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
        let file: Self = toml::from_str(&text).with_context(|| format!("in {}", path.display()))?;
        Ok(Self {
            config: None,
            node: self.node.or(file.node),
            zone: self.zone.or(file.zone),
            region: self.region.or(file.region),
            listen: self.listen.or(file.listen),
            peer_listen: self.peer_listen.or(file.peer_listen),
            admin_listen: self.admin_listen.or(file.admin_listen),
            platform: self.platform.or(file.platform),
            seed_peers: if self.seed_peers.is_empty() { file.seed_peers } else { self.seed_peers },
            front_threads: self.front_threads.or(file.front_threads),
            allow_failpoints: self.allow_failpoints || file.allow_failpoints,
        })
    }

    /// Fails if required flags are missing, listing all of them.
    fn ensure_required(&self) -> anyhow::Result<()> {
        let needed = [
            ("node", self.node.is_none()),
            ("zone", self.zone.is_none()),
            ("region", self.region.is_none()),
            ("listen", self.listen.is_none()),
            ("peer-listen", self.peer_listen.is_none()),
            ("admin-listen", self.admin_listen.is_none()),
            ("platform", self.platform.is_none()),
        ];
        let missing: Vec<_> = needed
            .into_iter()
            .filter_map(|(name, is_missing)| is_missing.then_some(name))
            .collect();
        anyhow::ensure!(missing.is_empty(), "missing: {}", missing.join(", "));
        Ok(())
    }
}

/// Runs a daemon until it is stopped and has drained.
pub fn run(arguments: ServeArguments) -> anyhow::Result<()> {
    let arguments = arguments.with_config_file()?;
    arguments.ensure_required()?;
    // Each connection uses a file descriptor; the default soft limit is often too low.
    if let Err(error) = rlimit::increase_nofile_limit(u64::MAX) {
        log::warn!("event=descriptor_limit_not_raised error={error}");
    }
    let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
    let http = listen(arguments.listen.unwrap_or(unspecified))?;
    let peer = listen(arguments.peer_listen.unwrap_or(unspecified))?;
    let admin = listen(arguments.admin_listen.unwrap_or(unspecified))?;
    let peer_address = peer.local_addr()?;
    let datagrams = smol::block_on(binding::retry(peer_address, UdpSocket::bind));
    let datagrams = datagrams.context("binding the peer UDP port")?;
    let identity = Identity {
        node: NodeId {
            name: NodeName(arguments.node.unwrap_or_default()),
            incarnation: Incarnation::starting_now(),
        },
        zone: arguments.zone.unwrap_or_default(),
        region: arguments.region.unwrap_or_default(),
        http_address: http.local_addr()?,
        peer_address,
        platform: arguments.platform.unwrap_or(unspecified),
    };
    log::info!(
        "event=started node={} zone={} http={} peer={peer_address} admin={}",
        identity.node,
        identity.zone,
        identity.http_address,
        admin.local_addr()?
    );
    let shared = Shared::new(identity, arguments.allow_failpoints);
    start_tasks(&shared, peer, datagrams, arguments.seed_peers)?;
    let front_threads = arguments.front_threads.unwrap_or(1).max(1);
    for number in 0..front_threads {
        let listener = http.try_clone()?;
        let shared = shared.clone();
        spawn_thread(&format!("front-{number}"), Polling::Reactor, move |executor| async move {
            match into_async(listener) {
                Ok(listener) => front::run(shared, executor, listener).await,
                Err(error) => log::error!("event=listener_failed error={error}"),
            }
        })?;
    }
    drop(http);
    let admin_shared = shared.clone();
    spawn_thread("admin", Polling::Parked, move |executor| async move {
        match into_async(admin) {
            Ok(listener) => admin::run(admin_shared, executor, listener).await,
            Err(error) => log::error!("event=listener_failed error={error}"),
        }
    })?;
    wait_for_stop(&shared)?;
    Ok(())
}

fn start_tasks(
    shared: &Arc<Shared>,
    peer: TcpListener,
    datagrams: UdpSocket,
    seeds: Vec<SocketAddr>,
) -> anyhow::Result<()> {
    let for_membership = shared.clone();
    spawn_thread("membership", Polling::Parked, move |_| async move {
        match smol::Async::new(datagrams) {
            Ok(socket) => tasks::membership::run(for_membership, socket.into()).await,
            Err(error) => log::error!("event=peer_socket_failed error={error}"),
        }
    })?;
    let for_register = shared.clone();
    spawn_thread("register", Polling::Parked, move |executor| async move {
        match into_async(peer) {
            Ok(listener) => tasks::register::run(for_register, executor, listener).await,
            Err(error) => log::error!("event=peer_listener_failed error={error}"),
        }
    })?;
    let for_settings = shared.clone();
    spawn_thread("settings", Polling::Parked, move |executor| {
        tasks::settings::run(for_settings, executor, seeds)
    })?;
    let for_backends = shared.clone();
    spawn_thread("backends", Polling::Parked, move |executor| {
        tasks::backends::run(for_backends, executor)
    })?;
    let for_rollout = shared.clone();
    spawn_thread("rollout", Polling::Parked, move |executor| {
        tasks::rollout::run(for_rollout, executor)
    })?;
    let for_weights = shared.clone();
    spawn_thread("weights", Polling::Parked, move |executor| {
        tasks::weights::run(for_weights, executor)
    })?;
    let for_telemetry = shared.clone();
    spawn_thread("telemetry", Polling::Parked, move |_| tasks::telemetry::run(for_telemetry))?;
    Ok(())
}

/// Waits for a stop signal or an operator's drain request, then for in-flight requests to finish.
fn wait_for_stop(shared: &Arc<Shared>) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let started = Instant::now();
    while !shared.is_draining() {
        if signals.pending().next().is_some() {
            shared.draining.store(true, Ordering::Release);
        }
        let timed_out = started.elapsed() > JOIN_TIMEOUT;
        if !shared.joined.load(Ordering::Acquire) && (timed_out || has_joined(shared)) {
            shared.joined.store(true, Ordering::Release);
            log::info!("event=joined waited_in_vain={timed_out}");
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
    log::info!("event=draining exchanges={}", shared.in_flight.load(Ordering::Relaxed));
    std::thread::sleep(DRAIN_GRACE);
    // New connections are now refused, so clients know that their request was not sent.
    shared.listeners_closed.store(true, Ordering::Release);
    wait_until_drained(shared);
    let unfinished = shared.in_flight.load(Ordering::Acquire);
    let _ = shared.membership.sender.try_send(MembershipInput::Leave);
    std::thread::sleep(DRAIN_GRACE);
    log::info!("event=stopped exchanges_cut={unfinished} {}", shared.metrics.log_line());
    anyhow::ensure!(
        unfinished == 0,
        "{unfinished} requests were still in flight after {DRAIN_TIMEOUT:?}"
    );
    Ok(())
}

/// Waits until no request is in flight and clients have closed their connections, for at most
/// [`DRAIN_TIMEOUT`].
///
/// Responses during draining ask clients to close. Connections still open after [`IDLE_TIMEOUT`]
/// are closed at exit; a request sent on one at that moment is lost.
fn wait_until_drained(shared: &Shared) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    let mut idle_since = Instant::now();
    while Instant::now() < deadline {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
        if shared.in_flight.load(Ordering::Acquire) > 0 {
            idle_since = Instant::now();
        }
        let idle_time = idle_since.elapsed();
        let all_closed = shared.connections.load(Ordering::Acquire) == 0;
        if idle_time >= IDLE_TIMEOUT || (all_closed && idle_time >= DRAIN_GRACE) {
            return;
        }
    }
}

/// Returns whether backends and replica sets are known and no set needs a replacement member.
fn has_joined(shared: &Shared) -> bool {
    let is_known = !shared.shard_map.load().shards.is_empty();
    let knows_backends = shared.backends.load().generation > 0;
    shared.can_serve() && is_known && knows_backends && !shards::needs_placement(shared)
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = smol::block_on(binding::retry(address, TcpListener::bind));
    bound.with_context(|| format!("listening on {address}"))
}

fn into_async(listener: TcpListener) -> std::io::Result<smol::net::TcpListener> {
    Ok(smol::Async::new(listener)?.into())
}
