//! State shared between a daemon's threads: published snapshots and channels, no locks.
//!
//! Each snapshot has a single writer, the named task, and any number of readers. Channels are
//! bounded: sending to a full one fails at once, and the request is rejected as not run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use heronbend::identity::{epoch_millis, NodeId, NodeName};
use heronbend::lifecycle::{Backend, BackendPhase, Phase, Signal};
use heronbend::membership::{may_be_alive, ControlVersions, Liveness, Member};
use heronbend::register::ShardMap;
use heronbend::routing::LoadReport;
use heronbend::settings::{Policy, SettingsObject};
use heronbend::Moment;
use heronbend_net::boot_clock::BootClock;
use serde::{Deserialize, Serialize};
use smol::channel::{bounded, Receiver, Sender};

use crate::failpoints::Failpoints;
use crate::tasks::register::RegisterCall;
use crate::tasks::rollout::RolloutCall;
use crate::tasks::settings::SettingsCall;
use crate::telemetry::Metrics;

/// Capacity of each task's input channel, in messages.
const CHANNEL_CAPACITY: usize = 4096;

/// Identity and addresses of this daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name and incarnation.
    pub node: NodeId,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address of the HTTP front.
    pub http_address: SocketAddr,
    /// Address for other daemons, TCP and UDP.
    pub peer_address: SocketAddr,
    /// Address of the platform API.
    pub platform: SocketAddr,
}

impl Identity {
    /// Returns this daemon's membership entry.
    pub fn member(&self) -> Member {
        Member {
            id: self.node.clone(),
            address: self.peer_address,
            http_address: self.http_address,
            zone: self.zone.clone(),
            region: self.region.clone(),
            processor_millis: 0,
            refutation: 0,
            liveness: Liveness::Alive,
            is_draining: false,
        }
    }
}

/// A backend with its current state.
#[derive(Debug, Clone)]
pub struct BackendEntry {
    /// Name, address and pool.
    pub backend: Backend,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Whether this daemon sends requests to it and polls its status.
    pub in_subset: bool,
    /// Latest load report.
    pub report: LoadReport,
}

/// All backends, published by the backends task.
#[derive(Debug, Clone, Default)]
pub struct BackendTable {
    /// Incremented with each publication.
    pub generation: u64,
    /// The backends, by name.
    pub backends: Vec<BackendEntry>,
}

/// Active settings, published by the settings task.
#[derive(Debug, Clone)]
pub struct ActiveSettings {
    /// The object as stored.
    pub object: SettingsObject,
    /// Policy compiled from the settings tree.
    pub policy: Policy,
}

/// Progress of a step that this daemon coordinates.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StepStatus {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
    /// Oldest weight version allowed for its samples.
    pub floor: u64,
    /// Number of slots.
    pub slots: u32,
    /// Slots in sealed batches.
    pub delivered: u32,
    /// Completed samples that are not yet sealed.
    pub ready: usize,
    /// Attempts in flight.
    pub drawing: usize,
}

/// Inputs of the membership task.
#[derive(Debug)]
pub enum MembershipInput {
    /// Merge a member learned from the platform or a peer.
    Merge(Member),
    /// Gossip a backend's phase.
    GossipBackend(BackendPhase),
    /// Announce that this daemon leaves.
    Leave,
}

/// Inputs of the backends task.
#[derive(Debug)]
pub enum BackendsInput {
    /// The platform's current list of backends, with their phases.
    Listed(Vec<Backend>, Vec<BackendPhase>),
    /// A phase reported by another source.
    Signal(Signal),
}

/// The two ends of a task's bounded input channel.
pub struct Channel<T> {
    /// Sending end, for other threads.
    pub sender: Sender<T>,
    /// Receiving end, for the task.
    pub receiver: Receiver<T>,
}

impl<T> Default for Channel<T> {
    fn default() -> Self {
        let (sender, receiver) = bounded(CHANNEL_CAPACITY);
        Self { sender, receiver }
    }
}

/// State shared by all threads of a daemon.
pub struct Shared {
    /// Identity of this daemon.
    pub identity: Identity,
    /// Clock that every [`Moment`] is measured by; it also advances during system suspension.
    clock: BootClock,
    /// Active settings; `None` until first loaded. Written by the settings task.
    pub settings: ArcSwapOption<ActiveSettings>,
    /// Shard map. Written by the register task.
    pub shard_map: ArcSwap<ShardMap>,
    /// Backends. Written by the backends task.
    pub backends: ArcSwap<BackendTable>,
    /// Other daemons. Written by the membership task.
    pub members: ArcSwap<Vec<Member>>,
    /// Set once by the signal handler or an operator: new requests are rejected.
    pub draining: AtomicBool,
    /// Set during draining: new connections are no longer accepted.
    pub listeners_closed: AtomicBool,
    /// Time of the last tick in milliseconds since start; used to detect pauses of the process.
    last_tick: AtomicU64,
    /// Cleared after a pause, set once the settings have been confirmed.
    pub settings_confirmed: AtomicBool,
    /// Set once all replica sets are complete or the join timeout has expired.
    pub joined: AtomicBool,
    /// Steps that this daemon coordinates. Written by the rollout task.
    pub steps: ArcSwap<Vec<StepStatus>>,
    /// In-flight requests and streams of all front threads.
    pub in_flight: AtomicU64,
    /// Open connections of all front threads.
    pub connections: AtomicU64,
    /// Set when a request waits for a weight version that no load report shows yet.
    reports_requested: AtomicBool,
    /// Counter for [`unique_number`](Self::unique_number).
    next_number: AtomicU64,
    /// Faults injected by tests.
    pub failpoints: Failpoints,
    /// Metrics.
    pub metrics: Metrics,
    /// Input of the membership task.
    pub membership: Channel<MembershipInput>,
    /// Input of the backends task.
    pub backends_channel: Channel<BackendsInput>,
    /// Input of the register task.
    pub register: Channel<RegisterCall>,
    /// Input of the rollout task.
    pub rollout: Channel<RolloutCall>,
    /// Input of the settings task.
    pub settings_channel: Channel<SettingsCall>,
}

