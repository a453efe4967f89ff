//! The register that hands out fencing tokens for weight orders.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

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

/// Asks for a token; a node that holds the latest keeps it, if it is high enough.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct FenceChange {
    /// Who asks.
    pub holder: NodeId,
    /// A token that an engine has refused as too low, 0 for none. Engines outlive registers: after a
    /// loss of the register they have seen higher tokens than it knows.
    #[musli(default)]
    pub above: u64,
}

impl RegisterValue for Fence {
    type Change = FenceChange;
    type Response = Self;

    fn apply(current: Option<&Self>, change: &FenceChange) -> Applied<Self, Self> {
        let value = match current {
            Some(fence) if fence.holder == change.holder && fence.token > change.above => {
                fence.clone()
            }
            other => Self {
                token: other.map_or(0, |fence| fence.token).max(change.above) + 1,
                holder: change.holder.clone(),
            },
        };
        Applied { response: value.clone(), value }
    }
}
