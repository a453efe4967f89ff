//! Decides which server runs a request, how long requests wait, and when they are rejected.
//!
//! The [`Placer`] performs no I/O. Callers report servers, requests in flight, limits and the time
//! to it, and carry out its decisions.
//!
//! - [`keys`]: interned names and keys of servers.
//! - [`server`]: the state of a server.
//! - [`health`]: load and health of a server as observed by this daemon.
//! - [`eligibility`]: which servers may run a request.
//! - [`rank`]: which of the eligible servers is the best.
//! - [`queue`]: queue of batch items, in order of urgency.
//! - [`slack`]: which batch items need fast servers.
//! - [`running`], [`moves`]: batch items in progress, and which of them move to a faster server.
//! - [`wait_policy`]: how long a call waits for a server, and when it is rejected.
//! - [`placer`], [`decisions`]: the state of the placer, and its decisions.
//! - [`split`]: which part of a split route runs a request.
//! - [`share`]: how daemons divide the connections of a server.
//! - [`exclusion_counts`]: counts of the reasons that exclude servers.

pub mod decisions;
pub mod eligibility;
pub mod exclusion_counts;
pub mod health;
pub mod keys;
pub mod moves;
pub mod placer;
pub mod queue;
pub mod rank;
pub mod running;
pub mod server;
pub mod share;
pub mod slack;
#[cfg(test)]
mod slack_tests;
pub mod split;
#[cfg(test)]
mod split_tests;
#[cfg(test)]
mod tests;
pub mod wait_policy;

pub use eligibility::AttemptHistory;
pub use eligibility::Exclusion;
pub use eligibility::Requirements;
pub use eligibility::VersionStatus;
pub use health::AttemptOutcome;
pub use keys::ModelKey;
pub use keys::RegionKey;
pub use keys::RegionSetKey;
pub use keys::ServerKey;
pub use keys::ServiceKey;
pub use keys::ZoneKey;
pub use moves::Assignment;
pub use placer::Choice;
pub use placer::PermitDemand;
pub use placer::Placer;
pub use queue::TicketKey;
pub use queue::Urgency;
pub use running::Run;
pub use running::RunKey;
pub use server::ColdStartLimit;
pub use server::PendingLoad;
pub use server::Registration;
pub use slack::Work;
pub use split::PartState;
pub use split::PartWait;
pub use wait_policy::Decision;
pub use wait_policy::Rejection;
pub use wait_policy::WaitState;
