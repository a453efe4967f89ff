//! Message types of the outside systems' published protocols.
//!
//! Types only: the daemon's clients and the emulator's stand-ins share them.

pub mod engine;
pub mod platform;
