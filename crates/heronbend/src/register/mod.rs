//! Replicated registers on shard replica sets: the core protocol.
//!
//! A register holds one small value and is changed by a function that a proposer applies to the
//! latest value: single-decree Paxos with change functions (Rystsov, "CASPaxos: Replicated State
//! Machines without logs", 2018). There is no leader and no log, so a paused process that wakes
//! can do no harm: its ballots are refused.
//!
//! Keys map to shards. A shard's replica set has an epoch, kept in the platform's object API and
//! changed there by compare-and-swap (Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup
//! replication", 2009). Replicas keep nothing on disk, so a restarted daemon is another
//! [`NodeId`](crate::identity::NodeId) and no member: it joins only by an epoch change, which seals
//! the old set at a majority, copies the state and then activates the new set.
//!
//! - [`change`]: what a register's value must offer.
//! - [`replica`]: a member of a shard's replica set.
//! - [`proposal`]: one change of one register.
//! - [`transition`]: one epoch change of one shard.
//! - [`shard_map`]: the object that names the replica sets.

pub mod change;
pub mod messages;
pub mod proposal;
pub mod replica;
pub mod shard_map;
pub mod transition;

#[cfg(test)]
mod tests;

pub use change::{Applied, RegisterValue};
pub use messages::{Ballot, Key, Rejection, ReplicaReply, ReplicaRequest, Slot};
pub use proposal::{Progress, Proposal};
pub use replica::Replica;
pub use shard_map::{ShardConfig, ShardId, ShardMap};
pub use transition::{Transition, TransitionStep};
