//! Names that tell processes and their restarts apart.

use std::fmt;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A daemon's configured name, kept across restarts.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct NodeName(pub String);

impl fmt::Display for NodeName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Distinguishes one run of a process from another; larger for a later run.
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
#[serde(transparent)]
#[musli(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One run of one daemon. A restarted daemon is another node: it has forgotten everything.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct NodeId {
    /// The daemon.
    pub name: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// A node of this name and incarnation.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: NodeName(name.to_owned()), incarnation: Incarnation(incarnation) }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.name, self.incarnation)
    }
}
