//! One change of one register, without I/O.

use std::collections::{BTreeMap, BTreeSet};

use super::change::RegisterValue;
use super::messages::{Ballot, Key, Rejection, ReplicaReply, ReplicaRequest};
use super::shard_map::ShardConfig;
use crate::identity::NodeId;

/// What a reply leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress<V, R> {
    /// More replies are needed.
    Waiting,
    /// This request is to be sent to every member.
    Broadcast(ReplicaRequest<V>),
    /// A majority has accepted the change.
    Done(R),
    /// A higher ballot or another epoch is in the way: start anew above this round.
    ///
    /// The change may have been made, or be made yet, if a value had been sent out.
    Preempted {
        /// Highest round that was seen.
        above: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage<V, R> {
    Preparing { promises: BTreeMap<NodeId, Option<(Ballot, V)>> },
    Accepting { accepted: BTreeSet<NodeId>, response: R },
    Ended,
}

/// A proposal: two rounds of messages to the members of a replica set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal<V: RegisterValue> {
    key: Key,
    change: V::Change,
    config: ShardConfig,
    ballot: Ballot,
    stage: Stage<V, V::Response>,
    rejections: BTreeSet<NodeId>,
    highest_seen: u64,
}

impl<V: RegisterValue> Proposal<V> {
    /// Starts a proposal; the request is to be sent to every member of `config`.
    ///
    /// `ballot` must never have been used before, by anybody.
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
            stage: Stage::Preparing { promises: BTreeMap::new() },
            rejections: BTreeSet::new(),
            highest_seen: ballot.round,
        };
        (proposal, request)
    }

    /// The epoch that the proposal is made in.
    pub fn epoch(&self) -> u64 {
        self.config.epoch
    }

    /// The members to send to.
    pub fn members(&self) -> &BTreeSet<NodeId> {
        &self.config.members
    }

    /// Whether a value was sent out, so that the change may take effect even if this proposal ends.
    pub fn may_take_effect(&self) -> bool {
        matches!(self.stage, Stage::Accepting { .. })
    }

    /// Takes in a member's reply. Replies to other ballots are ignored.
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
        let Stage::Preparing { promises } = &mut self.stage else {
            return Progress::Waiting;
        };
        promises.insert(from.clone(), value);
        if promises.len() < self.config.majority() {
            return Progress::Waiting;
        }
        let latest =
            promises.values().flatten().max_by_key(|(ballot, _)| *ballot).map(|(_, value)| value);
        let applied = V::apply(latest, &self.change);
        self.stage = Stage::Accepting { accepted: BTreeSet::new(), response: applied.response };
        Progress::Broadcast(ReplicaRequest::Accept {
            epoch: self.config.epoch,
            key: self.key.clone(),
            ballot: self.ballot,
            value: applied.value,
        })
    }

    fn on_accepted(&mut self, from: &NodeId) -> Progress<V, V::Response> {
        let Stage::Accepting { accepted, response } = &mut self.stage else {
            return Progress::Waiting;
        };
        accepted.insert(from.clone());
        if accepted.len() < self.config.majority() {
            return Progress::Waiting;
        }
        let response = response.clone();
        self.stage = Stage::Ended;
        Progress::Done(response)
    }

    fn on_rejected(&mut self, from: &NodeId, reason: &Rejection) -> Progress<V, V::Response> {
        if let Rejection::Ballot { promised } = reason {
            self.highest_seen = self.highest_seen.max(promised.round);
        }
        self.rejections.insert(from.clone());
        let left = self.config.members.len() - self.rejections.len();
        if matches!(self.stage, Stage::Ended) || left >= self.config.majority() {
            return Progress::Waiting;
        }
        self.stage = Stage::Ended;
        Progress::Preempted { above: self.highest_seen }
    }
}
