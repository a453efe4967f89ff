//! What the service needs from its surroundings, as traits.
//!
//! - [`object_store`]: objects by kind and name, with conditions and watches. Everything that must
//!   last is kept there.
//! - [`provider`]: who provides the machines: reports of usage, orders for servers.
//! - [`dialect`]: how calls, headers and the operator's objects are spelled.
//!
//! `heronbend-platform` implements both for the users' platform; tests implement them in memory.

pub mod dialect;
pub mod object_store;
pub mod provider;

use std::rc::Rc;

pub use dialect::{Call, Dialect, DialectError, HeaderNames, OperatorKinds};
pub use object_store::{
    Change, Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError,
};
pub use provider::{Actor, Provider, ProviderError, ServerOrder};

/// The surroundings of a daemon.
#[derive(Clone)]
pub struct Ports {
    /// Where everything lasting is kept.
    pub store: Rc<dyn ObjectStore>,
    /// How the surroundings spell things.
    pub dialect: Rc<dyn Dialect>,
    /// Who provides the machines, where the daemon has duties towards them.
    pub provider: Option<Rc<dyn Provider>>,
}
