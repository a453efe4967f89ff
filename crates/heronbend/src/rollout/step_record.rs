//! The replicated register of a step: its coordinator and the slots delivered so far.
//!
//! Batches are sealed in order, each before it is first returned, and fetching batch `n + 1`
//! acknowledges batch `n`. The record stores one bit per slot and only the one unacknowledged
//! batch, which limits its size.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::sample::Sample;
use super::slots::SlotSet;
use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

/// A batch whose contents are final except for the removal of stale samples.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct SealedBatch {
    /// Number of the batch in its step, from 0.
    pub number: u32,
    /// Samples of the batch.
    pub samples: Vec<Sample>,
}

/// A step that is not yet complete.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OpenStep {
    /// Daemon that may seal batches.
    pub coordinator: NodeId,
    /// Fencing token, incremented with each change of the coordinator.
    pub term: u64,
    /// Number of slots in the step.
    pub slots: u32,
    /// Slots in sealed batches, including the open one.
    pub delivered: SlotSet,
    /// Number of the next batch to seal.
    pub next_batch: u32,
    /// The sealed batch that is not yet acknowledged, if any.
    pub open: Option<SealedBatch>,
}

/// State of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepRecord {
    /// The step was never begun. Only returned by a change to a missing register.
    Absent,
    /// The step is in progress.
    Open(OpenStep),
    /// All slots are delivered and the last batch is acknowledged.
    Complete {
        /// Time from which the register may be garbage-collected, in seconds since the Unix epoch.
        expires: u64,
    },
}

/// A change to the record of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepChange {
    /// Begins the step or takes over its coordination.
    Begin {
        /// The new coordinator.
        coordinator: NodeId,
        /// Number of slots in the step.
        slots: u32,
    },
    /// Seals a batch and acknowledges the previous one.
    Seal {
        /// Fencing token of the coordinator.
        term: u64,
        /// The batch to seal.
        batch: SealedBatch,
    },
    /// Removes samples older than `floor` from the open batch, so that their slots are regenerated.
    Withhold {
        /// Fencing token of the coordinator.
        term: u64,
        /// Number of the open batch.
        number: u32,
        /// Oldest acceptable weight version.
        floor: u64,
    },
    /// Acknowledges the last batch and completes the step.
    Complete {
        /// Number of the last batch.
        number: u32,
        /// Time from which the register may be garbage-collected, in seconds since the Unix epoch.
        expires: u64,
    },
}

/// Reason why a change was refused. The record is left unchanged.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
    Error,
)]
pub enum StepRefusal {
    /// The step was never begun.
    #[error("the step was never begun")]
    NotBegun,
    /// The step is complete.
    #[error("the step is complete")]
    Complete,
    /// Another daemon has taken over the coordination.
    #[error("{coordinator} coordinates the step now")]
    Fenced {
        /// The current coordinator.
        coordinator: NodeId,
    },
    /// The batch number is not the next one to seal, or not that of the open batch.
    #[error("batch {next} is next")]
    OutOfOrder {
        /// Number of the next batch to seal.
        next: u32,
    },
    /// A slot of the batch is already delivered or does not exist.
    #[error("a slot of the batch was delivered before")]
    AlreadyDelivered,
    /// The step was begun with a different number of slots.
    #[error("the step was begun with {slots} slots")]
    Mismatch {
        /// Number of slots in the step.
        slots: u32,
    },
    /// The step has undelivered slots.
    #[error("slots are left to be delivered")]
    Unfinished,
}

/// The response to a [`StepChange`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepResponse {
    /// The requesting daemon is the coordinator of the step, whose state is given.
    Begun(OpenStep),
    /// The batch as sealed, which may differ from the one in the request.
    Sealed(SealedBatch),
    /// The step is complete.
    Completed,
    /// The change was refused.
    Refused(StepRefusal),
}

impl RegisterValue for StepRecord {
    type Change = StepChange;
    type Response = StepResponse;

