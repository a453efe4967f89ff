//! Orders loads by the need of pending and expected steps, without I/O.
//!
//! [`plan`](super::plan) treats all models alike: each gets the same share of its servers ready.
//! After a disturbance all versions are old at once, and a step with seconds to spare then gets
//! servers as fast as one that is about to be late. Here the next load goes to the model with the
//! least slack: the time until its items have to start, less the time that the longest of those
//! without a slot takes on the server that it would get. Late steps have no slack and share the
//! loads as in the plan, so that no model starves.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use heronbend::placement::slack::PaceRange;

use super::plan;
use super::plan::due_for_model;
use super::plan::max_concurrent_loads;
use super::plan::EngineState;
use super::plan::Load;
use super::plan::ModelState;
use super::plan::Urgency;

/// Number of items for each entry of [`StepNeed::waiting`] and [`ModelNeed::lengths`].
pub const ITEMS_PER_ENTRY: usize = 8;
/// Time until a server can run items after its load is commanded.
const LOAD_TIME: Duration = Duration::from_millis(1000);
/// Time after the publication of a version from which on its loads count as late.
const MAX_DEFERRAL: Duration = Duration::from_secs(4);
/// Differences in slack below this do not matter: estimates of lengths are rough.
const SLACK_RESOLUTION: Duration = Duration::from_millis(250);
/// A step ends with its last items: the trainer does not wait for the last tenth.
const AWAITED_SHARE: f64 = 0.9;

/// A pending step of a model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepNeed {
    /// Oldest version that the step may use.
    pub min_version: u64,
    /// Time until the step's texts should be complete; zero once it has passed.
    pub due_in: Duration,
    /// Number of items of the step.
    pub items: usize,
    /// Number of items without a complete text; `None` if unknown.
    pub unfinished: Option<usize>,
    /// Expected remaining events of the longest unfinished text.
    pub longest: u32,
    /// Expected remaining events of every [`ITEMS_PER_ENTRY`]th item that waits for a slot, longest
    /// first; `None` if unknown.
    pub waiting: Option<Vec<u32>>,
}

/// When the next step of a model is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStart {
    /// After this time.
    In(Duration),
    /// After the pending step with this index: its version is not published before that.
    After(usize),
}

/// What the steps of a model need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelNeed {
    /// Pending steps, oldest first.
    pub steps: Vec<StepNeed>,
    /// When the next step is expected.
    pub next_start: NextStart,
    /// Oldest version that the next step may use.
    pub next_min_version: u64,
    /// Expected events of every [`ITEMS_PER_ENTRY`]th item of a recent step, longest first. The
    /// next step is expected to be like it.
    pub lengths: Vec<u32>,
    /// Time from the submission of a step until its texts should be complete.
    pub target: Duration,
}

/// Mean times between two events of a text, by id of the server.
pub type Paces<'a> = dyn Fn(&str) -> Option<Duration> + 'a;

/// Like [`plan::loads_due`], but the models whose items have the least time to spare come first. A
/// model without a known need is treated as late.
pub fn loads_due(
    models: &BTreeMap<String, ModelState>,
    needs: &BTreeMap<String, ModelNeed>,
    engines: &[EngineState],
    paces: &Paces<'_>,
) -> Vec<Load> {
    let mut hosts = plan::assign(models, engines);
    let speeds = Speeds::new(engines, paces);
    let mut queues: Vec<Queue> = models
        .iter()
        .map(|(model, state)| {
            let hosts = hosts.remove(model.as_str()).unwrap_or_default();
            Queue::new(model, state, needs.get(model), &hosts, &speeds)
        })
        .collect();
    let transferring = engines.iter().filter(|engine| engine.is_transferring).count();
    let free = max_concurrent_loads(engines.len()).saturating_sub(transferring);
    let mut due = Vec::new();
    while due.len() < free {
        let next = (0..queues.len())
            .filter_map(|index| Some((queues[index].priority()?, index)))
            .min_by_key(|(priority, _)| *priority);
        let Some((priority, index)) = next else {
            break;
        };
        let Some(candidate) = queues[index].pop() else {
            break;
        };
        if !is_reserved(&queues, &candidate, priority.slack) {
            queues[index].chosen(&candidate);
            due.push(candidate.load);
        }
    }
    due
}

/// Whether a load with `slack` would pause a server that a waiting item can use which would be late
/// after the pause.
fn is_reserved(queues: &[Queue], candidate: &Candidate, slack: Slack) -> bool {
    let is_critical = |queue: &Queue| {
        let loaded = candidate.engine.server.models.get(queue.model);
        loaded.is_some_and(|loaded| queue.waiting_slack(*loaded) == Some(0))
    };
    slack > 0 && queues.iter().any(is_critical)
}

