//! Versions of weights that trainers name, and the orders that bring servers to them.
//!
//! - [`published`]: named versions, and orders that servers have taken.
//! - [`plan`]: which servers load which version now, without I/O.
//! - [`lease`]: who may give orders, without I/O.
//! - [`watch`]: follows the versions that trainers name, at the daemons that may give orders.
//! - [`dispatcher`]: holds the lease and gives the orders.

pub mod dispatcher;
pub mod lease;
pub mod plan;
pub mod published;
pub mod watch;

use std::collections::BTreeMap;

use heronbend::identity::Incarnation;
use serde::{Deserialize, Serialize};

/// A version that a trainer has named for a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// A server's state, as it was some time before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Versions by model.
    pub models: BTreeMap<String, u64>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Orders taken since the server's start.
    pub sequence: u64,
    /// Which run of the server tells this; zero where servers do not say.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// What becomes of requests that run while weights are exchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapMode {
    /// They end first.
    Wait,
    /// They go on under the new version.
    Continue,
}

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCommand {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// What becomes of running requests.
    pub mode: SwapMode,
    /// Who gives the order.
    pub holder: String,
    /// Fencing token: grows with every renewal of the holder's lease.
    pub fence: u64,
    /// Orders that the server must have taken so far.
    pub expected_sequence: u64,
}
