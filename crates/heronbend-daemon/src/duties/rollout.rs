//! Drives steps: draws their samples, has them scored, and hands sealed batches over.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::record::{step_key, RecordChange, RecordResponse};
use heronbend::rollout::api::{Batch, StepAccepted, StepRequest};
use heronbend::rollout::step_record::OpenStep;
use heronbend::rollout::{
    Composition, DrawId, DrawOrder, Effect, Sample, SealedBatch, SlotIndex, StepChange,
    StepCoordinator, StepPlan, StepRefusal, StepResponse,
};
use heronbend::settings::Policy;
use heronbend_http::http_types::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol::channel::{bounded, Sender};
use smol::lock::Mutex;
use smol::{Task, Timer};
use thiserror::Error;

use super::register::{change_register, RegisterError};
use super::Executor;
use crate::dispatch::{ApplicationRequest, Dispatcher};
use crate::generation::{generate, GenerationRequest, NoSink};
use crate::shared::{epoch_seconds, Shared, StepStatus};

const PUMP_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the steps are shown in the daemon's status.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_PUMP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a fetch waits for its batch.
const FETCH_WAIT: Duration = Duration::from_secs(5);
const FETCH_POLL: Duration = Duration::from_millis(2);
/// Copies of one sample at once, 1 for no hedging, and the share of unfilled slots at which copying
/// would begin. The rollout experiment speaks against hedging: see docs/DESIGN.md.
const MAX_COPIES: u32 = 1;
const HEDGE_BELOW_MILLI: u32 = 50;
/// A step without a fetch for this long is given up by this daemon; another may take it over.
const ABANDON_AFTER: Duration = Duration::from_secs(600);
/// Weight of idle time from which steps are drawn ahead of their turn.
const IDLE_WEIGHT_TO_DRAW_AHEAD: f64 = 0.5;
const MAX_SLOTS: u32 = 65_536;

/// Names a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// The trainer.
    pub trainer: String,
    /// Number of the step.
    pub step: u64,
}

