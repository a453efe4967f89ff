//! Simulation of a fleet of daemons in one process, on virtual time and virtual links.
//!
//! Each simulated daemon runs the real failure detector, including gossip, and the real lifecycle state
//! of all servers. Settings propagate as in the daemon: two daemons per region read the store, the
//! others fetch from a peer with a newer revision. Datagrams are encoded, so that their sizes are exact.
//! Registers and routing are measured per operation, since their cost depends on the number of requests
//! rather than the number of daemons.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Args;
use hdrhistogram::Histogram;
use heronbend::identity::{Incarnation, NodeId};
use heronbend::lifecycle::{
    Backend, BackendName, BackendPhase, Lifecycle, Phase, Signal, SignalSource,
};
use heronbend::membership::{
    ControlVersions, Detector, DetectorConfig, Effect, GossipMessage, Liveness, Member,
};
use heronbend::record::{claim_key, Record, RecordChange};
use heronbend::register::messages::ShardRequest;
use heronbend::register::{
    Ballot, Progress, Proposal, Replica, ReplicaRequest, ShardConfig, ShardId,
};
use heronbend::request::{ClaimChange, StoredAnswer};
use heronbend::routing::{choose_subset, Query, RequestOutcome, Router};
use heronbend::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::process::resident_kilobytes;

const REGIONS: usize = 7;
const ZONES: usize = 26;
const STORE_READERS_PER_REGION: usize = 2;
/// Interval of the failure detector's ticks.
const TICK: Duration = Duration::from_millis(100);
/// One-way latency within a zone.
const ZONE_LATENCY: Duration = Duration::from_micros(250);
/// One-way latency between zones of a region.
const REGION_LATENCY: Duration = Duration::from_micros(750);
/// One-way latency between regions.
const INTER_REGION_LATENCY: Duration = Duration::from_millis(40);
/// Duration of a settings fetch from a peer, in link delays.
const FETCH_ROUND_TRIPS: u32 = 4;
/// Fault-free time at the start and the end of the simulation.
const SETTLE_TIME: Duration = Duration::from_secs(30);
const EDIT_INTERVAL: Duration = Duration::from_secs(20);
const LEAVE_INTERVAL: Duration = Duration::from_secs(7);
/// Daily failures and restarts of 380 daemons, all injected within the run.
const FAILURES: usize = 27;
const RESTARTS: usize = 100;
/// Time from a daemon's stop to its restart.
const DOWN_TIME: Duration = Duration::from_secs(20);
/// Size in bytes of a settings object with about 2,000 nodes.
const SETTINGS_BYTES: u64 = 200_000;
/// Number of servers in the subset that a daemon uses.
const SUBSET_SIZE: usize = 40;
/// Propagation delays of at least this are logged.
const SLOW_PROPAGATION: Duration = Duration::from_secs(3);

