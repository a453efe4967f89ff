//! Tests of reported load, speed and spill: simulations of daemons and servers in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::server_load::ReportHistory;
use super::server_load::MIN_WEIGHT;
use super::server_load::SLOWDOWN_MEMORY;
use super::speed::Speed;
use super::*;
use crate::identity::Incarnation;
use crate::Moment;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(25);
const TARGET: Duration = Duration::from_millis(150);
/// Time after which a daemon learns that a lost server does not respond.
const LOSS_NOTICE: Duration = Duration::from_millis(5);
const LOAD: RankOptions =
    RankOptions { server_load: true, two_speeds: false, spill_by_need: false };
const SPEEDS: RankOptions =
    RankOptions { server_load: false, two_speeds: true, spill_by_need: false };
const SPILL: RankOptions =
    RankOptions { server_load: false, two_speeds: false, spill_by_need: true };
const ALL: RankOptions = RankOptions { server_load: true, two_speeds: true, spill_by_need: true };
const SEEDS: std::ops::Range<u64> = 0..8;

/// What a server reports.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reports {
    Absent,
    True,
    /// The load at this time before.
    Old(Duration),
    Fixed(LoadReport),
}

struct ServerModel {
    zone: &'static str,
    reports: Reports,
    /// Usual run time of a call relative to others.
    slowness: f64,
    /// Whether its slowdown changes 20 times a second.
    is_noisy: bool,
    /// When it becomes unreachable.
    lost_at: Option<Moment>,
    /// From when until when it is slower by a factor.
    slow_spell: Option<(Moment, Moment, f64)>,
    slowdown: f64,
    running: u32,
    waiting: VecDeque<usize>,
    /// Load after each change.
    history: VecDeque<(Moment, LoadReport)>,
}

impl ServerModel {
    fn new(zone: &'static str) -> Self {
        Self {
            zone,
            reports: Reports::True,
            slowness: 1.0,
            is_noisy: false,
            lost_at: None,
            slow_spell: None,
            slowdown: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    fn load(&self) -> LoadReport {
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        let slowdown = self.is_noisy.then_some(self.slowdown);
        LoadReport { running: self.running, waiting, slots: SLOTS, slowdown }
    }

    fn note_load(&mut self, now: Moment) {
        self.history.push_back((now, self.load()));
    }

    fn report(&self, now: Moment) -> Option<LoadReport> {
        match self.reports {
            Reports::Absent => None,
            Reports::True => Some(self.load()),
            Reports::Fixed(report) => Some(report),
            Reports::Old(age) => {
                let past = now.saturating_sub(age);
                self.history.iter().rfind(|(time, _)| *time <= past).map(|(_, load)| *load)
            }
        }
    }

    fn is_lost(&self, now: Moment) -> bool {
        self.lost_at.is_some_and(|lost_at| now >= lost_at)
    }

    fn run_time(&self, now: Moment, work: Duration) -> Duration {
        let spell = self.slow_spell.filter(|(from, until, _)| (*from..*until).contains(&now));
        work.mul_f64(self.slowness * self.slowdown * spell.map_or(1.0, |(_, _, factor)| factor))
    }
}

struct Call {
    daemon: usize,
    arrived: Moment,
    work: Duration,
    server: usize,
    key: Option<ServerKey>,
    sent_at: Moment,
    history: AttemptHistory,
    finished: Option<Moment>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Place(usize),
    Finished(usize),
    Lost(usize),
    NoiseChanges,
}

struct Simulation {
    servers: Vec<ServerModel>,
    daemons: Vec<Placer>,
    /// Calls per second at each daemon.
    rates: Vec<f64>,
    /// Bytes of each call.
    bytes: usize,
    random: SmallRng,
    /// Draws work and slowdowns, which do not depend on decisions.
    noise: SmallRng,
    events: BinaryHeap<Reverse<(Moment, usize, Event)>>,
    event_count: usize,
    calls: Vec<Call>,
}

/// What came of the calls of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    calls: usize,
    late: usize,
    mean_millis: f64,
    /// Calls to each server.
    by_server: BTreeMap<usize, usize>,
    /// Calls that left their zone.
    crossed: usize,
}

impl Outcome {
    fn share(&self, server: usize) -> f64 {
        *self.by_server.get(&server).unwrap_or(&0) as f64 / self.calls as f64
    }

