//! How many servers to order, where, and of which kind.
//!
//! Servers on demand stay; revocable ones cost less and may be taken away, all of a zone at once. So
//! revocable servers only ever come on top of a floor of servers on demand: those that the service
//! was set up with. What comes on top is a policy's to say; the planner keeps bounds, remembers what
//! was ordered and refused, and orders only what differs.
//!
//! - [`policy`]: how many revocable servers are wanted.
//! - [`planner`]: which orders follow.

pub mod planner;
pub mod policy;
#[cfg(test)]
mod tests;

use std::time::Duration;

pub use planner::Memory;
pub use planner::Order;
pub use planner::Planner;
pub use planner::Reply;
pub use policy::Demand;
pub use policy::Policy;

/// What the operator states for the servers of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Fewest servers in each zone, of both kinds together.
    pub min: u32,
    /// Most servers in each zone, of both kinds together.
    pub max: u32,
    /// Time from an order until a server serves.
    pub boot: Duration,
    /// Price of a revocable server, as a share of another one's; none where there are no such.
    pub revocable_price: Option<f64>,
}

/// The servers of one service in one zone, as they are seen.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Price of a server here, relative to other zones.
    pub price: f64,
    /// Servers on demand that are not leaving.
    pub on_demand: u32,
    /// Revocable servers that are not leaving.
    pub revocable: u32,
}