/// Flags of `hollow`.
#[derive(Args)]
pub struct HollowArguments {
    /// Number of daemons.
    #[arg(long, default_value_t = 380)]
    daemons: usize,
    /// Number of servers.
    #[arg(long, default_value_t = 1400)]
    servers: usize,
    /// Duration of the simulation, in virtual seconds.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
    /// Duration of the partition of one region from the others and the store, in virtual seconds.
    #[arg(long, default_value_t = 120)]
    cut_seconds: u64,
    /// Random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to write the JSON report to.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Results of a simulation, printed as JSON.
#[derive(Debug, Serialize)]
struct FleetReport {
    daemons: usize,
    servers: usize,
    virtual_seconds: u64,
    gossip_bytes_per_daemon_second: f64,
    datagrams_per_daemon_second: f64,
    settings_bytes_per_daemon_day: f64,
    processor_share_per_daemon: f64,
    kilobytes_per_daemon: f64,
    settings_delay_p50_ms: u64,
    settings_delay_max_ms: u64,
    settings_delay_after_cut_ms: u64,
    leaving_known_p50_ms: u64,
    leaving_known_max_ms: u64,
    failures: usize,
    restarts: usize,
    /// Number of times a daemon considered a live daemon dead, before the partition.
    false_deaths: u64,
    register_change_bytes: f64,
    register_change_micros: f64,
    choice_micros: f64,
    subset_least_daemons_per_server: usize,
    subset_most_daemons_per_server: usize,
}

struct SimulatedDaemon {
    detector: Detector,
    lifecycle: Lifecycle,
    revision: u64,
    fetching: bool,
    is_up: bool,
    incarnation: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick {
        daemon: usize,
    },
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// Settings arrive from the store or a peer.
    Settings {
        daemon: usize,
        revision: u64,
    },
    Edit,
    ServerLeaves {
        server: usize,
    },
    DaemonStops {
        daemon: usize,
    },
    DaemonStarts {
        daemon: usize,
    },
    PartitionStarts,
    PartitionHeals,
}

struct SimulatedFleet {
    now: Moment,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    daemons: Vec<SimulatedDaemon>,
    by_address: BTreeMap<SocketAddr, usize>,
    partitioned_region: Option<usize>,
    revision: u64,
    edited_at: Moment,
    daemons_missing_edit: BTreeSet<usize>,
    leave_times: BTreeMap<usize, Moment>,
    daemons_missing_leave: BTreeMap<usize, BTreeSet<usize>>,
    settings_delay: Histogram<u64>,
    had_partition: bool,
    partition_healed_at: Option<Moment>,
    max_delay_after_partition: Duration,
    leaving_delay: Histogram<u64>,
    gossip_bytes: u64,
    datagrams: u64,
    settings_bytes: u64,
    false_deaths: u64,
    random: SmallRng,
}

/// Runs the simulation and prints the report as JSON.
pub fn run(arguments: &HollowArguments) -> anyhow::Result<()> {
    let resident_before = resident_kilobytes("self")?;
    let mut fleet = SimulatedFleet::new(arguments);
    let start = Instant::now();
    fleet.run(Duration::from_secs(arguments.seconds));
    let wall_seconds = start.elapsed().as_secs_f64();
    let resident = resident_kilobytes("self")? - resident_before;
    let (change_bytes, change_micros) = measure_register_change();
    let (least, most) = measure_subsets(arguments);
    let daemon_seconds = (arguments.daemons as u64 * arguments.seconds) as f64;
    let edits_a_day = 900.0;
    let report = FleetReport {
        daemons: arguments.daemons,
        servers: arguments.servers,
        virtual_seconds: arguments.seconds,
        gossip_bytes_per_daemon_second: fleet.gossip_bytes as f64 / daemon_seconds,
        datagrams_per_daemon_second: fleet.datagrams as f64 / daemon_seconds,
        settings_bytes_per_daemon_day: edits_a_day * fleet.settings_bytes as f64
            / (fleet.revision.max(1) as f64 * arguments.daemons as f64),
        processor_share_per_daemon: wall_seconds / daemon_seconds,
        kilobytes_per_daemon: resident / arguments.daemons as f64,
        settings_delay_p50_ms: fleet.settings_delay.value_at_quantile(0.5),
        settings_delay_max_ms: fleet.settings_delay.max(),
        settings_delay_after_cut_ms: fleet.max_delay_after_partition.as_millis() as u64,
        leaving_known_p50_ms: fleet.leaving_delay.value_at_quantile(0.5),
        leaving_known_max_ms: fleet.leaving_delay.max(),
        failures: FAILURES,
        restarts: RESTARTS,
        false_deaths: fleet.false_deaths,
        register_change_bytes: change_bytes,
        register_change_micros: change_micros,
        choice_micros: measure_backend_choice(),
        subset_least_daemons_per_server: least,
        subset_most_daemons_per_server: most,
    };
    let text = serde_json::to_string_pretty(&report)?;
    println!("{text}");
    if let Some(path) = &arguments.json {
        std::fs::write(path, text)?;
    }
    Ok(())
}

fn zone_of(daemon: usize) -> usize {
    daemon % ZONES
}

fn region_of(daemon: usize) -> usize {
    zone_of(daemon) % REGIONS
}

fn address_of(daemon: usize) -> SocketAddr {
    let [_, _, high, low] = (daemon as u32).to_be_bytes();
    ([127, 1, high, low], 7200).into()
}

fn member(daemon: usize, incarnation: u64) -> Member {
    Member {
        id: NodeId::new(&format!("daemon-{daemon:04}"), incarnation),
        address: address_of(daemon),
        http_address: address_of(daemon),
        zone: format!("zone-{:02}", zone_of(daemon)),
        region: format!("region-{}", region_of(daemon)),
        processor_millis: 0,
        refutation: 0,
        liveness: Liveness::Alive,
        is_draining: false,
    }
}

fn server_name(server: usize) -> BackendName {
    BackendName(format!("server-{server:04}"))
}

impl SimulatedFleet {
    fn new(arguments: &HollowArguments) -> Self {
        let mut fleet = Self {
            now: Moment::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            daemons: Vec::new(),
            by_address: (0..arguments.daemons).map(|daemon| (address_of(daemon), daemon)).collect(),
            partitioned_region: None,
            revision: 1,
            edited_at: Moment::ZERO,
            daemons_missing_edit: BTreeSet::new(),
            leave_times: BTreeMap::new(),
            daemons_missing_leave: BTreeMap::new(),
            settings_delay: Histogram::new_with_max(3_600_000, 3).expect("valid bounds"),
            had_partition: false,
            partition_healed_at: None,
            max_delay_after_partition: Duration::ZERO,
            leaving_delay: Histogram::new_with_max(3_600_000, 3).expect("valid bounds"),
            gossip_bytes: 0,
            datagrams: 0,
            settings_bytes: 0,
            false_deaths: 0,
            random: SmallRng::seed_from_u64(arguments.seed),
        };
        for daemon in 0..arguments.daemons {
            let state = fleet.new_daemon(daemon, 1, arguments.daemons, arguments.servers);
            fleet.daemons.push(state);
            let offset = TICK.mul_f64(fleet.random.random());
            fleet.schedule(offset, Event::Tick { daemon });
        }
        fleet.schedule_faults(arguments);
        fleet
    }

