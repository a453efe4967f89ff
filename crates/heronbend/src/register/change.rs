//! Changes of register values.

use std::fmt::Debug;

/// Result of applying a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Applied<V, R> {
    /// The new value; equal to the old one if the change was rejected.
    pub value: V,
    /// Response to the caller.
    pub response: R,
}

/// A value that can be stored in a register.
///
/// [`apply`](Self::apply) must be deterministic and idempotent: a preempted proposer retries its
/// change, which may already have been applied.
pub trait RegisterValue: Clone + Debug + PartialEq {
    /// A change of the value. It identifies its author, so that a retry is recognized.
    type Change: Clone + Debug;
    /// Response to a change.
    type Response: Clone + Debug;

    /// Applies a change to the current value, which is `None` if the register was never written.
    fn apply(current: Option<&Self>, change: &Self::Change) -> Applied<Self, Self::Response>;
}
