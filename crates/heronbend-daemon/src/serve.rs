//! Starts a daemon's threads, and stops it without cutting anything off.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::Args;
use heronbend::identity::{Incarnation, NodeId, NodeName};
use serde::Deserialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::shared::{Identity, MembershipInput, Shared};
use crate::tasks::{self, shards, spawn_thread, Polling};
use crate::{admin, front};

/// Longest time that a stop waits for requests under way.
const DRAIN_LIMIT: Duration = Duration::from_secs(120);
/// Time that load balancers and peers have to notice before connections are counted.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How long idle connections are kept open while draining.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Longest time that readiness waits for the replica sets to be whole.
const JOIN_LIMIT: Duration = Duration::from_secs(20);

/// Flags of `serve`; a file given with --config may state the same, flags win.
#[derive(Args, Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServeArguments {
    /// TOML file with the same names as these flags, underscores for hyphens.
    #[arg(long)]
    #[serde(skip)]
    config: Option<PathBuf>,
    /// Name of this daemon, kept across restarts.
    #[arg(long)]
    node: Option<String>,
    /// Zone of this machine.
    #[arg(long)]
    zone: Option<String>,
    /// Region of this machine.
    #[arg(long)]
    region: Option<String>,
    /// Where callers and trainers connect.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Where other daemons connect, by TCP and UDP.
    #[arg(long)]
    peer_listen: Option<SocketAddr>,
    /// Where operators connect.
    #[arg(long)]
    admin_listen: Option<SocketAddr>,
    /// The platform.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Peer addresses of other daemons, for a start while the platform is down.
    #[arg(long, value_delimiter = ',')]
    seed_peers: Vec<SocketAddr>,
    /// Threads that serve callers.
    #[arg(long)]
    front_threads: Option<usize>,
    /// Lets tests bring about faults through the operators' interface.
    #[arg(long)]
    allow_failpoints: bool,
}

impl ServeArguments {
    /// These flags, with what the file states where a flag is missing.
    fn completed(self) -> anyhow::Result<Self> {
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

    /// Every flag that is needed and missing, at once.
    fn check(&self) -> anyhow::Result<()> {
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

/// Runs a daemon until it is told to stop and has drained.
pub fn run(arguments: ServeArguments) -> anyhow::Result<()> {
    let arguments = arguments.completed()?;
    arguments.check()?;
    // Each connection takes a descriptor; the soft limit is often far below the hard one.
    if let Err(error) = rlimit::increase_nofile_limit(u64::MAX) {
        log::warn!("event=descriptor_limit_not_raised error={error}");
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let http = listen(arguments.listen.unwrap_or(unset))?;
    let peer = listen(arguments.peer_listen.unwrap_or(unset))?;
    let admin = listen(arguments.admin_listen.unwrap_or(unset))?;
    let peer_address = peer.local_addr()?;
    let datagrams = UdpSocket::bind(peer_address).context("binding the peer UDP port")?;
    let identity = Identity {
        node: NodeId {
            name: NodeName(arguments.node.unwrap_or_default()),
            incarnation: Incarnation::starting_now(),
        },
        zone: arguments.zone.unwrap_or_default(),
        region: arguments.region.unwrap_or_default(),
        http_address: http.local_addr()?,
        peer_address,
        platform: arguments.platform.unwrap_or(unset),
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
            match asynchronous(listener) {
                Ok(listener) => front::run(shared, executor, listener).await,
                Err(error) => log::error!("event=listener_failed error={error}"),
            }
        })?;
    }
    drop(http);
    let admin_shared = shared.clone();
    spawn_thread("admin", Polling::Parked, move |executor| async move {
        match asynchronous(admin) {
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
        match asynchronous(peer) {
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

/// Waits for a signal or an operator's drain, then for everything under way.
fn wait_for_stop(shared: &Arc<Shared>) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let started = Instant::now();
    while !shared.is_draining() {
        if signals.pending().next().is_some() {
            shared.draining.store(true, Ordering::Release);
        }
        let waited = started.elapsed() > JOIN_LIMIT;
        if !shared.joined.load(Ordering::Acquire) && (waited || has_joined(shared)) {
            shared.joined.store(true, Ordering::Release);
            log::info!("event=joined waited_in_vain={waited}");
        }
        std::thread::sleep(DRAIN_POLL);
    }
    log::info!("event=draining exchanges={}", shared.exchanges.load(Ordering::Relaxed));
    std::thread::sleep(DRAIN_NOTICE);
    // From here on a new connection is refused, which tells its client that nothing was sent.
    shared.listeners_closed.store(true, Ordering::Release);
    wait_until_quiet(shared);
    let left = shared.exchanges.load(Ordering::Acquire);
    let _ = shared.membership.sender.try_send(MembershipInput::Leave);
    std::thread::sleep(DRAIN_NOTICE);
    log::info!("event=stopped exchanges_cut={left} {}", shared.metrics.line());
    anyhow::ensure!(left == 0, "{left} requests were still under way after {DRAIN_LIMIT:?}");
    Ok(())
}

/// Waits until no request is under way, and then until clients have closed their connections: each
/// is told so with its next answer. A connection that is still open after that has been idle, and a
/// request sent on it at the very moment of the exit would be lost.
fn wait_until_quiet(shared: &Shared) {
    let deadline = Instant::now() + DRAIN_LIMIT;
    let mut quiet_since = Instant::now();
    while Instant::now() < deadline {
        std::thread::sleep(DRAIN_POLL);
        if shared.exchanges.load(Ordering::Acquire) > 0 {
            quiet_since = Instant::now();
        }
        let quiet = quiet_since.elapsed();
        let all_closed = shared.connections.load(Ordering::Acquire) == 0;
        if quiet >= IDLE_LIMIT || (all_closed && quiet >= DRAIN_NOTICE) {
            return;
        }
    }
}

/// Whether back ends and replica sets are known and no set waits for a member to be replaced.
fn has_joined(shared: &Shared) -> bool {
    let is_known = !shared.shard_map.load().shards.is_empty();
    let knows_backends = shared.backends.load().generation > 0;
    shared.serves() && is_known && knows_backends && !shards::needs_placing(shared)
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("listening on {address}"))
}

fn asynchronous(listener: TcpListener) -> std::io::Result<smol::net::TcpListener> {
    Ok(smol::Async::new(listener)?.into())
}
