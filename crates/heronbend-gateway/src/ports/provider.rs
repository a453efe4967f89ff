//! Whoever provides the machines: is told what tenants use, and takes orders for servers.

use async_trait::async_trait;
use heronbend::identity::NodeName;
use heronbend::usage::Report;
use thiserror::Error;

/// On whose authority a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Actor {
    /// The machine that holds the lease for the duty.
    pub holder: NodeName,
    /// Fencing token of the lease: rises with every renewal.
    pub fence: u64,
}

/// An order for servers of one service in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// How many of this kind there are to be.
    pub count: u32,
    /// Whether they cost less and may be taken away.
    pub is_revocable: bool,
}

/// Why a call did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProviderError {
    /// Nothing was done; a later call may succeed.
    #[error("nothing was done: {0}")]
    NotDone(String),
    /// There are no such servers to be had now.
    #[error("none are to be had now")]
    NoCapacity,
    /// A later holder has acted.
    #[error("a later holder has acted")]
    Fenced,
    /// The call is refused, and would be again.
    #[error("refused: {0}")]
    Refused(String),
    /// It may have been done, or may be done later.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

/// The provider.
#[async_trait(?Send)]
pub trait Provider {
    /// Reports a window's usage. A report that repeats another exactly changes nothing.
    async fn report_usage(&self, report: &Report, actor: &Actor) -> Result<(), ProviderError>;

    /// Orders a number of servers.
    async fn order_servers(&self, order: &ServerOrder, actor: &Actor) -> Result<(), ProviderError>;
}