/// Time to spare, as a multiple of [`SLACK_RESOLUTION`].
type Slack = u128;

fn to_slack(time: Duration) -> Slack {
    time.as_millis() / SLACK_RESOLUTION.as_millis()
}

/// Sort key of a load, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    waits_for_idle: bool,
    slack: Slack,
    urgency: Urgency,
    ready_share: usize,
}

/// Resolution of [`Priority::ready_share`].
const READY_SHARE_SCALE: usize = 1000;

/// A load that is due.
struct Candidate<'a> {
    load: Load,
    engine: &'a EngineState,
    pace: Duration,
}

/// The due loads of one model, and what its steps need.
struct Queue<'a> {
    model: &'a str,
    state: &'a ModelState,
    need: Option<&'a ModelNeed>,
    /// The next load last.
    due: Vec<Candidate<'a>>,
    /// Slots that the loads in progress and the chosen ones add for waiting items.
    incoming_slots: usize,
    /// Slots of servers that pending steps can use now.
    ready_slots: usize,
    /// Slots of servers that the next step can use, or will after their current load.
    next_slots: usize,
    /// Number of servers that can run a step of the newest version, or will after their load.
    ready: usize,
    /// Number of servers assigned to the model.
    hosts: usize,
    fastest: Duration,
}

impl<'a> Queue<'a> {
    fn new(
        model: &'a str,
        state: &'a ModelState,
        need: Option<&'a ModelNeed>,
        hosts: &[&'a EngineState],
        speeds: &Speeds,
    ) -> Self {
        let min_version = need.map_or(0, ModelNeed::min_version);
        let mut queue = Self {
            model,
            state,
            need,
            due: candidates(model, state, hosts, speeds),
            incoming_slots: 0,
            ready_slots: 0,
            next_slots: 0,
            ready: 0,
            hosts: hosts.len(),
            fastest: speeds.fastest,
        };
        for engine in hosts {
            let slots = engine.server.slots as usize;
            let loaded = engine.loaded(model);
            let expected = loaded.max(engine.loading(model).unwrap_or(0));
            let is_usable = loaded >= min_version && !engine.is_loading;
            queue.ready_slots += if is_usable { slots } else { 0 };
            let is_incoming = loaded < min_version && expected >= min_version;
            queue.incoming_slots += if is_incoming { slots } else { 0 };
            let is_usable_next = expected >= need.map_or(0, |need| need.next_min_version);
            queue.next_slots += if is_usable_next { slots } else { 0 };
            queue.ready += usize::from(expected + 1 >= state.version);
        }
        queue
    }

    fn priority(&self) -> Option<Priority> {
        let next = self.due.last()?;
        Some(Priority {
            waits_for_idle: next.load.urgency == Urgency::WhenIdle,
            slack: self.slack(next),
            urgency: next.load.urgency,
            ready_share: self.ready * READY_SHARE_SCALE / self.hosts.max(1),
        })
    }

    fn pop(&mut self) -> Option<Candidate<'a>> {
        self.due.pop()
    }

    fn chosen(&mut self, candidate: &Candidate) {
        let slots = candidate.engine.server.slots as usize;
        let min_version = self.need.map_or(0, ModelNeed::min_version);
        let loaded = candidate.engine.loaded(self.model);
        self.incoming_slots += if loaded < min_version { slots } else { 0 };
        let next_min_version = self.need.map_or(0, |need| need.next_min_version);
        self.next_slots += if loaded < next_min_version { slots } else { 0 };
        self.ready += 1;
    }

    /// Time until the items that a load helps have to start.
    fn slack(&self, candidate: &Candidate) -> Slack {
        let Some(need) = self.need.filter(|_| self.state.published_for < MAX_DEFERRAL) else {
            return 0;
        };
        let loaded = candidate.engine.loaded(self.model);
        let skipped = self.incoming_slots / ITEMS_PER_ENTRY;
        let waiting = self.waiting(need, |step| step.min_version > loaded);
        let slack = match waiting.get(skipped) {
            Some((due_in, remaining)) => due_in.saturating_sub(candidate.pace * *remaining),
            None if loaded < need.next_min_version => self.slack_of_next(need, candidate.pace),
            None => self.next_start(need) + need.target,
        };
        to_slack(slack.saturating_sub(LOAD_TIME))
    }

