//! Rollout scheduling policies on virtual time, with the daemon's `StepCoordinator` and `Router`.
//!
//! One trainer requests 8,192 samples per step in groups of 16. Engines batch continuously, so a token
//! takes longer in a larger batch. Sample lengths are log-normal, both across prompts and within a
//! prompt, with a median of 900 tokens and a limit of 16,384, following published descriptions of
//! reasoning rollouts (APRIL, 2025; RollPacker, 2025; Seer, 2025). Training takes a fixed time. Engines
//! crash and slow down.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hdrhistogram::Histogram;
use heronbend::identity::Incarnation;
use heronbend::lifecycle::{Backend, BackendName, Phase};
use heronbend::rollout::{
    AttemptFailure, AttemptId, Effect, FinishReason, NextBatch, Sample, SamplingOrder, Segment,
    SlotIndex, SlotSet, StepCoordinator, StepPlan,
};
use heronbend::routing::{Query, RequestOutcome, Router};
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
/// Parameters of the log-normal sample lengths, in logarithms of tokens.
const LOG_MEDIAN: f64 = 6.8;
const PROMPT_SIGMA: f64 = 0.8;
const SAMPLE_SIGMA: f64 = 0.35;
/// Base time of an iteration in seconds.
const ITERATION_SECONDS: f64 = 0.012;
/// Additional time per sequence in an iteration, in seconds.
const SECONDS_PER_SEQUENCE: f64 = 0.0004;
const TRAINING_SECONDS: f64 = 200.0;
const POOL: &str = "pool";
/// Pool of the engines reserved for long samples.
const RESERVED_POOL: &str = "reserved";
/// Factor by which one engine is slowed down in each step.
const SLOWDOWN: f64 = 2.0;
/// Minimum ratio of token times that justifies a migration.
const MIN_MIGRATION_GAIN: f64 = 1.15;
const MAX_MIGRATIONS_PER_EVENT: usize = 4;
/// Iterations lost to a migration: export, transfer and import of the KV cache.
const MIGRATION_ITERATIONS: f64 = 20.0;
/// Iterations lost to a resumption, which prefills the existing text again.
const RESUME_ITERATIONS: f64 = 40.0;
/// Delay before failed slots are scheduled again, in seconds; exceeds the coordinator's own delay.
const RETRY_DELAY_SECONDS: f64 = 0.1;

/// A scheduling policy.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    order: SamplingOrder,
    max_copies: u32,
    /// Whether the next step is posted as soon as the current one starts, so that it uses slots that
    /// the tail of the current step leaves idle.
    generates_ahead: bool,
    /// Whether the next step is posted once the current one is complete, and generated during training.
    overlaps_training: bool,
    /// Whether a weight swap restarts samples in flight.
    restarts_on_swap: bool,
    /// Whether samples migrate from slow to faster engines at the tail of a step.
    migrates: bool,
    /// Whether samples of a lost engine resume on another engine from their last token.
    resumes: bool,
    /// Engines with small batches to which long samples migrate.
    reserved_engines: Option<ReservedEngines>,
    /// Whether the coordinator knows the true sample lengths in advance.
    has_known_lengths: bool,
}

/// Engines that run small batches, reserved for long samples.
#[derive(Debug, Clone, Copy)]
struct ReservedEngines {
    engines: usize,
    max_batch: usize,
    /// Number of tokens from which a sample may migrate to a reserved engine.
    after_tokens: f64,
}

const BASELINE: Policy = Policy {
    name: "fifo, next step once whole",
    order: SamplingOrder::FirstInFirstOut,
    max_copies: 1,
    generates_ahead: false,
    overlaps_training: true,
    restarts_on_swap: false,
    migrates: false,
    resumes: false,
    reserved_engines: None,
    has_known_lengths: false,
};

const LONGEST: Policy = Policy {
    name: "longest expected first",
    order: SamplingOrder::LongestExpectedFirst,
    ..BASELINE
};

