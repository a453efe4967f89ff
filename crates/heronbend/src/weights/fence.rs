//! The register that hands out fencing tokens for weight orders.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::register::{Applied, Cell};

/// The latest fencing token and its holder.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Fence {
    /// The token; grows with each new holder.
    pub token: u64,
    /// Who may order with it.
    pub holder: NodeId,
}

/// Asks for a token; a node that holds the latest keeps it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct FenceChange {
    /// Who asks.
    pub holder: NodeId,
}

impl Cell for Fence {
    type Change = FenceChange;
    type Response = Self;

    fn apply(current: Option<&Self>, change: &FenceChange) -> Applied<Self, Self> {
        let value = match current {
            Some(fence) if fence.holder == change.holder => fence.clone(),
            other => Self {
                token: other.map_or(0, |fence| fence.token) + 1,
                holder: change.holder.clone(),
            },
        };
        Applied { response: value.clone(), value }
    }
}
