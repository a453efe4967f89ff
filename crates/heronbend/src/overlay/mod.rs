//! Dissemination tree that carries store updates to all daemons of a zone, free of I/O.
//!
//! Only the roots of a zone watch the store. Every other daemon follows two parents, which are
//! roots or have parents themselves. The fan-out bounds the load of a daemon, and the depth is
//! logarithmic in the size of the zone.
//!
//! Each daemon computes the tree from the members that it knows. While these views differ, daemons
//! may follow each other in a cycle. They detect this by the age of the data, which each response
//! includes, and a daemon whose data is stale switches to another source.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;

use rapidhash::v3::rapidhash_v3;

use crate::identity::NodeId;
use crate::membership::Candidate;

/// Number of roots of a zone; more than one, to tolerate the failure of a root.
pub const ROOT_COUNT: usize = 2;
/// Maximum size of a zone in which all daemons are roots.
pub const MAX_ALL_ROOTS: usize = 3;
/// Number of children per parent. Each child of a pair follows both parents, so a parent has up to
/// `PARENT_COUNT * FAN_OUT` followers. A child makes four long polls a second at one parent and two
/// at the other, so that a parent answers some 100 calls a second, 1% of a core at 100 us a call.
pub const FAN_OUT: usize = 16;
/// Number of parents that a daemon follows.
const PARENT_COUNT: usize = 2;

/// Dissemination tree of a zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    /// All daemons in breadth-first order, roots first.
    nodes: Vec<NodeId>,
    roots: usize,
}

impl Tree {
    /// Builds the tree of the given daemons, by descending CPU allotment and then by the hash of
    /// the name. The result does not depend on the order of `candidates`.
    pub fn new(mut candidates: Vec<Candidate>) -> Self {
        candidates.sort_by_cached_key(|candidate| {
            let name_hash = rapidhash_v3(candidate.node.name.0.as_bytes());
            (Reverse(candidate.processor_millis), name_hash)
        });
        let nodes: Vec<NodeId> = candidates.into_iter().map(|candidate| candidate.node).collect();
        let roots = if nodes.len() > MAX_ALL_ROOTS { ROOT_COUNT } else { nodes.len() };
        Self { nodes, roots }
    }

    /// Returns the daemons that watch the store for the zone, in order of preference.
    pub fn roots(&self) -> &[NodeId] {
        &self.nodes[..self.roots]
    }

    /// Returns whether a daemon is a root.
    pub fn is_root(&self, node: &NodeId) -> bool {
        self.roots().contains(node)
    }

    /// Returns the daemons that a daemon follows.
    ///
    /// These are all roots for a daemon that is not in the tree, and for a root, which follows the
    /// other roots while the store rejects it.
    pub fn parents(&self, node: &NodeId) -> &[NodeId] {
        match self.index_of(node).and_then(|index| self.first_parent(index)) {
            Some(first) => &self.nodes[first..first + PARENT_COUNT],
            None => self.roots(),
        }
    }

    /// Returns the number of daemons between the store and a daemon; 0 for a root.
    pub fn depth(&self, node: &NodeId) -> u32 {
        let mut depth = 0;
        let mut index = self.index_of(node).unwrap_or(self.roots);
        while let Some(first) = self.first_parent(index) {
            depth += 1;
            index = first;
        }
        depth
    }

    /// Returns the maximum depth of the tree.
    pub fn height(&self) -> u32 {
        self.nodes.last().map_or(0, |last| self.depth(last))
    }

    fn index_of(&self, node: &NodeId) -> Option<usize> {
        self.nodes.iter().position(|known| known == node)
    }

    /// Returns the index of the first of two adjacent parents, or `None` for a root.
    fn first_parent(&self, index: usize) -> Option<usize> {
        let index_below_roots = index.checked_sub(self.roots)?;
        (self.nodes.len() > MAX_ALL_ROOTS)
            .then_some(index_below_roots / (PARENT_COUNT * FAN_OUT) * PARENT_COUNT)
    }
}
