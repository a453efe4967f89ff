//! Coordination parts of heronbend, a rollout service for reinforcement learning.
//!
//! Each module is one duty, kept free of I/O: state machines take the current time and an input and
//! return effects. The daemon drives them with threads and sockets, the specification explores
//! them exhaustively, and the emulator runs hundreds of them in one process. It is the same code in
//! all three, so what is checked is what ships.
//!
//! - [`settings`]: the tree operators edit, validated and compiled.
//! - [`membership`]: which daemons are alive, and rumours spread among them.
//! - [`record`]: what the daemon keeps in registers.
//! - [`register`]: replicated registers on shard replica sets; the core protocol.
//! - [`request`]: at-most-once claims of not-repeatable requests.
//! - [`rollout`]: steps, samples and sealed batches.
//! - [`weights`]: rolling a weight version out to engines.
//! - [`lifecycle`]: live and leaving back ends.
//! - [`routing`]: which back end serves a request.
//! - [`overlay`]: the tree by which news reaches all daemons of a zone.
//! - [`placement`]: which server runs a request, how long work waits, when it is turned away.
//! - [`quarantine`]: requests that crash the servers that run them.
//! - [`rate_limit`]: rate limits shared by all daemons.
//! - [`access`]: tenants and their keys.
//! - [`admission`]: caller limits and the retry budget.
//! - [`scaling`]: how many servers to order in each zone.
//! - [`usage`]: what tenants use, by windows of time.
//! - [`external`]: message types of the outside systems.

pub mod access;
pub mod admission;
pub mod external;
pub mod identity;
pub mod lifecycle;
pub mod membership;
pub mod overlay;
pub mod placement;
pub mod quarantine;
pub mod rate_limit;
pub mod record;
pub mod register;
pub mod request;
pub mod rollout;
pub mod routing;
pub mod scaling;
pub mod settings;
pub mod usage;
pub mod weights;

/// Time since an arbitrary start that is the same for all inputs of one state machine.
pub type Moment = std::time::Duration;
