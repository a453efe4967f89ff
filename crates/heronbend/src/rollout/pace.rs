//! Pace of the attempts of an accepted request under which servers crash.
//!
//! Accepted requests are run until they have a result, so crashes are never held against them. If
//! such a request is the cause after all, each attempt takes a server from the others. Attempts
//! are therefore delayed once several in a row have lost their server.

use std::time::Duration;

/// Number of lost servers in a row from which on the next attempt is delayed. A burst of crashes
/// rarely takes more servers from one request.
const LOSS_THRESHOLD: u32 = 3;
const INITIAL_DELAY: Duration = Duration::from_secs(1);
/// Longest delay; short of the 5 s for which an accepted request may be at no server.
pub const MAX_DELAY: Duration = Duration::from_secs(3);
/// Enough to exceed the longest delay.
const MAX_DOUBLINGS: u32 = 2;

/// Servers that one request has lost in a row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Pace {
    losses: u32,
    /// Whether the delay for the last loss is still to be waited for.
    is_due: bool,
}

impl Pace {
    /// Records an attempt whose connection ended before the server had sent anything of the
    /// response.
    pub fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
        self.is_due = true;
    }

    /// Records an attempt that a server answered, in whole or in part.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Whether attempts are delayed.
    pub fn is_delaying(&self) -> bool {
        self.losses >= LOSS_THRESHOLD
    }

    /// Delay before the next attempt, once after each loss. Attempts that no server ran in between
    /// are not delayed, as the request would be at no server for too long.
    pub fn take_delay(&mut self) -> Duration {
        if !std::mem::take(&mut self.is_due) {
            return Duration::ZERO;
        }
        let Some(doublings) = self.losses.checked_sub(LOSS_THRESHOLD) else {
            return Duration::ZERO;
        };
        let delay = INITIAL_DELAY * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        delay.min(MAX_DELAY)
    }
}
