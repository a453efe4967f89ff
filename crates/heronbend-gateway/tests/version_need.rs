//! The order of loads by the need of steps, and the reports that it is based on.
//!
//! The load: four models on 45 servers of two paces, 34 and 82 ms an event, with 8 slots each. Steps
//! have 112 to 160 texts of 21 events on average and 152 at most.

mod support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::Moment;
use heronbend_gateway::batch::length_estimate::LengthEstimator;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::registry::JobRegistry;
use heronbend_gateway::batch::step_report;
use heronbend_gateway::batch::step_report::MAX_ENTRIES;
use heronbend_gateway::batch::step_report::MAX_PACES;
use heronbend_gateway::directory::Server;
use heronbend_gateway::gateway::Tuning;
use heronbend_gateway::peers::messages::Datagram;
use heronbend_gateway::peers::messages::ServerPace;
use heronbend_gateway::peers::messages::StepReport;
use heronbend_gateway::peers::Hint;
use heronbend_gateway::versions::need;
use heronbend_gateway::versions::need::ModelNeed;
use heronbend_gateway::versions::need::NextStart;
use heronbend_gateway::versions::need::StepNeed;
use heronbend_gateway::versions::need::ITEMS_PER_ENTRY;
use heronbend_gateway::versions::plan;
use heronbend_gateway::versions::plan::max_concurrent_loads;
use heronbend_gateway::versions::plan::EngineState;
use heronbend_gateway::versions::plan::Load;
use heronbend_gateway::versions::plan::ModelState;
use heronbend_gateway::versions::step_reports::KnownStep;
use heronbend_gateway::versions::step_reports::StepReports;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use smol::LocalExecutor;
use support::gateway;
use support::item;
use support::job;
use support::memory_store::MemoryStore;
use support::node;
use support::result;
use support::server;

const SERVERS: usize = 45;
const SLOTS: usize = 8;
const FAST: Duration = Duration::from_millis(34);
const SLOW: Duration = Duration::from_millis(82);
const TARGET: Duration = Duration::from_millis(7200);
const LOAD_TIME: Duration = Duration::from_millis(900);
const TICK: Duration = Duration::from_millis(50);
const TRAINING_TIME: Duration = Duration::from_millis(500);
/// Shortest time between the submissions of two steps.
const STEP_INTERVAL: Duration = Duration::from_secs(4);
/// Time until the steps of a model with slack are due.
const SLACK: Duration = Duration::from_secs(14);
/// Longest time that a text may wait for a slot, also with slack: all servers load once in 5 s.
const MAX_WAIT: Duration = Duration::from_secs(8);
/// Below the usual MTU.
const MAX_REPORT_BYTES: usize = 1200;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A server with the given versions; every third one is slow.
fn engine(number: usize, versions: &[(&str, u64)]) -> EngineState {
    let held = versions.iter().map(|(model, version)| ((*model).to_owned(), *version));
    let models: BTreeMap<String, u64> = held.collect();
    EngineState {
        server: Rc::new(Server { models: models.into(), ..server(&id(number), "engines") }),
        is_loading: false,
        loading: None,
        is_transferring: false,
        in_flight: 0,
    }
}

fn id(number: usize) -> String {
    format!("e{number:02}")
}

fn pace(server: &str) -> Option<Duration> {
    let number: usize = server[1..].parse().ok()?;
    Some(if number % 3 == 2 { SLOW } else { FAST })
}

fn state(version: u64) -> ModelState {
    ModelState { version, demand: 100, step_items: 144, ..ModelState::default() }
}

fn states(models: &[(&str, u64)]) -> BTreeMap<String, ModelState> {
    models.iter().map(|(name, version)| ((*name).to_owned(), state(*version))).collect()
}

/// Lengths of every eighth text of a step like those of the load, longest first.
fn lengths(items: usize) -> Vec<u32> {
    let length = |position: usize| (152.0 * 0.8_f64.powi(position as i32)) as u32 + 3;
    (0..items / ITEMS_PER_ENTRY).map(length).collect()
}

/// A step of `items` whose items all wait.
fn waiting_step(min_version: u64, items: usize, due_in: Duration) -> StepNeed {
    StepNeed {
        min_version,
        due_in,
        items,
        unfinished: Some(items),
        longest: lengths(items)[0],
        waiting: Some(lengths(items)),
    }
}

