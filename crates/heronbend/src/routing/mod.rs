//! Load balancing of requests over backends.
//!
//! Each sending thread owns one [`Router`]. A router knows its own in-flight requests exactly and
//! those of other routers only from delayed load reports, so it estimates a backend's load as the
//! last report plus the change of its own in-flight requests since then. Requests go to the less
//! loaded of two random backends of the router's subset (Mitzenmacher, "The power of two choices in
//! randomized load balancing", 2001). Prompts with a common prefix prefer the same engine as long
//! as its load is within a bound (Mirrokni et al., "Consistent hashing with bounded loads", 2016).

mod breaker;
mod router;
mod subset;
#[cfg(test)]
mod tests;

pub use breaker::{Breaker, RequestOutcome};
pub use router::{LoadReport, Query, RouteError, Router};
pub use subset::{choose_subset, rendezvous_score};
