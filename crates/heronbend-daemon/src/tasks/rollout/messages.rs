//! What callers ask of the rollout duty, and how it refuses.

use heronbend::rollout::api::{Batch, StepAccepted, StepRequest};
use heronbend::rollout::StepRefusal;
use smol::channel::{bounded, Sender};
use thiserror::Error;

use super::super::register::RegisterError;
use crate::shared::Shared;

/// Most slots of a step.
pub(super) const MAX_SLOTS: u32 = 65_536;

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

/// Where a call's result goes.
pub(super) type Reply<T> = Sender<Result<T, RolloutError>>;

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