const RESERVED_ENGINES: Policy = Policy {
    name: "longest + reserve",
    reserved_engines: Some(ReservedEngines { engines: 12, max_batch: 20, after_tokens: 1500.0 }),
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
        generates_ahead: true,
        ..LONGEST
    },
    Policy {
        name: "staleness-leaning without reserve",
        resumes: true,
        migrates: true,
        overlaps_training: false,
        ..LONGEST
    },
    RESERVED_ENGINES,
    Policy {
        name: "longest + small reserve",
        reserved_engines: Some(ReservedEngines { engines: 8, max_batch: 16, after_tokens: 3000.0 }),
        ..RESERVED_ENGINES
    },
    Policy {
        name: "longest + large reserve",
        reserved_engines: Some(ReservedEngines {
            engines: 16,
            max_batch: 24,
            after_tokens: 1000.0,
        }),
        ..RESERVED_ENGINES
    },
    Policy { name: "fifo + reserve", order: SamplingOrder::FirstInFirstOut, ..RESERVED_ENGINES },
    Policy { name: "longest + early draw", generates_ahead: true, ..LONGEST },
    Policy { name: "idle-leaning", generates_ahead: true, ..RESERVED_ENGINES },
    Policy { name: "staleness-leaning", overlaps_training: false, ..RESERVED_ENGINES },
    Policy {
        name: "knows lengths, in turn",
        resumes: true,
        migrates: true,
        has_known_lengths: true,
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
            "{STEPS} steps of {} samples on {ENGINES} engines of {MAX_BATCH} slots, training \
             {TRAINING_SECONDS} s, one crash and one slow engine a step",
            PROMPTS * SAMPLES_PER_PROMPT
        ),
        baseline: BASELINE.name.to_owned(),
        seeds: seeds.to_vec(),
        arms,
        targets: Vec::new(),
    };
    let idle = |name: &str| report.arm(name).mean("idle share");
    let staleness = |name: &str| report.arm(name).mean("staleness mean");
    let meets_idle_target = idle("idle-leaning") <= 0.5 * idle(BASELINE.name);
    let meets_staleness_target = staleness("staleness-leaning") < staleness(BASELINE.name);
    let meets_time_target = report.arm("staleness-leaning").mean("step time / bound") <= 1.1;
    report.add_target("idle-leaning: idle share at most half of the baseline's", meets_idle_target);
    report.add_target("staleness-leaning: fresher than the baseline", meets_staleness_target);
    report.add_target(
        "staleness-leaning: step time within 10% of the lower bound",
        meets_time_target,
    );
    report
}

/// A sequence that runs on an engine.
#[derive(Debug, Clone, Copy)]
struct RunningSequence {
    step: u64,
    attempt: AttemptId,
    slot: SlotIndex,
    tokens: u32,
    /// Iteration count of the engine at which the sequence finishes.
    ends_at: f64,
    version: u64,
}

struct SimulatedEngine {
    backend: Backend,
    running: BTreeMap<(u64, AttemptId), RunningSequence>,
    iterations: f64,
    updated_at: f64,
    slowdown: f64,
    epoch: u64,
}

impl SimulatedEngine {
    fn iteration_time(&self) -> f64 {
        (ITERATION_SECONDS + SECONDS_PER_SEQUENCE * self.running.len() as f64) * self.slowdown
    }

    /// Advances the iteration count to a time.
    fn advance(&mut self, now: f64) {
        self.iterations += (now - self.updated_at) / self.iteration_time();
        self.updated_at = now;
    }

