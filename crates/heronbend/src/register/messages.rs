//! Messages exchanged by proposers and replicas.

use std::collections::BTreeMap;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use super::shard_map::{ShardConfig, ShardId};

/// Name of a register.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct Key(pub String);

/// Ballot number: totally ordered and unique to one proposal.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
pub struct Ballot {
    /// Round number; compared first.
    pub round: u64,
    /// Tie breaker that no two proposals in the system share.
    pub proposer: u64,
}

/// Acceptor state of one register.
///
/// Invariant: the ballot of `accepted` is at most `promised`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Slot<V> {
    /// Highest promised ballot; lower ballots are rejected.
    pub promised: Ballot,
    /// Highest accepted ballot and its value.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for Slot<V> {
    fn default() -> Self {
        Self { promised: Ballot::default(), accepted: None }
    }
}

/// Request to a replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReplicaRequest<V> {
    /// Phase 1: requests a promise and the last accepted value.
    Prepare {
        /// Epoch of the replica set that the proposer uses.
        epoch: u64,
        /// The register.
        key: Key,
        /// The round.
        ballot: Ballot,
    },
    /// Phase 2: requests acceptance of a value.
    Accept {
        /// Epoch of the replica set that the proposer uses.
        epoch: u64,
        /// The register.
        key: Key,
        /// The round.
        ballot: Ballot,
        /// The value.
        value: V,
    },
    /// Ends an epoch at the replica and requests its state.
    Seal {
        /// The epoch to end.
        epoch: u64,
    },
    /// Stages the initial state of a later epoch.
    Stage {
        /// The later epoch.
        epoch: u64,
        /// Identifier of the transition; the shard map names it if the transition is committed.
        transition: u64,
        /// State of all registers of the shard.
        slots: BTreeMap<Key, Slot<V>>,
    },
    /// Announces the current replica set, as stored in the object API.
    Configure {
        /// The replica set.
        config: ShardConfig,
    },
}

/// Reason why a replica rejects a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Rejection {
    /// The replica has promised a higher or equal ballot.
    Ballot {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The replica is not active in the epoch of the request.
    Epoch {
        /// Latest epoch that the replica knows; 0 if none.
        known: u64,
    },
}

/// Reply of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReplicaReply<V> {
    /// The ballot is promised.
    Promised {
        /// The ballot.
        ballot: Ballot,
        /// Highest accepted ballot and its value, if any.
        accepted: Option<(Ballot, V)>,
    },
    /// The value is accepted.
    Accepted {
        /// The ballot.
        ballot: Ballot,
    },
    /// The epoch has ended at the replica.
    Sealed {
        /// The epoch.
        epoch: u64,
        /// State of all registers of the shard.
        slots: BTreeMap<Key, Slot<V>>,
    },
    /// The state is staged.
    Staged {
        /// Identifier of the transition.
        transition: u64,
    },
    /// The replica set was applied.
    Configured,
    /// The request was rejected.
    Rejected {
        /// Ballot of the rejected request, if it has one.
        ballot: Option<Ballot>,
        /// Reason for the rejection.
        reason: Rejection,
    },
}

/// A replica request and the shard that it addresses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardRequest<V> {
    /// The shard.
    pub shard: ShardId,
    /// The request.
    pub request: ReplicaRequest<V>,
}