fn need(steps: Vec<StepNeed>) -> ModelNeed {
    let next_start = NextStart::After(0);
    let next_min_version = steps.last().map_or(2, |step| step.min_version) + 1;
    ModelNeed { steps, next_start, next_min_version, lengths: lengths(144), target: TARGET }
}

fn needs(models: Vec<(&str, ModelNeed)>) -> BTreeMap<String, ModelNeed> {
    models.into_iter().map(|(name, need)| (name.to_owned(), need)).collect()
}

/// Servers with version 1 of four models.
fn old_engines() -> Vec<EngineState> {
    let held = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    (0..SERVERS).map(|number| engine(number, &held)).collect()
}

fn count(due: &[Load], model: &str) -> usize {
    due.iter().filter(|load| load.model == model).count()
}

#[test]
fn the_step_with_the_least_slack_gets_the_next_loads() {
    let models = states(&[("a", 3), ("b", 3), ("c", 3), ("d", 3)]);
    let step = |due_in| need(vec![waiting_step(2, 144, due_in)]);
    let long = Duration::from_secs(60);
    let needs =
        needs(vec![("a", step(long)), ("b", step(long)), ("c", step(TARGET)), ("d", step(long))]);
    let due = need::loads_due(&models, &needs, &old_engines(), &pace);
    assert_eq!((due.len(), count(&due, "c")), (9, 9), "{due:?}");
}

#[test]
fn fast_servers_come_first() {
    let models = states(&[("a", 3)]);
    let needs = needs(vec![("a", need(vec![waiting_step(2, 144, TARGET)]))]);
    let engines: Vec<_> = (0..SERVERS).map(|number| engine(number, &[("a", 1)])).collect();
    let due = need::loads_due(&models, &needs, &engines, &pace);
    assert_eq!(due.len(), 9);
    assert!(due.iter().all(|load| pace(&load.server) == Some(FAST)), "{due:?}");
    // Servers without a known pace count as slow.
    let unknown = |server: &str| pace(server).filter(|_| server < "e20");
    let due = need::loads_due(&models, &needs, &engines, &unknown);
    assert!(due.iter().all(|load| unknown(&load.server) == Some(FAST)), "{due:?}");
}

#[test]
fn a_step_whose_items_all_have_slots_leaves_the_loads_to_others() {
    let models = states(&[("a", 3), ("b", 3)]);
    let mut engines = old_engines();
    for engine in &mut engines {
        set_version(engine, "a", 2);
    }
    let placed = StepNeed { waiting: Some(Vec::new()), ..waiting_step(2, 144, TARGET) };
    let waiting = waiting_step(2, 144, TARGET);
    let needs = needs(vec![("a", need(vec![placed])), ("b", need(vec![waiting]))]);
    let due = need::loads_due(&models, &needs, &engines, &pace);
    assert_eq!((count(&due, "a"), count(&due, "b")), (0, 9), "{due:?}");
}

#[test]
fn a_server_that_waiting_items_can_use_is_not_paused_for_a_later_step() {
    // All servers can run the step of `a`, and half of them are due to load its newest version.
    let models = states(&[("a", 3)]);
    let mut engines = old_engines();
    for engine in &mut engines {
        set_version(engine, "a", 2);
    }
    let waiting = needs(vec![("a", need(vec![waiting_step(2, 144, millis(5000))]))]);
    let due = need::loads_due(&models, &waiting, &engines, &pace);
    assert!(due.is_empty(), "{due:?}");
    // Once its items have slots, the servers load.
    let placed = StepNeed { waiting: Some(Vec::new()), ..waiting_step(2, 144, millis(5000)) };
    let placed = needs(vec![("a", need(vec![placed]))]);
    assert!(!need::loads_due(&models, &placed, &engines, &pace).is_empty());
    // A version that is deferred for too long is loaded in any case.
    let mut models = models;
    models.get_mut("a").unwrap().published_for = Duration::from_secs(4);
    assert!(!need::loads_due(&models, &waiting, &engines, &pace).is_empty());
}

