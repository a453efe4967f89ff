//! State and policy of a coordinated step.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

use heronbend::rollout::api::StepRequest;
use heronbend::rollout::step_record::OpenStep;
use heronbend::rollout::{AttemptId, SamplingOrder, StepCoordinator, StepPlan};
use heronbend::settings::Policy;
use smol::lock::Mutex;
use smol::Task;

use super::messages::{StepName, MAX_SLOTS};
use crate::shared::StepStatus;

/// Maximum concurrent attempts per sample; 1 disables hedging. The rollout experiment speaks
/// against hedging; see docs/DESIGN.md.
const MAX_COPIES: u32 = 1;
/// Share of unfilled slots below which hedging starts, in thousandths.
const HEDGE_BELOW_MILLI: u32 = 50;
/// Minimum `idle_weight` of trainers whose steps are sampled ahead of their turn.
const MIN_IDLE_WEIGHT_TO_SAMPLE_AHEAD: f64 = 0.5;

/// A step that this daemon coordinates.
pub(super) struct Step {
    pub(super) name: StepName,
    pub(super) request: StepRequest,
    pub(super) plan: StepPlan,
    pub(super) policy: StepPolicy,
    pub(super) state: RefCell<StepState>,
    /// Serializes fetches, so that only one seals a batch at a time.
    pub(super) seal_lock: Mutex<()>,
}

impl Step {
    pub(super) fn status(&self) -> StepStatus {
        let state = self.state.borrow();
        StepStatus {
            trainer: self.name.trainer.clone(),
            step: self.name.step,
            floor: state.floor,
            slots: state.record.slots,
            delivered: state.record.delivered.len(),
            ready: state.coordinator.ready_count(),
            drawing: state.coordinator.in_flight(),
        }
    }
}

/// Settings that apply to a step, fixed when it is posted.
#[derive(Clone)]
pub(super) struct StepPolicy {
    pub(super) model: String,
    pub(super) pool: String,
    pub(super) scorer: String,
    pub(super) batch_size: usize,
    pub(super) staleness_bound: u64,
    /// Whether a step is sampled before the trainer's earlier steps are complete.
    pub(super) samples_ahead: bool,
}

/// Mutable state of a step.
pub(super) struct StepState {
    pub(super) record: OpenStep,
    pub(super) coordinator: StepCoordinator,
    /// Tasks of the attempts in flight; dropping one cancels its attempt.
    pub(super) attempts: BTreeMap<AttemptId, Task<()>>,
    /// Oldest weight version allowed for new samples.
    pub(super) floor: u64,
    pub(super) last_fetch: Instant,
}

impl StepPolicy {
    /// Looks up the policy of a trainer's steps.
    pub(super) fn find(policy: &Policy, trainer: &str) -> Option<Self> {
        let trainer = policy.trainers.get(trainer)?;
        let model = policy.models.get(&trainer.model)?;
        Some(Self {
            model: model.name.clone(),
            pool: model.pool.clone(),
            scorer: trainer.scorer.clone(),
            batch_size: trainer.batch_size,
            staleness_bound: trainer.staleness_bound,
            samples_ahead: trainer.idle_weight >= MIN_IDLE_WEIGHT_TO_SAMPLE_AHEAD,
        })
    }
}

/// Creates the sampling plan of a step; returns `None` if it has no slots or more than
/// [`MAX_SLOTS`].
pub(super) fn plan_for(request: &StepRequest) -> Option<StepPlan> {
    let prompts = u32::try_from(request.prompts.len()).ok()?;
    let slots = prompts.checked_mul(request.samples_per_prompt)?;
    (1..=MAX_SLOTS).contains(&slots).then_some(StepPlan {
        prompts,
        samples_per_prompt: request.samples_per_prompt,
        order: SamplingOrder::LongestExpectedFirst,
        max_copies: MAX_COPIES,
        hedge_below_milli: HEDGE_BELOW_MILLI,
    })
}
