//! What a register's value must offer.

use std::fmt::Debug;

/// The value a change leaves behind, and what the change's author is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Applied<V, R> {
    /// The new value; equal to the old one when the change is refused.
    pub value: V,
    /// The answer to the author.
    pub response: R,
}

/// A value that registers can hold.
///
/// `apply` must be deterministic, and idempotent for one and the same change: a proposer whose round
/// was interrupted tries again, and may find that its own change has already been made.
pub trait RegisterValue: Clone + Debug + PartialEq {
    /// A change of the value, with the identity of its author.
    type Change: Clone + Debug;
    /// What the author learns.
    type Response: Clone + Debug;

    /// Applies a change to the current value; `None` when the register was never written.
    fn apply(current: Option<&Self>, change: &Self::Change) -> Applied<Self, Self::Response>;
}
