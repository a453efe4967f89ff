//! Permits issued by one daemon.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::RateLimit;
use super::ACCOUNTING_PERIOD;
use crate::Moment;

/// Response to a request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitGrant {
    /// Number of permits granted, each for one use.
    pub permits: u32,
    /// Time after which more permits may be available, if none were granted.
    pub retry_after: Duration,
}

/// Issues permits and counts the recent ones by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PermitIssuer {
    /// Issue times of permits that still count, oldest first.
    issued: BTreeMap<String, VecDeque<Moment>>,
}

impl PermitIssuer {
    /// Issues up to `wanted` permits for a key.
    pub fn issue(&mut self, now: Moment, key: &str, wanted: u32, limit: RateLimit) -> PermitGrant {
        self.issued
            .retain(|_, issued| issued.back().is_some_and(|last| now < *last + ACCOUNTING_PERIOD));
        let issued = self.issued.entry(key.to_owned()).or_default();
        while issued.front().is_some_and(|first| now >= *first + ACCOUNTING_PERIOD) {
            issued.pop_front();
        }
        let used = u32::try_from(issued.len()).unwrap_or(u32::MAX);
        let permits = limit.per_window.saturating_sub(used).min(wanted);
        issued.extend((0..permits).map(|_| now));
        let oldest = issued.front().copied().unwrap_or(now);
        PermitGrant { permits, retry_after: (oldest + ACCOUNTING_PERIOD).saturating_sub(now) }
    }
}
