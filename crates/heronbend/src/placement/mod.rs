//! Which server runs a request, how long work waits for one, and when it is turned away.
//!
//! One machine without I/O decides all of it. It is fed with servers and their states, with what is
//! under way, with what waits, with limits and the time; it answers "there", "wait" or "refuse, and
//! come back then". Whoever drives it only carries that out.
//!
//! - [`keys`]: small keys for names, and the arena's key of a server.
//! - [`server`]: what is known of a server.
//! - [`load`]: what this daemon sees of a server's load and health.
//! - [`eligible`]: which servers may run a request. Nothing else says so.
//! - [`rank`]: which of those is the best.
//! - [`queue`]: texts that wait for a place, in order of urgency.
//! - [`patience`]: how long a call waits for a server, and when it is refused.
//! - [`placer`], [`decisions`]: the machine: what it is fed with, and what it decides.
//! - [`share`]: how many requests one daemon may have at a server that all daemons share.
//! - [`tally`]: what keeps servers from a request.

pub mod decisions;
pub mod eligibility;
pub mod exclusion_counts;
pub mod health;
pub mod keys;
pub mod placer;
pub mod queue;
pub mod rank;
pub mod server;
pub mod share;
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
pub use placer::Choice;
pub use placer::PermitDemand;
pub use placer::Placer;
pub use queue::TicketKey;
pub use queue::Urgency;
pub use server::ColdStartLimit;
pub use server::PendingLoad;
pub use server::Registration;
pub use wait_policy::Decision;
pub use wait_policy::Rejection;
pub use wait_policy::WaitState;
