//! Rate limits shared by all daemons, without I/O.
//!
//! For each key one daemon, chosen by rendezvous hashing over the live daemons, issues permits; all
//! others request permits from it and do nothing without one. The limit holds at all times, even
//! while daemons disagree about membership, are paused or partitioned; throughput may drop
//! meanwhile.
//!
//! - A permit is valid for a short time, measured by the requester from before it sent its request.
//!   A paused requester and late responses therefore never lead to the use of old permits.
//! - An issuer counts each permit for its validity plus one window, so all permits used within any
//!   window are counted together.
//! - A daemon issues permits only while it sees a majority of the recently live daemons, so at most
//!   one side of a partition continues.
//! - A daemon that has just started, or takes keys over from a lost one, waits until no earlier
//!   permit can still be used.
//! - While membership views differ, two daemons may issue permits for one key. The issued rate
//!   leaves room for this; see [`RateLimit::bounded`].

pub mod issuer;
#[cfg(test)]
mod tests;
pub mod view;

use std::time::Duration;

pub use issuer::PermitGrant;
pub use issuer::PermitIssuer;
pub use view::MembershipView;
pub use view::Refusal;

/// Length of the sliding window in which permits are counted.
pub const WINDOW: Duration = Duration::from_secs(1);
/// How long a permit is valid: several round trips between two regions.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(300);
/// How long an issued permit counts: its validity plus one window.
pub const ACCOUNTING_PERIOD: Duration = Duration::from_millis(1300);
/// Number of issuers of one key at a time that the limit allows for.
const MAX_CONCURRENT_ISSUERS: u32 = 2;

/// Limit on the permits that one daemon issues for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    /// Maximum number of permits per window.
    pub per_window: u32,
}

impl RateLimit {
    /// Limit for a wanted number of permits per window, of which at most `bound` may be used in
    /// total. Capped at half of `bound`, so that two concurrent issuers stay within it.
    pub fn bounded(wanted: f64, bound: f64) -> Self {
        let max = (bound / f64::from(MAX_CONCURRENT_ISSUERS)).floor().max(0.0);
        let wanted = wanted.floor().max(1.0);
        Self { per_window: wanted.min(max) as u32 }
    }
}
