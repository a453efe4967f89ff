//! The settings tree, which operators edit and every daemon applies.
//!
//! A tree is a set of nodes identified by paths. A node sets only the fields that differ from its
//! parent's; [`resolve`](tree::Tree::resolve) returns the effective value of a field and the node
//! that set it. The first path segment is the node's [`Section`](schema::Section), which determines
//! the applicable fields. Leaves are the entities that [`Policy`] is compiled from; inner nodes
//! only provide values to inherit.
//!
//! Validation does not stop at the first error: it collects all [`Finding`]s with their file, node
//! and field.

pub mod finding;
pub mod policy;
pub mod revision;
pub mod schema;
pub mod tree;
pub mod units;

#[cfg(test)]
mod tests;

pub use finding::{Finding, Findings};
pub use policy::Policy;
pub use revision::{EditConflict, NodeEdit, SettingsObject};
pub use tree::{NodePath, RawValue, Tree};
