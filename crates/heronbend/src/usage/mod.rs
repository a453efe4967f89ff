//! How much each tenant uses: the requests that servers began, by windows of the wall clock.
//!
//! Every daemon counts what it passes on. Its counts of a window only grow, so whoever is told them
//! twice, late or out of order takes the larger ones. When a window has closed, one daemon settles
//! it: it writes the sum into a record that is replaced by compare-and-swap, and only then reports
//! it. Whoever reports later, and however often, reports that text.
//!
//! - [`clock`]: the time that windows follow.
//! - [`counts`]: requests by tenant.
//! - [`ledger`]: the counts that daemons have told.
//! - [`settlement`]: windows that are settled, and which of them are reported.

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

/// Number of a window: window k begins k window lengths after the Unix epoch.
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
    /// The window after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The window that is `count` windows before this one.
    pub fn before(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }
}
