//! Who runs a job, and whether it has ended.

use std::collections::BTreeSet;

use super::specification::{Item, JobSpecification};
use heronbend::identity::NodeId;
use serde::{Deserialize, Serialize};

/// A job as all daemons know it: a small object beside its specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, musli::Encode, musli::Decode)]
pub struct Ownership {
    /// The run of the daemon that runs it.
    pub owner: NodeId,
    /// Number of its items.
    pub total: usize,
    /// The model that it needs, if any.
    #[serde(default)]
    #[musli(default)]
    pub model: Option<String>,
    /// Tokens that are expected to come out of all items together.
    #[serde(default)]
    #[musli(default)]
    pub expected_tokens: u64,
    /// The tenant that it belongs to, if any.
    #[serde(default)]
    #[musli(default)]
    pub tenant: Option<String>,
    /// The regions in which it may run; anywhere where there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[musli(default)]
    pub homes: Option<BTreeSet<String>>,
    /// Whether its caller has ended it: nothing of it is run any more.
    pub ended: bool,
}

impl Ownership {
    /// The ownership of a job that nobody has run yet.
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

/// Which of the daemons that are alive takes over a job: the first in an order that differs from
/// job to job, so that the jobs of a lost daemon are spread.
pub fn successor<'a>(job: &str, alive: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    alive.max_by_key(|node| rendezvous_weight(job, node))
}

/// The place of a daemon, counted from 0, among those that may take a job over.
pub fn takeover_position(job: &str, me: &NodeId, alive: &[NodeId]) -> usize {
    let mine = rendezvous_weight(job, me);
    alive.iter().filter(|node| rendezvous_weight(job, node) > mine).count()
}

/// What the order for a job goes by; the largest comes first.
pub(crate) fn rendezvous_weight(job: &str, node: &NodeId) -> (u64, NodeId) {
    let key = format!("{job}/{}", node.name);
    (rapidhash::v3::rapidhash_v3(key.as_bytes()), node.clone())
}