    fn late_share(&self) -> f64 {
        self.late as f64 / self.calls as f64
    }
}

impl Simulation {
    /// `daemons` are given by their zones and the calls they get per second.
    fn new(
        seed: u64,
        options: RankOptions,
        daemons: &[(&'static str, f64)],
        servers: Vec<ServerModel>,
    ) -> Self {
        let placer = |(number, (zone, _)): (usize, &(&'static str, f64))| {
            let mut placer = Placer::new(seed * 100 + number as u64);
            for zone in ["a", "b", "c"] {
                placer.set_region(zone, "region");
            }
            placer.set_local_zone(zone);
            placer.set_service_limits("app", 100, None);
            placer.set_rank_options(options);
            for (index, server) in servers.iter().enumerate() {
                let registration = Registration {
                    service: placer.service("app"),
                    zone: placer.zone(server.zone),
                    slots: SLOTS,
                    is_draining: false,
                    versions: Vec::new(),
                    cold_for: Duration::ZERO,
                    incarnation: Incarnation::default(),
                    revision: 1,
                };
                placer.register(Moment::ZERO, &index.to_string(), registration);
            }
            placer
        };
        Self {
            daemons: daemons.iter().enumerate().map(placer).collect(),
            rates: daemons.iter().map(|(_, rate)| *rate).collect(),
            servers,
            bytes: 0,
            random: SmallRng::seed_from_u64(seed),
            noise: SmallRng::seed_from_u64(seed + 1_000),
            events: BinaryHeap::new(),
            event_count: 0,
            calls: Vec::new(),
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn run(mut self, length: Duration) -> Outcome {
        for daemon in 0..self.daemons.len() {
            self.schedule_arrival(SECOND, daemon);
        }
        if self.servers.iter().any(|server| server.is_noisy) {
            self.schedule(SECOND, Event::NoiseChanges);
        }
        let end = SECOND + length;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival(daemon) if now < end => self.arrive(now, daemon),
                Event::NoiseChanges if now < end => self.change_noise(now),
                Event::Arrival(_) | Event::NoiseChanges => {}
                Event::Place(call) => self.place(now, call),
                Event::Finished(call) => self.finish(now, call),
                Event::Lost(call) => self.lose(now, call),
            }
        }
        self.outcome()
    }

    fn schedule_arrival(&mut self, now: Moment, daemon: usize) {
        let gap = self.exponential(1.0 / self.rates[daemon]);
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrival(daemon));
    }

    fn arrive(&mut self, now: Moment, daemon: usize) {
        let work = WORK.mul_f64(self.random.random_range(0.4..1.6));
        self.calls.push(Call {
            daemon,
            arrived: now,
            work,
            server: 0,
            key: None,
            sent_at: now,
            history: AttemptHistory::default(),
            finished: None,
        });
        self.place(now, self.calls.len() - 1);
        self.schedule_arrival(now, daemon);
    }

    fn change_noise(&mut self, now: Moment) {
        for server in self.servers.iter_mut().filter(|server| server.is_noisy) {
            // Half of the time as usual, else up to three times as slow.
            let is_disturbed = self.noise.random::<f64>() < 0.5;
            server.slowdown = if is_disturbed { self.noise.random_range(1.5..3.0) } else { 1.0 };
        }
        self.schedule(now + 50 * MILLI, Event::NoiseChanges);
    }

    fn place(&mut self, now: Moment, number: usize) {
        let call = &self.calls[number];
        let placer = &mut self.daemons[call.daemon];
        let requirements =
            Requirements { service: placer.service("app"), model: None, allowed_regions: None };
        let wait = WaitState {
            since: call.arrived,
            deadline: call.arrived + SECOND,
            target: TARGET,
            was_sent: !call.history.tried.is_empty(),
            bytes: self.bytes,
        };
        match placer.place_call(now, &requirements, &call.history, &wait, |_| true) {
            Decision::Place(choice) => self.send(now, number, choice.server),
            Decision::Wait(delay) => self.schedule(now + delay, Event::Place(number)),
            Decision::Reject(_) => {}
        }
    }

    fn send(&mut self, now: Moment, number: usize, key: ServerKey) {
        let call = &mut self.calls[number];
        let placer = &mut self.daemons[call.daemon];
        let id = placer.id(key).unwrap().to_owned();
        call.key = placer.request_started(now, &id);
        call.sent_at = now;
        call.server = id.parse().unwrap();
        call.history.tried.push(key);
        let server = &mut self.servers[call.server];
        if server.is_lost(now) {
            self.schedule(now + LOSS_NOTICE, Event::Lost(number));
            return;
        }
        server.waiting.push_back(number);
        let index = call.server;
        self.start_waiting(now, index);
    }

    fn start_waiting(&mut self, now: Moment, index: usize) {
        while self.servers[index].running < SLOTS {
            let Some(number) = self.servers[index].waiting.pop_front() else {
                break;
            };
            self.servers[index].running += 1;
            let run_time = self.servers[index].run_time(now, self.calls[number].work);
            self.schedule(now + run_time, Event::Finished(number));
        }
        self.servers[index].note_load(now);
    }

    fn finish(&mut self, now: Moment, number: usize) {
        let call = &mut self.calls[number];
        let index = call.server;
        if self.servers[index].is_lost(now) {
            self.lose(now, number);
            return;
        }
        call.finished = Some(now);
        let latency = now - call.sent_at;
        let (daemon, key) = (call.daemon, call.key);
        let report = self.servers[index].report(now);
        let placer = &mut self.daemons[daemon];
        if let Some(report) = report {
            placer.record_report(now, &index.to_string(), report);
        }
        if let Some(key) = key {
            placer.compare_with_report(now, key, latency);
            placer.request_finished(now, key, AttemptOutcome::Succeeded(latency));
        }
        self.servers[index].running -= 1;
        self.start_waiting(now, index);
    }

    fn lose(&mut self, now: Moment, number: usize) {
        let call = &self.calls[number];
        if let Some(key) = call.key {
            let placer = &mut self.daemons[call.daemon];
            placer.request_finished(now, key, AttemptOutcome::Unreachable);
        }
        self.place(now, number);
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = Outcome { calls: self.calls.len(), ..Outcome::default() };
        for call in &self.calls {
            let latency = call.finished.map(|finished| finished - call.arrived);
            outcome.late += usize::from(latency.is_none_or(|latency| latency > TARGET));
            outcome.mean_millis += latency.unwrap_or(SECOND).as_secs_f64() * 1e3;
            *outcome.by_server.entry(call.server).or_default() += 1;
            let server_zone = self.daemons[call.daemon]
                .zones
                .name(self.daemons[call.daemon].get(call.key.unwrap()).unwrap().registration.zone);
            let local = self.daemons[call.daemon].local_zone.unwrap();
            let is_local = server_zone == self.daemons[call.daemon].zones.name(local);
            outcome.crossed += usize::from(!is_local);
        }
        outcome.mean_millis /= outcome.calls as f64;
        outcome
    }
}

/// Runs a scenario by each seed without and with `options`, and prints what came of it.
fn compare(
    name: &str,
    options: RankOptions,
    scenario: impl Fn(u64, RankOptions) -> Outcome,
) -> Vec<[Outcome; 2]> {
    let compared = |seed| {
        let outcomes = [RankOptions::default(), options].map(|options| scenario(seed, options));
        let figures = outcomes.each_ref().map(|outcome| {
            let Outcome { calls, late, mean_millis, by_server, crossed } = outcome;
            format!("late {late}/{calls} mean {mean_millis:.1} ms {by_server:?} crossed {crossed}")
        });
        println!("{name} seed {seed}: {} | {}", figures[0], figures[1]);
        outcomes
    };
    SEEDS.map(compared).collect()
}

fn mean(outcomes: &[[Outcome; 2]], index: usize, figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(|pair| figure(&pair[index])).sum::<f64>() / outcomes.len() as f64
}

/// Nine daemons in one zone share the calls per second evenly.
fn nine_daemons(calls_per_second: f64) -> Vec<(&'static str, f64)> {
    vec![("a", calls_per_second / 9.0); 9]
}

fn three_servers() -> Vec<ServerModel> {
    (0..3).map(|_| ServerModel::new("a")).collect()
}

/// Calls per second that three servers can do.
const CAPACITY: f64 = 3.0 * 6.0 / 0.025;

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport { running, waiting, slots: SLOTS, slowdown: None }
}

/// A history in which requests have taken `run_time`.
fn history(run_time: Duration) -> ReportHistory {
    let mut history = ReportHistory::default();
    for number in 0..100 {
        history.in_flight_changes(run_time * number, 1);
        history.request_finished();
    }
    history
}

#[test]
fn a_report_fades_with_the_time_that_work_takes() {
    for run_time in [10 * MILLI, 25 * MILLI, 800 * MILLI] {
        let mut history = history(run_time);
        let now = SECOND * 100;
        history.record(now, report(6, 6), 1, SLOTS);
        let others =
            |age: Duration| history.current(now + age, SLOTS, 0.0).map_or(0.0, |load| load.others);
        assert!((others(Duration::ZERO) - 11.0).abs() < 0.1, "{:?}", others(MILLI));
        let after_one = others(run_time);
        assert!((after_one / 11.0 - (-1.0_f64).exp()).abs() < 0.02, "{after_one}");
        assert!(others(run_time.mul_f64(2.9)) > 0.0);
        assert_eq!(others(run_time.mul_f64(3.1)), 0.0, "{run_time:?}");
    }
}

#[test]
fn load_of_a_server_is_forgotten_after_three_run_times() {
    // A server with exponential run times at half of its capacity; the correlation of its load now
    // with its load some run times later.
    let mut random = SmallRng::seed_from_u64(3);
    let step = 0.05;
    let arrival = f64::from(SLOTS) * 0.5 * step;
    let mut load: Vec<f64> = vec![0.0];
    for _ in 0..400_000 {
        let now = *load.last().unwrap();
        let leaves = random.random::<f64>() < now.min(f64::from(SLOTS)) * step;
        let comes = random.random::<f64>() < arrival;
        load.push(now + f64::from(u8::from(comes)) - f64::from(u8::from(leaves)));
    }
    let mean = load.iter().sum::<f64>() / load.len() as f64;
    let correlation = |run_times: f64| {
        let lag = (run_times / step) as usize;
        let pairs = load.iter().zip(&load[lag..]);
        let product: f64 = pairs.map(|(now, later)| (now - mean) * (later - mean)).sum();
        let square: f64 = load.iter().map(|now| (now - mean).powi(2)).sum();
        product / square
    };
    for run_times in [0.5, 1.0, 2.0, 3.0, 4.0] {
        println!("{run_times} run times: {:.3}", correlation(run_times));
        let assumed = (-run_times).exp();
        assert!((correlation(run_times) - assumed).abs() < 0.12, "{}", correlation(run_times));
    }
    assert!(correlation(4.0) < 0.12);
}

#[test]
fn a_slowdown_fades_within_three_changes_and_hardly_concerns_long_requests() {
    let now = SECOND * 100;
    let effect = |run_time: Duration, age: Duration| {
        let mut history = history(run_time);
        history.record(now, LoadReport { slowdown: Some(3.0), ..report(0, 0) }, 0, SLOTS);
        history.current(now + age, SLOTS, 0.0).map_or(1.0, |load| load.slowdown)
    };
    assert!(effect(25 * MILLI, Duration::ZERO) > 2.5);
    assert_eq!(effect(25 * MILLI, SLOWDOWN_MEMORY * 3), 1.0);
    assert!(effect(800 * MILLI, Duration::ZERO) < 1.15);
    assert_eq!(effect(800 * MILLI, SLOWDOWN_MEMORY), 1.0);
    assert!((-3.0_f64).exp() < MIN_WEIGHT);
}

#[test]
fn absurd_reports_have_a_bounded_effect() {
    let now = SECOND * 100;
    let mut history = history(25 * MILLI);
    let absurd = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        slowdown: Some(f64::MAX),
    };
    history.record(now, absurd, 0, SLOTS);
    let load = history.current(now, SLOTS, 0.0).unwrap();
    assert!(load.others <= f64::from(SLOTS) * 4.0 && load.slowdown <= 4.0, "{load:?}");
    history.record(now, LoadReport { slowdown: Some(f64::MIN_POSITIVE), ..report(0, 0) }, 3, SLOTS);
    let load = history.current(now, SLOTS, 0.0).unwrap();
    assert!(load.others == 0.0 && load.slowdown >= 0.25, "{load:?}");
}

#[test]
fn reports_change_nothing_unless_enabled() {
    for seed in SEEDS {
        let outcomes =
            [Reports::Absent, Reports::True, Reports::Fixed(report(6, 24))].map(|sent| {
                let mut servers = three_servers();
                servers.iter_mut().for_each(|server| server.reports = sent);
                let daemons = nine_daemons(CAPACITY * 0.6);
                Simulation::new(seed, RankOptions::default(), &daemons, servers).run(3 * SECOND)
            });
        println!("seed {seed}: {outcomes:?}");
        assert_eq!(outcomes[0].by_server, outcomes[1].by_server);
        assert_eq!(outcomes[0].by_server, outcomes[2].by_server);
    }
}

#[test]
fn true_reports_shorten_waits_before_busy_servers() {
    for (load, name) in [(0.6, "0.6 of capacity"), (0.85, "0.85 of capacity")] {
        let outcomes = compare(name, LOAD, |seed, options| {
            let daemons = nine_daemons(CAPACITY * load);
            Simulation::new(seed, options, &daemons, three_servers()).run(5 * SECOND)
        });
        let [without, with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.mean_millis));
        println!("{name}: mean {without:.2} ms without, {with:.2} ms with");
        assert!(with <= without, "{with} {without}");
    }
}