    /// Creates a daemon that has read the platform's machine list.
    fn new_daemon(
        &mut self,
        daemon: usize,
        incarnation: u64,
        daemons: usize,
        servers: usize,
    ) -> SimulatedDaemon {
        let seed = self.random.random();
        let local_member = member(daemon, incarnation);
        let mut detector = Detector::new(DetectorConfig::default(), local_member, seed);
        for other in (0..daemons).filter(|other| *other != daemon) {
            let incarnation = self.daemons.get(other).map_or(1, |known| known.incarnation);
            detector.merge_member(self.now, member(other, incarnation));
        }
        let mut lifecycle = Lifecycle::default();
        for server in 0..servers {
            let stated = BackendPhase {
                name: server_name(server),
                incarnation: Incarnation(1),
                phase: Phase::Live,
            };
            lifecycle.observe(self.now, Signal { source: SignalSource::MachineList, stated });
        }
        let revision = self.initial_revision(daemon);
        detector
            .set_control_versions(ControlVersions { settings_revision: revision, shard_epochs: 0 });
        SimulatedDaemon { detector, lifecycle, revision, fetching: false, is_up: true, incarnation }
    }

    /// Settings revision of a daemon that starts now: the store's, or the newest among its peers if its
    /// region is partitioned.
    fn initial_revision(&self, daemon: usize) -> u64 {
        let region = region_of(daemon);
        if Some(region) != self.partitioned_region {
            return self.revision;
        }
        let peers = self.daemons.iter().enumerate();
        let in_region = peers.filter(|(peer, known)| region_of(*peer) == region && known.is_up);
        in_region.map(|(_, known)| known.revision).max().unwrap_or(0)
    }