#[test]
fn a_server_without_the_model_is_not_kept_for_its_waiting_items() {
    // The step of `a` accepts any version. Half of the servers do not have the model.
    let models = states(&[("a", 1), ("b", 3)]);
    let held = |number| if number % 2 == 0 { ("a", 1) } else { ("b", 1) };
    let engines: Vec<_> = (0..SERVERS).map(|number| engine(number, &[held(number)])).collect();
    let waiting = need(vec![waiting_step(0, 144, millis(5000))]);
    let later = need(vec![waiting_step(2, 144, Duration::from_secs(60))]);
    let due = need::loads_due(&models, &needs(vec![("a", waiting), ("b", later)]), &engines, &pace);
    assert_eq!(count(&due, "b"), 9, "{due:?}");
}

#[test]
fn servers_load_for_a_step_that_is_about_to_be_submitted() {
    // All servers can run the pending step of `a`, but not the next one, whose version is already
    // being trained. The step of `b` has time to spare.
    let models = states(&[("a", 3), ("b", 3)]);
    let mut engines = old_engines();
    for engine in &mut engines {
        set_version(engine, "a", 2);
    }
    let short = lengths(144)[6..].to_vec();
    let soon = ModelNeed {
        next_start: NextStart::In(Duration::ZERO),
        ..need(vec![StepNeed { waiting: Some(short), ..waiting_step(2, 144, millis(6000)) }])
    };
    let later = need(vec![waiting_step(2, 144, Duration::from_secs(20))]);
    let before = plan::loads_due(&models, &engines);
    assert_eq!((count(&before, "a"), count(&before, "b")), (0, 9), "{before:?}");
    let by_need =
        need::loads_due(&models, &needs(vec![("a", soon), ("b", later)]), &engines, &pace);
    // Half of its servers, so that the others can run the pending step meanwhile.
    assert!(count(&by_need, "a") >= 5, "{by_need:?}");
}

#[test]
fn loads_in_progress_count_for_the_items_that_they_will_serve() {
    let models = states(&[("a", 3), ("b", 3)]);
    let mut engines = old_engines();
    let waiting = waiting_step(2, 64, TARGET);
    let both =
        || needs(vec![("a", need(vec![waiting.clone()])), ("b", need(vec![waiting.clone()]))]);
    let first = need::loads_due(&models, &both(), &engines, &pace);
    // Of equal needs the models take turns.
    assert!(count(&first, "a").abs_diff(count(&first, "b")) <= 1, "{first:?}");
    // Eight loads serve all 64 items of `a`.
    let mut loading = 0;
    let all = need::loads_due(&states(&[("a", 3)]), &both(), &engines, &pace);
    for load in &all {
        let engine = engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
        if loading < 8 {
            start(engine, load);
            engine.is_transferring = false;
            loading += 1;
        }
    }
    let due = need::loads_due(&models, &both(), &engines, &pace);
    assert!(count(&due, "b") >= 7, "{due:?}");
}

#[test]
fn without_reports_loads_are_planned_as_before() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let models = states(&[
            ("a", random.random_range(1..5)),
            ("b", random.random_range(1..5)),
            ("c", random.random_range(1..5)),
        ]);
        let engines: Vec<EngineState> = (0..20)
            .map(|number| {
                let held = ["a", "b", "c"].map(|model| (model, random.random_range(1..5)));
                engine(number, &held)
            })
            .collect();
        let unknown = |_: &str| None;
        assert_eq!(
            need::loads_due(&models, &BTreeMap::new(), &engines, &unknown),
            plan::loads_due(&models, &engines),
            "seed {seed}"
        );
    }
}

fn set_version(engine: &mut EngineState, model: &str, version: u64) {
    let server = Rc::make_mut(&mut engine.server);
    Rc::make_mut(&mut server.models).insert(model.to_owned(), version);
}

fn start(engine: &mut EngineState, load: &Load) {
    engine.is_loading = true;
    engine.is_transferring = true;
    engine.loading = Some((load.model.clone(), load.version));
}

/// A text that waits or runs.
#[derive(Debug, Clone)]
struct Text {
    events: u32,
    /// The server on which it runs, and the end.
    running: Option<(usize, Moment)>,
}

impl Text {
    fn is_unfinished(&self, now: Moment) -> bool {
        self.running.is_none_or(|(_, end)| end > now)
    }

