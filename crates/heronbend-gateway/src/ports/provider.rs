//! Interface of the infrastructure provider, which receives usage reports and orders for servers.

use async_trait::async_trait;
use heronbend::identity::NodeName;
use heronbend::usage::Report;
use thiserror::Error;

/// The lease holder on whose behalf a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Actor {
    /// The node that holds the lease.
    pub holder: NodeName,
    /// Fencing token of the lease; increases with every renewal.
    pub fence: u64,
}

/// Sets the number of servers of a service in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
    /// Target number of servers of this kind.
    pub count: u32,
    /// Whether the servers are cheaper but may be revoked by the provider.
    pub is_revocable: bool,
}

/// Error of a call to the provider.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProviderError {
    /// The call had no effect; a retry may succeed.
    #[error("nothing was done: {0}")]
    NotDone(String),
    /// No such servers are available now.
    #[error("none are to be had now")]
    NoCapacity,
    /// A later holder of the lease has already made calls.
    #[error("a later holder has acted")]
    Fenced,
    /// The call was rejected, and a retry would be too.
    #[error("refused: {0}")]
    Refused(String),
    /// The call may have had an effect, or may still have one.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}

/// An infrastructure provider.
#[async_trait(?Send)]
pub trait Provider {
    /// Reports the usage of a window. Idempotent for identical reports.
    async fn report_usage(&self, report: &Report, actor: &Actor) -> Result<(), ProviderError>;

    /// Sets the number of servers of a service in a zone.
    async fn order_servers(&self, order: &ServerOrder, actor: &Actor) -> Result<(), ProviderError>;
}
