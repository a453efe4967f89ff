//! Tests of scheduling by slack: simulations of texts in virtual time, with the rule and without.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use super::moves::Assignment;
use super::running::MAX_MOVES;
use super::slack;
use super::*;
use crate::identity::Incarnation;
use crate::Moment;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const SLOTS: u32 = 8;
const FAST: Duration = Duration::from_millis(34);
const SLOW: Duration = Duration::from_millis(82);
/// Time from the start of an attempt until its first event.
const START: Duration = Duration::from_millis(70);
const MIN_GAIN: Duration = Duration::from_millis(200);
const SAMPLE_EVENTS: u32 = 8;
const DEADLINE: Duration = Duration::from_millis(7500);
const TARGET: Duration = Duration::from_millis(4500);

#[derive(Debug, Clone)]
struct Text {
    step: usize,
    events: u32,
    hint: u32,
    submitted: Moment,
    produced: u32,
    /// Events of the current attempt.
    attempt_events: u32,
    /// Incremented by each attempt, so that events of earlier ones are ignored.
    attempt: u32,
    moves: u32,
    server: Option<ServerKey>,
    run: Option<RunKey>,
    history: AttemptHistory,
    started: Option<Moment>,
    finished: Option<Moment>,
}

impl Text {
    fn remaining(&self) -> u32 {
        self.hint.saturating_sub(self.produced).max(self.produced / 2)
    }

    fn work(&self) -> Work {
        Work { target: self.submitted + TARGET, remaining: self.remaining() }
    }
}

struct Simulation {
    placer: Placer,
    requirements: Requirements,
    now: Moment,
    paces: BTreeMap<ServerKey, Duration>,
    texts: Vec<Text>,
    waiting: BTreeMap<TicketKey, usize>,
    timers: BinaryHeap<Reverse<(Moment, usize, u32)>>,
}

impl Simulation {
    /// Servers whose paces are known from earlier texts.
    fn new(by_slack: bool, paces: &[Duration]) -> Self {
        let mut placer = Placer::new(7);
        placer.set_slack_scheduling(by_slack);
        let service = placer.service("engines");
        let requirements = Requirements { service, model: None, allowed_regions: None };
        let mut simulation = Self {
            placer,
            requirements,
            now: SECOND,
            paces: BTreeMap::new(),
            texts: Vec::new(),
            waiting: BTreeMap::new(),
            timers: BinaryHeap::new(),
        };
        for pace in paces {
            simulation.add_server(*pace);
        }
        simulation
    }

    fn add_server(&mut self, pace: Duration) -> ServerKey {
        let id = format!("e{:03}", self.paces.len());
        let registration = Registration {
            incarnation: Incarnation::default(),
            service: self.requirements.service,
            zone: self.placer.zone("a"),
            slots: SLOTS,
            is_draining: false,
            versions: Vec::new(),
            cold_for: Duration::ZERO,
            revision: 1,
        };
        let key = self.placer.register(self.now, &id, registration);
        self.paces.insert(key, pace);
        self.placer.record_outcome(self.now, &id, AttemptOutcome::Succeeded(pace));
        self.placer.record_pace(&id, pace);
        key
    }

    fn submit(&mut self, step: usize, events: u32, hint: u32) {
        self.texts.push(Text {
            step,
            events,
            hint,
            submitted: self.now,
            produced: 0,
            attempt_events: 0,
            attempt: 0,
            moves: 0,
            server: None,
            run: None,
            history: AttemptHistory::default(),
            started: None,
            finished: None,
        });
        self.enqueue(self.texts.len() - 1);
    }

    fn enqueue(&mut self, index: usize) {
        let text = &self.texts[index];
        let urgency = Urgency {
            priority: 1,
            deadline: text.submitted + DEADLINE,
            remaining_tokens: Reverse(u64::from(text.remaining())),
        };
        let (history, work) = (text.history.clone(), text.work());
        let ticket = self.placer.enqueue(self.now, self.requirements, urgency, history);
        self.placer.set_work(ticket, work);
        self.waiting.insert(ticket, index);
    }