/// Why a call was refused.
#[derive(Debug, Clone, Error)]
pub enum RolloutError {
    /// The trainer is not in the settings.
    #[error("unknown trainer")]
    UnknownTrainer,
    /// The step has no prompts, no samples or too many slots.
    #[error("a step has from 1 to {MAX_SLOTS} slots")]
    BadStep,
    /// This daemon does not coordinate the step: post it here, or ask its coordinator.
    #[error("this daemon does not coordinate the step; post the step to go on here")]
    NotCoordinator,
    /// The step's record refuses.
    #[error(transparent)]
    Refused(#[from] StepRefusal),
    /// The batch has been acknowledged.
    #[error("the batch was acknowledged before")]
    Acknowledged,
    /// The register could not be changed, or is not known to be; the call may be repeated.
    #[error(transparent)]
    Register(#[from] RegisterError),
    /// The daemon is stopping.
    #[error("the daemon is stopping")]
    Draining,
}

type Reply<T> = Sender<Result<T, RolloutError>>;

/// An input of the rollout duty.
#[derive(Debug)]
pub enum RolloutCall {
    /// Post a step.
    Post {
        /// The step.
        name: StepName,
        /// What is wanted.
        request: StepRequest,
        /// Where the result goes.
        reply: Reply<StepAccepted>,
    },
    /// Fetch a batch; no batch within the waiting time is `None`.
    Fetch {
        /// The step.
        name: StepName,
        /// Number of the batch.
        number: u32,
        /// Oldest weight version that is acceptable.
        floor: u64,
        /// Where the result goes.
        reply: Reply<Option<Batch>>,
    },
    /// Acknowledge the last batch.
    Complete {
        /// The step.
        name: StepName,
        /// Number of the last batch.
        number: u32,
        /// Where the result goes.
        reply: Reply<()>,
    },
}

/// Sends a call to the rollout duty and waits for its result. For any thread.
pub async fn call_rollout<T>(
    shared: &Shared,
    make: impl FnOnce(Reply<T>) -> RolloutCall,
) -> Result<T, RolloutError> {
    let (reply, result) = bounded(1);
    if shared.rollout.sender.try_send(make(reply)).is_err() {
        return Err(RolloutError::Register(RegisterError::NotDone));
    }
    let lost = Err(RolloutError::Register(RegisterError::Unknown));
    result.recv().await.unwrap_or(lost)
}

/// A step that this daemon coordinates.
struct Step {
    name: StepName,
    request: StepRequest,
    plan: StepPlan,
    policy: StepPolicy,
    state: RefCell<StepState>,
    /// Held by the one fetch that may seal.
    sealing: Mutex<()>,
}

impl Step {
    fn status(&self) -> StepStatus {
        let state = self.state.borrow();
        StepStatus {
            trainer: self.name.trainer.clone(),
            step: self.name.step,
            floor: state.floor,
            slots: state.record.slots,
            delivered: state.record.delivered.len(),
            ready: state.coordinator.ready(),
            drawing: state.coordinator.drawing(),
        }
    }
}

#[derive(Clone)]
struct StepPolicy {
    model: String,
    pool: String,
    scorer: String,
    batch_size: usize,
    staleness_bound: u64,
    /// Whether a step that is posted ahead is drawn before its turn: only for a trainer that weighs
    /// idle time more than staleness.
    draws_ahead: bool,
}

struct StepState {
    record: OpenStep,
    coordinator: StepCoordinator,
    draws: BTreeMap<DrawId, Task<()>>,
    floor: u64,
    last_fetch: Instant,
}

#[derive(Clone)]
struct RolloutDuty {
    shared: Arc<Shared>,
    executor: Executor,
    dispatcher: Dispatcher,
    steps: Rc<RefCell<BTreeMap<StepName, Rc<Step>>>>,
}

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let duty = RolloutDuty {
        dispatcher: Dispatcher::new(shared.clone()),
        shared: shared.clone(),
        executor: executor.clone(),
        steps: Rc::default(),
    };
    executor.spawn(duty.clone().keep_pumping()).detach();
    while let Ok(call) = shared.rollout.receiver.recv().await {
        let duty = duty.clone();
        executor.spawn(async move { duty.serve(call).await }).detach();
    }
}

impl RolloutDuty {
    async fn serve(self, call: RolloutCall) {
        match call {
            RolloutCall::Post { name, request, reply } => {
                drop(reply.try_send(self.post(name, request).await));
            }
            RolloutCall::Fetch { name, number, floor, reply } => {
                drop(reply.try_send(self.fetch(&name, number, floor).await));
            }
            RolloutCall::Complete { name, number, reply } => {
                drop(reply.try_send(self.complete(&name, number).await));
            }
        }
    }

    async fn post(
        &self,
        name: StepName,
        request: StepRequest,
    ) -> Result<StepAccepted, RolloutError> {
        if self.shared.is_draining() {
            return Err(RolloutError::Draining);
        }
        let settings = self.shared.settings.load_full();
        let policy = settings.as_ref().map(|known| &known.policy);
        let policy = policy.and_then(|policy| StepPolicy::find(policy, &name.trainer));
        let policy = policy.ok_or(RolloutError::UnknownTrainer)?;
        let plan = plan_of(&request).ok_or(RolloutError::BadStep)?;
        let change = StepChange::Begin {
            coordinator: self.shared.identity.node.clone(),
            slots: plan.slots(),
        };
        let record = match self.change(&name, change).await? {
            StepResponse::Begun(record) => record,
            StepResponse::Refused(refusal) => return Err(refusal.into()),
            _ => return Err(RolloutError::Register(RegisterError::Unknown)),
        };
        let accepted = StepAccepted {
            slots: record.slots,
            delivered: record.delivered.len(),
            next_batch: record.next_batch,
        };
        self.adopt(name, request, plan, policy, record);
        Ok(accepted)
    }

