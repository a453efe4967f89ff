//! A fleet of hollow daemons in one process, on virtual time and links.
//!
//! Each hollow daemon runs the real failure detector with its rumours, the real life-cycle state of
//! all servers, and takes settings over as the daemon does: two readers a region from the store, the
//! others from the peer that is ahead. Datagrams are encoded, so that their bytes are true.
//! Registers and routing are measured as slopes, since their cost grows with requests and not with
//! daemons.

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
use heronbend::membership::{Detector, DetectorConfig, Effect, Gossip, Head, Liveness, Member};
use heronbend::record::{claim_key, Record, RecordChange};
use heronbend::register::messages::ShardRequest;
use heronbend::register::{
    Ballot, Progress, Proposal, Replica, ReplicaRequest, ShardConfig, ShardId,
};
use heronbend::request::{ClaimChange, StoredAnswer};
use heronbend::routing::{choose_subset, Query, Router, Verdict};
use heronbend::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::process::resident_kilobytes;

const REGIONS: usize = 7;
const ZONES: usize = 26;
const READERS_PER_REGION: usize = 2;
const TICK: Duration = Duration::from_millis(100);
const IN_ZONE: Duration = Duration::from_micros(250);
const IN_REGION: Duration = Duration::from_micros(750);
const BETWEEN_REGIONS: Duration = Duration::from_millis(40);
/// Time a fetch of settings takes beyond the link: a connection, a round trip and the transfer.
const FETCH_ROUND_TRIPS: u32 = 4;
const SETTLE: Duration = Duration::from_secs(30);
const EDIT_EVERY: Duration = Duration::from_secs(20);
const LEAVE_EVERY: Duration = Duration::from_secs(7);
/// Failures and restarts of a day, brought about within the run.
const FAILURES: usize = 27;
const RESTARTS: usize = 100;
const DOWN_TIME: Duration = Duration::from_secs(20);
/// Bytes of a settings object of the size to design for: some 2,000 nodes.
const SETTINGS_BYTES: u64 = 200_000;
const SUBSET: usize = 40;
/// News that takes longer than this is worth a line.
const SLOW: Duration = Duration::from_secs(3);