    /// Starts an attempt on a server.
    fn start(&mut self, index: usize, server: ServerKey) {
        let id = self.placer.id(server).unwrap().to_owned();
        self.placer.request_started(self.now, &id);
        let text = &mut self.texts[index];
        text.server = Some(server);
        text.attempt += 1;
        text.attempt_events = 0;
        text.started.get_or_insert(self.now);
        if self.placer.schedules_by_slack() {
            let run = Run {
                server,
                requirements: self.requirements,
                priority: 1,
                work: text.work(),
                has_progressed: false,
                moves: text.moves,
                history: text.history.clone(),
            };
            text.run = Some(self.placer.run_started(run));
        }
        let first = self.now + START + self.paces[&server];
        self.timers.push(Reverse((first, index, text.attempt)));
    }

    /// Ends the current attempt.
    fn stop(&mut self, index: usize, outcome: AttemptOutcome) {
        let text = &mut self.texts[index];
        text.attempt += 1;
        text.history.last = text.server;
        if let Some(run) = text.run.take() {
            self.placer.run_ended(run);
        }
        let server = text.server.take().unwrap();
        self.placer.request_finished(self.now, server, outcome);
    }

    fn assign(&mut self) {
        while let Some(assignment) = self.placer.next_assignment(self.now, MIN_GAIN, |_| true) {
            match assignment {
                Assignment::Place(ticket, choice) => {
                    let index = self.waiting.remove(&ticket).unwrap();
                    self.start(index, choice.server);
                }
                Assignment::Move(run, choice) => {
                    let is_moved = |text: &Text| text.run == Some(run);
                    let index = self.texts.iter().position(is_moved).unwrap();
                    self.stop(index, AttemptOutcome::Abandoned);
                    self.texts[index].moves += 1;
                    self.start(index, choice.server);
                }
            }
        }
    }

    /// Handles the next event of a text. Returns false if no text runs.
    fn advance(&mut self) -> bool {
        let Some(Reverse((at, index, attempt))) = self.timers.pop() else {
            return false;
        };
        if self.texts[index].attempt != attempt {
            return true;
        }
        self.now = at;
        let text = &mut self.texts[index];
        text.produced += 1;
        text.attempt_events += 1;
        let server = text.server.unwrap();
        let pace = self.paces[&server];
        if text.produced >= text.events {
            text.finished = Some(at);
            self.stop(index, AttemptOutcome::Succeeded(pace));
            self.assign();
            return true;
        }
        self.timers.push(Reverse((at + pace, index, attempt)));
        if self.texts[index].attempt_events.is_multiple_of(SAMPLE_EVENTS) {
            self.sample(index, server, pace);
        }
        true
    }

    fn sample(&mut self, index: usize, server: ServerKey, pace: Duration) {
        let id = self.placer.id(server).unwrap().to_owned();
        self.placer.record_outcome(self.now, &id, AttemptOutcome::Succeeded(pace));
        self.placer.record_pace(&id, pace);
        let work = self.texts[index].work();
        if let Some(run) = self.texts[index].run {
            self.placer.run_progressed(run, work.remaining);
        } else if self.now + pace * work.remaining > work.target {
            let requirements = self.requirements;
            let gain =
                self.placer.migration_gain(self.now, &requirements, &id, pace, work.remaining);
            if gain.is_some_and(|gain| gain > MIN_GAIN) {
                self.stop(index, AttemptOutcome::Abandoned);
                self.texts[index].moves += 1;
                self.enqueue(index);
            }
        }
        self.assign();
    }