/// Maximum time between ticks; after a longer pause the settings must be confirmed before serving.
const MAX_PAUSE: Duration = Duration::from_secs(4);

impl Shared {
    /// Creates the initial state and starts the clock.
    pub fn new(identity: Identity, failpoints_allowed: bool) -> Arc<Self> {
        Arc::new(Self {
            identity,
            clock: BootClock::start(),
            settings: ArcSwapOption::empty(),
            shard_map: ArcSwap::default(),
            backends: ArcSwap::default(),
            members: ArcSwap::default(),
            draining: AtomicBool::new(false),
            listeners_closed: AtomicBool::new(false),
            last_tick: AtomicU64::new(0),
            settings_confirmed: AtomicBool::new(true),
            joined: AtomicBool::new(false),
            steps: ArcSwap::default(),
            in_flight: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            reports_requested: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
            failpoints: Failpoints::new(failpoints_allowed),
            metrics: Metrics::default(),
            membership: Channel::default(),
            backends_channel: Channel::default(),
            register: Channel::default(),
            rollout: Channel::default(),
            settings_channel: Channel::default(),
        })
    }

    /// Returns the current time for the library's state machines.
    pub fn now(&self) -> Moment {
        self.clock.elapsed()
    }

    /// Returns a number that is unique across daemons and runs: a hash of node name, incarnation
    /// and a counter.
    pub fn unique_number(&self) -> u64 {
        let count = self.next_number.fetch_add(1, Ordering::Relaxed);
        let node = &self.identity.node;
        let name = rapidhash::v3::rapidhash_v3(node.name.0.as_bytes());
        let run = node.incarnation.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        rapidhash::v3::rapidhash_v3(&[name, run, count].map(u64::to_le_bytes).concat())
    }

    /// Records that the process is running; called by the membership task's timer.
    pub fn tick(&self) {
        self.detect_pause();
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.last_tick.store(now, Ordering::Release);
    }

    /// Returns whether requests may be served: settings are loaded, and confirmed since the last
    /// pause.
    pub fn can_serve(&self) -> bool {
        self.detect_pause();
        self.settings_confirmed.load(Ordering::Acquire) && self.settings.load().is_some()
    }

    fn detect_pause(&self) {
        let last = Duration::from_millis(self.last_tick.load(Ordering::Acquire));
        if self.now().saturating_sub(last) > MAX_PAUSE
            && self.settings_confirmed.swap(false, Ordering::AcqRel)
        {
            log::warn!("event=pause_noticed action=confirm_settings");
        }
    }

    /// Returns the versions of this daemon's settings and shard map.
    pub fn control_versions(&self) -> ControlVersions {
        let settings = self.settings.load();
        ControlVersions {
            settings_revision: settings.as_ref().map_or(0, |settings| settings.object.revision),
            shard_epochs: shard_epochs(&self.shard_map.load()),
        }
    }

    /// Returns name, zone and region of all daemons considered alive, including this one, sorted by
    /// name.
    pub fn alive_nodes(&self) -> Vec<(NodeName, String, String)> {
        let identity = &self.identity;
        let local = (identity.node.name.clone(), identity.zone.clone(), identity.region.clone());
        let members = self.members.load();
        let others = members
            .iter()
            .filter(|member| member.liveness <= Liveness::Suspect)
            .map(|member| (member.id.name.clone(), member.zone.clone(), member.region.clone()));
        let mut alive: Vec<_> = std::iter::once(local).chain(others).collect();
        alive.sort();
        alive
    }

    /// Returns whether this daemon has the lowest name of those alive.
    ///
    /// This is a hint to avoid duplicate work. Several daemons may hold it at once, so correctness
    /// must not depend on it.
    pub fn is_soft_leader(&self) -> bool {
        let alive = self.alive_nodes();
        alive.first().map(|(name, _, _)| name) == Some(&self.identity.node.name)
    }

    /// Returns whether this incarnation of a daemon may be alive.
    pub fn may_be_alive(&self, node: &NodeId) -> bool {
        *node == self.identity.node || may_be_alive(&self.members.load(), node, epoch_millis())
    }

    /// Requests an early poll of the backends' load reports.
    pub fn request_reports(&self) {
        self.reports_requested.store(true, Ordering::Release);
    }

    /// Returns and clears the request made by [`request_reports`](Self::request_reports).
    pub fn take_report_request(&self) -> bool {
        self.reports_requested.swap(false, Ordering::AcqRel)
    }

    /// Returns whether this daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Returns the sum of a shard map's epochs, which grows with every change.
pub fn shard_epochs(map: &ShardMap) -> u64 {
    map.shards.iter().map(|shard| shard.epoch).sum()
}

/// Returns the seconds since the Unix epoch.
pub fn epoch_seconds() -> u64 {
    epoch_millis() / 1000
}
