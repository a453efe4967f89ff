//! Tells refused callers when to come back.
//!
//! Load: an overload in which hundreds of callers are refused each second. If all were told the
//! same delay, they would come back together and be refused together. Each refusal takes the next
//! free time of a schedule that is spaced by the rate at which there is room for returning calls:
//! who is refused first is told an earlier time, and more urgent callers are not delayed by less
//! urgent ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Moment;

/// Share of the rate that is expected to be free for returning calls. Calls that are still in time
/// go first, and returning ones get what they leave.
const RETURN_SHARE: f64 = 0.25;
/// Time between two returning calls while no rate is known yet.
const UNKNOWN_SPACING: Duration = Duration::from_millis(10);
/// Longest delay. Overload is not predicted further ahead.
pub const MAX_DELAY: Duration = Duration::from_secs(5);

/// Times at which refused callers were told to come back.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// Latest time that was told, by priority.
    latest: BTreeMap<u8, Moment>,
}

impl ReturnSchedule {
    /// Returns the delay after which a caller that is refused now should come back. `rate` is the
    /// admission rate in calls per second, if calls are limited, and `earliest` the delay after
    /// which there may be room.
    pub fn next_delay(
        &mut self,
        now: Moment,
        priority: u8,
        rate: Option<f64>,
        earliest: Duration,
    ) -> Duration {
        let spacing = rate.map_or(UNKNOWN_SPACING, |rate| {
            Duration::try_from_secs_f64(1.0 / (rate * RETURN_SHARE)).unwrap_or(MAX_DELAY)
        });
        let earliest = now + earliest;
        let scheduled = self.latest.range(..=priority).map(|(_, latest)| *latest + spacing).max();
        let at = scheduled.map_or(earliest, |scheduled| scheduled.max(earliest));
        let at = at.min(now + MAX_DELAY);
        self.latest.retain(|_, latest| *latest > now);
        self.latest.insert(priority, at);
        at.saturating_sub(now)
    }
}
