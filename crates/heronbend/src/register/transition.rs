//! Epoch change of a single shard, free of I/O.
//!
//! A transition seals a majority of the old replica set, merges the returned states, stages the
//! result at every new member and commits the new set to the shard map by compare-and-swap.
//! Concurrent or abandoned transitions are harmless: replicas start an epoch only with the state of
//! the transition that the shard map names.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{Key, ReplicaReply, ReplicaRequest, Slot};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// Next step of a transition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransitionStep<V> {
    /// More replies are needed.
    Waiting,
    /// The request must be sent to every member of the new set.
    Stage(ReplicaRequest<V>),
    /// The replica set must be written to the shard map, unless the old epoch has been replaced.
    Commit(ShardConfig),
    /// The old epoch has already been replaced; the shard map must be read again.
    Superseded,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase<V> {
    Sealing { states: BTreeMap<NodeId, BTreeMap<Key, Slot<V>>> },
    Staging { staged: BTreeSet<NodeId> },
    Finished,
}

/// An attempt to move a shard to its next replica set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transition<V> {
    old: ShardConfig,
    new: ShardConfig,
    phase: Phase<V>,
}

impl<V: Clone> Transition<V> {
    /// Starts a transition. The returned request must be sent to every member of `old`.
    ///
    /// No transition in the system may have used `identifier` before.
    pub fn start(
        old: ShardConfig,
        members: BTreeSet<NodeId>,
        identifier: u64,
    ) -> (Self, ReplicaRequest<V>) {
        let request = ReplicaRequest::Seal { epoch: old.epoch };
        let new = ShardConfig { epoch: old.epoch + 1, transition: identifier, members };
        let transition = Self { old, new, phase: Phase::Sealing { states: BTreeMap::new() } };
        (transition, request)
    }

    /// Starts a transition from the state of `survivors` only, after the permanent loss of a
    /// majority of the old set. Without survivors, the new set starts empty.
    ///
    /// Chosen values may be lost, so an operator has to request this. The returned request must be
    /// sent to the survivors, or to every new member if there are none.
    pub fn start_forced_recovery(
        old: ShardConfig,
        survivors: BTreeSet<NodeId>,
        members: BTreeSet<NodeId>,
        identifier: u64,
    ) -> (Self, ReplicaRequest<V>) {
        let no_survivors = survivors.is_empty();
        let surviving = ShardConfig { members: survivors, ..old };
        let (mut transition, mut request) = Self::start(surviving, members, identifier);
        if no_survivors {
            transition.phase = Phase::Staging { staged: BTreeSet::new() };
            request = ReplicaRequest::Stage {
                epoch: transition.new.epoch,
                transition: identifier,
                slots: BTreeMap::new(),
            };
        }
        (transition, request)
    }

    /// Returns the new replica set.
    pub fn target(&self) -> &ShardConfig {
        &self.new
    }

    /// Handles the reply of an old or new member.
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
        let Phase::Sealing { states } = &mut self.phase else {
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
        self.phase = Phase::Staging { staged: BTreeSet::new() };
        TransitionStep::Stage(ReplicaRequest::Stage {
            epoch: self.new.epoch,
            transition: self.new.transition,
            slots,
        })
    }

    /// Waits for all new members, because a member without the staged state cannot start the epoch.
    fn on_staged(&mut self, from: &NodeId) -> TransitionStep<V> {
        let Phase::Staging { staged } = &mut self.phase else {
            return TransitionStep::Waiting;
        };
        staged.insert(from.clone());
        if !self.new.members.is_subset(staged) {
            return TransitionStep::Waiting;
        }
        self.phase = Phase::Finished;
        TransitionStep::Commit(self.new.clone())
    }

    fn on_rejected(&mut self, from: &NodeId) -> TransitionStep<V> {
        let concerns_phase = match self.phase {
            Phase::Sealing { .. } => self.old.members.contains(from),
            Phase::Staging { .. } => self.new.members.contains(from),
            Phase::Finished => false,
        };
        if concerns_phase {
            TransitionStep::Superseded
        } else {
            TransitionStep::Waiting
        }
    }
}

/// Merges slots: per register, the highest promise and the accepted value of the highest ballot.
///
/// Any sealed majority includes a replica that accepted the chosen value, and each value accepted
/// at a higher ballot was derived from it.
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
