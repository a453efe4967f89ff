//! A clock that counts the time for which the machine is suspended.
//!
//! The steady clock of the standard library stands still then, so that leases and whatever else runs
//! out look younger than they are when the machine goes on.

use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Time since the machine was started, suspensions included.
///
/// # Panics
///
/// If the system has no such clock, which every Linux since 2.6.39 has: without it nothing that runs
/// out could be judged.
pub fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("the system's boot clock cannot be read: {error}"),
    }
}

/// A clock that begins at zero.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Time since it began.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}
