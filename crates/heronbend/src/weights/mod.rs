//! Rolling a weight version out to the engines of a model.
//!
//! One daemon at a time paces the rollout, in waves that keep the pool above its serving floor and
//! within the weight store's rate. Which daemon that is matters for progress only: every order
//! carries a fencing token from a register, and an engine refuses an order older than one it has
//! seen. An engine whose load failed does not state a version and gets no rollout work until it
//! does.

mod fence;
mod rollout;
#[cfg(test)]
mod tests;

pub use fence::{Fence, FenceChange};
pub use rollout::{LoadCommand, LoadResult, VersionRollout};