#[test]
fn noisy_servers_are_used_between_their_disturbances() {
    let outcomes = compare("noise", LOAD, |seed, options| {
        let mut servers = three_servers();
        servers.iter_mut().for_each(|server| server.is_noisy = true);
        let daemons = nine_daemons(CAPACITY * 0.4);
        Simulation::new(seed, options, &daemons, servers).run(5 * SECOND)
    });
    let [without, with] = [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.mean_millis));
    println!("mean {without:.2} ms without, {with:.2} ms with");
    assert!(with <= without, "{with} {without}");
}

#[test]
fn one_slow_server_of_three_gets_less() {
    for options in [LOAD, SPEEDS, ALL] {
        let outcomes = compare(&format!("{options:?}"), options, |seed, options| {
            let mut servers = three_servers();
            servers[0].slowness = 3.0;
            let daemons = nine_daemons(CAPACITY * 0.65);
            Simulation::new(seed, options, &daemons, servers).run(5 * SECOND)
        });
        let [without, with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.late_share()));
        let share = mean(&outcomes, 1, |outcome| outcome.share(0));
        println!("{options:?}: late {without:.4} without, {with:.4} with, share {share:.3}");
        assert!(with < without, "{with} {without}");
        // It can do one call while the others do six.
        assert!(share < 1.0 / 7.0, "{share}");
    }
}

