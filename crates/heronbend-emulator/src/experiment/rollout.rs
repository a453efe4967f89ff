//! Scheduling of rollouts on virtual time, with the daemon's own coordinator and router.
//!
//! One trainer, 8,192 samples a step in groups of 16. Engines batch continuously: a token takes
//! longer in a larger batch. Lengths are log-normal between prompts and within a prompt, cut at
//! 16,384 tokens: a median of 900 and a tail some ten times that, in keeping with the published
//! descriptions of reasoning rollouts (APRIL, 2025; RollPacker, 2025; Seer, 2025). Training takes a
//! fixed time; versions follow from it. Engines crash and slow down.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hdrhistogram::Histogram;
use heronbend::identity::Incarnation;
use heronbend::lifecycle::{Backend, BackendName, Phase};
use heronbend::rollout::{
    AttemptId, Effect, FinishReason, NextBatch, Sample, SamplingOrder, Segment, SlotIndex, SlotSet,
    StepCoordinator, StepPlan,
};
use heronbend::routing::{Query, Router, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::report::{Arm, Report};

const ENGINES: usize = 32;
const MAX_BATCH: usize = 64;
const PROMPTS: u32 = 512;
const SAMPLES_PER_PROMPT: u32 = 16;
const STEPS: u64 = 6;
const MAX_TOKENS: u32 = 16_384;
const LOG_MEDIAN: f64 = 6.8;
const PROMPT_SIGMA: f64 = 0.8;
const SAMPLE_SIGMA: f64 = 0.35;
/// Time of an iteration, and what each sequence of the batch adds, in seconds.
const ITERATION: f64 = 0.012;
const PER_SEQUENCE: f64 = 0.0004;
const TRAINING: f64 = 200.0;
const POOL: &str = "pool";
/// Pool of the engines that run small batches.
const RESERVED: &str = "reserved";
/// Engines of which one crashes, and one runs slower, in every step.
const SLOWDOWN: f64 = 2.0;
/// How many times faster a token must be elsewhere for a move to be worthwhile.
const WORTHWHILE_GAIN: f64 = 1.15;
const MOVES_AT_ONCE: usize = 4;
/// Iterations that a moved sample loses: export, transfer and import of its KV cache.
const MOVE_ITERATIONS: f64 = 20.0;
/// Iterations that a resumed sample loses: its text so far is computed anew.
const RESUME_ITERATIONS: f64 = 40.0;
/// More than the coordinator's own delay before it draws a failed slot again.
const REDRAW_AFTER: f64 = 0.1;

/// One way of scheduling.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    order: SamplingOrder,
    max_copies: u32,
    /// The next step is posted when the one before it is trained on (false) or when the version
    /// before it is out, so that it fills places that the tail leaves idle (true).
    draws_ahead: bool,
    /// The next step is posted once this one is whole, and so drawn while it is trained on.
    overlaps_training: bool,
    /// A swap of weights restarts samples under way.
    restarts_on_swap: bool,
    /// At the tail samples move from engines on which a token takes long to faster ones.
    migrates: bool,
    /// A sample whose engine is lost goes on elsewhere from its last token, as the daemon does it.
    resumes: bool,
    /// Some engines run small batches, and samples that have grown long move there.
    reserves: Option<Reserve>,
    /// The coordinator is told the true lengths.
    knows_lengths: bool,
}

/// Engines kept at small batches for long samples.
#[derive(Debug, Clone, Copy)]
struct Reserve {
    engines: usize,
    max_batch: usize,
    /// Tokens after which a sample may move.
    after_tokens: f64,
}

const BASELINE: Policy = Policy {
    name: "fifo, next step once whole",
    order: SamplingOrder::FirstInFirstOut,
    max_copies: 1,
    draws_ahead: false,
    overlaps_training: true,
    restarts_on_swap: false,
    migrates: false,
    resumes: false,
    reserves: None,
    knows_lengths: false,
};

const LONGEST: Policy = Policy {
    name: "longest expected first",
    order: SamplingOrder::LongestExpectedFirst,
    ..BASELINE
};

const RESERVE: Policy = Policy {
    name: "longest + reserve",
    reserves: Some(Reserve { engines: 12, max_batch: 20, after_tokens: 1500.0 }),
    migrates: true,
    resumes: true,
    ..LONGEST
};

