//! Which back end serves a request.
//!
//! Each thread that sends requests owns one [`Router`]. It knows its own requests under way exactly
//! and everybody else's from reports that lag, so its estimate of a back end's load is the report
//! plus what this router has itself started since. Among the back ends of its subset it compares
//! two drawn at random (Mitzenmacher, "The power of two choices in randomized load balancing",
//! 2001). Prompts with a common prefix prefer one engine, up to a bound on that engine's load
//! (Mirrokni et al., "Consistent hashing with bounded loads", 2016).

mod breaker;
mod router;
mod subset;
#[cfg(test)]
mod tests;

pub use breaker::{Breaker, RequestOutcome};
pub use router::{LoadReport, Query, RouteError, Router};
pub use subset::{choose_subset, rendezvous_score};
