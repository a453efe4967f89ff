//! Message types of the protocols of external systems.
//!
//! They are shared by the daemon's clients and the emulator's implementations of these systems.

pub mod engine;
pub mod platform;