    /// Begins to draw a step, unless it is being drawn in the same term already.
    fn adopt(
        &self,
        name: StepName,
        request: StepRequest,
        plan: StepPlan,
        policy: StepPolicy,
        record: OpenStep,
    ) {
        let mut steps = self.steps.borrow_mut();
        let known_term = steps.get(&name).map(|step| step.state.borrow().record.term);
        if known_term == Some(record.term) {
            return;
        }
        log::info!(
            "event=step_begun trainer={} step={} slots={} term={}",
            name.trainer,
            name.step,
            record.slots,
            record.term
        );
        let floor = request.version.saturating_sub(policy.staleness_bound);
        let coordinator = StepCoordinator::new(plan, record.delivered.clone());
        let state = StepState {
            record,
            coordinator,
            draws: BTreeMap::new(),
            floor,
            last_fetch: Instant::now(),
        };
        let step = Step {
            name: name.clone(),
            request,
            plan,
            policy,
            state: RefCell::new(state),
            sealing: Mutex::new(()),
        };
        steps.insert(name, Rc::new(step));
    }

    async fn fetch(
        &self,
        name: &StepName,
        number: u32,
        floor: u64,
    ) -> Result<Option<Batch>, RolloutError> {
        let step = self.steps.borrow().get(name).cloned();
        let step = step.ok_or(RolloutError::NotCoordinator)?;
        {
            let mut state = step.state.borrow_mut();
            state.floor = state.floor.max(floor);
            state.last_fetch = Instant::now();
        }
        let deadline = Instant::now() + FETCH_WAIT;
        let _sealing = step.sealing.lock().await;
        loop {
            match self.try_fetch(&step, number, floor).await? {
                Some(batch) => return Ok(Some(batch)),
                None if self.shared.is_draining() => return Err(RolloutError::Draining),
                None if Instant::now() >= deadline => return Ok(None),
                None => drop(Timer::after(FETCH_POLL).await),
            }
        }
    }

    async fn try_fetch(
        &self,
        step: &Rc<Step>,
        number: u32,
        floor: u64,
    ) -> Result<Option<Batch>, RolloutError> {
        let (open, next, term) = {
            let state = step.state.borrow();
            (state.record.open.clone(), state.record.next_batch, state.record.term)
        };
        if let Some(open) = open.filter(|open| open.number == number) {
            return self.show_open(step, open, term, floor).await.map(Some);
        }
        if number < next {
            return Err(RolloutError::Acknowledged);
        }
        if number > next {
            return Err(StepRefusal::OutOfOrder { next }.into());
        }
        let composition = {
            let mut state = step.state.borrow_mut();
            state.coordinator.compose(floor, step.policy.batch_size)
        };
        let samples = match composition {
            Composition::Ready(samples) => samples,
            Composition::NotYet => return Ok(None),
            Composition::Exhausted => return Err(RolloutError::Acknowledged),
        };
        let batch = SealedBatch { number, samples };
        let sealed = self.seal(step, StepChange::Seal { term, batch }).await?;
        self.shared.metrics.samples_sealed.inc_by(sealed.samples.len() as u64);
        let effects = {
            let mut state = step.state.borrow_mut();
            for sample in &sealed.samples {
                state.record.delivered.insert(sample.slot);
            }
            state.record.next_batch = number + 1;
            state.record.open = Some(sealed.clone());
            state.coordinator.on_sealed(&sealed.samples)
        };
        self.apply(step, effects);
        // Another daemon may have sealed this batch before, with a lower floor.
        self.show_open(step, sealed, term, floor).await.map(Some)
    }

    /// Shows the open batch, less the samples that are older than the floor.
    async fn show_open(
        &self,
        step: &Rc<Step>,
        mut open: SealedBatch,
        term: u64,
        floor: u64,
    ) -> Result<Batch, RolloutError> {
        let number = open.number;
        let is_stale = |sample: &Sample| !sample.is_within(floor);
        if open.samples.iter().any(is_stale) {
            let change = StepChange::Withhold { term, number, floor };
            let kept = self.seal(step, change).await?;
            let withheld = open.samples.iter().filter(|sample| is_stale(sample));
            let withheld: Vec<SlotIndex> = withheld.map(|sample| sample.slot).collect();
            let mut state = step.state.borrow_mut();
            for slot in &withheld {
                state.record.delivered.remove(*slot);
            }
            state.record.open = Some(kept.clone());
            state.coordinator.on_withheld(withheld.into_iter());
            open = kept;
        }
        Ok(Batch {
            number,
            samples: open.samples,
            last: step.state.borrow().coordinator.is_exhausted(),
        })
    }