    fn remaining(&self, now: Moment) -> u32 {
        match self.running {
            Some((_, end)) => (end.saturating_sub(now).as_millis() / FAST.as_millis()) as u32,
            None => self.events,
        }
    }
}

#[derive(Debug)]
struct Step {
    number: u64,
    submitted_at: Moment,
    ended_at: Option<Moment>,
    texts: Vec<Text>,
}

/// One model's trainer. Version `n` is trained on step `n - 2`; once it is published, step `n` is
/// submitted, which may use version `n - 1`.
#[derive(Debug)]
struct Trainer {
    name: &'static str,
    items: usize,
    /// Time from the submission of a step until it is due.
    target: Duration,
    version: u64,
    published_at: Moment,
    steps: Vec<Step>,
    /// Longest time that a text has waited for a slot.
    longest_wait: Duration,
}

impl Trainer {
    fn pending(&self) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(|step| step.ended_at.is_none())
    }

    fn step(&self, number: u64) -> Option<&Step> {
        self.steps.iter().find(|step| step.number == number)
    }

    /// When the next version is published, if the step that it is trained on has ended.
    fn next_publication(&self) -> Option<Moment> {
        let ended_at = self.step(self.version - 1)?.ended_at?;
        Some((ended_at + TRAINING_TIME).max(self.published_at + TRAINING_TIME))
    }

    fn need(&self, now: Moment) -> ModelNeed {
        let sampled = |mut events: Vec<u32>| -> Vec<u32> {
            events.sort_by_key(|events| std::cmp::Reverse(*events));
            events.into_iter().step_by(ITEMS_PER_ENTRY).collect()
        };
        let step_need = |step: &Step| {
            let unfinished: Vec<&Text> =
                step.texts.iter().filter(|text| text.is_unfinished(now)).collect();
            let waiting = unfinished.iter().filter(|text| text.running.is_none());
            StepNeed {
                min_version: step.number - 1,
                due_in: (step.submitted_at + self.target).saturating_sub(now),
                items: self.items,
                unfinished: Some(unfinished.len()),
                longest: unfinished.iter().map(|text| text.remaining(now)).max().unwrap_or(0),
                waiting: Some(sampled(waiting.map(|text| text.events).collect())),
            }
        };
        let newest = self.steps.last().unwrap();
        let awaited = self.pending().position(|step| step.number + 1 == newest.number);
        let next_start = if self.version > newest.number {
            NextStart::In((newest.submitted_at + STEP_INTERVAL).saturating_sub(now))
        } else {
            awaited.map_or(NextStart::In(Duration::ZERO), NextStart::After)
        };
        ModelNeed {
            steps: self.pending().map(step_need).collect(),
            next_start,
            next_min_version: newest.number,
            lengths: sampled(newest.texts.iter().map(|text| text.events).collect()),
            target: self.target,
        }
    }
}

/// How loads are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Plan,
    /// By need, with what the lease holder knows without reports on the pending steps.
    Estimate,
    /// By need, with reports.
    Reports,
}

struct Simulation {
    now: Moment,
    random: SmallRng,
    engines: Vec<EngineState>,
    loads_end: HashMap<String, Moment>,
    trainers: Vec<Trainer>,
    order: Order,
}

