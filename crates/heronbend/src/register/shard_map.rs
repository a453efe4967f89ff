//! The shard map, which holds the replica set of each shard.

use std::collections::BTreeSet;

use musli::{Decode, Encode};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::messages::Key;
use crate::identity::NodeId;

/// Number of members of a replica set; fewer if too few daemons are alive.
pub const REPLICATION_FACTOR: usize = 3;

/// Index of a shard in the [`ShardMap`].
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct ShardId(pub u32);

/// The replica set of one shard in one epoch.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct ShardConfig {
    /// Epoch number, incremented with each replica set; the first is 1.
    pub epoch: u64,
    /// Identifier of the transition whose staged state is the initial state; 0 in the first epoch.
    pub transition: u64,
    /// Members with their incarnations, so a restarted daemon is not a member.
    pub members: BTreeSet<NodeId>,
}

impl ShardConfig {
    /// Returns the quorum size.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Replica sets of all shards, as stored in the object API.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ShardMap {
    /// Replica sets, indexed by [`ShardId`].
    pub shards: Vec<ShardConfig>,
}

impl ShardMap {
    /// Creates the initial map of `shards` shards, whose members are chosen by [`choose_members`].
    /// Each candidate is a node with its zone.
    pub fn initial(shards: u32, candidates: &[(NodeId, String)]) -> Self {
        let shards = (0..shards)
            .map(|shard| ShardConfig {
                epoch: 1,
                transition: 0,
                members: choose_members(ShardId(shard), candidates),
            })
            .collect();
        Self { shards }
    }

    /// Returns the shard of a key, or `None` if the map is empty.
    pub fn shard_of(&self, key: &Key) -> Option<ShardId> {
        let count = u64::try_from(self.shards.len()).ok().filter(|count| *count > 0)?;
        let shard = rapidhash_v3(key.0.as_bytes()) % count;
        u32::try_from(shard).ok().map(ShardId)
    }

    /// Returns the replica set of a shard.
    pub fn config(&self, shard: ShardId) -> Option<&ShardConfig> {
        self.shards.get(shard.0 as usize)
    }

    /// Adopts each replica set of `other` with a later epoch, and returns whether there was one.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (index, config) in other.shards.iter().enumerate() {
            match self.shards.get_mut(index) {
                Some(known) if known.epoch >= config.epoch => {}
                Some(known) => {
                    *known = config.clone();
                    changed = true;
                }
                None => {
                    self.shards.push(config.clone());
                    changed = true;
                }
            }
        }
        changed
    }
}

/// Chooses the members of a shard by descending rendezvous score, at first one from each zone.
pub fn choose_members(shard: ShardId, candidates: &[(NodeId, String)]) -> BTreeSet<NodeId> {
    let key = shard.0.to_le_bytes();
    let mut scored: Vec<_> = candidates
        .iter()
        .map(|(node, zone)| {
            let score = crate::routing::rendezvous_score(&key, node.name.0.as_bytes());
            (score, node, zone)
        })
        .collect();
    scored.sort_by(|left, right| right.cmp(left));
    let mut members = BTreeSet::new();
    let mut zones = BTreeSet::new();
    for (_, node, zone) in &scored {
        if members.len() < REPLICATION_FACTOR && zones.insert(*zone) {
            members.insert((*node).clone());
        }
    }
    for (_, node, _) in &scored {
        if members.len() < REPLICATION_FACTOR {
            members.insert((*node).clone());
        }
    }
    members
}
