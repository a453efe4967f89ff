//! The object that names each shard's replica set.

use std::collections::BTreeSet;

use musli::{Decode, Encode};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::messages::Key;
use crate::identity::NodeId;

/// Members of a replica set, where enough daemons are alive.
pub const REPLICATION_FACTOR: usize = 3;

/// Number of a shard.
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
    /// Counts replica sets of the shard; 1 is the first.
    pub epoch: u64,
    /// Identifier of the transition whose staged state this epoch starts with; 0 for the first.
    pub transition: u64,
    /// The members. Each names its incarnation, so that a restarted daemon is no member.
    pub members: BTreeSet<NodeId>,
}

impl ShardConfig {
    /// How many members decide.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// All shards, as the object API holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ShardMap {
    /// Replica sets by shard number.
    pub shards: Vec<ShardConfig>,
}

impl ShardMap {
    /// The first map: every shard on the given candidates, spread by rendezvous hashing over zones.
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

    /// The shard of a key; `None` while the map is empty.
    pub fn shard_of(&self, key: &Key) -> Option<ShardId> {
        let count = u64::try_from(self.shards.len()).ok().filter(|count| *count > 0)?;
        let shard = rapidhash_v3(key.0.as_bytes()) % count;
        u32::try_from(shard).ok().map(ShardId)
    }

    /// The replica set of a shard.
    pub fn config(&self, shard: ShardId) -> Option<&ShardConfig> {
        self.shards.get(shard.0 as usize)
    }

    /// Takes over every replica set that is newer in `other`; whether any was.
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

/// Chooses members of a shard: best rendezvous score first, a new zone before a zone used already.
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