impl Simulation {
    /// All versions are old at once: no server can run the steps that all trainers have submitted.
    fn new(seed: u64, order: Order, targets: [Duration; 4]) -> Self {
        let now = Duration::from_secs(10);
        let names = ["a", "b", "c", "d"];
        let items = [144, 128, 128, 144];
        let trainers = (0..4).map(|index| Trainer {
            name: names[index],
            items: items[index],
            target: targets[index],
            version: 3,
            published_at: now,
            steps: Vec::new(),
            longest_wait: Duration::ZERO,
        });
        let mut simulation = Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            engines: old_engines(),
            loads_end: HashMap::new(),
            trainers: trainers.collect(),
            order,
        };
        for index in 0..4 {
            simulation.submit(index, 2);
            simulation.submit(index, 3);
        }
        simulation
    }

    fn submit(&mut self, index: usize, number: u64) {
        let random = &mut self.random;
        let trainer = &mut self.trainers[index];
        // Log-normal with a mean of 21 events.
        let mut text = || {
            let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            let events = (2.64 + 0.9 * normal).exp().clamp(2.0, 152.0) as u32;
            Text { events, running: None }
        };
        let mut texts: Vec<Text> = (0..trainer.items).map(|_| text()).collect();
        texts.sort_by_key(|text| std::cmp::Reverse(text.events));
        trainer.steps.push(Step { number, submitted_at: self.now, ended_at: None, texts });
    }

    fn models(&self) -> BTreeMap<String, ModelState> {
        let state = |trainer: &Trainer| ModelState {
            published_for: self.now.saturating_sub(trainer.published_at),
            step_items: trainer.items,
            ..state(trainer.version)
        };
        self.trainers.iter().map(|trainer| (trainer.name.to_owned(), state(trainer))).collect()
    }

    fn plan(&self) -> Vec<Load> {
        if self.order == Order::Plan {
            return plan::loads_due(&self.models(), &self.engines);
        }
        let needs = self.trainers.iter().map(|trainer| {
            let mut need = trainer.need(self.now);
            if self.order == Order::Estimate {
                need.steps.iter_mut().for_each(|step| {
                    (step.unfinished, step.waiting) = (None, None);
                });
            }
            (trainer.name.to_owned(), need)
        });
        need::loads_due(&self.models(), &needs.collect(), &self.engines, &pace)
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.finish_loads();
        for index in 0..4 {
            self.place(index);
            self.end_steps(index);
            self.publish(index);
        }
        let transferring = self.engines.iter().filter(|engine| engine.is_transferring).count();
        let due = self.plan();
        let most = max_concurrent_loads(self.engines.len());
        assert!(due.is_empty() || transferring + due.len() <= most, "{transferring} {due:?}");
        for load in due {
            self.start_load(&load);
        }
    }

    fn start_load(&mut self, load: &Load) {
        let engine =
            self.engines.iter_mut().find(|engine| engine.server.id == load.server).unwrap();
        assert!(!engine.is_loading);
        start(engine, load);
        self.loads_end.insert(load.server.clone(), self.now + LOAD_TIME);
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            let ended = self.loads_end.get(&engine.server.id).is_some_and(|end| *end <= self.now);
            if !ended {
                continue;
            }
            self.loads_end.remove(&engine.server.id);
            let (model, version) = engine.loading.take().unwrap();
            (engine.is_loading, engine.is_transferring) = (false, false);
            set_version(engine, &model, version);
        }
    }

    /// Places waiting texts, the longest first, on the fastest servers with a free slot.
    fn place(&mut self, index: usize) {
        let mut used: HashMap<usize, usize> = HashMap::new();
        let steps = self.trainers.iter().flat_map(Trainer::pending);
        for text in steps.flat_map(|step| &step.texts) {
            if let Some((server, _)) = text.running.filter(|(_, end)| *end > self.now) {
                *used.entry(server).or_default() += 1;
            }
        }
        let trainer = &mut self.trainers[index];
        for step in trainer.steps.iter_mut().filter(|step| step.ended_at.is_none()) {
            for text in step.texts.iter_mut().filter(|text| text.running.is_none()) {
                let usable = self.engines.iter().filter(|engine| {
                    let has_version = engine.server.models[trainer.name] + 1 >= step.number;
                    let is_free = used.get(&number(engine)).copied().unwrap_or(0) < SLOTS;
                    has_version && !engine.is_loading && is_free
                });
                let Some(chosen) = usable.min_by_key(|engine| pace(&engine.server.id)) else {
                    break;
                };
                *used.entry(number(chosen)).or_default() += 1;
                let end = self.now + pace(&chosen.server.id).unwrap() * text.events;
                text.running = Some((number(chosen), end));
                trainer.longest_wait = trainer.longest_wait.max(self.now - step.submitted_at);
            }
        }
    }

    fn end_steps(&mut self, index: usize) {
        let now = self.now;
        for step in &mut self.trainers[index].steps {
            if step.ended_at.is_none() && !step.texts.iter().any(|text| text.is_unfinished(now)) {
                step.ended_at = Some(now);
            }
        }
    }

    fn publish(&mut self, index: usize) {
        let now = self.now;
        let trainer = &mut self.trainers[index];
        if trainer.next_publication().is_some_and(|at| at <= now) {
            trainer.version += 1;
            trainer.published_at = now;
        }
        let newest = trainer.steps.last().unwrap();
        let (next, submitted_at) = (newest.number + 1, newest.submitted_at);
        if next <= trainer.version && now >= submitted_at + STEP_INTERVAL {
            self.submit(index, next);
        }
    }

    /// Removes a fast server. Its texts wait again.
    fn lose_server(&mut self) {
        let position = self.engines.iter().position(|engine| pace(&engine.server.id) == Some(FAST));
        let lost = self.engines.remove(position.unwrap());
        self.loads_end.remove(&lost.server.id);
        let steps = self.trainers.iter_mut().flat_map(|trainer| &mut trainer.steps);
        for text in steps.flat_map(|step| &mut step.texts) {
            let is_lost = |(server, end)| server == number(&lost) && end > self.now;
            if text.running.is_some_and(is_lost) {
                text.running = None;
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// The load, for all models without slack but the last.
    fn disturbance(seed: u64, order: Order) -> Self {
        let mut simulation = Self::new(seed, order, [TARGET, TARGET, TARGET, SLACK]);
        simulation.run(millis(1500));
        simulation.lose_server();
        simulation.run(Duration::from_secs(30));
        simulation
    }

    /// Durations of the ended steps.
    fn step_times(&self, index: usize) -> Vec<Duration> {
        let steps = self.trainers[index].steps.iter();
        steps.filter_map(|step| Some(step.ended_at? - step.submitted_at)).collect()
    }
}

fn number(engine: &EngineState) -> usize {
    engine.server.id[1..].parse().unwrap()
}

#[test]
fn all_steps_progress_after_a_disturbance_with_a_server_lost() {
    for seed in 0..20 {
        let simulation = Simulation::disturbance(seed, Order::Reports);
        for index in 0..4 {
            let steps = simulation.step_times(index).len();
            assert!(steps >= 4, "seed {seed}: model {index} has completed {steps} steps");
            let wait = simulation.trainers[index].longest_wait;
            assert!(wait < MAX_WAIT, "seed {seed}: a text of model {index} has waited {wait:?}");
        }
    }
}

/// Completed and late steps of the models without slack over 20 seeds, and their mean time.
fn steps_without_slack(order: Order) -> (usize, usize, Duration) {
    let simulations: Vec<_> = (0..20).map(|seed| Simulation::disturbance(seed, order)).collect();
    let times = simulations.iter().flat_map(|simulation| {
        (0..3).flat_map(|index| simulation.step_times(index)).collect::<Vec<_>>()
    });
    let times: Vec<Duration> = times.collect();
    let late = times.iter().filter(|time| **time > TARGET).count();
    let waits =
        (0..4).map(|index| simulations.iter().map(|s| s.trainers[index].longest_wait).max());
    println!("longest waits: {:?}", waits.collect::<Vec<_>>());
    (times.len(), late, times.iter().sum::<Duration>() / times.len() as u32)
}

#[test]
fn steps_without_slack_end_earlier_than_in_the_plan() {
    let plan = steps_without_slack(Order::Plan);
    let estimate = steps_without_slack(Order::Estimate);
    let by_need = steps_without_slack(Order::Reports);
    println!("completed, late and mean time: plan {plan:?} estimate {estimate:?} {by_need:?}");
    assert!(by_need.0 >= plan.0 && by_need.1 <= plan.1 && by_need.2 <= plan.2);
}

/// Random versions, needs and loads in progress: never too many loads, none on a server that loads,
/// and each one newer than what the server has.
#[test]
fn loads_are_bounded_and_valid() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let names = ["a", "b", "c", "d"];
        let mut models = states(&names.map(|name| (name, random.random_range(1..6))));
        for state in models.values_mut() {
            state.has_slow_steps = random.random();
            state.published_for = millis(random.random_range(0..5000));
        }
        let mut needs = BTreeMap::new();
        for name in names {
            let step = |random: &mut SmallRng| StepNeed {
                min_version: random.random_range(1..6),
                due_in: millis(random.random_range(0..8000)),
                items: 144,
                unfinished: random.random::<bool>().then(|| random.random_range(0..145)),
                longest: random.random_range(0..153),
                waiting: random.random::<bool>().then(|| lengths(random.random_range(0..145))),
            };
            let steps = (0..random.random_range(0..3)).map(|_| step(&mut random)).collect();
            if random.random() {
                needs.insert(name.to_owned(), need(steps));
            }
        }
        let mut engines: Vec<EngineState> = (0..random.random_range(1..60))
            .map(|number| engine(number, &names.map(|name| (name, random.random_range(1..6)))))
            .collect();
        for engine in &mut engines {
            if random.random_ratio(1, 6) {
                engine.is_loading = true;
                engine.is_transferring = random.random();
                engine.loading = Some(("a".to_owned(), random.random_range(1..6)));
            }
        }
        let due = need::loads_due(&models, &needs, &engines, &pace);
        let transferring = engines.iter().filter(|engine| engine.is_transferring).count();
        let most = max_concurrent_loads(engines.len()).saturating_sub(transferring);
        assert!(due.len() <= most, "seed {seed}");
        for load in &due {
            let engine = engines.iter().find(|engine| engine.server.id == load.server).unwrap();
            assert!(!engine.is_loading, "seed {seed}: {load:?}");
            assert!(engine.server.models[&load.model] < load.version, "seed {seed}: {load:?}");
            let on_server = due.iter().filter(|other| other.server == load.server).count();
            assert_eq!(on_server, 1, "seed {seed}: {load:?}");
        }
    }
}

