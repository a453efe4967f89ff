//! Identifiers of daemons and of their incarnations.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// The configured name of a daemon, stable across restarts.
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

/// Identifies one run of a process. Later runs have larger values.
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
    /// Returns the incarnation of a process starting now: milliseconds since the Unix epoch.
    pub fn starting_now() -> Self {
        Self(epoch_millis())
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
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

/// One incarnation of a daemon. A restarted daemon is a new node, as it keeps no state.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
pub struct NodeId {
    /// Name of the daemon.
    pub name: NodeName,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Creates the identifier of the given incarnation of a daemon.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: NodeName(name.to_owned()), incarnation: Incarnation(incarnation) }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.name, self.incarnation)
    }
}
