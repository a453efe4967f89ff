//! HTTP message types between trainers and daemons.

use serde::{Deserialize, Serialize};

use super::sample::Sample;

/// Body of `POST /v1/rollouts/{trainer}/steps/{step}`. The request is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Prompts to sample from.
    pub prompts: Vec<String>,
    /// Number of samples per prompt.
    pub samples_per_prompt: u32,
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
    /// The trainer's current weight version.
    pub version: u64,
}

/// Response to a posted step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepAccepted {
    /// Number of slots in the step.
    pub slots: u32,
    /// Number of slots delivered so far.
    pub delivered: u32,
    /// Number of the first unacknowledged batch.
    pub next_batch: u32,
}

/// Response to `GET /v1/rollouts/{trainer}/steps/{step}/batches/{number}?floor={version}`.
///
/// Fetching a batch again returns the same samples, without those older than a higher floor.
/// Fetching the next batch acknowledges this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number of the batch in its step, from 0.
    pub number: u32,
    /// Samples of the batch.
    pub samples: Vec<Sample>,
    /// Whether this batch completes the delivery of all slots.
    pub last: bool,
}
