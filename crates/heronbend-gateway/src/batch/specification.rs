//! The specification of a batch job as submitted by a caller.

use std::collections::HashMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A submitted batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct JobSpecification {
    /// Identifier chosen by the caller.
    pub id: String,
    /// Host of the submission request.
    pub host: String,
    /// Path of the submission request.
    pub path: String,
    /// Items in the caller's order.
    pub items: Vec<Item>,
    /// The training step, if a trainer submitted the job.
    pub step: Option<TrainerStep>,
    /// The tenant of the caller; `None` if it was submitted without a key.
    #[serde(default)]
    #[musli(default)]
    pub tenant: Option<String>,
    /// Version of the configuration under which the job was accepted; 0 if it is unknown.
    #[serde(default)]
    #[musli(default)]
    pub configuration: u64,
}

impl JobSpecification {
    /// Number of groups whose items all satisfy a predicate. An item without a group counts as its
    /// own.
    pub fn complete_groups(&self, fulfils: impl Fn(&str) -> bool) -> usize {
        let mut groups: HashMap<&str, bool> = HashMap::new();
        for item in &self.items {
            let group = item.group.as_deref().unwrap_or(&item.id);
            *groups.entry(group).or_insert(true) &= fulfils(&item.id);
        }
        groups.values().filter(|is_whole| **is_whole).count()
    }
}

/// A step of a trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct TrainerStep {
    /// Step number.
    pub number: u64,
    /// The model being trained.
    pub model: String,
    /// Oldest weight version that may generate tokens for the step.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub desired_groups: usize,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct Item {
    /// Identifier of the item, unique within the job.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: String,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// Output length in tokens as estimated by the caller.
    pub expected_tokens: Option<u64>,
    /// Group of items that are only useful together.
    pub group: Option<String>,
    /// The call that scores the text, if any.
    pub reward: Option<RewardCall>,
}

impl Item {
    /// Expected output in tokens; `tokens` without an estimate.
    pub fn expected_output_tokens(&self) -> u64 {
        self.expected_tokens.unwrap_or(self.tokens)
    }

    /// The decoded body; empty if it is not valid base64, which submission rejects.
    pub fn decoded_body(&self) -> Bytes {
        decode(&self.body)
    }
}

/// A request that scores the text of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct RewardCall {
    /// Identifier of the call, sent as the request identifier.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Body in base64.
    pub body: String,
}

impl RewardCall {
    /// The decoded body; empty if it is not valid base64.
    pub fn decoded_body(&self) -> Bytes {
        decode(&self.body)
    }
}

fn decode(text: &str) -> Bytes {
    BASE64_STANDARD.decode(text).map(Bytes::from).unwrap_or_default()
}

/// Whether a string is valid base64.
pub fn is_base64(text: &str) -> bool {
    BASE64_STANDARD.decode(text).is_ok()
}
