//! Steps, samples and sealed batches.
//!
//! A trainer posts a step: prompts, and how many samples it wants of each. One daemon coordinates
//! the step: it draws the samples from engines and hands them over in numbered batches.
//!
//! - [`api`]: what trainers and daemons say to each other.
//! - [`sample`]: a sample names the weight versions that produced it, segment by segment.
//! - [`step_record`]: the register of a step. What a batch holds is sealed there before the batch is
//!   first shown, so each sample is delivered once however many daemons take part.
//! - [`coordinator`]: which sample to draw next; lost with its daemon and rebuilt from the register.

pub mod api;
pub mod coordinator;
pub mod sample;
pub mod slots;
pub mod step_record;
mod waiting;

#[cfg(test)]
mod tests;

pub use coordinator::{AttemptId, Effect, NextBatch, SamplingOrder, StepCoordinator, StepPlan};
pub use sample::{FinishReason, Sample, Segment};
pub use slots::{SlotIndex, SlotSet};
pub use step_record::{SealedBatch, StepChange, StepRecord, StepRefusal, StepResponse};
