//! The value type of the daemon's registers: a claim, a step or a fence.
//!
//! The key prefix determines the kind, which never changes during the lifetime of a register.

use musli::{Decode, Encode};

use crate::register::{Applied, Key, RegisterValue};
use crate::request::{Claim, ClaimChange, ClaimResponse};
use crate::rollout::{StepChange, StepRecord, StepResponse};
use crate::weights::{Fence, FenceChange};

/// The value of a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Record {
    /// State of a non-idempotent request.
    Claim(Claim),
    /// State of a trainer's step.
    Step(StepRecord),
    /// The fencing token for the weight commands of a model.
    Fence(Fence),
}

/// A change to a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RecordChange {
    /// See [`Record::Claim`].
    Claim(ClaimChange),
    /// See [`Record::Step`].
    Step(StepChange),
    /// See [`Record::Fence`].
    Fence(FenceChange),
}

/// The response to a [`RecordChange`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordResponse {
    /// See [`Record::Claim`].
    Claim(ClaimResponse),
    /// See [`Record::Step`].
    Step(StepResponse),
    /// See [`Record::Fence`].
    Fence(Fence),
    /// The register holds a value of another kind and was left unchanged.
    WrongKind,
}

impl RegisterValue for Record {
    type Change = RecordChange;
    type Response = RecordResponse;

    fn apply(current: Option<&Self>, change: &RecordChange) -> Applied<Self, RecordResponse> {
        match (current, change) {
            (Some(Self::Claim(claim)), RecordChange::Claim(change)) => {
                wrap_claim(Claim::apply(Some(claim), change))
            }
            (None, RecordChange::Claim(change)) => wrap_claim(Claim::apply(None, change)),
            (Some(Self::Step(step)), RecordChange::Step(change)) => {
                wrap_step(StepRecord::apply(Some(step), change))
            }
            (None, RecordChange::Step(change)) => wrap_step(StepRecord::apply(None, change)),
            (Some(Self::Fence(fence)), RecordChange::Fence(change)) => {
                wrap_fence(Fence::apply(Some(fence), change))
            }
            (None, RecordChange::Fence(change)) => wrap_fence(Fence::apply(None, change)),
            (Some(other), _) => {
                Applied { value: other.clone(), response: RecordResponse::WrongKind }
            }
        }
    }
}

impl Record {
    /// Returns whether the register may be garbage-collected at `now_epoch_seconds`, in seconds
    /// since the Unix epoch.
    ///
    /// Only settled claims and completed steps expire. Fences, one per model, are kept forever.
    pub fn is_expired(&self, now_epoch_seconds: u64) -> bool {
        match self {
            Self::Claim(Claim::Settled { expires, .. })
            | Self::Step(StepRecord::Complete { expires }) => *expires <= now_epoch_seconds,
            _ => false,
        }
    }
}

/// Returns the key of the claim register for a caller's idempotency key.
pub fn claim_key(caller: &str, idempotency_key: &str) -> Key {
    Key(format!("claim/{caller}/{idempotency_key}"))
}

/// Returns the key of the register for a trainer's step.
pub fn step_key(trainer: &str, step: u64) -> Key {
    Key(format!("step/{trainer}/{step}"))
}

/// Returns the key of the register for a model's fencing token.
pub fn fence_key(model: &str) -> Key {
    Key(format!("fence/{model}"))
}

fn wrap_claim(applied: Applied<Claim, ClaimResponse>) -> Applied<Record, RecordResponse> {
    Applied {
        value: Record::Claim(applied.value),
        response: RecordResponse::Claim(applied.response),
    }
}

fn wrap_step(applied: Applied<StepRecord, StepResponse>) -> Applied<Record, RecordResponse> {
    Applied { value: Record::Step(applied.value), response: RecordResponse::Step(applied.response) }
}

fn wrap_fence(applied: Applied<Fence, Fence>) -> Applied<Record, RecordResponse> {
    Applied {
        value: Record::Fence(applied.value),
        response: RecordResponse::Fence(applied.response),
    }
}
