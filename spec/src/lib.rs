//! Specification of heronbend's core protocol.
//!
//! A model is a handful of seats that hold [`Replica`](heronbend::register::Replica)s, authors that
//! make [`Proposal`](heronbend::register::Proposal)s, and drivers of
//! [`Transition`](heronbend::register::Transition)s: the very state machines that the daemon runs.
//! The model adds what the world does to them, and the checker explores every order of events up to
//! the bounds of a [`Bounds`](model::Bounds):
//!
//! - A message that was sent may be delivered at any later time, any number of times, or never: the
//!   network is a set that only grows, so loss, duplication and reordering are all in it.
//! - An author or driver may stop at any point, for ever or for as long as it likes: nothing forces
//!   its next step. This is a pause, a crash and a lost answer of the store alike.
//! - A seat may restart: its replica forgets everything and has a new incarnation.
//! - Anybody may learn the stored replica set at any time, and may act on an older one.
//!
//! A [`Scenario`](scenario::Scenario) says what authors want and what the outside world may see.
//! A [`Mutation`](model::Mutation) removes one guard, upon which the checker must find a
//! counterexample.

//!
//! The gateway's protocols at the store are models of their own, explored by [`explore`]:
//! [`command_lease`], under which one daemon at a time gives orders, [`result_log`], which two
//! daemons may append to at once, [`checkpoints`], the checkpoints of texts under way,
//! [`usage_reports`], what tenants use, [`quarantine`], requests that end their servers, and [`update_dissemination`], what daemons hear of the store by way
//! of others. They drive the gateway's own
//! state machines as well.

pub mod check;
pub mod checkpoints;
pub mod command_lease;
pub mod explore;
pub mod interner;
pub mod model;
pub mod quarantine;
pub mod result_log;
pub mod scenario;
pub mod shared_rate_limit;
pub mod update_dissemination;
pub mod usage_reports;
