//! What a batch job consists of.

use std::collections::HashMap;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A batch job as it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct JobSpecification {
    /// Its identifier, chosen by the caller.
    pub id: String,
    /// Host that it was handed in for.
    pub host: String,
    /// Path that it was handed in under.
    pub path: String,
    /// Its items, in the caller's order.
    pub items: Vec<Item>,
    /// The step that it is for, if a trainer handed it in.
    pub step: Option<TrainerStep>,
    /// The tenant that it belongs to; none where it was handed in without a key.
    #[serde(default)]
    #[musli(default)]
    pub tenant: Option<String>,
}

impl JobSpecification {
    /// Groups all of whose items fulfil a condition.
    pub fn complete_groups(&self, fulfils: impl Fn(&str) -> bool) -> usize {
        let mut groups: HashMap<&str, bool> = HashMap::new();
        for item in &self.items {
            let group = item.group.as_deref().unwrap_or(&item.id);
            *groups.entry(group).or_insert(true) &= fulfils(&item.id);
        }
        groups.values().filter(|is_whole| **is_whole).count()
    }
}

/// The step of a trainer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct TrainerStep {
    /// Number of the step.
    pub number: u64,
    /// The model that is trained.
    pub model: String,
    /// Oldest version of the weights that may make its tokens.
    pub min_version: u64,
    /// Whole groups that the trainer waits for.
    pub desired_groups: usize,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct Item {
    /// Its identifier.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Headers that it is sent with.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: String,
    /// Tokens of the prompt and the most that may come out.
    pub tokens: u64,
    /// The caller's guess of how many tokens come out.
    pub expected_tokens: Option<u64>,
    /// Items of one group are of use together.
    pub group: Option<String>,
    /// The call that scores its text.
    pub reward: Option<RewardCall>,
}

impl Item {
    /// Tokens that are expected to come out.
    pub fn expected_output_tokens(&self) -> u64 {
        self.expected_tokens.unwrap_or(self.tokens)
    }

    /// The decoded body; empty when it is not valid base64, which hand-in rules out.
    pub fn decoded_body(&self) -> Bytes {
        decode(&self.body)
    }
}

/// A request that scores a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct RewardCall {
    /// Its identifier.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Body in base64.
    pub body: String,
}

impl RewardCall {
    /// The decoded body.
    pub fn decoded_body(&self) -> Bytes {
        decode(&self.body)
    }
}

fn decode(text: &str) -> Bytes {
    BASE64_STANDARD.decode(text).map(Bytes::from).unwrap_or_default()
}

/// Whether a text is valid base64.
pub fn is_base64(text: &str) -> bool {
    BASE64_STANDARD.decode(text).is_ok()
}