    fn run_until(&mut self, end: Moment) {
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            self.advance();
        }
        self.now = self.now.max(end);
    }

    fn run(&mut self) {
        self.assign();
        while self.advance() {}
        let unfinished = self.texts.iter().filter(|text| text.finished.is_none()).count();
        assert_eq!(unfinished, 0, "texts that never finish");
    }

    fn lose_server(&mut self, server: ServerKey) {
        let id = self.placer.id(server).unwrap().to_owned();
        self.placer.deregister(self.now, &id);
        self.placer.record_outcome(self.now, &id, AttemptOutcome::ServerExited);
        for index in 0..self.texts.len() {
            if self.texts[index].server == Some(server) {
                self.stop(index, AttemptOutcome::Failed);
                self.texts[index].history.failed.push(server);
                self.enqueue(index);
            }
        }
        self.assign();
    }

    /// Time from the submission of a step until its last text is finished.
    fn step_time(&self, step: usize) -> Duration {
        let texts = self.texts.iter().filter(|text| text.step == step);
        texts.map(|text| text.finished.unwrap() - text.submitted).max().unwrap()
    }

    fn free_slots(&self, server: ServerKey) -> u32 {
        self.placer.get(server).map_or(0, |server| server.free_slots())
    }

    /// No running text that may move misses its target while a slot is free on a server on which
    /// it would save enough time.
    fn assert_no_idle_fast_slot(&self) {
        for text in &self.texts {
            let Some(server) = text.server.filter(|_| text.moves < MAX_MOVES) else {
                continue;
            };
            // The placer knows the remaining length as of the last sample.
            let work = Work { remaining: self.known_remaining(text), ..text.work() };
            let pace = self.paces[&server].as_secs_f64() * 1e3;
            if !work.is_late(self.now, pace) {
                continue;
            }
            for (other, other_pace) in &self.paces {
                let other_pace = other_pace.as_secs_f64() * 1e3;
                let is_ready = self.placer.get(*other).is_some_and(|other| other.is_ready());
                let is_usable = is_ready && !text.history.failed.contains(other);
                let gain = work.duration(pace).saturating_sub(work.duration(other_pace));
                let pays = slack::is_faster(other_pace, pace) && gain >= MIN_GAIN;
                let is_idle = is_usable && pays && self.free_slots(*other) > 0;
                assert!(!is_idle, "{other:?} is idle at {:?}: {text:?}", self.now);
            }
        }
    }

    fn known_remaining(&self, text: &Text) -> u32 {
        let since_sample = text.attempt_events % SAMPLE_EVENTS;
        Text { produced: text.produced - since_sample, ..text.clone() }.remaining()
    }
}

/// A length whose logarithm is normally distributed around that of `median`.
fn log_normal(random: &mut SmallRng, median: f64, sigma: f64) -> f64 {
    let (u, v): (f64, f64) = (random.random_range(1e-9..1.0), random.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    median * (sigma * normal).exp()
}

/// Events of a text of a step: 21 on average, 152 at most.
fn length(random: &mut SmallRng) -> u32 {
    log_normal(random, 14.0, 0.9).clamp(2.0, 152.0) as u32
}

fn hint(random: &mut SmallRng, events: u32) -> u32 {
    log_normal(random, f64::from(events), 0.5).max(1.0) as u32
}

/// Eleven fast servers and five slow ones.
fn paces() -> Vec<Duration> {
    (0..16).map(|number| if number % 3 == 2 { SLOW } else { FAST }).collect()
}

fn submit_step(simulation: &mut Simulation, random: &mut SmallRng, step: usize, items: usize) {
    for _ in 0..items {
        let events = length(random);
        let hint = hint(random, events);
        simulation.submit(step, events, hint);
    }
    simulation.assign();
}

/// Two steps of one trainer: the second one arrives while long texts of the first one run. Returns
/// the time of the second.
fn two_steps(seed: u64, by_slack: bool) -> (Duration, Simulation) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(by_slack, &paces());
    submit_step(&mut simulation, &mut random, 0, 144);
    let second = simulation.now + 2 * SECOND;
    simulation.run_until(second);
    submit_step(&mut simulation, &mut random, 1, 144);
    simulation.run();
    (simulation.step_time(1), simulation)
}

/// Mean times of a step with the rule before and by slack.
fn compare(seeds: u64, scenario: impl Fn(u64, bool) -> Duration) -> (Duration, Duration) {
    let mut total = [Duration::ZERO; 2];
    for seed in 0..seeds {
        let times = [false, true].map(|by_slack| scenario(seed, by_slack));
        println!("seed {seed}: before {:?}, by slack {:?}", times[0], times[1]);
        total[0] += times[0];
        total[1] += times[1];
    }
    let divisor = u32::try_from(seeds).unwrap();
    let mean = (total[0] / divisor, total[1] / divisor);
    println!("mean: before {:?}, by slack {:?}", mean.0, mean.1);
    mean
}

#[test]
fn item_takes_the_slowest_server_on_which_it_meets_its_target() {
    let mut simulation = Simulation::new(true, &[FAST, SLOW]);
    // Late even on the fast server, in need of it, and with time to spare.
    for (events, expected) in [(150, FAST), (60, FAST), (10, SLOW)] {
        simulation.submit(0, events, events);
        simulation.assign();
        let server = simulation.texts.last().unwrap().server.unwrap();
        assert_eq!(simulation.paces[&server], expected, "{events} events");
    }
}

