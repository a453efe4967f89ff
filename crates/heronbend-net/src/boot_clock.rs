//! A monotonic clock that includes the time during which the machine is suspended.
//!
//! `std::time::Instant` does not advance during a suspension on Linux, so that leases and timeouts
//! measured with it would expire too late.

use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Returns the time since the machine booted, including suspensions.
///
/// # Panics
///
/// If `CLOCK_BOOTTIME` is not available; Linux has it since 2.6.39.
pub fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("the system's boot clock cannot be read: {error}"),
    }
}

/// Measures the time since its creation, including suspensions.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}
