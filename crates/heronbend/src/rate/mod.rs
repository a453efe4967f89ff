//! A rate that many daemons keep together, without I/O.
//!
//! Each key, whatever it stands for, has one daemon that lends permits for it: the first in an order
//! by rendezvous over the daemons that are alive. Everybody else asks it, and does nothing without a
//! permit. The bound has to hold at any time, also while daemons differ in whom they take for alive,
//! stand still, or have lost each other; being served less meanwhile is the price.
//!
//! - A permit holds for a short time, counted by the borrower from before it asked. So what a borrower
//!   that stood still does with old permits is nothing, and so are answers that come late.
//! - A lender counts what it has lent over a window and a permit's validity together: what is used
//!   within any window was lent within that.
//! - A daemon lends only while it sees most of the daemons that were there of late: of the parts of
//!   a fleet that was cut, at most one goes on.
//! - A daemon that takes keys over from a lost one waits until nothing that one lent can be used any
//!   more, and so does a daemon that has just started.
//! - While views differ for a moment, two daemons may lend for one key. The rate that is lent leaves
//!   room for that: see [`Terms::bounded`].

pub mod lender;
#[cfg(test)]
mod tests;
pub mod view;

use std::time::Duration;

pub use lender::Lender;
pub use lender::Loan;
pub use view::Refusal;
pub use view::View;

/// Length of the windows in which the rate is bounded.
pub const WINDOW: Duration = Duration::from_secs(1);
/// How long a permit holds. Several times a message and its answer between two regions; a borrower
/// that waits for a free place meanwhile loses little by asking again.
pub const VALIDITY: Duration = Duration::from_millis(300);
/// Time after which nothing that was lent can be used, or counts in a window, any more.
pub const SETTLED: Duration = Duration::from_millis(1300);
/// Lenders of one key that the rate leaves room for.
const LENDERS: u32 = 2;

/// How much may be lent of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Most permits in any window.
    pub per_window: u32,
}

impl Terms {
    /// What is to be lent of a rate that is wanted, where more than `bound` in a window would do
    /// harm: no more than half of the bound, so that two lenders keep it together.
    pub fn bounded(wanted: f64, bound: f64) -> Self {
        let most = (bound / f64::from(LENDERS)).floor().max(0.0);
        let wanted = wanted.floor().max(1.0);
        Self { per_window: wanted.min(most) as u32 }
    }
}
