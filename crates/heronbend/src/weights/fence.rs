//! The register that issues fencing tokens for weight commands.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::register::{Applied, RegisterValue};

/// The latest fencing token and its holder.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct Fence {
    /// The token. Increases with each new holder.
    pub token: u64,
    /// The node that may issue commands with this token.
    pub holder: NodeId,
}

/// A request for the fencing token. The current holder keeps its token if that exceeds `above`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct FenceChange {
    /// The requesting node.
    pub holder: NodeId,
    /// The highest token that an engine has rejected as stale, or 0 if none has. If the register
    /// was lost, engines may have seen higher tokens than it has issued since.
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
