//! Coordination logic of heronbend, a rollout service for reinforcement learning.
//!
//! Each module is a set of state machines without I/O: they take the current time and an input and
//! return effects. The daemon drives them with threads and sockets, the model checker in `spec`
//! explores their states, and the emulator runs hundreds of them in one process, so all three
//! exercise the same code.
//!
//! - [`settings`]: the settings tree, its validation, and its compilation into policies.
//! - [`membership`]: failure detection and gossip among daemons.
//! - [`record`]: the values that the daemon stores in registers.
//! - [`register`]: the consensus protocol for registers replicated on shard replica sets.
//! - [`request`]: at-most-once execution of non-idempotent requests.
//! - [`rollout`]: scheduling of rollout steps and delivery of their samples in batches.
//! - [`weights`]: rollout of weight versions to engines.
//! - [`lifecycle`]: lifecycle phases of backends: live, leaving, gone.
//! - [`routing`]: selection of a backend for a request.
//! - [`overlay`]: the broadcast tree that carries updates to all daemons of a zone.
//! - [`placement`]: server selection, queueing and load shedding.
//! - [`quarantine`]: isolation of requests that crash the servers running them.
//! - [`rate_limit`]: distributed rate limiting.
//! - [`access`]: tenants and their API keys.
//! - [`admission`]: per-caller concurrency limits and the retry budget.
//! - [`scaling`]: autoscaling: how many servers to request.
//! - [`shutdown`]: which requests a stopping daemon still takes.
//! - [`usage`]: usage metering by tenant and time window.
//! - [`external`]: message types of external systems.

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
pub mod shutdown;
pub mod usage;
pub mod weights;

/// Monotonic time since an arbitrary origin that is fixed for the lifetime of a state machine.
pub type Moment = std::time::Duration;