#[test]
fn a_server_that_reports_falsely_neither_gathers_nor_loses_all_calls() {
    let false_reports = [
        ("always idle", Reports::Fixed(report(0, 0))),
        ("always full", Reports::Fixed(report(6, 24))),
        ("absurd", Reports::Fixed(report(u32::MAX, u32::MAX))),
        ("half a second old", Reports::Old(500 * MILLI)),
    ];
    for (name, reports) in false_reports {
        let outcomes = compare(name, LOAD, |seed, options| {
            let mut servers = three_servers();
            servers[0].reports = reports;
            let daemons = nine_daemons(CAPACITY * 0.6);
            Simulation::new(seed, options, &daemons, servers).run(5 * SECOND)
        });
        let share = mean(&outcomes, 1, |outcome| outcome.share(0));
        let [without, with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.late_share()));
        println!("{name}: share {share:.3}, late {without:.4} without, {with:.4} with");
        assert!((0.1..0.6).contains(&share), "{name}: {share}");
        assert!(with <= without + 0.01, "{name}: {with} {without}");
    }
}

#[test]
fn calls_go_on_when_a_server_is_lost() {
    for options in [LOAD, SPEEDS, SPILL, ALL] {
        let outcomes = compare(&format!("{options:?}"), options, |seed, options| {
            let mut servers = three_servers();
            servers[0].lost_at = Some(3 * SECOND);
            let daemons = nine_daemons(CAPACITY * 0.6);
            Simulation::new(seed, options, &daemons, servers).run(5 * SECOND)
        });
        let [without, with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.late_share()));
        println!("{options:?}: late {without:.4} without, {with:.4} with");
        assert!(with <= without + 0.01, "{with} {without}");
    }
}

