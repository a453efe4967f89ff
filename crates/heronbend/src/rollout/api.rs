//! What trainers and daemons say to each other over HTTP.

use serde::{Deserialize, Serialize};

use super::sample::Sample;

/// Body of `POST /v1/rollouts/{trainer}/steps/{step}`. Posting a step again is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// The prompts.
    pub prompts: Vec<String>,
    /// Samples wanted of each prompt.
    pub samples_per_prompt: u32,
    /// Most tokens of one sample.
    pub max_tokens: u32,
    /// The trainer's own weight version.
    pub version: u64,
}

/// Answer to a posted step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepAccepted {
    /// Number of slots.
    pub slots: u32,
    /// Slots delivered so far.
    pub delivered: u32,
    /// Number of the first batch that is not acknowledged.
    pub next_batch: u32,
}

/// Answer of `GET /v1/rollouts/{trainer}/steps/{step}/batches/{number}?floor={version}`.
///
/// Fetching a batch again gives the same samples, less those that a higher floor rules out.
/// Fetching the next batch acknowledges this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number of the batch.
    pub number: u32,
    /// Its samples.
    pub samples: Vec<Sample>,
    /// Whether every slot of the step is delivered with this batch.
    pub last: bool,
}