fn report(job: &str) -> StepReport {
    StepReport {
        job: job.to_owned(),
        model: "m".to_owned(),
        min_version: 4,
        due_millis: 7000,
        target_millis: 7200,
        unfinished: 100,
        longest: 150,
        waiting: vec![60, 30],
        lengths: vec![150, 60, 30],
        paces: Vec::new(),
    }
}

fn pending(job: &str, first_seen: Moment) -> KnownStep {
    let (job, model) = (job.to_owned(), "m".to_owned());
    KnownStep { job, model, items: 120, first_seen, ended: false }
}

#[test]
fn the_need_of_a_step_ages_and_is_unknown_without_recent_reports() {
    let reports = StepReports::default();
    let now = Duration::from_secs(10);
    let newest = BTreeMap::from([("m".to_owned(), 5)]);
    let steps = |at, pending| -> Vec<StepNeed> {
        let needs = reports.needs(at, &newest, pending);
        needs.get("m").map(|need| need.steps.clone()).unwrap_or_default()
    };
    assert!(steps(now, vec![pending("j", now)]).is_empty());
    reports.record(now, report("j"));
    let one = steps(now + millis(1000), vec![pending("j", now)]);
    assert_eq!((one[0].due_in, one[0].unfinished), (millis(6000), Some(100)));
    assert_eq!(one[0].waiting, Some(vec![60, 30]));
    // Nothing is known of a model while reports of one of its steps are missing.
    let all = |at, known| reports.needs(at, &newest, known);
    assert!(all(now + millis(2000), vec![pending("j", now)]).is_empty());
    assert!(all(now + millis(1000), vec![pending("j", now), pending("k", now)]).is_empty());
    // A step that is not reported yet is expected to be like the last one.
    let new = steps(now + millis(500), vec![pending("j", now), pending("k", now + millis(400))]);
    assert_eq!((new[1].min_version, new[1].due_in), (5, millis(7100)));
    assert_eq!(new[1].waiting, None);
    // One that was never reported does not keep its urgency.
    assert_eq!(steps(now + millis(9000), vec![pending("k", now + millis(400))]), []);
    reports.record(now, StepReport { unfinished: 0, ..report("j") });
    assert_eq!(steps(now + millis(100), vec![pending("j", now)]), []);
}