/// A speed after samples at these times of the latencies that `millis` gives.
fn sampled(speed: &mut Speed, from: Duration, until: Duration, millis: impl Fn(u32) -> f64) {
    let mut now = from;
    let mut number = 0;
    while now < until {
        speed.record(now, millis(number));
        now += 10 * MILLI;
        number += 1;
    }
}

#[test]
fn a_server_slow_for_a_moment_is_as_fast_as_usual_soon_after() {
    let mut speed = Speed::default();
    sampled(&mut speed, SECOND, 11 * SECOND, |_| 20.0);
    let end = 11 * SECOND + 300 * MILLI;
    sampled(&mut speed, 11 * SECOND, end, |_| 80.0);
    assert!(speed.current_millis(end).unwrap() > 70.0);
    assert!(speed.usual_millis().unwrap() < 35.0, "{:?}", speed.usual_millis());
    // Within the ratio up to which servers count as equally fast for calls, without a sample.
    assert!(speed.current_millis(end + SECOND).unwrap() < 35.0);
}

#[test]
fn a_server_that_becomes_slow_for_good_stays_known_as_slow() {
    let mut speed = Speed::default();
    sampled(&mut speed, SECOND, 11 * SECOND, |_| 20.0);
    sampled(&mut speed, 11 * SECOND, 16 * SECOND, |_| 80.0);
    assert!(speed.usual_millis().unwrap() > 65.0, "{:?}", speed.usual_millis());
    assert!(speed.current_millis(60 * SECOND).unwrap() > 65.0);
    assert!(!speed.is_probe_due(17 * SECOND));
    assert!(speed.is_probe_due(60 * SECOND));
}

