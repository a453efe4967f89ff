//! Estimates how long callers have been trying, from the time that they still have.
//!
//! Load: callers that were refused come back in the middle of an overload. A new attempt carries
//! another request id, but its remaining time is shorter than that of a first attempt. The longest
//! remaining time seen recently on a route is taken as that of first attempts.
//!
//! Callers with less patience than others look older than they are. The age therefore only orders
//! calls; it never makes one be refused while there is room.

use std::time::Duration;

use crate::Moment;

/// Period after which the longest remaining time is forgotten unless it is seen again.
const PERIOD: Duration = Duration::from_secs(10);

/// Remaining times of the callers of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerAge {
    /// Longest remaining time in the current and in the previous period.
    longest: [Duration; 2],
    period_ends: Moment,
}

impl CallerAge {
    /// Records a caller that has `remaining` time left, and returns for how long it has been
    /// trying.
    pub fn record(&mut self, now: Moment, remaining: Duration) -> Duration {
        if now >= self.period_ends {
            let is_stale = now >= self.period_ends + PERIOD;
            self.longest =
                [Duration::ZERO, if is_stale { Duration::ZERO } else { self.longest[0] }];
            self.period_ends = now + PERIOD;
        }
        self.longest[0] = self.longest[0].max(remaining);
        let longest = self.longest[0].max(self.longest[1]);
        longest.saturating_sub(remaining)
    }
}
