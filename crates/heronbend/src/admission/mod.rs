//! Admission control: which calls are sent to servers, and when callers may retry.
//!
//! - [`call_queue`]: the queue of calls to a service whose servers cannot run all of them.
//! - [`adaptive_rate`]: learns the rate at which calls may be sent to a service.
//! - [`fair_share`]: weighted shares of the tenants.
//! - [`caller_age`]: how long callers have been trying.
//! - [`return_schedule`]: when refused callers should come back.
//! - [`shares`]: shares of a service's capacity among daemons, from what they tell each other.
//! - `caller_limits`, `retry_budget`: limits on in-flight requests per caller, and on retries.

pub mod adaptive_rate;
pub mod call_queue;
pub mod caller_age;
mod caller_limits;
mod fair_division;
pub mod fair_share;
#[cfg(test)]
mod overload_tests;
mod retry_budget;
pub mod return_schedule;
pub mod shares;
#[cfg(test)]
mod shares_tests;
#[cfg(test)]
mod tests;

pub use adaptive_rate::AdaptiveRate;
pub use call_queue::CallQueue;
pub use caller_age::CallerAge;
pub use caller_limits::{CallerLimits, CallerPermit};
pub use fair_share::TenantKey;
pub use retry_budget::{backoff, RetryBudget, RetryToken};
