//! A step that this daemon coordinates, and the settings it is drawn by.

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

/// Copies of one sample at once, 1 for no hedging, and the share of unfilled slots at which copying
/// would begin. The rollout experiment speaks against hedging: see docs/DESIGN.md.
const MAX_COPIES: u32 = 1;
const HEDGE_BELOW_MILLI: u32 = 50;
/// Weight of idle time from which steps are drawn ahead of their turn.
const IDLE_WEIGHT_TO_DRAW_AHEAD: f64 = 0.5;

/// A step that this daemon coordinates.
pub(super) struct Step {
    pub(super) name: StepName,
    pub(super) request: StepRequest,
    pub(super) plan: StepPlan,
    pub(super) policy: StepPolicy,
    pub(super) state: RefCell<StepState>,
    /// Held by the one fetch that may seal.
    pub(super) sealing: Mutex<()>,
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

#[derive(Clone)]
pub(super) struct StepPolicy {
    pub(super) model: String,
    pub(super) pool: String,
    pub(super) scorer: String,
    pub(super) batch_size: usize,
    pub(super) staleness_bound: u64,
    /// Whether a step that is posted ahead is drawn before its turn: only for a trainer that weighs
    /// idle time more than staleness.
    pub(super) draws_ahead: bool,
}

pub(super) struct StepState {
    pub(super) record: OpenStep,
    pub(super) coordinator: StepCoordinator,
    pub(super) draws: BTreeMap<AttemptId, Task<()>>,
    pub(super) floor: u64,
    pub(super) last_fetch: Instant,
}

impl StepPolicy {
    pub(super) fn find(policy: &Policy, trainer: &str) -> Option<Self> {
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

/// How a step is drawn; nothing when its size is out of bounds.
pub(super) fn plan_of(request: &StepRequest) -> Option<StepPlan> {
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
