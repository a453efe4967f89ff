//! Weight versions published by trainers, and the commands that make servers load them.
//!
//! - [`published`]: the published versions and the last accepted command.
//! - [`plan`]: which servers load which version, without I/O.
//! - [`lease`]: which daemon may issue commands, without I/O.
//! - [`takeover`]: which daemon takes over the lease, without I/O.
//! - [`watch`]: watches published versions at candidates for the lease.
//! - [`dispatcher`]: holds the lease and issues the commands.

pub mod dispatcher;
pub mod lease;
pub mod plan;
pub mod published;
pub mod takeover;
pub mod watch;

use std::collections::BTreeMap;

use heronbend::identity::Incarnation;
use serde::{Deserialize, Serialize};

/// A version that a trainer published for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// Name of the model.
    pub model: String,
    /// Version number.
    pub version: u64,
}

/// State of a server, as it reported some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Loaded versions by model.
    pub models: BTreeMap<String, u64>,
    /// Whether a command is in progress.
    pub busy: bool,
    /// Number of running and queued requests.
    pub requests: u32,
    /// Number of commands accepted since the server started.
    pub sequence: u64,
    /// Incarnation of the server, or zero if it does not report one.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// What happens to running requests when weights are swapped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapMode {
    /// They complete first.
    Wait,
    /// They continue with the new version.
    Continue,
}

/// A command to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCommand {
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// What happens to running requests.
    pub mode: SwapMode,
    /// The daemon that issues the command.
    pub holder: String,
    /// Fencing token; grows with every renewal of the holder's lease.
    pub fence: u64,
    /// Number of commands that the server must have accepted so far.
    pub expected_sequence: u64,
}