    /// Time to spare of the longest item that waits although a server with version `loaded` can run
    /// it; `None` if there is none.
    fn waiting_slack(&self, loaded: u64) -> Option<Slack> {
        let waiting = self.waiting(self.need?, |step| step.min_version <= loaded);
        let skipped = self.incoming_slots / ITEMS_PER_ENTRY;
        let (due_in, remaining) = waiting.get(skipped)?;
        Some(to_slack(due_in.saturating_sub(self.fastest * *remaining + LOAD_TIME)))
    }

    /// Waiting items of the selected steps, the most urgent first: the time until they are due, and
    /// their expected remaining events.
    fn waiting(
        &self,
        need: &ModelNeed,
        is_selected: impl Fn(&StepNeed) -> bool,
    ) -> Vec<(Duration, u32)> {
        let steps = need.steps.iter().filter(|step| is_selected(step));
        let entries = steps.flat_map(|step| {
            let unplaced = || need.lengths.iter().skip(self.ready_slots / ITEMS_PER_ENTRY);
            let waiting: Vec<u32> = match &step.waiting {
                Some(waiting) => waiting.clone(),
                None => unplaced().copied().collect(),
            };
            waiting.into_iter().map(|remaining| (step.due_in, remaining))
        });
        let mut entries: Vec<(Duration, u32)> = entries.collect();
        entries.sort_by_key(|(due_in, remaining)| {
            (due_in.saturating_sub(self.fastest * *remaining), Reverse(*remaining))
        });
        entries
    }

    /// Time until the items of the next step that have no slot yet have to start.
    fn slack_of_next(&self, need: &ModelNeed, pace: Duration) -> Duration {
        let length = need.lengths.get(self.next_slots / ITEMS_PER_ENTRY).copied().unwrap_or(0);
        self.next_start(need) + need.target.saturating_sub(pace * length)
    }

    fn next_start(&self, need: &ModelNeed) -> Duration {
        match need.next_start {
            NextStart::In(time) => time,
            NextStart::After(index) => {
                need.steps.get(index).map_or(Duration::ZERO, |step| self.ends_in(step))
            }
        }
    }

    /// Time until a pending step ends.
    fn ends_in(&self, step: &StepNeed) -> Duration {
        let Some(unfinished) = step.unfinished else {
            return step.due_in;
        };
        let awaited = unfinished as f64 - step.items as f64 * (1.0 - AWAITED_SHARE);
        if awaited > 0.0 {
            self.fastest * step.longest
        } else {
            Duration::ZERO
        }
    }
}

impl ModelNeed {
    /// Oldest version that every pending step may use.
    fn min_version(&self) -> u64 {
        self.steps.iter().map(|step| step.min_version).max().unwrap_or(0)
    }
}

/// The due loads of a model, the next one last. Of equally urgent ones those that make a fast
/// server usable come first.
fn candidates<'a>(
    model: &str,
    state: &ModelState,
    hosts: &[&'a EngineState],
    speeds: &Speeds,
) -> Vec<Candidate<'a>> {
    let candidate = |load: Load| {
        let engine = hosts.iter().find(|engine| engine.id() == load.server)?;
        Some(Candidate { pace: speeds.pace(engine), engine, load })
    };
    let due = due_for_model(model, state, hosts);
    let mut candidates: Vec<Candidate> = due.into_iter().filter_map(candidate).collect();
    candidates.sort_by_key(|candidate| {
        let is_usable = candidate.engine.loaded(model) + 1 >= state.version;
        (candidate.load.urgency, is_usable, speeds.is_slow(candidate.pace))
    });
    candidates.reverse();
    candidates
}

/// Paces of the servers. A server whose pace is unknown counts as slow.
struct Speeds<'a> {
    paces: &'a Paces<'a>,
    /// Pace between the classes of fast and slow servers, if there are two.
    threshold: Option<Duration>,
    fastest: Duration,
    slowest: Duration,
}

impl<'a> Speeds<'a> {
    fn new(engines: &[EngineState], paces: &'a Paces<'a>) -> Self {
        let known = || engines.iter().filter_map(|engine| paces(engine.id()));
        let range = PaceRange::new(known().map(|pace| pace.as_secs_f64()));
        let between = |range: PaceRange| (range.fastest * range.slowest).sqrt();
        Self {
            paces,
            threshold: range.map(|range| Duration::from_secs_f64(between(range))),
            fastest: known().min().unwrap_or_default(),
            slowest: known().max().unwrap_or_default(),
        }
    }

    fn pace(&self, engine: &EngineState) -> Duration {
        (self.paces)(engine.id()).unwrap_or(self.slowest)
    }

    fn is_slow(&self, pace: Duration) -> bool {
        self.threshold.is_some_and(|threshold| pace > threshold)
    }
}