    async fn seal(&self, step: &Step, change: StepChange) -> Result<SealedBatch, RolloutError> {
        match self.change(&step.name, change).await? {
            StepResponse::Sealed(batch) => Ok(batch),
            StepResponse::Refused(refusal) => {
                if matches!(refusal, StepRefusal::Fenced { .. } | StepRefusal::Complete) {
                    self.abandon(&step.name, "fenced");
                }
                Err(refusal.into())
            }
            _ => Err(RolloutError::Register(RegisterError::Unknown)),
        }
    }

    async fn complete(&self, name: &StepName, number: u32) -> Result<(), RolloutError> {
        let settings = self.shared.settings.load_full();
        let retention = settings.map_or(Duration::ZERO, |known| known.policy.claim_retention);
        let expires = epoch_seconds() + retention.as_secs();
        match self.change(name, StepChange::Complete { number, expires }).await? {
            StepResponse::Completed => {
                self.abandon(name, "complete");
                Ok(())
            }
            StepResponse::Refused(refusal) => Err(refusal.into()),
            _ => Err(RolloutError::Register(RegisterError::Unknown)),
        }
    }

    async fn change(
        &self,
        name: &StepName,
        change: StepChange,
    ) -> Result<StepResponse, RolloutError> {
        let key = step_key(&name.trainer, name.step);
        match change_register(&self.shared, key, RecordChange::Step(change)).await? {
            RecordResponse::Step(response) => Ok(response),
            _ => Err(RolloutError::Register(RegisterError::NotDone)),
        }
    }

    /// Stops drawing a step; its draws are cancelled.
    fn abandon(&self, name: &StepName, reason: &str) {
        let mut steps = self.steps.borrow_mut();
        if let Some(step) = steps.remove(name) {
            let mut state = step.state.borrow_mut();
            state.draws.clear();
            let wasted = state.coordinator.wasted_tokens();
            log::info!(
                "event=step_ended trainer={} step={} reason={reason} wasted_tokens={wasted}",
                name.trainer,
                name.step
            );
        }
    }

    async fn keep_pumping(self) {
        let mut last_published = Instant::now();
        loop {
            let is_idle = self.steps.borrow().is_empty();
            Timer::after(if is_idle { IDLE_PUMP_INTERVAL } else { PUMP_INTERVAL }).await;
            let steps: Vec<Rc<Step>> = self.steps.borrow().values().cloned().collect();
            if last_published.elapsed() >= PUBLISH_INTERVAL {
                last_published = Instant::now();
                let status = steps.iter().map(|step| step.status()).collect();
                self.shared.steps.store(Arc::new(status));
            }
            for step in steps {
                if step.state.borrow().last_fetch.elapsed() > ABANDON_AFTER {
                    self.abandon(&step.name, "not fetched");
                } else if !self.shared.is_draining() && self.is_its_turn(&step) {
                    self.pump(&step);
                }
            }
        }
    }

    /// Whether a step may be drawn now: it is its trainer's oldest, or the trainer draws ahead.
    fn is_its_turn(&self, step: &Step) -> bool {
        if step.policy.draws_ahead {
            return true;
        }
        let steps = self.steps.borrow();
        let oldest = steps.keys().find(|name| name.trainer == step.name.trainer);
        oldest == Some(&step.name)
    }

    /// Starts as many draws as the engines have places for.
    fn pump(&self, step: &Rc<Step>) {
        let Some(settings) = self.shared.settings.load_full() else {
            return;
        };
        let Some(pool) = settings.policy.pools.get(&step.policy.pool) else {
            return;
        };
        let floor = step.state.borrow().floor;
        let places = self.dispatcher.free_places(pool, Some(floor));
        if places == 0 {
            return;
        }
        let effects = step.state.borrow_mut().coordinator.schedule(self.shared.now(), places);
        self.apply(step, effects);
    }