#[test]
fn reports_count_only_while_the_setting_is_on() {
    let store = Rc::new(MemoryStore::default());
    let executor = Rc::new(LocalExecutor::new());
    let gateway = gateway("a", &store, &executor);
    let newest = BTreeMap::from([("m".to_owned(), 5)]);
    let needs = || gateway.versions.step_reports.needs(gateway.now(), &newest, Vec::new());
    step_report::receive(&gateway, report("j"));
    assert!(needs().is_empty());
    gateway.set_tuning(Tuning { versions_by_need: true, ..gateway.tuning() });
    step_report::receive(&gateway, report("j"));
    assert_eq!(needs()["m"].lengths, report("j").lengths);
}

#[test]
fn the_next_step_is_foreseen() {
    let now = Duration::from_secs(10);
    let next = |newest, steps: Vec<KnownStep>, reported: &[StepReport]| {
        let reports = StepReports::default();
        for report in reported {
            reports.record(now, report.clone());
        }
        let need = reports.needs(now, &BTreeMap::from([("m".to_owned(), newest)]), steps);
        (need["m"].next_start, need["m"].next_min_version)
    };
    let ended = |job, first_seen| KnownStep { ended: true, ..pending(job, first_seen) };
    let older = StepReport { min_version: 3, ..report("i") };
    let both = [older, report("j")];
    let (first, second) = (now - millis(5000), now - millis(1000));
    // The step that needs version 4 was submitted when version 5 was published. Version 6 follows
    // the step before it.
    let steps = vec![pending("i", first), pending("j", second)];
    assert_eq!(next(5, steps, &both), (NextStart::After(0), 5));
    // If that has ended, version 6 is expected at any time.
    let steps = vec![ended("i", first), pending("j", second)];
    assert_eq!(next(5, steps.clone(), &both), (NextStart::In(Duration::ZERO), 5));
    // If version 6 is published, the next step follows after the usual interval.
    assert_eq!(next(6, steps, &both), (NextStart::In(millis(3000)), 5));
}