#[test]
fn item_takes_any_free_slot_rather_than_wait() {
    let mut simulation = Simulation::new(true, &[FAST, SLOW]);
    for _ in 0..2 * SLOTS {
        simulation.submit(0, 10, 10);
    }
    simulation.assign();
    assert!(simulation.waiting.is_empty());
    let mut simulation = Simulation::new(true, &[FAST, SLOW]);
    for _ in 0..2 * SLOTS {
        simulation.submit(0, 150, 150);
    }
    simulation.assign();
    assert!(simulation.waiting.is_empty());
}

#[test]
fn item_qualifies_for_a_fast_server_as_its_slack_shrinks() {
    let work = Work { target: SECOND + TARGET, remaining: 10 };
    let servers = [34.0, 82.0].map(|pace_millis| slack::Candidate { pace_millis, free_slots: 8 });
    assert_eq!(slack::select(SECOND, &work, 0, &servers), [1]);
    let later = SECOND + TARGET - SECOND;
    assert_eq!(slack::select(later, &work, 0, &servers), [0]);
    assert_eq!(slack::select(2 * work.target, &work, 0, &servers), [0]);
}

#[test]
fn equally_fast_servers_are_not_distinguished() {
    let paces = [40.0, 44.0];
    assert_eq!(slack::PaceRange::new(paces.into_iter()), None);
    let work = Work { target: SECOND + TARGET, remaining: 10 };
    let servers = paces.map(|pace_millis| slack::Candidate { pace_millis, free_slots: 8 });
    assert_eq!(slack::select(SECOND, &work, 0, &servers), [0, 1]);
}

#[test]
fn freed_fast_slot_goes_to_a_late_running_text_before_a_short_waiting_one() {
    let mut simulation = Simulation::new(true, &[FAST, SLOW]);
    for _ in 0..SLOTS {
        simulation.submit(0, 60, 60);
    }
    simulation.assign();
    // The long text is underestimated, and finds only the slow server free.
    for _ in 0..SLOTS {
        simulation.submit(0, 150, 100);
    }
    simulation.assign();
    simulation.submit(0, 5, 5);
    simulation.assign();
    assert_eq!(simulation.waiting.len(), 1);
    let short = simulation.texts.len() - 1;
    while simulation.texts[short].server.is_none() {
        assert!(simulation.advance());
    }
    assert!(simulation.texts.iter().any(|text| text.moves == 1));
    let server = simulation.texts[short].server.unwrap();
    assert_eq!(simulation.paces[&server], SLOW);
}

#[test]
fn waiting_text_with_less_slack_comes_before_a_running_one() {
    let mut simulation = Simulation::new(true, &[FAST, SLOW]);
    for _ in 0..2 * SLOTS {
        simulation.submit(0, 80, 80);
    }
    simulation.assign();
    simulation.submit(0, 152, 152);
    simulation.assign();
    let longest = simulation.texts.len() - 1;
    while simulation.texts[longest].server.is_none() {
        assert!(simulation.advance());
    }
    let server = simulation.texts[longest].server.unwrap();
    assert_eq!(simulation.paces[&server], FAST);
    assert!(simulation.texts.iter().all(|text| text.moves == 0));
}

#[test]
fn running_text_does_not_move_to_a_server_that_may_still_load_its_version() {
    let mut simulation = Simulation::new(true, &[SLOW]);
    let model = simulation.placer.model("m");
    simulation.requirements.model = Some((model, 2));
    let register = |simulation: &mut Simulation, server, versions| {
        let id = simulation.placer.id(server).unwrap().to_owned();
        let registration = simulation.placer.get(server).unwrap().registration.clone();
        let registration = Registration { versions, ..registration };
        simulation.placer.register(simulation.now, &id, registration);
        id
    };
    let slow = *simulation.paces.keys().next().unwrap();
    register(&mut simulation, slow, vec![(model, 2)]);
    simulation.submit(0, 150, 150);
    simulation.assign();
    let fast = simulation.add_server(FAST);
    let id = register(&mut simulation, fast, vec![(model, 1)]);
    simulation.placer.record_load_command(simulation.now, &id, "m", 2);
    simulation.run_until(simulation.now + super::server::EXPECTED_LOAD_TIME + 500 * MILLI);
    assert_eq!(simulation.texts[0].server, Some(slow));
    register(&mut simulation, fast, vec![(model, 2)]);
    simulation.run_until(simulation.now + SECOND);
    assert_eq!(simulation.texts[0].server, Some(fast));
}

