//! Names that tell processes and their restarts apart.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

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

impl Incarnation {
    /// The incarnation of a process that starts now: milliseconds since the Unix epoch.
    pub fn starting_now() -> Self {
        Self(epoch_millis())
    }
}

/// Milliseconds since the Unix epoch.
pub fn epoch_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

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
