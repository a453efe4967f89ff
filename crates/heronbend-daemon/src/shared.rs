//! What the threads of a daemon share: published snapshots and rings, no locks.
//!
//! Each snapshot has one writer, the duty named with it, and any number of readers. Rings are
//! bounded: when one is full the sender is told at once, and refuses the request as not run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use heronbend::identity::{epoch_millis, NodeId, NodeName};
use heronbend::lifecycle::{Backend, BackendPhase, Phase, Signal};
use heronbend::membership::{may_be_alive, Head, Liveness, Member};
use heronbend::register::ShardMap;
use heronbend::routing::LoadReport;
use heronbend::settings::{Policy, SettingsObject};
use heronbend::Moment;
use heronbend_net::boot_clock::BootClock;
use serde::{Deserialize, Serialize};
use smol::channel::{bounded, Receiver, Sender};

use crate::duties::register::RegisterCall;
use crate::duties::rollout::RolloutCall;
use crate::duties::settings::SettingsCall;
use crate::failpoints::Failpoints;
use crate::telemetry::Metrics;

/// Messages that may wait in a ring.
const RING_CAPACITY: usize = 4096;

/// Who and where this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name and run.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where callers reach it.
    pub http_address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
}

impl Identity {
    /// This daemon as it makes itself known to its peers.
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
        }
    }
}

/// A back end with all that is known of it.
#[derive(Debug, Clone)]
pub struct KnownBackend {
    /// The back end.
    pub backend: Backend,
    /// Its phase.
    pub phase: Phase,
    /// Whether this daemon sends to it and asks it for reports.
    pub in_subset: bool,
    /// Its last report.
    pub report: LoadReport,
}

/// All back ends, as published by the back-ends duty.
#[derive(Debug, Clone, Default)]
pub struct BackendTable {
    /// Grows with each publication.
    pub generation: u64,
    /// The back ends.
    pub backends: Vec<KnownBackend>,
}

/// Settings in force, as published by the settings duty.
#[derive(Debug, Clone)]
pub struct SettingsInForce {
    /// The object as stored.
    pub object: SettingsObject,
    /// The compiled tree.
    pub policy: Policy,
}

/// How far a step is that this daemon coordinates.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StepStatus {
    /// The trainer.
    pub trainer: String,
    /// Number of the step.
    pub step: u64,
    /// Oldest weight version that its samples may be drawn from.
    pub floor: u64,
    /// Number of slots.
    pub slots: u32,
    /// Slots in sealed batches.
    pub delivered: u32,
    /// Samples that are drawn and not yet sealed.
    pub ready: usize,
    /// Draws under way.
    pub drawing: usize,
}

/// Inputs of the membership duty.
#[derive(Debug)]
pub enum MembershipInput {
    /// The platform lists this daemon.
    Learn(Member),
    /// Spread a back end's phase.
    SpreadBackend(BackendPhase),
    /// This daemon stops.
    Leave,
}

/// Inputs of the back-ends duty.
#[derive(Debug)]
pub enum BackendsInput {
    /// The platform's list of back ends.
    Listed(Vec<Backend>, Vec<BackendPhase>),
    /// Somebody states a phase.
    Signal(Signal),
}

/// A ring's two ends.
pub struct Ring<T> {
    /// For the duty's callers.
    pub sender: Sender<T>,
    /// For the duty.
    pub receiver: Receiver<T>,
}

impl<T> Default for Ring<T> {
    fn default() -> Self {
        let (sender, receiver) = bounded(RING_CAPACITY);
        Self { sender, receiver }
    }
}

/// Everything that threads share.
pub struct Shared {
    /// Who this daemon is.
    pub identity: Identity,
    /// Time zero of every [`Moment`].
    clock: BootClock,
    /// Settings in force; none until first learnt. Written by the settings duty.
    pub settings: ArcSwapOption<SettingsInForce>,
    /// The shard map. Written by the register duty.
    pub shard_map: ArcSwap<ShardMap>,
    /// Back ends. Written by the back-ends duty.
    pub backends: ArcSwap<BackendTable>,
    /// Other daemons. Written by the membership duty.
    pub members: ArcSwap<Vec<Member>>,
    /// Set once by the signal handler or an operator: no new work is taken.
    pub draining: AtomicBool,
    /// Set while draining: no more connections are accepted.
    pub listeners_closed: AtomicBool,
    /// Milliseconds since start at which the ticker last ran; tells a pause of the process.
    last_tick: AtomicU64,
    /// Cleared by a pause, set when the settings are confirmed again.
    pub settings_confirmed: AtomicBool,
    /// Set once this daemon has taken its place in the replica sets, or has waited long enough.
    pub joined: AtomicBool,
    /// Steps that this daemon coordinates. Written by the rollout duty.
    pub steps: ArcSwap<Vec<StepStatus>>,
    /// Requests and streams under way at all fronts.
    pub exchanges: AtomicU64,
    /// Connections open at all fronts.
    pub connections: AtomicU64,
    /// Set when a request waits for a version that no report shows yet.
    reports_wanted: AtomicBool,
    /// Numbers that are unique within this run.
    next_number: AtomicU64,
    /// Faults that tests bring about.
    pub failpoints: Failpoints,
    /// Counters.
    pub metrics: Metrics,
    /// Ring of the membership duty.
    pub membership: Ring<MembershipInput>,
    /// Ring of the back-ends duty.
    pub backends_ring: Ring<BackendsInput>,
    /// Ring of the register duty.
    pub register: Ring<RegisterCall>,
    /// Ring of the rollout duty.
    pub rollout: Ring<RolloutCall>,
    /// Ring of the settings duty.
    pub settings_ring: Ring<SettingsCall>,
}