#[test]
fn moves_of_one_text_are_bounded() {
    for seed in 0..8 {
        let (_, simulation) = two_steps(seed, true);
        let most = simulation.texts.iter().map(|text| text.moves).max().unwrap();
        assert!(most <= MAX_MOVES, "seed {seed}: {most}");
    }
}

#[test]
fn step_beside_leftovers_is_not_later_than_without_the_rule() {
    let (before, by_slack) = compare(40, |seed, by_slack| two_steps(seed, by_slack).0);
    assert!(by_slack <= before);
}

/// Half of the servers load a version when a step arrives, and become eligible one by one.
#[test]
fn step_that_starts_on_half_of_the_servers_is_not_later_than_without_the_rule() {
    let scenario = |seed, by_slack| {
        let mut random = SmallRng::seed_from_u64(seed);
        let all = paces();
        let (ready, loading) = all.split_at(8);
        let mut simulation = Simulation::new(by_slack, ready);
        submit_step(&mut simulation, &mut random, 0, 144);
        for pace in loading {
            simulation.run_until(simulation.now + 150 * MILLI);
            simulation.add_server(*pace);
            simulation.assign();
        }
        simulation.run();
        simulation.step_time(0)
    };
    let (before, by_slack) = compare(40, scenario);
    assert!(by_slack <= before);
}

#[test]
fn late_trainer_is_not_delayed_by_one_with_slack() {
    let scenario = |seed, by_slack| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(by_slack, &paces());
        for _ in 0..100 {
            simulation.submit(0, 20, 20);
        }
        simulation.assign();
        simulation.run_until(SECOND + 200 * MILLI);
        submit_step(&mut simulation, &mut random, 1, 112);
        simulation.run();
        assert!(simulation.step_time(0) <= DEADLINE, "seed {seed}");
        simulation.step_time(1)
    };
    let (before, by_slack) = compare(40, scenario);
    assert!(by_slack <= before);
}

#[test]
fn step_survives_the_loss_of_fast_servers() {
    let scenario = |seed, by_slack| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(by_slack, &paces());
        submit_step(&mut simulation, &mut random, 0, 144);
        simulation.run_until(2 * SECOND);
        let fast = simulation.paces.iter().find(|(_, pace)| **pace == FAST);
        let lost = *fast.unwrap().0;
        simulation.lose_server(lost);
        simulation.run();
        simulation.step_time(0)
    };
    let (before, by_slack) = compare(40, scenario);
    // A text whose remaining length is overestimated pays for the start of a move in vain.
    assert!(by_slack <= before + START);
}

#[test]
fn random_histories_leave_no_fast_slot_idle_and_starve_nobody() {
    for seed in 0..200 {
        println!("seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let servers = random.random_range(2..10);
        let slow = random.random_range(40..120) * MILLI;
        let paces: Vec<Duration> =
            (0..servers).map(|_| if random.random_bool(0.4) { slow } else { FAST }).collect();
        let mut simulation = Simulation::new(true, &paces);
        for step in 0..6 {
            let items = random.random_range(1..60);
            submit_step(&mut simulation, &mut random, step, items);
            simulation.assert_no_idle_fast_slot();
            let pause = random.random_range(100..3000) * MILLI;
            let end = simulation.now + pause;
            while simulation.timers.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
                simulation.advance();
                simulation.assign();
                simulation.assert_no_idle_fast_slot();
            }
            simulation.now = end;
            simulation.assign();
            let keys: Vec<ServerKey> = simulation.paces.keys().copied().collect();
            let ready = keys
                .iter()
                .filter(|key| simulation.placer.get(**key).is_some_and(|server| server.is_ready()));
            let ready: Vec<ServerKey> = ready.copied().collect();
            if ready.len() > 1 && random.random_bool(0.3) {
                simulation.lose_server(ready[random.random_range(0..ready.len())]);
            }
        }
        simulation.run();
    }
}
