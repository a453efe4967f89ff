//! Usage metering: the requests that servers started for each tenant, by wall-clock window.
//!
//! Every daemon counts the requests it forwards. Its counts for a window only grow, so they are
//! merged by maximum and may be received repeatedly, late or out of order. After a window has
//! closed, one daemon settles it: it writes the total to a record by compare-and-swap before
//! reporting it. All reports of the window, by any daemon, are read from that record.
//!
//! - [`clock`]: the clock that windows are based on.
//! - [`counts`]: request counts by tenant.
//! - [`ledger`]: counts by window and daemon.
//! - [`settlement`]: settled windows and the state of their reports.

pub mod clock;
pub mod counts;
pub mod ledger;
pub mod settlement;
#[cfg(test)]
mod tests;

pub use clock::WindowClock;
pub use counts::Counts;
pub use ledger::Ledger;
pub use settlement::Report;
pub use settlement::SettledWindows;
pub use settlement::Settlement;

use musli::Decode;
use musli::Encode;
use serde::Deserialize;
use serde::Serialize;

/// Index of a window. Window `k` starts `k` window lengths after the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Encode,
    Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct Window(pub u64);

impl Window {
    /// Returns the next window.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the window `count` windows earlier, or the first one.
    pub fn before(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }
}
