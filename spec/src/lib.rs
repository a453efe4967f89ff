//! Executable specification of heronbend's protocols, checked by bounded exploration.
//!
//! The core protocol in [`model`] consists of hosts that run a
//! [`Replica`](heronbend::register::Replica) each, proposers that run
//! [`Proposal`](heronbend::register::Proposal)s, and drivers that run
//! [`Transition`](heronbend::register::Transition)s, which are the state machines of the daemon.
//! The model adds the environment, and [`check`] explores all interleavings within
//! [`Bounds`](model::Bounds):
//!
//! - A sent message may be delivered any number of times, at any later time, or never. The network
//!   is a set that only grows, which covers loss, duplication and reordering.
//! - A proposer or driver may stop at any point, temporarily or for good. This covers pauses,
//!   crashes and lost responses.
//! - A host may restart: its replica loses its state and gets a new incarnation.
//! - A replica may learn the stored replica set at any time, and a proposer may use an outdated
//!   one.
//!
//! A [`Scenario`](scenario::Scenario) defines what the proposers do and what an external observer
//! sees. A [`Mutation`](model::Mutation) removes one guard of the protocol; the checker must then
//! find a counterexample.
//!
//! The gateway's protocols are separate models, explored by [`explore`], which also run the
//! gateway's own state machines:
//!
//! - [`capacity_shares`]: shares of a service's capacity that daemons work out from reports.
//! - [`checkpoints`]: checkpoints of the output of batch items.
//! - [`command_lease`]: the lease under which one daemon at a time sends commands.
//! - [`job_ownership`]: which daemon runs a batch job, and that an owned job runs.
//! - [`owed_item`]: when an accepted item under which servers crash is placed again.
//! - [`quarantine`]: quarantine of requests that crash their servers.
//! - [`result_log`]: the result log of a batch job, with concurrent writers.
//! - [`shared_rate_limit`]: a rate limit that daemons share by issuing permits.
//! - [`update_dissemination`]: updates of the store that reach daemons through other daemons.
//! - [`usage_reports`]: reports of the usage of tenants to the provider.

pub mod capacity_shares;
pub mod check;
pub mod checkpoints;
pub mod command_lease;
pub mod explore;
pub mod interner;
pub mod job_ownership;
pub mod model;
pub mod owed_item;
pub mod quarantine;
pub mod result_log;
pub mod scenario;
pub mod shared_rate_limit;
pub mod update_dissemination;
pub mod usage_reports;