#[test]
fn a_step_may_need_the_largest_version() {
    let now = Duration::from_secs(10);
    let reports = StepReports::default();
    reports.record(now, StepReport { min_version: u64::MAX, ..report("j") });
    let known = vec![pending("j", now - millis(1000))];
    let needs = reports.needs(now, &BTreeMap::from([("m".to_owned(), 5)]), known);
    assert_eq!(needs["m"].steps[0].min_version, u64::MAX);
    assert_eq!(needs["m"].next_min_version, u64::MAX);
}

#[test]
fn a_report_states_the_longest_waiting_items() {
    let now = Duration::from_secs(10);
    let mut specification = job("j", 0);
    specification.items =
        (0..20).map(|number| item(&format!("i{number}"), Some(100 * (number + 1)))).collect();
    let ownership = Ownership::new(&specification, node("a"), None);
    let registry = JobRegistry::new(move || now);
    let job = registry.upsert("j", ownership, 1);
    let mut estimator = LengthEstimator::default();
    estimator.record(&specification.items[0], 10);
    assert_eq!(step_report::prepare(now, &job, &specification, &estimator), None);
    job.target.set(Some(now + TARGET));
    job.log.borrow_mut().add(result("i19"));
    let waiting: Vec<_> =
        specification.items[..9].iter().map(|item| job.waiting.add(&item.id)).collect();
    let later = now + millis(200);
    let report = step_report::prepare(later, &job, &specification, &estimator).unwrap();
    assert_eq!((report.due_millis, report.target_millis), (7000, 7200));
    assert_eq!((report.unfinished, report.longest), (19, 190));
    assert_eq!(report.waiting, [90, 10]);
    assert_eq!(report.lengths, [200, 120, 40]);
    drop(waiting);
    let report = step_report::prepare(later, &job, &specification, &estimator).unwrap();
    assert!(report.waiting.is_empty());
}

#[test]
fn the_largest_report_is_bounded() {
    let pace = ServerPace { server: "i-0123456789ab".to_owned(), micros: 300_000 };
    let report = StepReport {
        job: "j".repeat(32),
        model: "m".repeat(32),
        waiting: vec![10_000; MAX_ENTRIES],
        lengths: vec![10_000; MAX_ENTRIES],
        paces: vec![pace; MAX_PACES],
        ..report("j")
    };
    let bytes = musli::wire::to_vec(&Datagram::Hint(Hint::StepReported(report.clone()))).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < MAX_REPORT_BYTES, "{}", bytes.len());
    let decoded: Datagram = musli::wire::from_slice(&bytes).unwrap();
    assert_eq!(decoded, Datagram::Hint(Hint::StepReported(report)));
}
