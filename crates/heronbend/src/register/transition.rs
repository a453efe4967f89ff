//! One epoch change of one shard, without I/O.
//!
//! Seal the old set at a majority, merge what it knew, stage that at every new member, then let the
//! object API decide by compare-and-swap. Several daemons may try at once, or one may die at any
//! point: the shard map names the one transition whose staged state counts.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{Key, ReplicaReply, ReplicaRequest, Slot};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// What a reply leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransitionStep<V> {
    /// More replies are needed.
    Waiting,
    /// This request is to be sent to every member of the new set.
    Stage(ReplicaRequest<V>),
    /// This replica set is to be written into the shard map, if that still holds the old epoch.
    Commit(ShardConfig),
    /// The old epoch is over already: read the shard map again.
    Superseded,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage<V> {
    Sealing { states: BTreeMap<NodeId, BTreeMap<Key, Slot<V>>> },
    Staging { staged: BTreeSet<NodeId> },
    Ended,
}

/// An attempt to move a shard from one replica set to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transition<V> {
    old: ShardConfig,
    new: ShardConfig,
    stage: Stage<V>,
}

impl<V: Clone> Transition<V> {
    /// Starts a transition; the request is to be sent to every member of `old`.
    ///
    /// `identifier` must never have been used before, by anybody.
    pub fn start(
        old: ShardConfig,
        members: BTreeSet<NodeId>,
        identifier: u64,
    ) -> (Self, ReplicaRequest<V>) {
        let request = ReplicaRequest::Seal { epoch: old.epoch };
        let new = ShardConfig { epoch: old.epoch + 1, transition: identifier, members };
        let transition = Self { old, new, stage: Stage::Sealing { states: BTreeMap::new() } };
        (transition, request)
    }

    /// Starts a transition that is content with what `survivors` of the old set still hold, which may
    /// be nothing at all: the way out when a majority is lost for good, for an operator to choose.
    ///
    /// Values that were chosen may be lost by it. The request is to be sent to the survivors, or to
    /// every new member when there are none.
    pub fn start_forced_recovery(
        old: ShardConfig,
        survivors: BTreeSet<NodeId>,
        members: BTreeSet<NodeId>,
        identifier: u64,
    ) -> (Self, ReplicaRequest<V>) {
        let are_none = survivors.is_empty();
        let surviving = ShardConfig { members: survivors, ..old };
        let (mut transition, mut request) = Self::start(surviving, members, identifier);
        if are_none {
            transition.stage = Stage::Staging { staged: BTreeSet::new() };
            request = ReplicaRequest::Stage {
                epoch: transition.new.epoch,
                transition: identifier,
                slots: BTreeMap::new(),
            };
        }
        (transition, request)
    }

    /// The replica set that this transition leads to.
    pub fn target(&self) -> &ShardConfig {
        &self.new
    }

    /// Takes in a reply of an old or new member.
    pub fn on_reply(&mut self, from: &NodeId, reply: ReplicaReply<V>) -> TransitionStep<V> {
        match reply {
            ReplicaReply::Sealed { epoch, slots } if epoch == self.old.epoch => {
                self.on_sealed(from, slots)
            }
            ReplicaReply::Staged { transition } if transition == self.new.transition => {
                self.on_staged(from)
            }
            ReplicaReply::Rejected { ballot: None, .. } => self.on_rejected(from),
            _ => TransitionStep::Waiting,
        }
    }

    fn on_sealed(&mut self, from: &NodeId, slots: BTreeMap<Key, Slot<V>>) -> TransitionStep<V> {
        let Stage::Sealing { states } = &mut self.stage else {
            return TransitionStep::Waiting;
        };
        if !self.old.members.contains(from) {
            return TransitionStep::Waiting;
        }
        states.insert(from.clone(), slots);
        if states.len() < self.old.majority() {
            return TransitionStep::Waiting;
        }
        let slots = merge(std::mem::take(states));
        self.stage = Stage::Staging { staged: BTreeSet::new() };
        TransitionStep::Stage(ReplicaRequest::Stage {
            epoch: self.new.epoch,
            transition: self.new.transition,
            slots,
        })
    }

    /// All new members must hold the state: one that did not could not start the epoch.
    fn on_staged(&mut self, from: &NodeId) -> TransitionStep<V> {
        let Stage::Staging { staged } = &mut self.stage else {
            return TransitionStep::Waiting;
        };
        staged.insert(from.clone());
        if !self.new.members.is_subset(staged) {
            return TransitionStep::Waiting;
        }
        self.stage = Stage::Ended;
        TransitionStep::Commit(self.new.clone())
    }

    fn on_rejected(&mut self, from: &NodeId) -> TransitionStep<V> {
        let concerns_stage = match self.stage {
            Stage::Sealing { .. } => self.old.members.contains(from),
            Stage::Staging { .. } => self.new.members.contains(from),
            Stage::Ended => false,
        };
        if concerns_stage {
            TransitionStep::Superseded
        } else {
            TransitionStep::Waiting
        }
    }
}

/// For each register the highest promise and the value of the highest accepted ballot.
///
/// A value that a majority accepted is known to at least one of any sealed majority, and no higher
/// ballot can carry a value that was not made from it.
fn merge<V>(states: BTreeMap<NodeId, BTreeMap<Key, Slot<V>>>) -> BTreeMap<Key, Slot<V>> {
    let mut merged: BTreeMap<Key, Slot<V>> = BTreeMap::new();
    for (key, slot) in states.into_values().flatten() {
        let best = merged.entry(key).or_default();
        best.promised = best.promised.max(slot.promised);
        let best_ballot = best.accepted.as_ref().map(|(ballot, _)| *ballot);
        let slot_ballot = slot.accepted.as_ref().map(|(ballot, _)| *ballot);
        if slot_ballot > best_ballot {
            best.accepted = slot.accepted;
        }
    }
    merged
}