#[test]
fn the_usual_speed_of_a_noisy_server_is_steady() {
    for seed in SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut speed = Speed::default();
        let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
        for number in 0..4_000_u32 {
            let now = SECOND + 5 * MILLI * number;
            speed.record(now, random.random_range(10.0..50.0));
            if number >= 1_000 {
                let usual = speed.usual_millis().unwrap();
                (least, most) = (least.min(usual), most.max(usual));
            }
        }
        println!("seed {seed}: usual {least:.1} to {most:.1} ms of a mean of 30 ms");
        assert!(least > 22.0 && most < 38.0, "seed {seed}: {least} {most}");
    }
}

#[test]
fn a_server_that_was_slow_for_a_moment_or_recovers_gets_its_share_again() {
    for (name, until) in [("300 ms", 2 * SECOND + 300 * MILLI), ("4 s", 6 * SECOND)] {
        let outcomes = compare(name, SPEEDS, |seed, options| {
            let mut servers = three_servers();
            servers[0].slow_spell = Some((2 * SECOND, until, 4.0));
            let daemons = nine_daemons(CAPACITY * 0.4);
            Simulation::new(seed, options, &daemons, servers).run(20 * SECOND)
        });
        let share = mean(&outcomes, 1, |outcome| outcome.share(0));
        let [without, with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.late_share()));
        println!("{name}: share {share:.3}, late {without:.4} without, {with:.4} with");
        assert!(share > 0.15, "{name}: {share}");
        assert!(with <= without + 0.005, "{name}: {with} {without}");
    }
}