    fn apply(current: Option<&Self>, change: &StepChange) -> Applied<Self, StepResponse> {
        let result = match (current, change) {
            (None | Some(Self::Absent), StepChange::Begin { coordinator, slots }) => {
                Ok(begin(coordinator, *slots))
            }
            (None | Some(Self::Absent), _) => Err(StepRefusal::NotBegun),
            (Some(Self::Complete { expires }), StepChange::Complete { .. }) => {
                Ok((Self::Complete { expires: *expires }, StepResponse::Completed))
            }
            (Some(Self::Complete { .. }), _) => Err(StepRefusal::Complete),
            (Some(Self::Open(step)), change) => step.apply(change),
        };
        match result {
            Ok((value, response)) => Applied { value, response },
            Err(refusal) => Applied {
                value: current.cloned().unwrap_or(Self::Absent),
                response: StepResponse::Refused(refusal),
            },
        }
    }
}

type ChangeResult = Result<(StepRecord, StepResponse), StepRefusal>;

fn begin(coordinator: &NodeId, slots: u32) -> (StepRecord, StepResponse) {
    let step = OpenStep {
        coordinator: coordinator.clone(),
        term: 1,
        slots,
        delivered: SlotSet::new(),
        next_batch: 0,
        open: None,
    };
    (StepRecord::Open(step.clone()), StepResponse::Begun(step))
}

impl OpenStep {
    fn apply(&self, change: &StepChange) -> ChangeResult {
        match change {
            StepChange::Begin { coordinator, slots } => self.take_over(coordinator, *slots),
            StepChange::Seal { term, batch } => self.seal(*term, batch),
            StepChange::Withhold { term, number, floor } => self.withhold(*term, *number, *floor),
            StepChange::Complete { number, expires } => self.complete(*number, *expires),
        }
    }

    fn take_over(&self, coordinator: &NodeId, slots: u32) -> ChangeResult {
        if slots != self.slots {
            return Err(StepRefusal::Mismatch { slots: self.slots });
        }
        let mut step = self.clone();
        if step.coordinator != *coordinator {
            step.coordinator = coordinator.clone();
            step.term += 1;
        }
        Ok((StepRecord::Open(step.clone()), StepResponse::Begun(step)))
    }

    fn seal(&self, term: u64, batch: &SealedBatch) -> ChangeResult {
        self.check_term(term)?;
        if let Some(open) = self.open.as_ref().filter(|open| open.number == batch.number) {
            return Ok((StepRecord::Open(self.clone()), StepResponse::Sealed(open.clone())));
        }
        if batch.number != self.next_batch {
            return Err(StepRefusal::OutOfOrder { next: self.next_batch });
        }
        let mut step = self.clone();
        for sample in &batch.samples {
            if sample.slot.0 >= self.slots || !step.delivered.insert(sample.slot) {
                return Err(StepRefusal::AlreadyDelivered);
            }
        }
        step.next_batch += 1;
        step.open = Some(batch.clone());
        Ok((StepRecord::Open(step), StepResponse::Sealed(batch.clone())))
    }

    fn withhold(&self, term: u64, number: u32, floor: u64) -> ChangeResult {
        self.check_term(term)?;
        let mut step = self.clone();
        let open = step.open.as_mut().filter(|open| open.number == number);
        let Some(open) = open else {
            return Err(StepRefusal::OutOfOrder { next: self.next_batch });
        };
        let (kept, stale) = std::mem::take(&mut open.samples)
            .into_iter()
            .partition(|sample| sample.is_fresh(floor));
        open.samples = kept;
        let stale: Vec<Sample> = stale;
        let batch = open.clone();
        for sample in stale {
            step.delivered.remove(sample.slot);
        }
        Ok((StepRecord::Open(step), StepResponse::Sealed(batch)))
    }

    fn complete(&self, number: u32, expires: u64) -> ChangeResult {
        if self.delivered.len() != self.slots {
            return Err(StepRefusal::Unfinished);
        }
        if number + 1 != self.next_batch {
            return Err(StepRefusal::OutOfOrder { next: self.next_batch });
        }
        Ok((StepRecord::Complete { expires }, StepResponse::Completed))
    }

    fn check_term(&self, term: u64) -> Result<(), StepRefusal> {
        if term == self.term {
            Ok(())
        } else {
            Err(StepRefusal::Fenced { coordinator: self.coordinator.clone() })
        }
    }
}
