//! Rollout of weight versions to the engines of a model.
//!
//! One daemon at a time runs the rollout, in waves that keep the serving share of the pool at or
//! above its floor and limit the load on the weight store. Each command carries a fencing token
//! from a register, and engines reject a token lower than the highest they have seen, so
//! correctness does not depend on there being a single such daemon. An engine whose load failed
//! reports no version and receives no rollout work until it reports one.

mod fence;
mod rollout;
#[cfg(test)]
mod tests;

pub use fence::{Fence, FenceChange};
pub use rollout::{LoadCommand, LoadResult, VersionRollout};
