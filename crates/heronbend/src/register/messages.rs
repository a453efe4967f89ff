//! Messages between proposers and replicas.

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

/// Orders rounds; the proposer makes it unique.
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
    /// Number of the round.
    pub round: u64,
    /// Unique number of the proposer: no two proposals in the system share it.
    pub proposer: u64,
}

/// What a replica keeps of one register.
///
/// Invariant: `accepted` is never of a higher ballot than `promised`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Slot<V> {
    /// No ballot below this one is accepted.
    pub promised: Ballot,
    /// The latest accepted ballot and its value.
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for Slot<V> {
    fn default() -> Self {
        Self { promised: Ballot::default(), accepted: None }
    }
}

/// A request to a replica of a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReplicaRequest<V> {
    /// Asks for a promise, and for the value accepted so far.
    Prepare {
        /// Epoch the proposer believes in.
        epoch: u64,
        /// The register.
        key: Key,
        /// The round.
        ballot: Ballot,
    },
    /// Asks to accept a value.
    Accept {
        /// Epoch the proposer believes in.
        epoch: u64,
        /// The register.
        key: Key,
        /// The round.
        ballot: Ballot,
        /// The value.
        value: V,
    },
    /// Ends an epoch at this replica, and asks for its state.
    Seal {
        /// The epoch to end.
        epoch: u64,
    },
    /// Hands over the state with which a later epoch may start.
    Stage {
        /// The epoch that may start.
        epoch: u64,
        /// Identifier of the transition, which the shard map will name if it wins.
        transition: u64,
        /// State of all registers of the shard.
        slots: BTreeMap<Key, Slot<V>>,
    },
    /// Tells the replica set in force, as the object API holds it.
    Configure {
        /// The replica set.
        config: ShardConfig,
    },
}

/// Why a replica refuses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Rejection {
    /// A higher ballot was promised.
    Ballot {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The replica is not active in that epoch.
    Epoch {
        /// The latest epoch it was active in; 0 for none.
        known: u64,
    },
}

/// A replica's answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReplicaReply<V> {
    /// The ballot is promised.
    Promised {
        /// The ballot.
        ballot: Ballot,
        /// The value accepted so far.
        accepted: Option<(Ballot, V)>,
    },
    /// The value is accepted.
    Accepted {
        /// The ballot.
        ballot: Ballot,
    },
    /// The epoch is ended here.
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
    /// The replica set is taken note of.
    Configured,
    /// The request is refused.
    Rejected {
        /// Ballot of the refused request, where it had one.
        ballot: Option<Ballot>,
        /// Why.
        reason: Rejection,
    },
}

/// A request together with the shard it is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ShardRequest<V> {
    /// The shard.
    pub shard: ShardId,
    /// The request.
    pub request: ReplicaRequest<V>,
}
