//! Replica (acceptor) of a shard, free of I/O.

use std::collections::BTreeMap;

use super::messages::{Ballot, Key, Rejection, ReplicaReply, ReplicaRequest, Slot};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// Whether the replica takes part in the replica set of its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Membership {
    /// The replica has never been a member.
    NotMember,
    /// The replica votes in this epoch.
    Active { epoch: u64 },
    /// The replica does not vote in this epoch or any earlier one.
    Sealed { epoch: u64 },
}

impl Membership {
    fn epoch(&self) -> u64 {
        match self {
            Self::NotMember => 0,
            Self::Active { epoch } | Self::Sealed { epoch } => *epoch,
        }
    }
}

/// Initial state of an epoch that has not started at this replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct StagedState<V> {
    epoch: u64,
    slots: BTreeMap<Key, Slot<V>>,
}

/// One replica of one shard.
///
/// Invariants:
/// - It votes only in epochs whose replica set contains its own incarnation.
/// - It starts any epoch but the first only with the state staged by the transition that the shard
///   map names.
/// - It does not vote in an epoch after sealing it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica<V> {
    node: NodeId,
    membership: Membership,
    slots: BTreeMap<Key, Slot<V>>,
    staged: BTreeMap<u64, StagedState<V>>,
}

impl<V: Clone> Replica<V> {
    /// Creates an empty replica that is not a member.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            membership: Membership::NotMember,
            slots: BTreeMap::new(),
            staged: BTreeMap::new(),
        }
    }

    /// Returns the daemon, with its incarnation, that hosts the replica.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the epoch in which the replica votes.
    pub fn active_epoch(&self) -> Option<u64> {
        match self.membership {
            Membership::Active { epoch } => Some(epoch),
            Membership::NotMember | Membership::Sealed { .. } => None,
        }
    }

    /// Returns the number of registers.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the replica has no registers.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the last accepted ballot and value of a register, for inspection only: the value is
    /// not necessarily chosen.
    pub fn accepted(&self, key: &Key) -> Option<&(Ballot, V)> {
        self.slots.get(key)?.accepted.as_ref()
    }

    /// Removes registers whose accepted value has expired.
    ///
    /// A removed register counts as never written, so a value may only expire once no proposer uses
    /// it and none of its messages is still in transit.
    pub fn remove_expired(&mut self, is_expired: impl Fn(&Key, &V) -> bool) {
        self.slots.retain(|key, slot| match &slot.accepted {
            Some((_, value)) => !is_expired(key, value),
            None => true,
        });
    }

    /// Handles a request.
    pub fn handle(&mut self, request: ReplicaRequest<V>) -> ReplicaReply<V> {
        match request {
            ReplicaRequest::Prepare { epoch, key, ballot } => self.prepare(epoch, key, ballot),
            ReplicaRequest::Accept { epoch, key, ballot, value } => {
                self.accept(epoch, key, ballot, value)
            }
            ReplicaRequest::Seal { epoch } => self.seal(epoch),
            ReplicaRequest::Stage { epoch, transition, slots } => {
                self.stage(epoch, transition, slots)
            }
            ReplicaRequest::Configure { config } => self.configure(&config),
        }
    }

    fn prepare(&mut self, epoch: u64, key: Key, ballot: Ballot) -> ReplicaReply<V> {
        if self.active_epoch() != Some(epoch) {
            return self.reject_epoch(Some(ballot));
        }
        let slot = self.slots.entry(key).or_default();
        if ballot <= slot.promised {
            return reject_ballot(ballot, slot.promised);
        }
        slot.promised = ballot;
        ReplicaReply::Promised { ballot, accepted: slot.accepted.clone() }
    }

    fn accept(&mut self, epoch: u64, key: Key, ballot: Ballot, value: V) -> ReplicaReply<V> {
        if self.active_epoch() != Some(epoch) {
            return self.reject_epoch(Some(ballot));
        }
        let slot = self.slots.entry(key).or_default();
        if ballot < slot.promised {
            return reject_ballot(ballot, slot.promised);
        }
        slot.promised = ballot;
        slot.accepted = Some((ballot, value));
        ReplicaReply::Accepted { ballot }
    }

    fn seal(&mut self, epoch: u64) -> ReplicaReply<V> {
        if self.membership == Membership::NotMember || self.membership.epoch() != epoch {
            return self.reject_epoch(None);
        }
        self.membership = Membership::Sealed { epoch };
        ReplicaReply::Sealed { epoch, slots: self.slots.clone() }
    }

    fn stage(
        &mut self,
        epoch: u64,
        transition: u64,
        slots: BTreeMap<Key, Slot<V>>,
    ) -> ReplicaReply<V> {
        if epoch <= self.membership.epoch() {
            return self.reject_epoch(None);
        }
        self.staged.insert(transition, StagedState { epoch, slots });
        ReplicaReply::Staged { transition }
    }

    fn configure(&mut self, config: &ShardConfig) -> ReplicaReply<V> {
        if config.epoch <= self.membership.epoch() {
            return ReplicaReply::Configured;
        }
        let is_member = config.members.contains(&self.node);
        let is_first = config.epoch == 1;
        match self.staged.remove(&config.transition) {
            Some(staged) if is_member && staged.epoch == config.epoch => {
                self.slots = staged.slots;
                self.membership = Membership::Active { epoch: config.epoch };
            }
            _ if is_member && is_first => self.membership = Membership::Active { epoch: 1 },
            _ => self.leave(config.epoch),
        }
        self.staged.retain(|_, staged| staged.epoch > config.epoch);
        ReplicaReply::Configured
    }

    /// Drops the state: a later epoch started without this replica.
    fn leave(&mut self, epoch: u64) {
        self.slots.clear();
        self.membership = Membership::Sealed { epoch };
    }

    fn reject_epoch(&self, ballot: Option<Ballot>) -> ReplicaReply<V> {
        ReplicaReply::Rejected {
            ballot,
            reason: Rejection::Epoch { known: self.membership.epoch() },
        }
    }
}

fn reject_ballot<V>(ballot: Ballot, promised: Ballot) -> ReplicaReply<V> {
    ReplicaReply::Rejected { ballot: Some(ballot), reason: Rejection::Ballot { promised } }
}
