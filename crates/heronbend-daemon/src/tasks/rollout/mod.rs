//! Rollout coordination: generates and scores the samples of steps and delivers sealed batches.
//!
//! - [`messages`]: calls from other threads.
//! - [`step`]: state of a coordinated step.
//! - [`sampling`]: generation and scoring of samples.

mod messages;
mod sampling;
mod step;

pub use messages::{call_rollout, RolloutCall, RolloutError, StepName};

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::record::{step_key, RecordChange, RecordResponse};
use heronbend::rollout::api::{Batch, StepAccepted, StepRequest};
use heronbend::rollout::step_record::OpenStep;
use heronbend::rollout::{
    NextBatch, Sample, SealedBatch, SlotIndex, StepChange, StepCoordinator, StepPlan, StepRefusal,
    StepResponse,
};
use smol::lock::Mutex;
use smol::Timer;

use self::step::{plan_for, Step, StepPolicy, StepState};
use super::register::{change_register, RegisterError};
use super::Executor;
use crate::dispatch::Dispatcher;
use crate::shared::{epoch_seconds, Shared};

/// Long-poll timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
const FETCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of the rollout task. Clones share it within the task's thread.
#[derive(Clone)]
struct RolloutManager {
    shared: Arc<Shared>,
    executor: Executor,
    dispatcher: Dispatcher,
    steps: Rc<RefCell<BTreeMap<StepName, Rc<Step>>>>,
}

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let manager = RolloutManager {
        dispatcher: Dispatcher::new(shared.clone(), executor.clone()),
        shared: shared.clone(),
        executor: executor.clone(),
        steps: Rc::default(),
    };
    executor.spawn(manager.clone().schedule_steps()).detach();
    while let Ok(call) = shared.rollout.receiver.recv().await {
        let manager = manager.clone();
        executor.spawn(async move { manager.handle_call(call).await }).detach();
    }
}

impl RolloutManager {
    async fn handle_call(self, call: RolloutCall) {
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

    /// Makes this daemon the step's coordinator and starts sampling.
    async fn post(
        &self,
        name: StepName,
        request: StepRequest,
    ) -> Result<StepAccepted, RolloutError> {
        if self.shared.is_draining() {
            return Err(RolloutError::Draining);
        }
        let settings = self.shared.settings.load_full();
        let policy = settings.as_ref().map(|active| &active.policy);
        let policy = policy.and_then(|policy| StepPolicy::find(policy, &name.trainer));
        let policy = policy.ok_or(RolloutError::UnknownTrainer)?;
        let plan = plan_for(&request).ok_or(RolloutError::BadStep)?;
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
        self.start_step(name, request, plan, policy, record);
        Ok(accepted)
    }

    /// Starts sampling a step unless it is already active in the same term.
    fn start_step(
        &self,
        name: StepName,
        request: StepRequest,
        plan: StepPlan,
        policy: StepPolicy,
        record: OpenStep,
    ) {
        let mut steps = self.steps.borrow_mut();
        let active_term = steps.get(&name).map(|step| step.state.borrow().record.term);
        if active_term == Some(record.term) {
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
            attempts: BTreeMap::new(),
            floor,
            last_fetch: Instant::now(),
        };
        let step = Step {
            name: name.clone(),
            request,
            plan,
            policy,
            state: RefCell::new(state),
            seal_lock: Mutex::new(()),
        };
        steps.insert(name, Rc::new(step));
    }

    /// Waits for a batch, up to [`FETCH_TIMEOUT`].
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
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let _seal_guard = step.seal_lock.lock().await;
        loop {
            match self.try_fetch(&step, number, floor).await? {
                Some(batch) => return Ok(Some(batch)),
                None if self.shared.is_draining() => return Err(RolloutError::Draining),
                None if Instant::now() >= deadline => return Ok(None),
                None => drop(Timer::after(FETCH_POLL_INTERVAL).await),
            }
        }
    }

    /// Returns the open batch, or seals the next one if enough samples are ready.
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
            return self.serve_open_batch(step, open, term, floor).await.map(Some);
        }
        if number < next {
            return Err(RolloutError::Acknowledged);
        }
        if number > next {
            return Err(StepRefusal::OutOfOrder { next }.into());
        }
        let next_batch = {
            let mut state = step.state.borrow_mut();
            state.coordinator.compose_batch(floor, step.policy.batch_size)
        };
        let samples = match next_batch {
            NextBatch::Ready(samples) => samples,
            NextBatch::Pending => return Ok(None),
            NextBatch::Exhausted => return Err(RolloutError::Acknowledged),
        };
        let batch = SealedBatch { number, samples };
        let sealed = self.change_batch(step, StepChange::Seal { term, batch }).await?;
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
        // The batch may have been sealed earlier by another daemon with a lower floor.
        self.serve_open_batch(step, sealed, term, floor).await.map(Some)
    }

    /// Returns the open batch, after evicting samples older than the floor.
    async fn serve_open_batch(
        &self,
        step: &Rc<Step>,
        mut open: SealedBatch,
        term: u64,
        floor: u64,
    ) -> Result<Batch, RolloutError> {
        let number = open.number;
        let is_stale = |sample: &Sample| !sample.is_fresh(floor);
        if open.samples.iter().any(is_stale) {
            let change = StepChange::Withhold { term, number, floor };
            let kept = self.change_batch(step, change).await?;
            let evicted = open.samples.iter().filter(|sample| is_stale(sample));
            let evicted: Vec<SlotIndex> = evicted.map(|sample| sample.slot).collect();
            let mut state = step.state.borrow_mut();
            for slot in &evicted {
                state.record.delivered.remove(*slot);
            }
            state.record.open = Some(kept.clone());
            state.coordinator.on_evicted(evicted.into_iter());
            open = kept;
        }
        Ok(Batch {
            number,
            samples: open.samples,
            last: step.state.borrow().coordinator.is_fully_delivered(),
        })
    }

    /// Applies a change of the open batch to the step's record; stops the step if it is fenced or
    /// complete.
    async fn change_batch(
        &self,
        step: &Step,
        change: StepChange,
    ) -> Result<SealedBatch, RolloutError> {
        match self.change(&step.name, change).await? {
            StepResponse::Sealed(batch) => Ok(batch),
            StepResponse::Refused(refusal) => {
                if matches!(refusal, StepRefusal::Fenced { .. } | StepRefusal::Complete) {
                    self.stop_step(&step.name, "fenced");
                }
                Err(refusal.into())
            }
            _ => Err(RolloutError::Register(RegisterError::Unknown)),
        }
    }

    /// Acknowledges the last batch and stops the step.
    async fn complete(&self, name: &StepName, number: u32) -> Result<(), RolloutError> {
        let settings = self.shared.settings.load_full();
        let retention = settings.map_or(Duration::ZERO, |active| active.policy.claim_retention);
        let expires = epoch_seconds() + retention.as_secs();
        match self.change(name, StepChange::Complete { number, expires }).await? {
            StepResponse::Completed => {
                self.stop_step(name, "complete");
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
            _ => Err(RolloutError::Register(RegisterError::NotApplied)),
        }
    }

    /// Stops a step and cancels its attempts.
    fn stop_step(&self, name: &StepName, reason: &str) {
        let mut steps = self.steps.borrow_mut();
        if let Some(step) = steps.remove(name) {
            let mut state = step.state.borrow_mut();
            state.attempts.clear();
            let wasted = state.coordinator.wasted_tokens();
            log::info!(
                "event=step_ended trainer={} step={} reason={reason} wasted_tokens={wasted}",
                name.trainer,
                name.step
            );
        }
    }
}