const ARMS: [Policy; 17] = [
    BASELINE,
    Policy { name: "fifo, strictly in turn", overlaps_training: false, ..BASELINE },
    Policy { name: "fifo, restart on swap", restarts_on_swap: true, ..BASELINE },
    LONGEST,
    Policy { name: "longest + hedge", max_copies: 2, ..LONGEST },
    Policy { name: "longest + resume", resumes: true, ..LONGEST },
    Policy { name: "longest + resume + migration", resumes: true, migrates: true, ..LONGEST },
    Policy {
        name: "idle-leaning without reserve",
        resumes: true,
        migrates: true,
        draws_ahead: true,
        ..LONGEST
    },
    Policy {
        name: "staleness-leaning without reserve",
        resumes: true,
        migrates: true,
        overlaps_training: false,
        ..LONGEST
    },
    RESERVE,
    Policy {
        name: "longest + small reserve",
        reserves: Some(Reserve { engines: 8, max_batch: 16, after_tokens: 3000.0 }),
        ..RESERVE
    },
    Policy {
        name: "longest + large reserve",
        reserves: Some(Reserve { engines: 16, max_batch: 24, after_tokens: 1000.0 }),
        ..RESERVE
    },
    Policy { name: "fifo + reserve", order: SamplingOrder::FirstInFirstOut, ..RESERVE },
    Policy { name: "longest + early draw", draws_ahead: true, ..LONGEST },
    Policy { name: "idle-leaning", draws_ahead: true, ..RESERVE },
    Policy { name: "staleness-leaning", overlaps_training: false, ..RESERVE },
    Policy {
        name: "knows lengths, in turn",
        resumes: true,
        migrates: true,
        knows_lengths: true,
        overlaps_training: false,
        ..LONGEST
    },
];

