//! Calls to the rollout task and their errors.

use heronbend::rollout::api::{Batch, StepAccepted, StepRequest};
use heronbend::rollout::StepRefusal;
use smol::channel::{bounded, Sender};
use thiserror::Error;

use super::super::register::RegisterError;
use crate::shared::Shared;

/// Maximum number of slots of a step.
pub(super) const MAX_SLOTS: u32 = 65_536;

/// Identifies a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
}

/// Errors of a rollout call.
#[derive(Debug, Clone, Error)]
pub enum RolloutError {
    /// The settings have no such trainer.
    #[error("unknown trainer")]
    UnknownTrainer,
    /// The step has no prompts, no samples or too many slots.
    #[error("a step has from 1 to {MAX_SLOTS} slots")]
    BadStep,
    /// This daemon does not coordinate the step; posting the step makes it the coordinator.
    #[error("this daemon does not coordinate the step; post the step to go on here")]
    NotCoordinator,
    /// The step's record rejected the change.
    #[error(transparent)]
    Refused(#[from] StepRefusal),
    /// The batch was already acknowledged.
    #[error("the batch was acknowledged before")]
    Acknowledged,
    /// The step's register could not be changed or the outcome is unknown; the call may be retried.
    #[error(transparent)]
    Register(#[from] RegisterError),
    /// The daemon is draining.
    #[error("the daemon is stopping")]
    Draining,
}

/// Channel for the result of a call.
pub(super) type Reply<T> = Sender<Result<T, RolloutError>>;

/// Inputs of the rollout task.
#[derive(Debug)]
pub enum RolloutCall {
    /// Post a step.
    Post {
        /// Step.
        name: StepName,
        /// Prompts and parameters.
        request: StepRequest,
        /// Receives the result.
        reply: Reply<StepAccepted>,
    },
    /// Fetch a batch; the result is `None` if none is ready within the long-poll timeout.
    Fetch {
        /// Step.
        name: StepName,
        /// Batch number.
        number: u32,
        /// Oldest acceptable weight version.
        floor: u64,
        /// Receives the result.
        reply: Reply<Option<Batch>>,
    },
    /// Acknowledge the last batch.
    Complete {
        /// Step.
        name: StepName,
        /// Number of the last batch, which is acknowledged.
        number: u32,
        /// Receives the result.
        reply: Reply<()>,
    },
}

/// Sends a call to the rollout task and waits for its result. Can be called from any thread.
pub async fn call_rollout<T>(
    shared: &Shared,
    make: impl FnOnce(Reply<T>) -> RolloutCall,
) -> Result<T, RolloutError> {
    let (reply, result) = bounded(1);
    if shared.rollout.sender.try_send(make(reply)).is_err() {
        return Err(RolloutError::Register(RegisterError::NotApplied));
    }
    let lost = Err(RolloutError::Register(RegisterError::Unknown));
    result.recv().await.unwrap_or(lost)
}
