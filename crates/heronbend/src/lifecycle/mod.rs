//! Live and leaving back ends.
//!
//! Three sources say that a back end leaves: the platform's list of machines, which lags; the back
//! end's own answers and reports; and the operator. The earliest wins, and within one incarnation
//! nothing brings a leaving back end back, however old the list that still calls it live.

mod state;
#[cfg(test)]
mod tests;

pub use state::{
    Backend, BackendName, BackendPhase, Lifecycle, LifecycleChange, Phase, Signal, SignalSource,
};
