//! What the daemon keeps in registers: claims, steps and fences behind one type.
//!
//! The key's prefix says which: a register never changes its kind.

use musli::{Decode, Encode};

use crate::register::{Applied, Key, RegisterValue};
use crate::request::{Claim, ClaimChange, ClaimResponse};
use crate::rollout::{StepChange, StepRecord, StepResponse};
use crate::weights::{Fence, FenceChange};

/// The value of a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Record {
    /// A not-repeatable request.
    Claim(Claim),
    /// A trainer's step.
    Step(StepRecord),
    /// Fencing tokens of a model's weight orders.
    Fence(Fence),
}

/// A change of a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RecordChange {
    /// See [`Record::Claim`].
    Claim(ClaimChange),
    /// See [`Record::Step`].
    Step(StepChange),
    /// See [`Record::Fence`].
    Fence(FenceChange),
}

/// What the author of a change learns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordResponse {
    /// See [`Record::Claim`].
    Claim(ClaimResponse),
    /// See [`Record::Step`].
    Step(StepResponse),
    /// See [`Record::Fence`].
    Fence(Fence),
    /// The register is of another kind; nothing was changed.
    WrongKind,
}

impl RegisterValue for Record {
    type Change = RecordChange;
    type Response = RecordResponse;

    fn apply(current: Option<&Self>, change: &RecordChange) -> Applied<Self, RecordResponse> {
        match (current, change) {
            (Some(Self::Claim(claim)), RecordChange::Claim(change)) => {
                claim_applied(Claim::apply(Some(claim), change))
            }
            (None, RecordChange::Claim(change)) => claim_applied(Claim::apply(None, change)),
            (Some(Self::Step(step)), RecordChange::Step(change)) => {
                step_applied(StepRecord::apply(Some(step), change))
            }
            (None, RecordChange::Step(change)) => step_applied(StepRecord::apply(None, change)),
            (Some(Self::Fence(fence)), RecordChange::Fence(change)) => {
                fence_applied(Fence::apply(Some(fence), change))
            }
            (None, RecordChange::Fence(change)) => fence_applied(Fence::apply(None, change)),
            (Some(other), _) => {
                Applied { value: other.clone(), response: RecordResponse::WrongKind }
            }
        }
    }
}

impl Record {
    /// Whether the register may be collected at this time, in seconds since the Unix epoch.
    ///
    /// Only what has ended expires. Fences are kept: there is one a model.
    pub fn is_past_use(&self, now_epoch_seconds: u64) -> bool {
        match self {
            Self::Claim(Claim::Settled { expires, .. })
            | Self::Step(StepRecord::Complete { expires }) => *expires <= now_epoch_seconds,
            _ => false,
        }
    }
}

/// Register of a caller's idempotency key.
pub fn claim_key(caller: &str, idempotency_key: &str) -> Key {
    Key(format!("claim/{caller}/{idempotency_key}"))
}

/// Register of a trainer's step.
pub fn step_key(trainer: &str, step: u64) -> Key {
    Key(format!("step/{trainer}/{step}"))
}

/// Register of a model's fencing tokens.
pub fn fence_key(model: &str) -> Key {
    Key(format!("fence/{model}"))
}

fn claim_applied(applied: Applied<Claim, ClaimResponse>) -> Applied<Record, RecordResponse> {
    Applied {
        value: Record::Claim(applied.value),
        response: RecordResponse::Claim(applied.response),
    }
}

fn step_applied(applied: Applied<StepRecord, StepResponse>) -> Applied<Record, RecordResponse> {
    Applied { value: Record::Step(applied.value), response: RecordResponse::Step(applied.response) }
}

fn fence_applied(applied: Applied<Fence, Fence>) -> Applied<Record, RecordResponse> {
    Applied {
        value: Record::Fence(applied.value),
        response: RecordResponse::Fence(applied.response),
    }
}
