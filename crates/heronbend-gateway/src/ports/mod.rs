//! Traits for the external systems that the service depends on.
//!
//! - [`object_store`]: objects by kind and name, with conditional writes and watches. Holds all
//!   durable state.
//! - [`provider`]: the infrastructure provider, which receives usage reports and orders for
//!   servers.
//! - [`dialect`]: format of API calls, headers and stored objects.
//!
//! `heronbend-platform` implements them for the users' platform; tests use in-memory
//! implementations.

pub mod dialect;
pub mod object_store;
pub mod provider;

use std::rc::Rc;

pub use dialect::{Call, Dialect, DialectError, HeaderNames, OperatorKinds};
pub use object_store::{
    Change, Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError,
};
pub use provider::{Actor, Provider, ProviderError, ServerOrder};

/// External systems of a daemon.
#[derive(Clone)]
pub struct Ports {
    /// Store for durable state.
    pub store: Rc<dyn ObjectStore>,
    /// Formats of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Infrastructure provider, if this daemon has duties towards it.
    pub provider: Option<Rc<dyn Provider>>,
}
