//! Admission control: limits on in-flight requests per caller, the retry budget, and shares of a
//! service's capacity among daemons.
//!
//! Requests over a limit are rejected immediately with a retry-after; they are not queued.

mod caller_limits;
mod fair_division;
mod retry_budget;
pub mod shares;
#[cfg(test)]
mod shares_tests;
#[cfg(test)]
mod tests;

pub use caller_limits::{CallerLimits, CallerPermit};
pub use retry_budget::{backoff, RetryBudget};
