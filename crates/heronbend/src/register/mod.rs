//! Replicated registers: consensus on small values by the replica sets of shards.
//!
//! A register holds one small value. A proposer changes it by applying a function to the latest
//! value, which is single-decree Paxos with change functions (Rystsov, "CASPaxos: Replicated State
//! Machines without logs", 2018). There is no leader and no log. A process that resumes after a
//! pause cannot overwrite newer values, because its ballots are rejected.
//!
//! Keys map to shards. The replica set of a shard has an epoch, which is stored in the platform's
//! object API and changed by compare-and-swap (Lamport, Malkhi, Zhou, "Vertical Paxos and
//! primary-backup replication", 2009). Replicas store nothing on disk, so a restarted daemon has a
//! new [`NodeId`](crate::identity::NodeId) and is no longer a member. It joins again by an epoch
//! change, which seals a majority of the old set, copies the state and activates the new set.
//!
//! - [`change`]: the trait of register values.
//! - [`messages`]: requests and replies of replicas.
//! - [`replica`]: acceptor state of one shard.
//! - [`proposal`]: one change of one register.
//! - [`transition`]: one epoch change of one shard.
//! - [`shard_map`]: the replica sets of all shards.

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