/// A pause of the process longer than this makes it confirm its settings before it serves again.
const PAUSE_LIMIT: Duration = Duration::from_secs(4);

impl Shared {
    /// The state of a daemon that starts now.
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
            exchanges: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            reports_wanted: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
            failpoints: Failpoints::new(failpoints_allowed),
            metrics: Metrics::default(),
            membership: Ring::default(),
            backends_ring: Ring::default(),
            register: Ring::default(),
            rollout: Ring::default(),
            settings_ring: Ring::default(),
        })
    }

    /// The present time, for state machines.
    pub fn now(&self) -> Moment {
        self.clock.elapsed()
    }

    /// A number that no other run of any daemon uses: start time, random bits and a count.
    pub fn unique_number(&self) -> u64 {
        let count = self.next_number.fetch_add(1, Ordering::Relaxed);
        let node = &self.identity.node;
        let name = rapidhash::v3::rapidhash_v3(node.name.0.as_bytes());
        let run = node.incarnation.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        rapidhash::v3::rapidhash_v3(&[name, run, count].map(u64::to_le_bytes).concat())
    }

    /// Notes that the process runs; called by the ticker.
    pub fn tick(&self) {
        self.note_pause();
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.last_tick.store(now, Ordering::Release);
    }

    /// Whether requests may be served: settings are known and were confirmed since any pause.
    pub fn serves(&self) -> bool {
        self.note_pause();
        self.settings_confirmed.load(Ordering::Acquire) && self.settings.load().is_some()
    }

    fn note_pause(&self) {
        let last = Duration::from_millis(self.last_tick.load(Ordering::Acquire));
        if self.now().saturating_sub(last) > PAUSE_LIMIT
            && self.settings_confirmed.swap(false, Ordering::AcqRel)
        {
            log::warn!("event=pause_noticed action=confirm_settings");
        }
    }

    /// Newest control data that this daemon holds.
    pub fn head(&self) -> Head {
        let settings = self.settings.load();
        Head {
            settings_revision: settings.as_ref().map_or(0, |settings| settings.object.revision),
            shard_epochs: shard_epochs(&self.shard_map.load()),
        }
    }

    /// Names of daemons that are believed alive, this one included, in order.
    pub fn alive_nodes(&self) -> Vec<(NodeName, String, String)> {
        let identity = &self.identity;
        let me = (identity.node.name.clone(), identity.zone.clone(), identity.region.clone());
        let members = self.members.load();
        let others = members
            .iter()
            .filter(|member| member.liveness <= Liveness::Suspect)
            .map(|member| (member.id.name.clone(), member.zone.clone(), member.region.clone()));
        let mut alive: Vec<_> = std::iter::once(me).chain(others).collect();
        alive.sort();
        alive
    }

    /// Whether this daemon has the lowest name of those alive: it does what one daemon should do.
    /// Two may believe it at once; nothing unsafe may rest on it.
    pub fn is_first_alive(&self) -> bool {
        let alive = self.alive_nodes();
        alive.first().map(|(name, _, _)| name) == Some(&self.identity.node.name)
    }

    /// Whether this very run of a daemon may be alive.
    pub fn may_be_alive(&self, node: &NodeId) -> bool {
        *node == self.identity.node || may_be_alive(&self.members.load(), node, epoch_millis())
    }

    /// Asks for fresh reports of back ends: a request waits for what a report will tell.
    pub fn want_reports(&self) {
        self.reports_wanted.store(true, Ordering::Release);
    }

    /// Whether fresh reports were asked for since this was called last.
    pub fn take_reports_wanted(&self) -> bool {
        self.reports_wanted.swap(false, Ordering::AcqRel)
    }

    /// Whether this daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Sum of the epochs of a shard map.
pub fn shard_epochs(map: &ShardMap) -> u64 {
    map.shards.iter().map(|shard| shard.epoch).sum()
}

/// Seconds since the Unix epoch.
pub fn epoch_seconds() -> u64 {
    epoch_millis() / 1000
}
