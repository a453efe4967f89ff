//! Lifecycle phases of backends.
//!
//! A backend's phase is learned from the platform's machine list, which may be stale, from the
//! backend's own responses and reports, from operators, and from other daemons. The first report of
//! a later phase takes effect. Within one incarnation the phase only advances, so a stale machine
//! list cannot make a leaving backend live again.

mod state;
#[cfg(test)]
mod tests;

pub use state::{
    Backend, BackendName, BackendPhase, Lifecycle, LifecycleChange, Phase, Signal, SignalSource,
};
