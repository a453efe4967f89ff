//! The tree by which news of the store reaches all daemons of a zone, without I/O.
//!
//! Few daemons of a zone watch the store: its roots. Each other one follows two parents, which are roots
//! or follow two others themselves. What a daemon has to do for others is bounded by the fan-out, however
//! large the zone is; the depth grows with the logarithm of the zone's size.
//!
//! Each daemon works the tree out from the members that it knows. Views differ for a moment after a
//! change, so two daemons may follow each other: every answer says how old the news is at its source, and
//! whoever's news grows old looks elsewhere.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;

use rapidhash::v3::rapidhash_v3;

use crate::identity::NodeId;
use crate::membership::Candidate;

/// Roots of a zone: one may die, freeze or be cut off while the other goes on.
pub const ROOTS: usize = 2;
/// Daemons of a zone that are all roots: to follow would save little.
pub const SMALL_ZONE: usize = 3;
/// Daemons for each parent of a pair. Each of them makes four held calls a second at one parent and
/// two at the other, so that a parent answers some 100 calls a second: 1% of a core at 100 us a call.
pub const FAN_OUT: usize = 16;
/// Parents that a daemon follows at the same time.
const PARENTS: usize = 2;

/// The tree of a zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    /// All daemons, parents before their children.
    line: Vec<NodeId>,
    roots: usize,
}

impl Tree {
    /// The tree of some daemons: those with the most processor come first, equal ones by a hash of
    /// their names.
    pub fn new(mut candidates: Vec<Candidate>) -> Self {
        candidates.sort_by_cached_key(|candidate| {
            let tie = rapidhash_v3(candidate.node.name.0.as_bytes());
            (Reverse(candidate.processor_millis), tie)
        });
        let line: Vec<NodeId> = candidates.into_iter().map(|candidate| candidate.node).collect();
        let roots = if line.len() > SMALL_ZONE { ROOTS } else { line.len() };
        Self { line, roots }
    }

    /// The daemons that watch the store for the zone, first choice first.
    pub fn roots(&self) -> &[NodeId] {
        &self.line[..self.roots]
    }

    /// Whether a daemon is one of the roots.
    pub fn is_root(&self, node: &NodeId) -> bool {
        self.roots().contains(node)
    }

    /// The daemons that a daemon follows; all roots for a root, which follows the others while the store
    /// refuses it, and for one that is not in the tree.
    pub fn parents(&self, node: &NodeId) -> &[NodeId] {
        match self.place(node).and_then(|place| self.first_parent(place)) {
            Some(first) => &self.line[first..first + PARENTS],
            None => self.roots(),
        }
    }

    /// Daemons that news passes on its way from the store to this one.
    pub fn depth(&self, node: &NodeId) -> u32 {
        let mut depth = 0;
        let mut place = self.place(node).unwrap_or(self.roots);
        while let Some(first) = self.first_parent(place) {
            depth += 1;
            place = first;
        }
        depth
    }

    /// The depth of the daemons that are furthest from the store.
    pub fn height(&self) -> u32 {
        self.line.last().map_or(0, |last| self.depth(last))
    }

    fn place(&self, node: &NodeId) -> Option<usize> {
        self.line.iter().position(|known| known == node)
    }

    /// Place of the first of the two parents; nothing for a root.
    fn first_parent(&self, place: usize) -> Option<usize> {
        let below = place.checked_sub(self.roots)?;
        (self.line.len() > SMALL_ZONE).then_some(below / (PARENTS * FAN_OUT) * PARENTS)
    }
}
