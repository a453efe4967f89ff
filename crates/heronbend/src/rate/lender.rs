//! What one daemon has lent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Terms;
use super::SETTLED;
use crate::Moment;

/// What a borrower is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Permits, each for one use.
    pub permits: u32,
    /// Time after which there may be more, if it got none.
    pub again: Duration,
}

/// Permits lent of late, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Lender {
    lent: BTreeMap<String, VecDeque<Moment>>,
}

impl Lender {
    /// Lends up to `wanted` permits of a key.
    pub fn lend(&mut self, now: Moment, key: &str, wanted: u32, terms: Terms) -> Loan {
        self.lent.retain(|_, lent| lent.back().is_some_and(|last| now < *last + SETTLED));
        let lent = self.lent.entry(key.to_owned()).or_default();
        while lent.front().is_some_and(|first| now >= *first + SETTLED) {
            lent.pop_front();
        }
        let used = u32::try_from(lent.len()).unwrap_or(u32::MAX);
        let permits = terms.per_window.saturating_sub(used).min(wanted);
        lent.extend((0..permits).map(|_| now));
        let first = lent.front().copied().unwrap_or(now);
        Loan { permits, again: (first + SETTLED).saturating_sub(now) }
    }
}