    fn schedule_faults(&mut self, arguments: &HollowArguments) {
        let end = Duration::from_secs(arguments.seconds);
        let mut at = SETTLE_TIME;
        while at + EDIT_INTERVAL < end {
            self.schedule(at, Event::Edit);
            at += EDIT_INTERVAL;
        }
        let mut at = SETTLE_TIME + LEAVE_INTERVAL;
        for server in 0..arguments.servers {
            if at + SETTLE_TIME >= end {
                break;
            }
            self.schedule(at, Event::ServerLeaves { server });
            at += LEAVE_INTERVAL;
        }
        let fault_window = end.saturating_sub(SETTLE_TIME * 2).as_secs_f64();
        let count = (FAILURES + RESTARTS) * arguments.daemons / 380;
        for _ in 0..count {
            let daemon = self.random.random_range(0..arguments.daemons);
            let at =
                SETTLE_TIME + Duration::from_secs_f64(fault_window * self.random.random::<f64>());
            self.schedule(at, Event::DaemonStops { daemon });
            self.schedule(at + DOWN_TIME, Event::DaemonStarts { daemon });
        }
        if arguments.cut_seconds > 0 {
            let begin = end / 2;
            self.schedule(begin, Event::PartitionStarts);
            self.schedule(
                begin + Duration::from_secs(arguments.cut_seconds),
                Event::PartitionHeals,
            );
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self, time: Duration) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > time {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { daemon } => {
                if self.daemons[daemon].is_up {
                    let effects = self.daemons[daemon].detector.tick(self.now);
                    self.apply(daemon, effects);
                }
                self.schedule(self.now + TICK, Event::Tick { daemon });
            }
            Event::Datagram { from, to, bytes } => {
                if !self.daemons[to].is_up || self.is_partitioned(from, to) {
                    return;
                }
                let gossip: GossipMessage = musli::wire::from_slice(&bytes).expect("just encoded");
                let now = self.now;
                let effects = self.daemons[to].detector.receive(now, address_of(from), gossip);
                self.apply(to, effects);
            }
            Event::Settings { daemon, revision } => self.apply_settings(daemon, revision),
            Event::Edit => self.edit(),
            Event::ServerLeaves { server } => self.server_leaves(server),
            Event::DaemonStops { daemon } => {
                self.daemons[daemon].is_up = false;
                self.daemons_missing_edit.remove(&daemon);
                for missing in self.daemons_missing_leave.values_mut() {
                    missing.remove(&daemon);
                }
            }
            Event::DaemonStarts { daemon } => self.restart_daemon(daemon),
            Event::PartitionStarts => {
                self.partitioned_region = Some(1);
                self.had_partition = true;
                // Excludes the partitioned region from the measured delays.
                for missing in self.daemons_missing_leave.values_mut() {
                    missing.retain(|daemon| region_of(*daemon) != 1);
                }
            }
            Event::PartitionHeals => {
                self.partitioned_region = None;
                self.partition_healed_at = Some(self.now);
                // The region's readers reconnect to the store immediately.
                self.notify_readers();
            }
        }
    }

    fn restart_daemon(&mut self, daemon: usize) {
        if self.daemons[daemon].is_up {
            return;
        }
        let incarnation = self.daemons[daemon].incarnation + 1;
        let count = self.daemons.len();
        let state = self.new_daemon(daemon, incarnation, count, 0);
        let lifecycle = std::mem::take(&mut self.daemons[daemon].lifecycle);
        self.daemons[daemon] = SimulatedDaemon { lifecycle, ..state };
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let is_inside = |daemon| Some(region_of(daemon)) == self.partitioned_region;
        is_inside(from) != is_inside(to)
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        if zone_of(from) == zone_of(to) {
            ZONE_LATENCY
        } else if region_of(from) == region_of(to) {
            REGION_LATENCY
        } else {
            INTER_REGION_LATENCY
        }
    }

