//! Admission control: limits on in-flight requests per caller, and the retry budget.
//!
//! Requests over a limit are rejected immediately with a retry-after; they are not queued.

mod caller_limits;
mod retry_budget;
#[cfg(test)]
mod tests;

pub use caller_limits::{CallerLimits, CallerPermit};
pub use retry_budget::{backoff, RetryBudget};