/// Flags of `hollow`.
#[derive(Args)]
pub struct HollowArguments {
    /// Daemons.
    #[arg(long, default_value_t = 380)]
    daemons: usize,
    /// Servers.
    #[arg(long, default_value_t = 1400)]
    servers: usize,
    /// Virtual seconds to run.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
    /// Virtual seconds for which one region is cut off; the store is in another.
    #[arg(long, default_value_t = 120)]
    cut_seconds: u64,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// What a run measured.
#[derive(Debug, Serialize)]
struct HollowReport {
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
    /// Deaths of live daemons that some daemon believed, before the cut began.
    false_deaths: u64,
    register_change_bytes: f64,
    register_change_micros: f64,
    choice_micros: f64,
    subset_least_daemons_per_server: usize,
    subset_most_daemons_per_server: usize,
}

struct HollowDaemon {
    detector: Detector,
    lifecycle: Lifecycle,
    revision: u64,
    fetching: bool,
    up: bool,
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
    /// The store's watch, or a peer, hands settings over.
    Settings {
        daemon: usize,
        revision: u64,
    },
    Edit,
    ServerLeaves {
        server: usize,
    },
    Stops {
        daemon: usize,
    },
    Starts {
        daemon: usize,
    },
    CutBegins,
    CutEnds,
}

struct Fleet {
    now: Moment,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    daemons: Vec<HollowDaemon>,
    by_address: BTreeMap<SocketAddr, usize>,
    cut_region: Option<usize>,
    revision: u64,
    edited_at: Moment,
    waiting_for_edit: BTreeSet<usize>,
    left_at: BTreeMap<usize, Moment>,
    leaving_unknown_to: BTreeMap<usize, BTreeSet<usize>>,
    settings_delay: Histogram<u64>,
    was_cut: bool,
    cut_ended: Option<Moment>,
    after_cut: Duration,
    leaving_delay: Histogram<u64>,
    gossip_bytes: u64,
    datagrams: u64,
    settings_bytes: u64,
    false_deaths: u64,
    random: SmallRng,
}

/// Runs the fleet and prints the report as JSON.
pub fn run(arguments: &HollowArguments) -> anyhow::Result<()> {
    let resident_before = resident_kilobytes("self")?;
    let mut fleet = Fleet::new(arguments);
    let start = Instant::now();
    fleet.run(Duration::from_secs(arguments.seconds));
    let processor = start.elapsed().as_secs_f64();
    let resident = resident_kilobytes("self")? - resident_before;
    let (change_bytes, change_micros) = measure_register_change();
    let (least, most) = measure_subsets(arguments);
    let daemon_seconds = (arguments.daemons as u64 * arguments.seconds) as f64;
    let edits_a_day = 900.0;
    let report = HollowReport {
        daemons: arguments.daemons,
        servers: arguments.servers,
        virtual_seconds: arguments.seconds,
        gossip_bytes_per_daemon_second: fleet.gossip_bytes as f64 / daemon_seconds,
        datagrams_per_daemon_second: fleet.datagrams as f64 / daemon_seconds,
        settings_bytes_per_daemon_day: edits_a_day * fleet.settings_bytes as f64
            / (fleet.revision.max(1) as f64 * arguments.daemons as f64),
        processor_share_per_daemon: processor / daemon_seconds,
        kilobytes_per_daemon: resident / arguments.daemons as f64,
        settings_delay_p50_ms: fleet.settings_delay.value_at_quantile(0.5),
        settings_delay_max_ms: fleet.settings_delay.max(),
        settings_delay_after_cut_ms: fleet.after_cut.as_millis() as u64,
        leaving_known_p50_ms: fleet.leaving_delay.value_at_quantile(0.5),
        leaving_known_max_ms: fleet.leaving_delay.max(),
        failures: FAILURES,
        restarts: RESTARTS,
        false_deaths: fleet.false_deaths,
        register_change_bytes: change_bytes,
        register_change_micros: change_micros,
        choice_micros: measure_choice(),
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
    }
}

fn server_name(server: usize) -> BackendName {
    BackendName(format!("server-{server:04}"))
}

impl Fleet {
    fn new(arguments: &HollowArguments) -> Self {
        let mut fleet = Self {
            now: Moment::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            daemons: Vec::new(),
            by_address: (0..arguments.daemons).map(|daemon| (address_of(daemon), daemon)).collect(),
            cut_region: None,
            revision: 1,
            edited_at: Moment::ZERO,
            waiting_for_edit: BTreeSet::new(),
            left_at: BTreeMap::new(),
            leaving_unknown_to: BTreeMap::new(),
            settings_delay: Histogram::new_with_max(3_600_000, 3).expect("valid bounds"),
            was_cut: false,
            cut_ended: None,
            after_cut: Duration::ZERO,
            leaving_delay: Histogram::new_with_max(3_600_000, 3).expect("valid bounds"),
            gossip_bytes: 0,
            datagrams: 0,
            settings_bytes: 0,
            false_deaths: 0,
            random: SmallRng::seed_from_u64(arguments.seed),
        };
        for daemon in 0..arguments.daemons {
            let hollow = fleet.hollow_daemon(daemon, 1, arguments.daemons, arguments.servers);
            fleet.daemons.push(hollow);
            let offset = TICK.mul_f64(fleet.random.random());
            fleet.schedule(offset, Event::Tick { daemon });
        }
        fleet.schedule_troubles(arguments);
        fleet
    }

