//! Which daemon runs a job, without I/O.
//!
//! Whoever runs a job reads every event of its texts. Where some daemons have much more processor
//! than others, these run the jobs; the others take one over only when none of these is left.

use std::cmp::Reverse;

use heronbend::identity::NodeId;
use heronbend::membership::Candidate;
use heronbend::placement::share::is_large;

use super::ownership::rendezvous_weight;

/// The owner of a model's newest job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOwner {
    /// The model.
    pub model: String,
    /// The daemon that runs its newest job.
    pub owner: NodeId,
}

/// The daemons in the order in which they take a job over: large ones first, and among these an
/// order that differs from job to job.
pub fn takeover_order(job: &str, candidates: &[Candidate]) -> Vec<NodeId> {
    let large_nodes = large_nodes(candidates);
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_cached_key(|candidate| {
        let is_small = !large_nodes.contains(&&candidate.node);
        (is_small, Reverse(rendezvous_weight(job, &candidate.node)))
    });
    order.into_iter().map(|candidate| candidate.node.clone()).collect()
}

/// Who runs a new job of a model. The jobs of one model stay with one daemon, which knows what it has
/// sent to each server; of two models at one daemon the later by name moves to one that runs none,
/// where there is such.
pub fn select_owner(
    model: &str,
    candidates: &[Candidate],
    owners: &[ModelOwner],
) -> Option<NodeId> {
    let order = takeover_order(model, candidates);
    let large_nodes = large_nodes(candidates);
    let models_at = |node: &NodeId| {
        owners.iter().filter(|entry| entry.owner == *node && entry.model != model).count()
    };
    let comes_first = |node: &NodeId| {
        let others = owners.iter().filter(|entry| entry.owner == *node);
        others.map(|entry| entry.model.as_str()).all(|other| model <= other)
    };
    let current = owners.iter().find(|entry| entry.model == model).map(|entry| &entry.owner);
    if let Some(current) = current.filter(|current| large_nodes.contains(current)) {
        if comes_first(current) {
            return Some(current.clone());
        }
    }
    let mut large_in_order = order.iter().filter(|node| large_nodes.contains(node));
    let free = large_in_order.clone().find(|node| models_at(node) == 0);
    let current = current.filter(|current| large_nodes.contains(current));
    free.or(current).or_else(|| large_in_order.next()).cloned()
}

fn large_nodes(candidates: &[Candidate]) -> Vec<&NodeId> {
    let largest = candidates.iter().map(|candidate| candidate.processor_millis).max().unwrap_or(0);
    let large_nodes = candidates.iter().filter(|one| is_large(one.processor_millis, largest));
    large_nodes.map(|candidate| &candidate.node).collect()
}
