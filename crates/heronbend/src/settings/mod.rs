//! The settings tree: what operators edit and every daemon obeys.
//!
//! A tree is a set of nodes named by paths. A node states only the fields that differ from its
//! parent's; [`resolve`](tree::Tree::resolve) gives each value with the node it came from. The first
//! path segment is the node's [`Section`](schema::Section), which says which fields apply. Leaves
//! are the entities that [`Policy`](policy::Policy) is compiled from; inner nodes only carry values
//! to inherit.
//!
//! Reading never stops at the first mistake: all [`Finding`](finding::Finding)s are collected with
//! file, node and field.

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