    /// A daemon that has read the platform's list of machines.
    fn hollow_daemon(
        &mut self,
        daemon: usize,
        incarnation: u64,
        daemons: usize,
        servers: usize,
    ) -> HollowDaemon {
        let seed = self.random.random();
        let me = member(daemon, incarnation);
        let mut detector = Detector::new(DetectorConfig::default(), me, seed);
        for other in (0..daemons).filter(|other| *other != daemon) {
            let incarnation = self.daemons.get(other).map_or(1, |known| known.incarnation);
            detector.learn(self.now, member(other, incarnation));
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
        let revision = self.known_revision(daemon);
        detector.set_head(Head { settings_revision: revision, shard_epochs: 0 });
        HollowDaemon { detector, lifecycle, revision, fetching: false, up: true, incarnation }
    }

    /// What a daemon that starts now learns from the store, or in a cut region from its peers there.
    fn known_revision(&self, daemon: usize) -> u64 {
        let region = region_of(daemon);
        if Some(region) != self.cut_region {
            return self.revision;
        }
        let peers = self.daemons.iter().enumerate();
        let in_region = peers.filter(|(peer, known)| region_of(*peer) == region && known.up);
        in_region.map(|(_, known)| known.revision).max().unwrap_or(0)
    }

    fn schedule_troubles(&mut self, arguments: &HollowArguments) {
        let end = Duration::from_secs(arguments.seconds);
        let mut at = SETTLE;
        while at + EDIT_EVERY < end {
            self.schedule(at, Event::Edit);
            at += EDIT_EVERY;
        }
        let mut at = SETTLE + LEAVE_EVERY;
        for server in 0..arguments.servers {
            if at + SETTLE >= end {
                break;
            }
            self.schedule(at, Event::ServerLeaves { server });
            at += LEAVE_EVERY;
        }
        let troubled = end.saturating_sub(SETTLE * 2).as_secs_f64();
        let count = (FAILURES + RESTARTS) * arguments.daemons / 380;
        for _ in 0..count {
            let daemon = self.random.random_range(0..arguments.daemons);
            let at = SETTLE + Duration::from_secs_f64(troubled * self.random.random::<f64>());
            self.schedule(at, Event::Stops { daemon });
            self.schedule(at + DOWN_TIME, Event::Starts { daemon });
        }
        if arguments.cut_seconds > 0 {
            let begin = end / 2;
            self.schedule(begin, Event::CutBegins);
            self.schedule(begin + Duration::from_secs(arguments.cut_seconds), Event::CutEnds);
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
                if self.daemons[daemon].up {
                    let effects = self.daemons[daemon].detector.tick(self.now);
                    self.apply(daemon, effects);
                }
                self.schedule(self.now + TICK, Event::Tick { daemon });
            }
            Event::Datagram { from, to, bytes } => {
                if !self.daemons[to].up || self.is_cut(from, to) {
                    return;
                }
                let gossip: Gossip = musli::wire::from_slice(&bytes).expect("just encoded");
                let now = self.now;
                let effects = self.daemons[to].detector.receive(now, address_of(from), gossip);
                self.apply(to, effects);
            }
            Event::Settings { daemon, revision } => self.take_settings(daemon, revision),
            Event::Edit => self.edit(),
            Event::ServerLeaves { server } => self.server_leaves(server),
            Event::Stops { daemon } => {
                self.daemons[daemon].up = false;
                self.waiting_for_edit.remove(&daemon);
                for unknown in self.leaving_unknown_to.values_mut() {
                    unknown.remove(&daemon);
                }
            }
            Event::Starts { daemon } => self.start_again(daemon),
            Event::CutBegins => {
                self.cut_region = Some(1);
                self.was_cut = true;
                // What the cut region cannot hear of is not counted as late.
                for unknown in self.leaving_unknown_to.values_mut() {
                    unknown.retain(|daemon| region_of(*daemon) != 1);
                }
            }
            Event::CutEnds => {
                self.cut_region = None;
                self.cut_ended = Some(self.now);
                // The store's watch of the region's readers comes back at once.
                self.tell_readers();
            }
        }
    }

    fn start_again(&mut self, daemon: usize) {
        if self.daemons[daemon].up {
            return;
        }
        let incarnation = self.daemons[daemon].incarnation + 1;
        let count = self.daemons.len();
        let hollow = self.hollow_daemon(daemon, incarnation, count, 0);
        let lifecycle = std::mem::take(&mut self.daemons[daemon].lifecycle);
        self.daemons[daemon] = HollowDaemon { lifecycle, ..hollow };
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let inside = |daemon| Some(region_of(daemon)) == self.cut_region;
        inside(from) != inside(to)
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        if zone_of(from) == zone_of(to) {
            IN_ZONE
        } else if region_of(from) == region_of(to) {
            IN_REGION
        } else {
            BETWEEN_REGIONS
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
                Effect::Changed(change) => self.note_change(&change.member),
                Effect::Refuted => {}
                Effect::Backend(stated) => self.hear_of_server(daemon, stated),
                Effect::Behind { peer, head } => {
                    let peer = self.by_address[&peer];
                    self.fetch_settings(daemon, peer, head.settings_revision);
                }
            }
        }
    }

    fn note_change(&mut self, member: &Member) {
        let daemon = self.by_address[&member.address];
        let known = &self.daemons[daemon];
        let is_wrong = known.up && known.incarnation == member.id.incarnation.0;
        if member.liveness == Liveness::Dead && is_wrong && !self.was_cut {
            self.false_deaths += 1;
        }
    }

    fn fetch_settings(&mut self, daemon: usize, peer: usize, revision: u64) {
        let hollow = &mut self.daemons[daemon];
        if hollow.fetching || hollow.revision >= revision {
            return;
        }
        hollow.fetching = true;
        self.settings_bytes += SETTINGS_BYTES;
        let at = self.now + self.delay(daemon, peer) * FETCH_ROUND_TRIPS;
        self.schedule(at, Event::Settings { daemon, revision });
    }

    fn take_settings(&mut self, daemon: usize, revision: u64) {
        let hollow = &mut self.daemons[daemon];
        hollow.fetching = false;
        if !hollow.up || hollow.revision >= revision {
            return;
        }
        hollow.revision = revision;
        hollow.detector.set_head(Head { settings_revision: revision, shard_epochs: 0 });
        let effects = hollow.detector.announce();
        self.apply(daemon, effects);
        if revision == self.revision && self.waiting_for_edit.remove(&daemon) {
            let inside = region_of(daemon) == 1;
            let took = self.now - self.edited_at;
            self.warn_if_slow("settings", daemon, took);
            match self.cut_ended {
                Some(ended) if inside && self.edited_at < ended => {
                    self.after_cut = self.after_cut.max(self.now - ended);
                }
                _ => self.settings_delay.saturating_record(took.as_millis() as u64),
            }
        }
    }