    fn apply(&mut self, daemon: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, gossip } => {
                    let to = self.by_address[&to];
                    let bytes = musli::wire::to_vec(&*gossip).expect("a plain data type");
                    self.gossip_bytes += bytes.len() as u64;
                    self.datagrams += 1;
                    let at = self.now + self.delay(daemon, to);
                    self.schedule(at, Event::Datagram { from: daemon, to, bytes });
                }
                Effect::Changed(change) => self.count_false_death(&change.member),
                Effect::Refuted => {}
                Effect::Backend(stated) => self.observe_backend(daemon, stated),
                Effect::Behind { peer, head } => {
                    let peer = self.by_address[&peer];
                    self.fetch_settings(daemon, peer, head.settings_revision);
                }
            }
        }
    }

    fn count_false_death(&mut self, member: &Member) {
        let daemon = self.by_address[&member.address];
        let known = &self.daemons[daemon];
        let is_wrong = known.is_up && known.incarnation == member.id.incarnation.0;
        if member.liveness == Liveness::Dead && is_wrong && !self.had_partition {
            self.false_deaths += 1;
        }
    }

    fn fetch_settings(&mut self, daemon: usize, peer: usize, revision: u64) {
        let state = &mut self.daemons[daemon];
        if state.fetching || state.revision >= revision {
            return;
        }
        state.fetching = true;
        self.settings_bytes += SETTINGS_BYTES;
        let at = self.now + self.delay(daemon, peer) * FETCH_ROUND_TRIPS;
        self.schedule(at, Event::Settings { daemon, revision });
    }

    fn apply_settings(&mut self, daemon: usize, revision: u64) {
        let state = &mut self.daemons[daemon];
        state.fetching = false;
        if !state.is_up || state.revision >= revision {
            return;
        }
        state.revision = revision;
        state
            .detector
            .set_control_versions(ControlVersions { settings_revision: revision, shard_epochs: 0 });
        let effects = state.detector.announce();
        self.apply(daemon, effects);
        if revision == self.revision && self.daemons_missing_edit.remove(&daemon) {
            let was_partitioned = region_of(daemon) == 1;
            let elapsed = self.now - self.edited_at;
            self.warn_if_slow("settings", daemon, elapsed);
            match self.partition_healed_at {
                Some(healed_at) if was_partitioned && self.edited_at < healed_at => {
                    self.max_delay_after_partition =
                        self.max_delay_after_partition.max(self.now - healed_at);
                }
                _ => self.settings_delay.saturating_record(elapsed.as_millis() as u64),
            }
        }
    }

    /// Logs a slow propagation.
    fn warn_if_slow(&self, update: &str, daemon: usize, elapsed: Duration) {
        if elapsed < SLOW_PROPAGATION {
            return;
        }
        let known = &self.daemons[daemon];
        log::warn!(
            "event=told_late news={update} daemon={daemon} region={} incarnation={} now={:?} took={elapsed:?}",
            region_of(daemon),
            known.incarnation,
            self.now
        );
    }

    /// Commits an edit of the settings to the store, which notifies its readers.
    fn edit(&mut self) {
        self.revision += 1;
        self.edited_at = self.now;
        self.daemons_missing_edit =
            (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].is_up).collect();
        self.notify_readers();
    }

    fn notify_readers(&mut self) {
        for region in 0..REGIONS {
            let readers: Vec<usize> = (0..self.daemons.len())
                .filter(|daemon| region_of(*daemon) == region && self.daemons[*daemon].is_up)
                .take(STORE_READERS_PER_REGION)
                .collect();
            if Some(region) == self.partitioned_region {
                continue;
            }
            for daemon in readers {
                let delay = if region == 0 { REGION_LATENCY } else { INTER_REGION_LATENCY };
                self.settings_bytes += SETTINGS_BYTES;
                let revision = self.revision;
                self.schedule(self.now + delay, Event::Settings { daemon, revision });
            }
        }
    }

    /// A server starts leaving and informs one daemon.
    fn server_leaves(&mut self, server: usize) {
        let up: Vec<usize> =
            (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].is_up).collect();
        if self.partitioned_region.is_some() {
            return;
        }
        let first = up[self.random.random_range(0..up.len())];
        self.leave_times.insert(server, self.now);
        self.daemons_missing_leave.insert(server, up.into_iter().collect());
        let stated = BackendPhase {
            name: server_name(server),
            incarnation: Incarnation(1),
            phase: Phase::Leaving,
        };
        self.observe_backend(first, stated);
    }

    fn observe_backend(&mut self, daemon: usize, stated: BackendPhase) {
        let digits = stated.name.0.trim_start_matches("server-");
        let server: usize = digits.parse().expect("this module generates the names");
        let signal = Signal { source: SignalSource::Peer, stated: stated.clone() };
        let now = self.now;
        let state = &mut self.daemons[daemon];
        if state.lifecycle.observe(now, signal).is_none() {
            return;
        }
        state.detector.gossip_backend(stated);
        let effects = state.detector.announce();
        self.apply(daemon, effects);
        let Some(missing) = self.daemons_missing_leave.get_mut(&server) else {
            return;
        };
        if missing.remove(&daemon) {
            let elapsed = now - self.leave_times[&server];
            self.warn_if_slow("leaving", daemon, elapsed);
            self.leaving_delay.saturating_record(elapsed.as_millis() as u64);
        }
    }
}

