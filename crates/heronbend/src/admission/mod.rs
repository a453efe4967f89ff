//! Admission control: which calls are sent to servers, and when callers may retry.
//!
//! - [`call_queue`]: the queue of calls to a service whose servers cannot run all of them.
//! - [`adaptive_rate`]: learns the rate at which calls may be sent to a service.
//! - [`fleet_rate`]: learns that rate for a whole fleet.
//! - [`shared_limit`]: limits a daemon to its share of the rate of the fleet.
//! - [`demand_meter`]: measures the rate at which callers ask.
//! - [`fair_share`]: weighted shares of the tenants.
//! - [`caller_age`]: how long callers have been trying.
//! - [`return_schedule`]: when refused callers should come back.
//! - [`shares`]: shares of a service's capacity among daemons, from what they tell each other.
//! - `caller_limits`, `retry_budget`: limits on in-flight requests per caller, and on retries.

pub mod adaptive_rate;
pub mod call_queue;
pub mod caller_age;
mod caller_limits;
pub mod demand_meter;
mod fair_division;
pub mod fair_share;
pub mod fleet_rate;
#[cfg(test)]
mod fleet_rate_tests;
#[cfg(test)]
mod overload_tests;
mod retry_budget;
pub mod return_schedule;
pub mod shared_limit;
#[cfg(test)]
mod shared_overload_tests;
pub mod shares;
#[cfg(test)]
mod shares_tests;
#[cfg(test)]
mod tests;

pub use adaptive_rate::AdaptiveRate;
pub use call_queue::CallQueue;
pub use caller_age::CallerAge;
pub use caller_limits::{CallerLimits, CallerPermit};
pub use demand_meter::DemandMeter;
pub use fair_share::TenantKey;
pub use retry_budget::{backoff, RetryBudget, RetryToken};
pub use shared_limit::SharedLimit;
