//! At-most-once execution of non-idempotent requests.
//!
//! Before a daemon sends a non-idempotent request to a backend, it claims the request's key in a
//! register. Only the attempt that holds the claim may dispatch the request, and only once. Any
//! other attempt, on any daemon, gets the stored response, or is told that the request is in
//! progress or that its outcome is unknown.

mod claim;
#[cfg(test)]
mod tests;

pub use claim::{Claim, ClaimChange, ClaimResponse, StoredAnswer};