/// Three zones with a server and three daemons each; two thirds of the calls come to zone "a".
fn uneven_zones(seed: u64, options: RankOptions, load: f64, bytes: usize) -> Outcome {
    let servers = ["a", "b", "c"].map(ServerModel::new).into_iter().collect();
    let all = CAPACITY * load;
    let daemons: Vec<(&'static str, f64)> = [("a", 2.0 / 3.0), ("b", 1.0 / 6.0), ("c", 1.0 / 6.0)]
        .into_iter()
        .flat_map(|(zone, part)| vec![(zone, all * part / 3.0); 3])
        .collect();
    let mut simulation = Simulation::new(seed, options, &daemons, servers);
    simulation.bytes = bytes;
    simulation.run(5 * SECOND)
}

#[test]
fn demand_on_one_zone_spills_over_by_need() {
    // At 0.3 of the capacity the server of the zone can do two thirds of the calls; at 0.7 it can do
    // 240 of 336 calls a second, so that at least 96 of 504 leave it.
    for (load, needed) in [(0.3, 0.0), (0.7, 96.0 / 504.0)] {
        let outcomes = compare(&format!("load {load}"), ALL, |seed, options| {
            uneven_zones(seed, options, load, 600)
        });
        let crossed = |index: usize| {
            mean(&outcomes, index, |outcome| outcome.crossed as f64 / outcome.calls as f64)
        };
        let [late_without, late_with] =
            [0, 1].map(|index| mean(&outcomes, index, |outcome| outcome.late_share()));
        println!(
            "load {load}: needed {needed:.3}, crossed {:.3} without, {:.3} with; late {late_without:.4}, {late_with:.4}",
            crossed(0),
            crossed(1)
        );
        assert!(crossed(1) >= needed - 0.02, "{}", crossed(1));
        assert!(crossed(1) <= needed + 0.12 && crossed(1) <= crossed(0), "{}", crossed(1));
        assert!(late_with <= late_without + 0.01, "{late_with} {late_without}");
    }
}

#[test]
fn large_calls_cross_zones_less() {
    for seed in SEEDS {
        let [small, large] =
            [600, 10_000_000].map(|bytes| uneven_zones(seed, ALL, 0.7, bytes).crossed);
        println!("seed {seed}: {small} of 600 bytes, {large} of 10 MB");
        assert!(large < small, "seed {seed}: {large} {small}");
    }
}

fn registration(placer: &mut Placer, incarnation: Incarnation) -> Registration {
    Registration {
        service: placer.service("app"),
        zone: placer.zone("a"),
        slots: SLOTS,
        is_draining: false,
        versions: Vec::new(),
        cold_for: Duration::ZERO,
        incarnation,
        revision: 1,
    }
}

#[test]
fn first_placement_of_a_text_avoids_a_server_that_others_fill() {
    for seed in SEEDS {
        let mut placer = Placer::new(seed);
        placer.set_local_zone("a");
        for id in ["busy", "idle"] {
            let registration = registration(&mut placer, Incarnation::default());
            placer.register(SECOND, id, registration);
        }
        let requirements =
            Requirements { service: placer.service("app"), model: None, allowed_regions: None };
        placer.record_report(SECOND, "busy", report(SLOTS, 3));
        placer.record_report(SECOND, "idle", report(0, 0));
        let none = AttemptHistory::default();
        placer.set_rank_options(LOAD);
        for _ in 0..20 {
            let choice = placer.place_batch_item(SECOND, &requirements, &none).unwrap();
            assert_eq!(placer.id(choice.server), Some("idle"), "seed {seed}");
        }
        placer.set_rank_options(RankOptions::default());
        let choices = (0..40).filter_map(|_| placer.place_batch_item(SECOND, &requirements, &none));
        let busy: Vec<ServerKey> = choices.map(|choice| choice.server).collect();
        let busy = busy.into_iter().filter(|key| placer.id(*key) == Some("busy")).count();
        assert!(busy > 5, "seed {seed}: {busy} of 40 without the option");
    }
}

#[test]
fn a_restarted_server_has_no_report() {
    let mut placer = Placer::new(1);
    let first = registration(&mut placer, Incarnation::default());
    let key = placer.register(SECOND, "server", first);
    placer.record_report(SECOND, "server", report(6, 24));
    assert_eq!(placer.last_report(key).map(|last| last.report), Some(report(6, 24)));
    let restarted = registration(&mut placer, Incarnation::starting_now());
    let key = placer.register(SECOND, "server", restarted);
    assert_eq!(placer.last_report(key), None);
}

/// A placer with these servers of one service, and requirements that they meet.
fn placer_with(ids: &[&str], options: RankOptions) -> (Placer, Requirements) {
    let mut placer = Placer::new(1);
    placer.set_local_zone("a");
    placer.set_rank_options(options);
    for id in ids {
        let registration = registration(&mut placer, Incarnation::default());
        placer.register(Moment::ZERO, id, registration);
    }
    let requirements =
        Requirements { service: placer.service("app"), model: None, allowed_regions: None };
    (placer, requirements)
}

#[test]
fn a_text_is_not_compared_with_the_report_for_a_call() {
    let (mut placer, _) = placer_with(&["server"], LOAD);
    let others = |placer: &Placer, key: ServerKey, now: Moment| {
        let reports = placer.get(key).unwrap().health.reports().unwrap();
        reports.current(now, SLOTS, 0.0).unwrap().others
    };
    placer.record_outcome(SECOND, "server", AttemptOutcome::Succeeded(20 * MILLI));
    placer.record_report(SECOND, "server", report(6, 6));
    let text = placer.request_started(SECOND, "server").unwrap();
    let call = placer.request_started(SECOND + 20 * MILLI, "server").unwrap();
    // The last events of the text took as long as the call has been running.
    let now = SECOND + 40 * MILLI;
    placer.request_finished(now, text, AttemptOutcome::Succeeded(20 * MILLI));
    placer.record_report(now, "server", report(6, 6));
    assert_eq!(others(&placer, call, now), 11.0);
    // The call did not wait, which disagrees with the report.
    placer.compare_with_report(now, call, 20 * MILLI);
    assert!(others(&placer, call, now) < 10.0);
}

#[test]
fn a_text_does_not_move_to_a_slow_server_whose_speed_is_due_for_a_probe() {
    let (mut placer, requirements) = placer_with(&["fast", "slow"], SPEEDS);
    for (id, millis) in [("fast", 20), ("slow", 60)] {
        placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(millis * MILLI));
    }
    let now = 5 * SECOND;
    assert!(placer
        .key("slow")
        .is_some_and(|key| { placer.get(key).unwrap().health.speed().unwrap().is_probe_due(now) }));
    assert_eq!(placer.migration_gain(now, &requirements, "fast", 30 * MILLI, 100), None);
}

