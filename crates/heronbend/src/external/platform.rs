//! The platform: object API, list of machines and weight store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::lifecycle::Phase;

/// Name of the object that holds the settings.
pub const SETTINGS_OBJECT: &str = "settings";
/// Name of the object that holds the shard map.
pub const SHARD_MAP_OBJECT: &str = "shard-map";

/// An object with its version, as the object API answers it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Counts writes; 0 stands for an object that does not exist.
    pub version: u64,
    /// The object.
    pub value: T,
}

/// What a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineKind {
    /// Runs a heronbend daemon.
    Daemon,
    /// Runs a model engine.
    Engine,
    /// Runs an application server.
    Application,
}

/// An entry of the list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: MachineKind,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Pool of a back end; empty for a daemon.
    pub pool: String,
    /// Where it listens for HTTP.
    pub address: SocketAddr,
    /// Where a daemon listens for its peers.
    pub peer_address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Live or leaving.
    pub phase: Phase,
}

/// The list of machines; it lags.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Grows with each change.
    pub version: u64,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// Versions of a model in the weight store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredVersions {
    /// The newest version; `None` when there is none.
    pub latest: Option<u64>,
}
