//! Selects the daemon that runs a job, without I/O.
//!
//! The owner of a job reads every event of its texts. If some daemons have much more CPU than
//! others, those run the jobs, and the small ones take over only when no large daemon is left.

use std::cmp::Reverse;

use heronbend::identity::NodeId;
use heronbend::membership::Candidate;
use heronbend::placement::share::is_large;

use super::ownership::rendezvous_weight;

/// The owner of a model's newest job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOwner {
    pub model: String,
    /// The daemon that runs the newest job of the model.
    pub owner: NodeId,
}

/// Order in which daemons take over a job: large ones first, then by rendezvous hash.
pub fn takeover_order(job: &str, candidates: &[Candidate]) -> Vec<NodeId> {
    let large_nodes = large_nodes(candidates);
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_cached_key(|candidate| {
        let is_small = !large_nodes.contains(&&candidate.node);
        (is_small, Reverse(rendezvous_weight(job, &candidate.node)))
    });
    order.into_iter().map(|candidate| candidate.node.clone()).collect()
}

/// Selects the owner of a new job of a model, or `None` without candidates.
///
/// Jobs of one model stay with one large daemon, which can track the load of the model's servers.
/// If several models share a daemon, all but the first by name move to a large daemon without a
/// model, if there is one.
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
