//! Scaling of a service's servers by zone.
//!
//! On-demand servers are permanent. Revocable (spot) servers cost less, but the provider may
//! reclaim all of them in a zone at once, so they only supplement a floor of on-demand servers:
//! those that the service was set up with. A policy decides how many revocable servers are wanted;
//! the planner applies the limits, tracks accepted and rejected orders, and orders only
//! differences.
//!
//! - [`policy`]: decides how many revocable servers are wanted.
//! - [`planner`]: plans orders for each zone.

pub mod planner;
pub mod policy;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use planner::Order;
pub use planner::OrderOutcome;
pub use planner::Planner;
pub use planner::PlannerState;
pub use policy::Demand;
pub use policy::Policy;

/// Scaling settings of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of servers of both kinds in each zone.
    pub min: u32,
    /// Maximum number of servers of both kinds in each zone.
    pub max: u32,
    /// Time from an order until the server is ready.
    pub boot_time: Duration,
    /// Price of a revocable server relative to an on-demand one; `None` if the provider has no
    /// revocable servers.
    pub revocable_price: Option<f64>,
}

/// Observed servers of one service in one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Price of a server in this zone, relative to other zones.
    pub price: f64,
    /// Number of on-demand servers that are not draining.
    pub on_demand: u32,
    /// Number of revocable servers that are not draining.
    pub revocable: u32,
}
