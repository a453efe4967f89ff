//! At-most-once execution of not-repeatable requests.
//!
//! Before the first byte of a not-repeatable request goes to a back end, the daemon claims the
//! request's key in a register. Only the attempt that holds the claim may dispatch, and it
//! dispatches once. Every other attempt, on any daemon, learns the stored answer, or that the
//! request is in progress, or that its outcome is unknown.

mod claim;
#[cfg(test)]
mod tests;

pub use claim::{Claim, ClaimChange, ClaimResponse, StoredAnswer};