#[test]
fn the_effect_of_reports_on_a_comparison_is_not_that_of_the_next_assignment() {
    let (mut placer, requirements) = placer_with(&["busy", "idle", "current"], LOAD);
    placer.record_report(SECOND, "busy", report(SLOTS, 24));
    placer.record_report(SECOND, "idle", report(0, 0));
    let compare = |placer: &mut Placer| {
        for _ in 0..100 {
            placer.migration_gain(SECOND, &requirements, "current", 30 * MILLI, 100);
            if placer.report_use.is_some() {
                return;
            }
        }
        panic!("reports had no effect");
    };
    compare(&mut placer);
    placer.set_slack_scheduling(true);
    let run = placer.request_started(SECOND, "current").unwrap();
    for (id, millis) in [("current", 80), ("busy", 30), ("idle", 30)] {
        placer.record_pace(id, millis * MILLI);
    }
    placer.run_started(Run {
        server: run,
        requirements,
        priority: 1,
        work: Work { target: SECOND, remaining: 100 },
        has_progressed: true,
        moves: 0,
        history: AttemptHistory::default(),
    });
    let assignment = placer.next_assignment(SECOND, MILLI, |_| true);
    assert!(matches!(assignment, Some(Assignment::Move(..))), "{assignment:?}");
    assert_eq!(placer.take_report_use(), None);
}

#[test]
fn mean_load_from_before_an_idle_time_is_not_assumed() {
    let ids = ["first", "second", "third"];
    let (mut placer, requirements) = placer_with(&ids, LOAD);
    for id in ids {
        placer.record_outcome(SECOND, id, AttemptOutcome::Succeeded(20 * MILLI));
        placer.record_report(SECOND, id, report(6, 24));
    }
    let now = 3600 * SECOND;
    placer.record_report(now, "first", report(0, 0));
    let wait =
        WaitState { since: now, deadline: now + SECOND, target: TARGET, was_sent: false, bytes: 0 };
    let none = AttemptHistory::default();
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..3 * SLOTS {
        let decision = placer.place_call(now, &requirements, &none, &wait, |_| true);
        let Decision::Place(choice) = decision else {
            panic!("{decision:?}");
        };
        let id = placer.id(choice.server).unwrap().to_owned();
        placer.request_started(now, &id);
        *calls.entry(id).or_default() += 1;
    }
    println!("{calls:?}");
    assert!(ids.iter().all(|id| calls.get(*id).is_some_and(|count| *count <= SLOTS + 2)));
}
