//! The owner of a job and whether the job has ended.

use std::collections::BTreeSet;

use super::specification::{Item, JobSpecification};
use heronbend::identity::NodeId;
use serde::{Deserialize, Serialize};

/// Shared state of a job: a small object stored next to its specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct Ownership {
    /// The daemon, and its incarnation, that runs the job.
    pub owner: NodeId,
    /// Number of items in the job.
    pub total: usize,
    /// The model that the job requires, if any.
    #[serde(default)]
    #[musli(default)]
    pub model: Option<String>,
    /// Expected output of all items together, in tokens.
    #[serde(default)]
    #[musli(default)]
    pub expected_tokens: u64,
    /// The tenant that submitted the job, if any.
    #[serde(default)]
    #[musli(default)]
    pub tenant: Option<String>,
    /// The regions in which the job may run; `None` if unrestricted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[musli(default)]
    pub homes: Option<BTreeSet<String>>,
    /// Whether the caller has ended the job. No further items are run.
    pub ended: bool,
}

impl Ownership {
    /// Creates the ownership of a new job.
    pub fn new(
        specification: &JobSpecification,
        owner: NodeId,
        homes: Option<BTreeSet<String>>,
    ) -> Self {
        let expected = specification.items.iter().map(Item::expected_output_tokens);
        Self {
            owner,
            total: specification.items.len(),
            model: specification.step.as_ref().map(|step| step.model.clone()),
            expected_tokens: expected.sum(),
            tenant: specification.tenant.clone(),
            homes,
            ended: false,
        }
    }
}

/// Selects the live daemon that takes over a job by rendezvous hashing, so that the jobs of a lost
/// daemon are spread over the others.
pub fn successor<'a>(job: &str, alive: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    alive.max_by_key(|node| rendezvous_weight(job, node))
}

/// Position of a daemon in the takeover order of a job, counted from 0.
pub fn takeover_position(job: &str, me: &NodeId, alive: &[NodeId]) -> usize {
    let mine = rendezvous_weight(job, me);
    alive.iter().filter(|node| rendezvous_weight(job, node) > mine).count()
}

/// Rendezvous hash of a job and a daemon. The daemon with the largest value comes first.
pub(crate) fn rendezvous_weight(job: &str, node: &NodeId) -> (u64, NodeId) {
    let key = format!("{job}/{}", node.name);
    (rapidhash::v3::rapidhash_v3(key.as_bytes()), node.clone())
}
