//! Rollout steps, their samples and the batches in which they are delivered.
//!
//! A trainer posts a step: a list of prompts and the number of samples per prompt. One daemon
//! coordinates the step: it has engines generate the samples and delivers them in numbered batches.
//!
//! - [`api`]: HTTP message types between trainers and daemons.
//! - [`sample`]: a sample, with the weight version that generated each segment of its tokens.
//! - [`slots`]: positions of samples in a step.
//! - [`step_record`]: the replicated register of a step. The contents of a batch are sealed there
//!   before the batch is first returned, so each slot is delivered once even if several daemons
//!   coordinate the step.
//! - [`pace`]: delays of requests that keep losing their servers.
//! - [`coordinator`]: scheduling of samples. Its state is volatile; after a failover it is rebuilt
//!   from the register.

pub mod api;
pub mod coordinator;
pub mod pace;
pub mod sample;
pub mod slots;
pub mod step_record;
mod waiting;

#[cfg(test)]
mod tests;

pub use coordinator::{
    AttemptFailure, AttemptId, Effect, NextBatch, SamplingOrder, StepCoordinator, StepPlan,
};
pub use sample::{FinishReason, Sample, Segment};
pub use slots::{SlotIndex, SlotSet};
pub use step_record::{SealedBatch, StepChange, StepRecord, StepRefusal, StepResponse};