/// Measures one change of a claim with three replicas: bytes on the wire, and time in microseconds.
fn measure_register_change() -> (f64, f64) {
    const CHANGES: u64 = 2000;
    let nodes: Vec<NodeId> = (0..3).map(|index| NodeId::new(&format!("n{index}"), 1)).collect();
    let config = ShardConfig { epoch: 1, transition: 0, members: nodes.iter().cloned().collect() };
    let mut replicas: Vec<Replica<Record>> = nodes.iter().cloned().map(Replica::new).collect();
    for replica in &mut replicas {
        replica.handle(ReplicaRequest::Configure { config: config.clone() });
    }
    let mut bytes = 0;
    let start = Instant::now();
    for number in 0..CHANGES {
        let key = claim_key("caller", &format!("key-{number}"));
        for change in [
            ClaimChange::Acquire { attempt: number, holder: nodes[0].clone(), request_digest: 1 },
            ClaimChange::Settle { attempt: number, answer: stored_answer(), expires: 1 },
        ] {
            let round = if matches!(change, ClaimChange::Acquire { .. }) { 1 } else { 2 };
            let ballot = Ballot { round, proposer: number };
            let (mut proposal, mut request) = Proposal::<Record>::start(
                key.clone(),
                RecordChange::Claim(change),
                config.clone(),
                ballot,
            );
            'rounds: loop {
                let framed = ShardRequest { shard: ShardId(0), request: request.clone() };
                let encoded = musli::wire::to_vec(&framed).expect("a plain data type");
                let mut next = None;
                for (node, replica) in nodes.iter().zip(&mut replicas) {
                    bytes += encoded.len();
                    let decoded: ShardRequest<Record> =
                        musli::wire::from_slice(&encoded).expect("just encoded");
                    let reply = replica.handle(decoded.request);
                    bytes += musli::wire::to_vec(&reply).expect("a plain data type").len();
                    match proposal.on_reply(node, reply) {
                        Progress::Waiting => {}
                        Progress::Broadcast(accept) => next = Some(accept),
                        Progress::Done(_) | Progress::Preempted { .. } => break 'rounds,
                    }
                }
                match next {
                    Some(accept) => request = accept,
                    None => break,
                }
            }
        }
    }
    let changes = (CHANGES * 2) as f64;
    (bytes as f64 / changes, start.elapsed().as_secs_f64() * 1e6 / changes)
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer::Answer {
        status: 200,
        content_type: "application/json".into(),
        body: vec![b'x'; 300],
    }
}

fn backends(servers: usize) -> Vec<Backend> {
    (0..servers)
        .map(|server| Backend {
            name: server_name(server),
            incarnation: Incarnation(1),
            pool: "pool".into(),
            address: address_of(server),
            zone: format!("zone-{:02}", server % ZONES),
        })
        .collect()
}

/// Returns the minimum and the maximum number of daemons per server that have it in their subset.
fn measure_subsets(arguments: &HollowArguments) -> (usize, usize) {
    let backends = backends(arguments.servers);
    let mut daemons_per_server: BTreeMap<&BackendName, usize> =
        backends.iter().map(|backend| (&backend.name, 0)).collect();
    for daemon in 0..arguments.daemons {
        let name = format!("daemon-{daemon:04}");
        let zone = format!("zone-{:02}", zone_of(daemon));
        for chosen in choose_subset(&name, &zone, SUBSET_SIZE, backends.iter()) {
            *daemons_per_server.entry(&chosen.name).or_default() += 1;
        }
    }
    let least = daemons_per_server.values().min().copied().unwrap_or(0);
    (least, daemons_per_server.values().max().copied().unwrap_or(0))
}

/// Measures the time of choosing a backend and recording its outcome, in microseconds.
fn measure_backend_choice() -> f64 {
    const CHOICES: u32 = 50_000;
    let mut router = Router::new("zone-00", 1);
    router.update(backends(SUBSET_SIZE).into_iter().map(|backend| (backend, Phase::Live)));
    let query =
        Query { pool: "pool", max_in_flight: 64, prefix: Some(7), min_version: None, exclude: &[] };
    let start = Instant::now();
    for number in 0..CHOICES {
        let now = Duration::from_micros(u64::from(number));
        let query = Query { prefix: Some(u64::from(number)), ..query };
        let chosen = router.choose(now, &query).expect("there is room");
        router.finished(now, &chosen, RequestOutcome::Answered);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}