    fn next_end(&self) -> Option<(f64, RunningSequence)> {
        let first =
            self.running.values().min_by(|left, right| left.ends_at.total_cmp(&right.ends_at))?;
        let remaining = (first.ends_at - self.iterations).max(0.0);
        Some((self.updated_at + remaining * self.iteration_time(), *first))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next sequence of an engine finishes; ignored if the engine's epoch has changed.
    SequenceEnds {
        engine: usize,
        epoch: u64,
    },
    EngineCrashes {
        engine: usize,
    },
    EngineSlowsDown {
        engine: usize,
    },
    /// Slots with failed attempts are scheduled again.
    RetryFailed,
    TrainingEnds,
}

/// Events by time in microseconds.
type Queue = BinaryHeap<Reverse<(u64, Event)>>;

struct Step {
    coordinator: StepCoordinator,
    lengths: Vec<u32>,
    posted_at: f64,
    completed_at: Option<f64>,
    oldest_versions: Vec<u64>,
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
        if policy.generates_ahead {
            simulation.post(step + 1);
        }
        let waiting_since = simulation.now;
        simulation.run_until_complete(step);
        idle += simulation.now - waiting_since;
        let done = simulation.steps.remove(&step).expect("it was posted");
        for oldest_version in &done.oldest_versions {
            let behind = simulation.version - oldest_version;
            staleness.record(behind).expect("within bounds");
            stale_sum += behind;
            samples += 1;
        }
        let completed_at = done.completed_at.unwrap_or(simulation.now);
        ratio_sum += (completed_at - done.posted_at) / min_step_seconds(&done.lengths);
        if policy.overlaps_training && !policy.generates_ahead {
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

/// Lower bound on the time of a step in seconds, for any schedule that knows the lengths.
///
/// To finish within `time`, a sample of `l` tokens needs a mean token time of at most `time / l`, which
/// bounds its batch size. The engine time per token is a convex function of the token time, so a sample
/// costs at least as much as in the largest batch that meets this bound.
fn min_step_seconds(lengths: &[u32]) -> f64 {
    let is_feasible = |time: f64| {
        let mut cost = 0.0;
        for length in lengths {
            let tokens = f64::from(*length);
            let batch =
                ((time / tokens - ITERATION_SECONDS) / SECONDS_PER_SEQUENCE).min(MAX_BATCH as f64);
            if batch < 1.0 {
                return false;
            }
            cost += tokens * (ITERATION_SECONDS + SECONDS_PER_SEQUENCE * batch) / batch;
        }
        cost <= time * ENGINES as f64
    };
    let (mut low, mut high) = (0.0, 100_000.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if is_feasible(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let reserved = policy.reserved_engines.map_or(0, |reserve| reserve.engines);
        let engines: Vec<SimulatedEngine> = (0..ENGINES)
            .map(|index| SimulatedEngine {
                backend: Backend {
                    name: BackendName(format!("engine-{index:03}")),
                    incarnation: Incarnation(1),
                    pool: if index < reserved { RESERVED_POOL } else { POOL }.into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    zone: "zone".into(),
                },
                running: BTreeMap::new(),
                iterations: 0.0,
                updated_at: 0.0,
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
        let lengths = sample_lengths(self.seed, step);
        let mut coordinator = StepCoordinator::new(plan, SlotSet::new());
        if self.policy.has_known_lengths {
            for (slot, length) in lengths.iter().enumerate() {
                coordinator.set_expected_length(SlotIndex(slot as u32), *length);
            }
        }
        let state = Step {
            coordinator,
            lengths,
            posted_at: self.now,
            completed_at: None,
            oldest_versions: Vec::new(),
        };
        self.steps.insert(step, state);
        let crash = self.now + self.random.random_range(20.0..120.0);
        let engine = self.random.random_range(0..ENGINES);
        self.schedule(crash, Event::EngineCrashes { engine });
        let engine = self.random.random_range(0..ENGINES);
        self.schedule(self.now + 10.0, Event::EngineSlowsDown { engine });
        self.fill_slots();
    }

    fn run_until_complete(&mut self, step: u64) {
        while self.steps[&step].completed_at.is_none() {
            self.handle_next();
        }
    }

    /// Advances time by the training time and publishes the next version.
    fn train(&mut self) {
        let end = self.now + TRAINING_SECONDS;
        self.schedule(end, Event::TrainingEnds);
        while self.handle_next() != Event::TrainingEnds {}
        self.version += 1;
        if self.policy.restarts_on_swap {
            for engine in 0..ENGINES {
                self.drop_sequences(engine);
            }
            self.fill_slots();
        }
    }

    fn handle_next(&mut self) -> Event {
        let Some(Reverse((micros, event))) = self.queue.pop() else {
            panic!("the event queue is empty");
        };
        self.now = self.now.max(micros as f64 / 1e6);
        match event {
            Event::SequenceEnds { engine, epoch } if self.engines[engine].epoch == epoch => {
                self.finish_sequence(engine);
            }
            Event::EngineCrashes { engine } => {
                self.drop_sequences(engine);
                self.fill_slots();
            }
            Event::EngineSlowsDown { engine } => {
                for index in 0..ENGINES {
                    let slowdown = if index == engine { SLOWDOWN } else { 1.0 };
                    self.engines[index].advance(self.now);
                    self.engines[index].slowdown = slowdown;
                    self.reschedule(index);
                }
            }
            Event::RetryFailed => self.fill_slots(),
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

    fn finish_sequence(&mut self, engine: usize) {
        self.engines[engine].advance(self.now);
        let Some((_, finished)) = self.engines[engine].next_end() else {
            return;
        };
        self.remove_sequence(engine, &finished, RequestOutcome::Answered);
        let sample = self.sample(engine, &finished);
        let Some(step) = self.steps.get_mut(&finished.step) else {
            return;
        };
        let effects = step.coordinator.on_completed(finished.attempt, sample);
        self.cancel(finished.step, &effects);
        self.seal_if_complete(finished.step);
        self.migrate_long_samples();
        self.fill_slots();
        if self.policy.migrates {
            self.migrate_to_faster();
        }
        self.reschedule(engine);
    }

    fn remove_sequence(
        &mut self,
        engine: usize,
        running: &RunningSequence,
        outcome: RequestOutcome,
    ) {
        let moment = self.moment();
        let state = &mut self.engines[engine];
        state.running.remove(&(running.step, running.attempt));
        self.router.finished(moment, &state.backend, outcome);
    }

    fn sample(&self, engine: usize, finished: &RunningSequence) -> Sample {
        Sample {
            slot: finished.slot,
            seed: 0,
            text: String::new(),
            segments: vec![Segment {
                version: finished.version,
                start: 0,
                end: finished.tokens,
                engine: self.engines[engine].backend.name.clone(),
                incarnation: Incarnation(1),
            }],
            finish_reason: FinishReason::Stop,
            reward_milli: 0,
        }
    }

    fn seal_if_complete(&mut self, number: u64) {
        let now = self.now;
        let Some(step) = self.steps.get_mut(&number) else {
            return;
        };
        let slots = PROMPTS as usize * SAMPLES_PER_PROMPT as usize;
        if step.completed_at.is_some() || step.coordinator.ready_count() < slots {
            return;
        }
        if let NextBatch::Ready(samples) = step.coordinator.compose_batch(0, slots) {
            step.oldest_versions = samples.iter().filter_map(Sample::oldest_version).collect();
            step.coordinator.on_sealed(&samples);
            step.completed_at = Some(now);
        }
    }

    fn cancel(&mut self, step: u64, effects: &[Effect]) {
        for effect in effects {
            let Effect::Cancel { attempt } = effect else {
                continue;
            };
            let engine = self
                .engines
                .iter()
                .position(|engine| engine.running.contains_key(&(step, *attempt)));
            let Some(engine) = engine else {
                continue;
            };
            self.engines[engine].advance(self.now);
            let running = self.engines[engine].running[&(step, *attempt)];
            self.record_waste(engine, &running);
            self.remove_sequence(engine, &running, RequestOutcome::Cancelled);
            self.reschedule(engine);
        }
    }

    fn record_waste(&mut self, engine: usize, running: &RunningSequence) {
        let remaining = running.ends_at - self.engines[engine].iterations;
        self.wasted_tokens += (f64::from(running.tokens) - remaining).max(0.0) as u64;
    }

    /// Drops all sequences of an engine; resumes them elsewhere if the policy allows it.
    fn drop_sequences(&mut self, engine: usize) {
        self.engines[engine].advance(self.now);
        let lost: Vec<RunningSequence> = self.engines[engine].running.values().copied().collect();
        for running in lost {
            self.remove_sequence(engine, &running, RequestOutcome::Cancelled);
            if self.policy.resumes && self.resume_elsewhere(engine, &running) {
                continue;
            }
            self.record_waste(engine, &running);
            let moment = self.moment();
            if let Some(step) = self.steps.get_mut(&running.step) {
                let failure = AttemptFailure::BackendLost;
                step.coordinator.on_failed(moment, running.attempt, failure);
            }
        }
        self.schedule(self.now + RETRY_DELAY_SECONDS, Event::RetryFailed);
        self.reschedule(engine);
    }

    /// Resumes a sequence on another engine; returns false if no engine has a free slot.
    fn resume_elsewhere(&mut self, lost: usize, running: &RunningSequence) -> bool {
        let remaining = running.ends_at - self.engines[lost].iterations;
        let Some(engine) = self.choose(POOL) else {
            return false;
        };
        self.engines[engine].advance(self.now);
        let ends_at = self.engines[engine].iterations + remaining + RESUME_ITERATIONS;
        let resumed = RunningSequence { ends_at, ..*running };
        self.engines[engine].running.insert((running.step, running.attempt), resumed);
        self.reschedule(engine);
        true
    }

    /// Fills free slots with attempts, those of the oldest step first.
    fn fill_slots(&mut self) {
        let numbers: Vec<u64> = self.steps.keys().copied().collect();
        let mut changed = Vec::new();
        for number in numbers {
            let free_slots = self.free_slots(POOL) + self.free_slots(RESERVED_POOL);
            let moment = self.moment();
            let Some(step) = self.steps.get_mut(&number) else {
                continue;
            };
            let effects = step.coordinator.schedule(moment, free_slots);
            for effect in effects {
                if let Effect::Start { attempt, slot } = effect {
                    changed.extend(self.start(number, attempt, slot));
                }
            }
        }
        changed.sort_unstable();
        changed.dedup();
        for engine in changed {
            self.reschedule(engine);
        }
    }

    fn max_batch(&self, pool: &str) -> usize {
        match self.policy.reserved_engines {
            Some(reserve) if pool == RESERVED_POOL => reserve.max_batch,
            _ => MAX_BATCH,
        }
    }

    fn free_slots(&self, pool: &str) -> usize {
        let max_in_flight = self.max_batch(pool);
        let query = Query { pool, max_in_flight, prefix: None, min_version: None, exclude: &[] };
        self.router.free_slots(self.moment(), &query)
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

    /// Migrates the longest samples to the reserved engines while these have free slots.
    fn migrate_long_samples(&mut self) {
        let Some(reserve) = self.policy.reserved_engines else {
            return;
        };
        let mut changed = Vec::new();
        while self.free_slots(RESERVED_POOL) > 0 {
            let Some((from, running, done)) = self.longest_sample_beyond(reserve.after_tokens)
            else {
                break;
            };
            let Some(to) = self.choose(RESERVED_POOL) else {
                break;
            };
            self.engines[to].advance(self.now);
            self.remove_sequence(from, &running, RequestOutcome::Cancelled);
            let remaining = f64::from(running.tokens) - done;
            let ends_at = self.engines[to].iterations + remaining;
            let migrated = RunningSequence { ends_at, ..running };
            self.engines[to].running.insert((running.step, running.attempt), migrated);
            changed.extend([from, to]);
        }
        changed.sort_unstable();
        changed.dedup();
        for engine in changed {
            self.reschedule(engine);
        }
    }

    /// Finds the longest sample outside the reserved engines with at least `after_tokens` tokens.
    ///
    /// Returns its engine, its sequence and its number of generated tokens.
    fn longest_sample_beyond(
        &mut self,
        after_tokens: f64,
    ) -> Option<(usize, RunningSequence, f64)> {
        let mut best: Option<(usize, RunningSequence, f64)> = None;
        for index in 0..ENGINES {
            if self.engines[index].backend.pool == RESERVED_POOL {
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
        let engine = self.choose(RESERVED_POOL).or_else(|| self.choose(POOL))?;
        let tokens = self.steps[&step].lengths[slot.0 as usize];
        let state = &mut self.engines[engine];
        state.advance(self.now);
        let ends_at = state.iterations + f64::from(tokens);
        let running =
            RunningSequence { step, attempt, slot, tokens, ends_at, version: self.version };
        state.running.insert((step, attempt), running);
        Some(engine)
    }

    /// At the tail of a step, migrates samples from the engine with the longest token time to the one
    /// with the shortest.
    fn migrate_to_faster(&mut self) {
        if self.free_slots(POOL) < MAX_BATCH {
            return;
        }
        for _ in 0..MAX_MIGRATIONS_PER_EVENT {
            let token_time = |engine: &SimulatedEngine, extra: usize| {
                let batch = (engine.running.len() + extra) as f64;
                (ITERATION_SECONDS + SECONDS_PER_SEQUENCE * batch) * engine.slowdown
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
            if from == to || gain < MIN_MIGRATION_GAIN {
                return;
            }
            self.migrate_longest(from, to);
        }
    }

    fn migrate_longest(&mut self, from: usize, to: usize) {
        self.engines[from].advance(self.now);
        self.engines[to].advance(self.now);
        let done = |running: &RunningSequence| {
            f64::from(running.tokens) - (running.ends_at - self.engines[from].iterations)
        };
        let longest = self.engines[from]
            .running
            .values()
            .max_by(|left, right| done(left).total_cmp(&done(right)))
            .copied();
        if let Some(mut running) = longest {
            let remaining = running.ends_at - self.engines[from].iterations;
            self.engines[from].running.remove(&(running.step, running.attempt));
            running.ends_at = self.engines[to].iterations + remaining + MIGRATION_ITERATIONS;
            self.engines[to].running.insert((running.step, running.attempt), running);
            self.reschedule(from);
            self.reschedule(to);
        }
    }
}

fn sample_lengths(seed: u64, step: u64) -> Vec<u32> {
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
