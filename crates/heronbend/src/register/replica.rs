//! A member of a shard's replica set, without I/O.

use std::collections::BTreeMap;

use super::messages::{Ballot, Key, Rejection, ReplicaReply, ReplicaRequest, Slot};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// What this replica may do for its shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Standing {
    /// It was never a member.
    Outside,
    /// It votes in this epoch.
    Active { epoch: u64 },
    /// It voted in this epoch and does so no more.
    Sealed { epoch: u64 },
}

impl Standing {
    fn epoch(&self) -> u64 {
        match self {
            Self::Outside => 0,
            Self::Active { epoch } | Self::Sealed { epoch } => *epoch,
        }
    }
}

/// State handed over for an epoch that has not started here.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Staged<V> {
    epoch: u64,
    slots: BTreeMap<Key, Slot<V>>,
}

/// One replica of one shard.
///
/// Invariants: it votes only in an epoch whose replica set names its own incarnation; it starts an
/// epoch after the first only with the state of the very transition that the shard map names; once
/// an epoch is sealed here it answers nothing more in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica<V> {
    node: NodeId,
    standing: Standing,
    slots: BTreeMap<Key, Slot<V>>,
    staged: BTreeMap<u64, Staged<V>>,
}

impl<V: Clone> Replica<V> {
    /// A replica that has just started and knows nothing.
    pub fn new(node: NodeId) -> Self {
        Self { node, standing: Standing::Outside, slots: BTreeMap::new(), staged: BTreeMap::new() }
    }

    /// The run of the daemon that holds this replica.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// The epoch in which this replica votes.
    pub fn active_epoch(&self) -> Option<u64> {
        match self.standing {
            Standing::Active { epoch } => Some(epoch),
            Standing::Outside | Standing::Sealed { .. } => None,
        }
    }

    /// Number of registers kept.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no register is kept.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The accepted value of a register, for inspection only: it may not be chosen.
    pub fn accepted(&self, key: &Key) -> Option<&(Ballot, V)> {
        self.slots.get(key)?.accepted.as_ref()
    }

    /// Drops registers whose accepted value is past use.
    ///
    /// Only for values that no author will ask for again and whose messages have all died out: a
    /// register dropped here counts as never written.
    pub fn remove_expired(&mut self, is_past_use: impl Fn(&Key, &V) -> bool) {
        self.slots.retain(|key, slot| match &slot.accepted {
            Some((_, value)) => !is_past_use(key, value),
            None => true,
        });
    }

    /// Handles one request.
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
        if self.standing == Standing::Outside || self.standing.epoch() != epoch {
            return self.reject_epoch(None);
        }
        self.standing = Standing::Sealed { epoch };
        ReplicaReply::Sealed { epoch, slots: self.slots.clone() }
    }

    fn stage(
        &mut self,
        epoch: u64,
        transition: u64,
        slots: BTreeMap<Key, Slot<V>>,
    ) -> ReplicaReply<V> {
        if epoch <= self.standing.epoch() {
            return self.reject_epoch(None);
        }
        self.staged.insert(transition, Staged { epoch, slots });
        ReplicaReply::Staged { transition }
    }

    fn configure(&mut self, config: &ShardConfig) -> ReplicaReply<V> {
        if config.epoch <= self.standing.epoch() {
            return ReplicaReply::Configured;
        }
        let is_member = config.members.contains(&self.node);
        let is_first = config.epoch == 1;
        match self.staged.remove(&config.transition) {
            Some(staged) if is_member && staged.epoch == config.epoch => {
                self.slots = staged.slots;
                self.standing = Standing::Active { epoch: config.epoch };
            }
            _ if is_member && is_first => self.standing = Standing::Active { epoch: 1 },
            _ => self.leave(config.epoch),
        }
        self.staged.retain(|_, staged| staged.epoch > config.epoch);
        ReplicaReply::Configured
    }

    /// The shard has moved on without this replica.
    fn leave(&mut self, epoch: u64) {
        self.slots.clear();
        self.standing = Standing::Sealed { epoch };
    }

    fn reject_epoch(&self, ballot: Option<Ballot>) -> ReplicaReply<V> {
        ReplicaReply::Rejected { ballot, reason: Rejection::Epoch { known: self.standing.epoch() } }
    }
}

fn reject_ballot<V>(ballot: Ballot, promised: Ballot) -> ReplicaReply<V> {
    ReplicaReply::Rejected { ballot: Some(ballot), reason: Rejection::Ballot { promised } }
}
