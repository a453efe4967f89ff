//! Protocol of the platform: object API, machine list and weight store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::lifecycle::Phase;

/// Name of the settings object.
pub const SETTINGS_OBJECT: &str = "settings";
/// Name of the shard map object.
pub const SHARD_MAP_OBJECT: &str = "shard-map";

/// An object with its version, as returned by the object API.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Number of writes; 0 if the object does not exist.
    pub version: u64,
    /// Value of the object.
    pub value: T,
}

/// Kind of process that a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// A heronbend daemon.
    Daemon,
    /// A model engine.
    Engine,
    /// An application server.
    Application,
}

/// An entry of the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Kind of process that it runs.
    pub kind: MachineKind,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Pool of a backend; empty for a daemon.
    pub pool: String,
    /// Address on which it listens for HTTP.
    pub address: SocketAddr,
    /// Address on which a daemon listens for its peers.
    pub peer_address: Option<SocketAddr>,
    /// Zone in which it runs.
    pub zone: String,
    /// Region in which it runs.
    pub region: String,
    /// Lifecycle phase.
    pub phase: Phase,
}

/// The machine list, which is eventually consistent.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list, incremented with each change.
    pub version: u64,
    /// All listed machines.
    pub machines: Vec<Machine>,
}

/// Weight versions of a model in the weight store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredVersions {
    /// The newest version; `None` if there is none.
    pub latest: Option<u64>,
}
