//! Proposer of a single register change, free of I/O.

use std::collections::{BTreeMap, BTreeSet};

use super::change::RegisterValue;
use super::messages::{Ballot, Key, Rejection, ReplicaReply, ReplicaRequest};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// Next step of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress<V, R> {
    /// More replies are needed.
    Waiting,
    /// The request must be sent to every member.
    Broadcast(ReplicaRequest<V>),
    /// A majority has accepted the change.
    Done(R),
    /// A majority is no longer reachable, because of a higher ballot or another epoch. Retry with a
    /// higher round.
    ///
    /// The change may still take effect if accept requests were issued before.
    Preempted {
        /// Highest round seen; the next one must be above it.
        above: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase<V, R> {
    Preparing { promises: BTreeMap<NodeId, Option<(Ballot, V)>> },
    Accepting { accepted: BTreeSet<NodeId>, response: R },
    Finished,
}

/// A proposal: a prepare and an accept round with the members of a replica set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal<V: RegisterValue> {
    key: Key,
    change: V::Change,
    config: ShardConfig,
    ballot: Ballot,
    phase: Phase<V, V::Response>,
    rejections: BTreeSet<NodeId>,
    highest_round: u64,
}

impl<V: RegisterValue> Proposal<V> {
    /// Starts a proposal. The returned request must be sent to every member of `config`.
    ///
    /// No proposal in the system may have used `ballot` before.
    pub fn start(
        key: Key,
        change: V::Change,
        config: ShardConfig,
        ballot: Ballot,
    ) -> (Self, ReplicaRequest<V>) {
        let request = ReplicaRequest::Prepare { epoch: config.epoch, key: key.clone(), ballot };
        let proposal = Self {
            key,
            change,
            config,
            ballot,
            phase: Phase::Preparing { promises: BTreeMap::new() },
            rejections: BTreeSet::new(),
            highest_round: ballot.round,
        };
        (proposal, request)
    }

    /// Returns the epoch of the replica set.
    pub fn epoch(&self) -> u64 {
        self.config.epoch
    }

    /// Returns the members of the replica set.
    pub fn members(&self) -> &BTreeSet<NodeId> {
        &self.config.members
    }

    /// Returns whether accept requests were issued, so that the change may take effect even if this
    /// proposal is dropped.
    pub fn may_take_effect(&self) -> bool {
        matches!(self.phase, Phase::Accepting { .. })
    }

    /// Handles the reply of a member. Replies of non-members or to other ballots are ignored.
    pub fn on_reply(&mut self, from: &NodeId, reply: ReplicaReply<V>) -> Progress<V, V::Response> {
        if !self.config.members.contains(from) {
            return Progress::Waiting;
        }
        match reply {
            ReplicaReply::Promised { ballot, accepted } if ballot == self.ballot => {
                self.on_promise(from, accepted)
            }
            ReplicaReply::Accepted { ballot } if ballot == self.ballot => self.on_accepted(from),
            ReplicaReply::Rejected { ballot: Some(ballot), reason } if ballot == self.ballot => {
                self.on_rejected(from, &reason)
            }
            _ => Progress::Waiting,
        }
    }

    fn on_promise(
        &mut self,
        from: &NodeId,
        value: Option<(Ballot, V)>,
    ) -> Progress<V, V::Response> {
        let Phase::Preparing { promises } = &mut self.phase else {
            return Progress::Waiting;
        };
        promises.insert(from.clone(), value);
        if promises.len() < self.config.majority() {
            return Progress::Waiting;
        }
        let latest =
            promises.values().flatten().max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value);
        let applied = V::apply(latest, &self.change);
        self.phase = Phase::Accepting { accepted: BTreeSet::new(), response: applied.response };
        Progress::Broadcast(ReplicaRequest::Accept {
            epoch: self.config.epoch,
            key: self.key.clone(),
            ballot: self.ballot,
            value: applied.value,
        })
    }

    fn on_accepted(&mut self, from: &NodeId) -> Progress<V, V::Response> {
        let Phase::Accepting { accepted, response } = &mut self.phase else {
            return Progress::Waiting;
        };
        accepted.insert(from.clone());
        if accepted.len() < self.config.majority() {
            return Progress::Waiting;
        }
        let response = response.clone();
        self.phase = Phase::Finished;
        Progress::Done(response)
    }

    fn on_rejected(&mut self, from: &NodeId, reason: &Rejection) -> Progress<V, V::Response> {
        if let Rejection::Ballot { promised } = reason {
            self.highest_round = self.highest_round.max(promised.round);
        }
        self.rejections.insert(from.clone());
        let remaining = self.config.members.len() - self.rejections.len();
        if matches!(self.phase, Phase::Finished) || remaining >= self.config.majority() {
            return Progress::Waiting;
        }
        self.phase = Phase::Finished;
        Progress::Preempted { above: self.highest_round }
    }
}