    /// Says who was told late, for finding out why.
    fn warn_if_slow(&self, news: &str, daemon: usize, took: Duration) {
        if took < SLOW {
            return;
        }
        let known = &self.daemons[daemon];
        log::warn!(
            "event=told_late news={news} daemon={daemon} region={} incarnation={} now={:?} took={took:?}",
            region_of(daemon),
            known.incarnation,
            self.now
        );
    }

    /// An operator's edit is accepted by the store, which tells its readers.
    fn edit(&mut self) {
        self.revision += 1;
        self.edited_at = self.now;
        self.waiting_for_edit =
            (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].up).collect();
        self.tell_readers();
    }

    fn tell_readers(&mut self) {
        for region in 0..REGIONS {
            let readers: Vec<usize> = (0..self.daemons.len())
                .filter(|daemon| region_of(*daemon) == region && self.daemons[*daemon].up)
                .take(READERS_PER_REGION)
                .collect();
            if Some(region) == self.cut_region {
                continue;
            }
            for daemon in readers {
                let delay = if region == 0 { IN_REGION } else { BETWEEN_REGIONS };
                self.settings_bytes += SETTINGS_BYTES;
                let revision = self.revision;
                self.schedule(self.now + delay, Event::Settings { daemon, revision });
            }
        }
    }

    /// One daemon hears it from the server itself.
    fn server_leaves(&mut self, server: usize) {
        let up: Vec<usize> =
            (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].up).collect();
        if self.cut_region.is_some() {
            return;
        }
        let first = up[self.random.random_range(0..up.len())];
        self.left_at.insert(server, self.now);
        self.leaving_unknown_to.insert(server, up.into_iter().collect());
        let stated = BackendPhase {
            name: server_name(server),
            incarnation: Incarnation(1),
            phase: Phase::Leaving,
        };
        self.hear_of_server(first, stated);
    }

    fn hear_of_server(&mut self, daemon: usize, stated: BackendPhase) {
        let digits = stated.name.0.trim_start_matches("server-");
        let server: usize = digits.parse().expect("names are made by this module");
        let signal = Signal { source: SignalSource::Peer, stated: stated.clone() };
        let now = self.now;
        let hollow = &mut self.daemons[daemon];
        if hollow.lifecycle.observe(now, signal).is_none() {
            return;
        }
        hollow.detector.spread_backend(stated);
        let effects = hollow.detector.announce();
        self.apply(daemon, effects);
        let Some(unknown) = self.leaving_unknown_to.get_mut(&server) else {
            return;
        };
        if unknown.remove(&daemon) {
            let took = now - self.left_at[&server];
            self.warn_if_slow("leaving", daemon, took);
            self.leaving_delay.saturating_record(took.as_millis() as u64);
        }
    }
}

/// Bytes on the wire and processor time of one claim's acquisition, all three replicas included.
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
            ClaimChange::Settle { attempt: number, answer: answer(), expires: 1 },
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
                        Progress::Done(_) | Progress::Interrupted { .. } => break 'rounds,
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

fn answer() -> StoredAnswer {
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

/// Fewest and most daemons that have a server in their subset.
fn measure_subsets(arguments: &HollowArguments) -> (usize, usize) {
    let backends = backends(arguments.servers);
    let mut uses: BTreeMap<&BackendName, usize> =
        backends.iter().map(|backend| (&backend.name, 0)).collect();
    for daemon in 0..arguments.daemons {
        let name = format!("daemon-{daemon:04}");
        let zone = format!("zone-{:02}", zone_of(daemon));
        for chosen in choose_subset(&name, &zone, SUBSET, backends.iter()) {
            *uses.entry(&chosen.name).or_default() += 1;
        }
    }
    let least = uses.values().min().copied().unwrap_or(0);
    (least, uses.values().max().copied().unwrap_or(0))
}

/// Processor time of one choice among a subset, with its end, in microseconds.
fn measure_choice() -> f64 {
    const CHOICES: u32 = 50_000;
    let mut router = Router::new("zone-00", 1);
    router.update(backends(SUBSET).into_iter().map(|backend| (backend, Phase::Live)));
    let query =
        Query { pool: "pool", max_in_flight: 64, prefix: Some(7), min_version: None, exclude: &[] };
    let start = Instant::now();
    for number in 0..CHOICES {
        let now = Duration::from_micros(u64::from(number));
        let query = Query { prefix: Some(u64::from(number)), ..query };
        let chosen = router.choose(now, &query).expect("there is room");
        router.finished(now, &chosen, Verdict::Answered);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}
