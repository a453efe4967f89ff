//! Which daemon runs a job, without I/O.
//!
//! Whoever runs a job reads every event of its texts. Where some daemons have much more processor
//! than others, these run the jobs; the others take one over only when none of these is left.

use std::cmp::Reverse;

use heronbend::identity::NodeId;
use heronbend::membership::Candidate;
use heronbend::placement::share::is_large;

use super::ownership::rank;

/// The owner of a model's newest job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenure {
    /// The model.
    pub model: String,
    /// The daemon that runs its newest job.
    pub owner: NodeId,
}

/// The daemons in the order in which they take a job over: large ones first, and among these an
/// order that differs from job to job.
pub fn line(job: &str, candidates: &[Candidate]) -> Vec<NodeId> {
    let large = large(candidates);
    let mut line: Vec<&Candidate> = candidates.iter().collect();
    line.sort_by_cached_key(|candidate| {
        let is_small = !large.contains(&&candidate.node);
        (is_small, Reverse(rank(job, &candidate.node)))
    });
    line.into_iter().map(|candidate| candidate.node.clone()).collect()
}

/// Who runs a new job of a model. The jobs of one model stay with one daemon, which knows what it has
/// sent to each server; of two models at one daemon the later by name moves to one that runs none,
/// where there is such.
pub fn owner(model: &str, candidates: &[Candidate], tenures: &[Tenure]) -> Option<NodeId> {
    let line = line(model, candidates);
    let large = large(candidates);
    let models_at = |node: &NodeId| {
        tenures.iter().filter(|tenure| tenure.owner == *node && tenure.model != model).count()
    };
    let comes_first = |node: &NodeId| {
        let others = tenures.iter().filter(|tenure| tenure.owner == *node);
        others.map(|tenure| tenure.model.as_str()).all(|other| model <= other)
    };
    let present = tenures.iter().find(|tenure| tenure.model == model).map(|tenure| &tenure.owner);
    if let Some(present) = present.filter(|present| large.contains(present)) {
        if comes_first(present) {
            return Some(present.clone());
        }
    }
    let mut chosen = line.iter().filter(|node| large.contains(node));
    let free = chosen.clone().find(|node| models_at(node) == 0);
    let present = present.filter(|present| large.contains(present));
    free.or(present).or_else(|| chosen.next()).cloned()
}

fn large(candidates: &[Candidate]) -> Vec<&NodeId> {
    let largest = candidates.iter().map(|candidate| candidate.processor_millis).max().unwrap_or(0);
    let large = candidates.iter().filter(|one| is_large(one.processor_millis, largest));
    large.map(|candidate| &candidate.node).collect()
}
