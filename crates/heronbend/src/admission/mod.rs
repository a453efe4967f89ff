//! Caller limits and the retry budget.
//!
//! A refusal is final and goes out at once; it tells the caller when to come back. Nothing that has
//! been given up is held back.

mod caller_limits;
mod retry_budget;
#[cfg(test)]
mod tests;

pub use caller_limits::{CallerLimits, CallerPermit};
pub use retry_budget::{backoff, RetryBudget};