/// Runs every arm with every seed.
pub fn run(seeds: &[u64]) -> Report {
    let arms = ARMS
        .iter()
        .map(|policy| {
            let runs: Vec<_> = seeds.iter().map(|seed| simulate(*policy, *seed)).collect();
            Arm::new(policy.name, &runs)
        })
        .collect();
    let mut report = Report {
        experiment: "rollout",
        workload: format!(
            "{STEPS} steps of {} samples on {ENGINES} engines of {MAX_BATCH} places, training \
             {TRAINING} s, one crash and one slow engine a step",
            PROMPTS * SAMPLES_PER_PROMPT
        ),
        baseline: BASELINE.name.to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    let idle = |name: &str| report.arm(name).mean("idle share");
    let staleness = |name: &str| report.arm(name).mean("staleness mean");
    let half = idle("idle-leaning") <= 0.5 * idle(BASELINE.name);
    let fresher = staleness("staleness-leaning") < staleness(BASELINE.name);
    let bound = report.arm("staleness-leaning").mean("step time / bound") <= 1.1;
    report.demand("idle-leaning: idle share at most half of the baseline's", half);
    report.demand("staleness-leaning: fresher than the baseline", fresher);
    report.demand("staleness-leaning: step time within 10% of the lower bound", bound);
    report
}

/// A sequence at an engine.
#[derive(Debug, Clone, Copy)]
struct Running {
    step: u64,
    attempt: AttemptId,
    slot: SlotIndex,
    tokens: u32,
    /// The engine's count of iterations at which it ends.
    ends_at: f64,
    version: u64,
}

struct SimulatedEngine {
    backend: Backend,
    running: BTreeMap<(u64, AttemptId), Running>,
    iterations: f64,
    updated: f64,
    slowdown: f64,
    epoch: u64,
}

impl SimulatedEngine {
    fn iteration_time(&self) -> f64 {
        (ITERATION + PER_SEQUENCE * self.running.len() as f64) * self.slowdown
    }

    /// Brings the count of iterations up to a time.
    fn advance(&mut self, now: f64) {
        self.iterations += (now - self.updated) / self.iteration_time();
        self.updated = now;
    }

    fn next_end(&self) -> Option<(f64, Running)> {
        let first =
            self.running.values().min_by(|left, right| left.ends_at.total_cmp(&right.ends_at))?;
        let left = (first.ends_at - self.iterations).max(0.0);
        Some((self.updated + left * self.iteration_time(), *first))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next sequence of an engine ends, unless its epoch has passed.
    SequenceEnds {
        engine: usize,
        epoch: u64,
    },
    EngineCrashes {
        engine: usize,
    },
    EngineSlows {
        engine: usize,
    },
    /// Slots whose draw failed are due again.
    Refill,
    TrainingEnds,
}

/// Times in events are in whole microseconds, so that they order.
type Queue = BinaryHeap<Reverse<(u64, Event)>>;

struct Step {
    coordinator: StepCoordinator,
    lengths: Vec<u32>,
    posted_at: f64,
    whole_at: Option<f64>,
    oldest: Vec<u64>,
}

struct Simulation {
    policy: Policy,
    now: f64,
    queue: Queue,
    engines: Vec<SimulatedEngine>,
    router: Router,
    steps: BTreeMap<u64, Step>,
    version: u64,
    wasted_tokens: u64,
    random: SmallRng,
    seed: u64,
}

fn simulate(policy: Policy, seed: u64) -> Vec<(&'static str, f64)> {
    let mut simulation = Simulation::new(policy, seed);
    let mut idle = 0.0;
    let mut staleness = Histogram::<u64>::new(3).expect("valid precision");
    let mut stale_sum = 0;
    let mut samples = 0;
    let mut ratio_sum = 0.0;
    simulation.post(1);
    for step in 1..=STEPS {
        if !policy.overlaps_training && step > 1 {
            simulation.post(step);
        }
        if policy.draws_ahead {
            simulation.post(step + 1);
        }
        let waiting_since = simulation.now;
        simulation.run_until_whole(step);
        idle += simulation.now - waiting_since;
        let done = simulation.steps.remove(&step).expect("it was posted");
        for oldest in &done.oldest {
            let behind = simulation.version - oldest;
            staleness.record(behind).expect("within bounds");
            stale_sum += behind;
            samples += 1;
        }
        let whole_at = done.whole_at.unwrap_or(simulation.now);
        ratio_sum += (whole_at - done.posted_at) / lower_bound(&done.lengths);
        if policy.overlaps_training && !policy.draws_ahead {
            simulation.post(step + 1);
        }
        simulation.train();
    }
    vec![
        ("idle share", idle / simulation.now),
        ("staleness mean", stale_sum as f64 / samples as f64),
        ("staleness p99", staleness.value_at_quantile(0.99) as f64),
        ("step time / bound", ratio_sum / STEPS as f64),
        ("steps an hour", STEPS as f64 * 3600.0 / simulation.now),
        ("wasted million tokens", simulation.wasted_tokens as f64 / 1e6),
    ]
}

/// No schedule that knows the lengths is faster than the time found here.
///
/// To be whole by `time`, a sample of `l` tokens needs tokens of `time / l` on average, which bounds
/// the batches that it runs in. The engine time that a token costs in a batch is a convex function of
/// the token's time, so each sample costs at least what it would in the largest batch that suits it.
fn lower_bound(lengths: &[u32]) -> f64 {
    let suffices = |time: f64| {
        let mut cost = 0.0;
        for length in lengths {
            let tokens = f64::from(*length);
            let batch = ((time / tokens - ITERATION) / PER_SEQUENCE).min(MAX_BATCH as f64);
            if batch < 1.0 {
                return false;
            }
            cost += tokens * (ITERATION + PER_SEQUENCE * batch) / batch;
        }
        cost <= time * ENGINES as f64
    };
    let (mut low, mut high) = (0.0, 100_000.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if suffices(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let reserved = policy.reserves.map_or(0, |reserve| reserve.engines);
        let engines: Vec<SimulatedEngine> = (0..ENGINES)
            .map(|index| SimulatedEngine {
                backend: Backend {
                    name: BackendName(format!("engine-{index:03}")),
                    incarnation: Incarnation(1),
                    pool: if index < reserved { RESERVED } else { POOL }.into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    zone: "zone".into(),
                },
                running: BTreeMap::new(),
                iterations: 0.0,
                updated: 0.0,
                slowdown: 1.0,
                epoch: 0,
            })
            .collect();
        let mut router = Router::new("zone", seed);
        router.update(engines.iter().map(|engine| (engine.backend.clone(), Phase::Live)));
        Self {
            policy,
            now: 0.0,
            queue: Queue::new(),
            engines,
            router,
            steps: BTreeMap::new(),
            version: 1,
            wasted_tokens: 0,
            random: SmallRng::seed_from_u64(seed),
            seed,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.queue.push(Reverse(((at * 1e6).ceil() as u64, event)));
    }

    fn moment(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn post(&mut self, step: u64) {
        let plan = StepPlan {
            prompts: PROMPTS,
            samples_per_prompt: SAMPLES_PER_PROMPT,
            order: self.policy.order,
            max_copies: self.policy.max_copies,
            hedge_below_milli: 50,
        };
        let lengths = lengths_of(self.seed, step);
        let mut coordinator = StepCoordinator::new(plan, SlotSet::new());
        if self.policy.knows_lengths {
            for (slot, length) in lengths.iter().enumerate() {
                coordinator.set_expected_length(SlotIndex(slot as u32), *length);
            }
        }
        let state =
            Step { coordinator, lengths, posted_at: self.now, whole_at: None, oldest: Vec::new() };
        self.steps.insert(step, state);
        let crash = self.now + self.random.random_range(20.0..120.0);
        let engine = self.random.random_range(0..ENGINES);
        self.schedule(crash, Event::EngineCrashes { engine });
        let engine = self.random.random_range(0..ENGINES);
        self.schedule(self.now + 10.0, Event::EngineSlows { engine });
        self.fill_places();
    }

    fn run_until_whole(&mut self, step: u64) {
        while self.steps[&step].whole_at.is_none() {
            self.handle_next();
        }
    }

    /// Trains for its time, while engines go on.
    fn train(&mut self) {
        let end = self.now + TRAINING;
        self.schedule(end, Event::TrainingEnds);
        while self.handle_next() != Event::TrainingEnds {}
        self.version += 1;
        if self.policy.restarts_on_swap {
            for engine in 0..ENGINES {
                self.lose_running(engine);
            }
            self.fill_places();
        }
    }

    fn handle_next(&mut self) -> Event {
        let Some(Reverse((micros, event))) = self.queue.pop() else {
            panic!("nothing happens any more");
        };
        self.now = self.now.max(micros as f64 / 1e6);
        match event {
            Event::SequenceEnds { engine, epoch } if self.engines[engine].epoch == epoch => {
                self.end_sequence(engine);
            }
            Event::EngineCrashes { engine } => {
                self.lose_running(engine);
                self.fill_places();
            }
            Event::EngineSlows { engine } => {
                for index in 0..ENGINES {
                    let slowdown = if index == engine { SLOWDOWN } else { 1.0 };
                    self.engines[index].advance(self.now);
                    self.engines[index].slowdown = slowdown;
                    self.reschedule(index);
                }
            }
            Event::Refill => self.fill_places(),
            Event::SequenceEnds { .. } | Event::TrainingEnds => {}
        }
        event
    }

    fn reschedule(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.epoch += 1;
        let epoch = state.epoch;
        if let Some((at, _)) = state.next_end() {
            self.schedule(at, Event::SequenceEnds { engine, epoch });
        }
    }

    fn end_sequence(&mut self, engine: usize) {
        self.engines[engine].advance(self.now);
        let Some((_, ended)) = self.engines[engine].next_end() else {
            return;
        };
        self.take_off(engine, &ended, Verdict::Answered);
        let sample = self.sample(engine, &ended);
        let Some(step) = self.steps.get_mut(&ended.step) else {
            return;
        };
        let effects = step.coordinator.on_completed(ended.attempt, sample);
        self.cancel(ended.step, &effects);
        self.note_if_whole(ended.step);
        self.move_long_ones();
        self.fill_places();
        if self.policy.migrates {
            self.migrate_to_faster();
        }
        self.reschedule(engine);
    }

    fn take_off(&mut self, engine: usize, running: &Running, verdict: Verdict) {
        let moment = self.moment();
        let state = &mut self.engines[engine];
        state.running.remove(&(running.step, running.attempt));
        self.router.finished(moment, &state.backend, verdict);
    }

    fn sample(&self, engine: usize, ended: &Running) -> Sample {
        Sample {
            slot: ended.slot,
            seed: 0,
            text: String::new(),
            segments: vec![Segment {
                version: ended.version,
                start: 0,
                end: ended.tokens,
                engine: self.engines[engine].backend.name.clone(),
                incarnation: Incarnation(1),
            }],
            finish_reason: FinishReason::Stop,
            reward_milli: 0,
        }
    }

    fn note_if_whole(&mut self, number: u64) {
        let now = self.now;
        let Some(step) = self.steps.get_mut(&number) else {
            return;
        };
        let slots = PROMPTS as usize * SAMPLES_PER_PROMPT as usize;
        if step.whole_at.is_some() || step.coordinator.ready_count() < slots {
            return;
        }
        if let NextBatch::Ready(samples) = step.coordinator.compose_batch(0, slots) {
            step.oldest = samples.iter().filter_map(Sample::oldest_version).collect();
            step.coordinator.on_sealed(&samples);
            step.whole_at = Some(now);
        }
    }

    fn cancel(&mut self, step: u64, effects: &[Effect]) {
        for effect in effects {
            let Effect::Cancel { attempt } = effect else {
                continue;
            };
            let place = self
                .engines
                .iter()
                .position(|engine| engine.running.contains_key(&(step, *attempt)));
            let Some(engine) = place else {
                continue;
            };
            self.engines[engine].advance(self.now);
            let running = self.engines[engine].running[&(step, *attempt)];
            self.waste(engine, &running);
            self.take_off(engine, &running, Verdict::Abandoned);
            self.reschedule(engine);
        }
    }

    fn waste(&mut self, engine: usize, running: &Running) {
        let left = running.ends_at - self.engines[engine].iterations;
        self.wasted_tokens += (f64::from(running.tokens) - left).max(0.0) as u64;
    }

    /// An engine drops everything that it runs.
    fn lose_running(&mut self, engine: usize) {
        self.engines[engine].advance(self.now);
        let lost: Vec<Running> = self.engines[engine].running.values().copied().collect();
        for running in lost {
            self.take_off(engine, &running, Verdict::Abandoned);
            if self.policy.resumes && self.resume_elsewhere(engine, &running) {
                continue;
            }
            self.waste(engine, &running);
            let moment = self.moment();
            if let Some(step) = self.steps.get_mut(&running.step) {
                step.coordinator.on_failed(moment, running.attempt);
            }
        }
        self.schedule(self.now + REDRAW_AFTER, Event::Refill);
        self.reschedule(engine);
    }

    /// Goes on with a sample at another engine, which computes the text so far anew.
    fn resume_elsewhere(&mut self, lost: usize, running: &Running) -> bool {
        let left = running.ends_at - self.engines[lost].iterations;
        let Some(engine) = self.choose(POOL) else {
            return false;
        };
        self.engines[engine].advance(self.now);
        let ends_at = self.engines[engine].iterations + left + RESUME_ITERATIONS;
        let resumed = Running { ends_at, ..*running };
        self.engines[engine].running.insert((running.step, running.attempt), resumed);
        self.reschedule(engine);
        true
    }

    /// Starts draws of the oldest step first, while places are free.
    fn fill_places(&mut self) {
        let numbers: Vec<u64> = self.steps.keys().copied().collect();
        let mut touched = Vec::new();
        for number in numbers {
            let places = self.free_places(POOL) + self.free_places(RESERVED);
            let moment = self.moment();
            let Some(step) = self.steps.get_mut(&number) else {
                continue;
            };
            let effects = step.coordinator.schedule(moment, places);
            for effect in effects {
                if let Effect::Start { attempt, slot } = effect {
                    touched.extend(self.start(number, attempt, slot));
                }
            }
        }
        touched.sort_unstable();
        touched.dedup();
        for engine in touched {
            self.reschedule(engine);
        }
    }

    fn max_batch(&self, pool: &str) -> usize {
        match self.policy.reserves {
            Some(reserve) if pool == RESERVED => reserve.max_batch,
            _ => MAX_BATCH,
        }
    }

    fn free_places(&self, pool: &str) -> usize {
        let max_in_flight = self.max_batch(pool);
        let query = Query { pool, max_in_flight, prefix: None, min_version: None, exclude: &[] };
        self.router.free_places(self.moment(), &query)
    }

    fn choose(&mut self, pool: &'static str) -> Option<usize> {
        let query = Query {
            pool,
            max_in_flight: self.max_batch(pool),
            prefix: None,
            min_version: None,
            exclude: &[],
        };
        let moment = self.moment();
        let chosen = self.router.choose(moment, &query).ok()?;
        self.engines.iter().position(|engine| engine.backend == chosen)
    }

    /// While the reserved engines have places, the samples that have grown longest move there.
    fn move_long_ones(&mut self) {
        let Some(reserve) = self.policy.reserves else {
            return;
        };
        let mut touched = Vec::new();
        while self.free_places(RESERVED) > 0 {
            let Some((from, running, done)) = self.longest_grown(reserve.after_tokens) else {
                break;
            };
            let Some(to) = self.choose(RESERVED) else {
                break;
            };
            self.engines[to].advance(self.now);
            self.take_off(from, &running, Verdict::Abandoned);
            let left = f64::from(running.tokens) - done;
            let ends_at = self.engines[to].iterations + left;
            let moved = Running { ends_at, ..running };
            self.engines[to].running.insert((running.step, running.attempt), moved);
            touched.extend([from, to]);
        }
        touched.sort_unstable();
        touched.dedup();
        for engine in touched {
            self.reschedule(engine);
        }
    }

    /// Of the samples outside the reserve that have grown past a length, the longest so far.
    fn longest_grown(&mut self, after_tokens: f64) -> Option<(usize, Running, f64)> {
        let mut best: Option<(usize, Running, f64)> = None;
        for index in 0..ENGINES {
            if self.engines[index].backend.pool == RESERVED {
                continue;
            }
            self.engines[index].advance(self.now);
            let engine = &self.engines[index];
            for running in engine.running.values() {
                let done = f64::from(running.tokens) - (running.ends_at - engine.iterations);
                if done >= after_tokens && best.is_none_or(|(_, _, most)| done > most) {
                    best = Some((index, *running, done));
                }
            }
        }
        best
    }

    fn start(&mut self, step: u64, attempt: AttemptId, slot: SlotIndex) -> Option<usize> {
        let engine = self.choose(RESERVED).or_else(|| self.choose(POOL))?;
        let tokens = self.steps[&step].lengths[slot.0 as usize];
        let state = &mut self.engines[engine];
        state.advance(self.now);
        let ends_at = state.iterations + f64::from(tokens);
        let running = Running { step, attempt, slot, tokens, ends_at, version: self.version };
        state.running.insert((step, attempt), running);
        Some(engine)
    }

    /// At the tail, moves samples from engines on which a token takes long, whether for a large batch
    /// or for a fault, to the engine on which it takes least.
    fn migrate_to_faster(&mut self) {
        if self.free_places(POOL) < MAX_BATCH {
            return;
        }
        for _ in 0..MOVES_AT_ONCE {
            let token_time = |engine: &SimulatedEngine, extra: usize| {
                let batch = (engine.running.len() + extra) as f64;
                (ITERATION + PER_SEQUENCE * batch) * engine.slowdown
            };
            let busy = (0..ENGINES).filter(|index| !self.engines[*index].running.is_empty());
            let from = busy.max_by(|left, right| {
                let time = |index: usize| token_time(&self.engines[index], 0);
                time(*left).total_cmp(&time(*right))
            });
            let to = (0..ENGINES).min_by(|left, right| {
                let time = |index: usize| token_time(&self.engines[index], 1);
                time(*left).total_cmp(&time(*right))
            });
            let (Some(from), Some(to)) = (from, to) else {
                return;
            };
            let gain = token_time(&self.engines[from], 0) / token_time(&self.engines[to], 1);
            if from == to || gain < WORTHWHILE_GAIN {
                return;
            }
            self.move_longest(from, to);
        }
    }

    fn move_longest(&mut self, from: usize, to: usize) {
        self.engines[from].advance(self.now);
        self.engines[to].advance(self.now);
        let done = |running: &Running| {
            f64::from(running.tokens) - (running.ends_at - self.engines[from].iterations)
        };
        let longest = self.engines[from]
            .running
            .values()
            .max_by(|left, right| done(left).total_cmp(&done(right)))
            .copied();
        if let Some(mut running) = longest {
            let left = running.ends_at - self.engines[from].iterations;
            self.engines[from].running.remove(&(running.step, running.attempt));
            running.ends_at = self.engines[to].iterations + left + MOVE_ITERATIONS;
            self.engines[to].running.insert((running.step, running.attempt), running);
            self.reschedule(from);
            self.reschedule(to);
        }
    }
}

fn lengths_of(seed: u64, step: u64) -> Vec<u32> {
    let mut random = SmallRng::seed_from_u64(seed * 1_000_003 + step);
    let between = LogNormal::new(LOG_MEDIAN, PROMPT_SIGMA).expect("sigma is positive");
    let mut lengths = Vec::new();
    for _ in 0..PROMPTS {
        let typical: f64 = between.sample(&mut random);
        let within = LogNormal::new(typical.ln(), SAMPLE_SIGMA).expect("sigma is positive");
        for _ in 0..SAMPLES_PER_PROMPT {
            let length: f64 = within.sample(&mut random);
            lengths.push((length as u32).clamp(1, MAX_TOKENS));
        }
    }
    lengths
}