    fn apply(&self, step: &Rc<Step>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Draw { draw, slot } => {
                    let (duty, drawn_step) = (self.clone(), step.clone());
                    let task = self.executor.spawn(async move {
                        duty.draw(&drawn_step, draw, slot).await;
                    });
                    step.state.borrow_mut().draws.insert(draw, task);
                }
                // Dropping the task closes the engine's stream, which cancels it there.
                Effect::Cancel { draw } => drop(step.state.borrow_mut().draws.remove(&draw)),
            }
        }
    }

    async fn draw(&self, step: &Rc<Step>, draw: DrawId, slot: SlotIndex) {
        let drawn = self.draw_and_score(step, slot).await;
        let effects = {
            let mut state = step.state.borrow_mut();
            // Detached rather than dropped: this very task is about to end by itself.
            if let Some(task) = state.draws.remove(&draw) {
                task.detach();
            }
            match drawn {
                Some(sample) => {
                    self.shared.metrics.samples_drawn.inc();
                    state.coordinator.on_drawn(draw, sample)
                }
                None => {
                    self.shared.metrics.draws_failed.inc();
                    state.coordinator.on_failed(self.shared.now(), draw);
                    Vec::new()
                }
            }
        };
        self.apply(step, effects);
        self.pump(step);
    }

    async fn draw_and_score(&self, step: &Step, slot: SlotIndex) -> Option<Sample> {
        let settings = self.shared.settings.load_full()?;
        let pool = settings.policy.pools.get(&step.policy.pool)?;
        let scorer = settings.policy.pools.get(&step.policy.scorer)?;
        let prompt = step.request.prompts.get(step.plan.prompt_of(slot) as usize)?;
        let floor = step.state.borrow().floor;
        let seed = sample_seed(&step.name, slot);
        let caller_request = format!("{}:step-{}-{}", step.name.trainer, step.name.step, slot.0);
        let request = GenerationRequest {
            model: step.policy.model.clone(),
            prompt: prompt.clone(),
            max_tokens: step.request.max_tokens,
            seed,
            priority: 1,
            min_version: Some(floor),
            caller_request: caller_request.clone(),
        };
        let generated = generate(&self.dispatcher, pool, &request, &mut NoSink).await.ok()?;
        let body = serde_json::to_vec(&ScoreRequest { text: &generated.text }).ok()?;
        let scoring = ApplicationRequest {
            method: Method::Post,
            target: "/score".to_owned(),
            headers: Vec::new(),
            body,
            caller_request,
            repeatable: true,
        };
        let answer = self.dispatcher.send_to_application(scorer, &scoring).await.ok()?;
        if answer.status != StatusCode::Ok {
            return None;
        }
        let score: Score = serde_json::from_slice(&answer.body).ok()?;
        Some(Sample {
            slot,
            seed,
            text: generated.text,
            segments: generated.segments,
            finish_reason: generated.finish_reason,
            reward_milli: score.reward_milli,
        })
    }
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    text: &'a str,
}

#[derive(Deserialize)]
struct Score {
    reward_milli: i64,
}

impl StepPolicy {
    fn find(policy: &Policy, trainer: &str) -> Option<Self> {
        let trainer = policy.trainers.get(trainer)?;
        let model = policy.models.get(&trainer.model)?;
        Some(Self {
            model: model.name.clone(),
            pool: model.pool.clone(),
            scorer: trainer.scorer.clone(),
            batch_size: trainer.batch_size,
            staleness_bound: trainer.staleness_bound,
            draws_ahead: trainer.idle_weight >= IDLE_WEIGHT_TO_DRAW_AHEAD,
        })
    }
}

fn plan_of(request: &StepRequest) -> Option<StepPlan> {
    let prompts = u32::try_from(request.prompts.len()).ok()?;
    let slots = prompts.checked_mul(request.samples_per_prompt)?;
    (1..=MAX_SLOTS).contains(&slots).then_some(StepPlan {
        prompts,
        samples_per_prompt: request.samples_per_prompt,
        order: DrawOrder::LongestExpectedFirst,
        max_copies: MAX_COPIES,
        hedge_below_milli: HEDGE_BELOW_MILLI,
    })
}

/// The seed of a slot; the same for every attempt to draw it.
fn sample_seed(name: &StepName, slot: SlotIndex) -> u64 {
    let text = format!("{}/{}/{}", name.trainer, name.step, slot.0);
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}
