//! What the service needs from its surroundings, as traits.
//!
//! - [`object_store`]: objects by kind and name, with conditions and watches. Everything that must
//!   last is kept there.
//! - [`dialect`]: how calls, headers and the operator's objects are spelled.
//!
//! `heronbend-platform` implements both for the users' platform; tests implement them in memory.

pub mod dialect;
pub mod object_store;

pub use dialect::{Call, Dialect, DialectError, HeaderNames, OperatorKinds};
pub use object_store::{
    Change, Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError,
};
