//! The register of a step: who coordinates it and what has been delivered.
//!
//! Batches are sealed in order, each before it is first shown, and fetching batch `n + 1`
//! acknowledges batch `n`. The record keeps one bit a slot and the one batch that is not yet
//! acknowledged, so its size is bounded by the batch size.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::sample::Sample;
use super::slots::SlotSet;
use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

/// A batch whose composition is settled.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct SealedBatch {
    /// Number of the batch in its step, from 0.
    pub number: u32,
    /// Its samples.
    pub samples: Vec<Sample>,
}

/// A step that is being drawn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OpenStep {
    /// The daemon that may seal batches.
    pub coordinator: NodeId,
    /// Fencing token: counts coordinators of the step.
    pub term: u64,
    /// Number of slots in the step.
    pub slots: u32,
    /// Slots in sealed batches, the open one included.
    pub delivered: SlotSet,
    /// Number of the batch to be sealed next.
    pub next_batch: u32,
    /// The batch that is sealed and not yet acknowledged.
    pub open: Option<SealedBatch>,
}

/// State of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepRecord {
    /// It was never begun; only the answer to a change that found nothing.
    Absent,
    /// It is being drawn.
    Open(OpenStep),
    /// All slots are delivered and acknowledged.
    Complete {
        /// Wall-clock seconds since the Unix epoch after which the register may be collected.
        expires: u64,
    },
}

/// A change of a step's record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepChange {
    /// Begins the step, or takes its coordination over.
    Begin {
        /// The daemon that is to coordinate.
        coordinator: NodeId,
        /// Number of slots.
        slots: u32,
    },
    /// Settles the composition of a batch, and acknowledges the batch before it.
    Seal {
        /// Fencing token of the coordinator.
        term: u64,
        /// The batch.
        batch: SealedBatch,
    },
    /// Takes samples older than `floor` out of the open batch; their slots are to be drawn again.
    Withhold {
        /// Fencing token of the coordinator.
        term: u64,
        /// Number of the open batch.
        number: u32,
        /// Oldest version that is still acceptable.
        floor: u64,
    },
    /// Acknowledges the last batch and completes the step.
    Complete {
        /// Number of the last batch.
        number: u32,
        /// When the register may be collected.
        expires: u64,
    },
}

/// Why a change was refused; the record is unchanged.
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
    /// Another daemon has taken the coordination over.
    #[error("{coordinator} coordinates the step now")]
    Fenced {
        /// The present coordinator.
        coordinator: NodeId,
    },
    /// The batch is not the one to be sealed next.
    #[error("batch {next} is next")]
    OutOfOrder {
        /// Number of the batch to be sealed next.
        next: u32,
    },
    /// A slot of the batch was delivered before.
    #[error("a slot of the batch was delivered before")]
    AlreadyDelivered,
    /// The step has other slots than stated.
    #[error("the step was begun with {slots} slots")]
    Mismatch {
        /// Number of slots of the step.
        slots: u32,
    },
    /// Slots are left to be delivered.
    #[error("slots are left to be delivered")]
    Unfinished,
}

/// What the author of a change learns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StepResponse {
    /// The author coordinates the step, in this state.
    Begun(OpenStep),
    /// The batch of that number, as it is sealed.
    Sealed(SealedBatch),
    /// The step is complete.
    Completed,
    /// The change is refused.
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

type Change = Result<(StepRecord, StepResponse), StepRefusal>;

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
    fn apply(&self, change: &StepChange) -> Change {
        match change {
            StepChange::Begin { coordinator, slots } => self.take_over(coordinator, *slots),
            StepChange::Seal { term, batch } => self.seal(*term, batch),
            StepChange::Withhold { term, number, floor } => self.withhold(*term, *number, *floor),
            StepChange::Complete { number, expires } => self.complete(*number, *expires),
        }
    }

    fn take_over(&self, coordinator: &NodeId, slots: u32) -> Change {
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

    fn seal(&self, term: u64, batch: &SealedBatch) -> Change {
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

    fn withhold(&self, term: u64, number: u32, floor: u64) -> Change {
        self.check_term(term)?;
        let mut step = self.clone();
        let open = step.open.as_mut().filter(|open| open.number == number);
        let Some(open) = open else {
            return Err(StepRefusal::OutOfOrder { next: self.next_batch });
        };
        let (kept, stale) = std::mem::take(&mut open.samples)
            .into_iter()
            .partition(|sample| sample.is_within(floor));
        open.samples = kept;
        let stale: Vec<Sample> = stale;
        let batch = open.clone();
        for sample in stale {
            step.delivered.remove(sample.slot);
        }
        Ok((StepRecord::Open(step), StepResponse::Sealed(batch)))
    }

    fn complete(&self, number: u32, expires: u64) -> Change {
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
