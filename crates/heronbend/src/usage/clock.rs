//! Wall-clock time for usage windows, protected against clock jumps.

use std::time::Duration;

use super::Window;
use crate::Moment;

/// Largest deviation of the wall clock that is followed as drift; larger ones are treated as jumps.
/// Clocks of machines that keep time differ by some milliseconds.
const MAX_DRIFT: Duration = Duration::from_millis(200);
/// Time for which the wall clock must stay at a new offset after a jump before it is adopted.
const RESYNC_AFTER: Duration = Duration::from_secs(60);

/// Derives the time since the Unix epoch from a monotonic clock and the wall clock.
#[derive(Debug, Clone)]
pub struct WindowClock {
    length: Duration,
    /// Time since the epoch at which the monotonic clock read zero.
    origin: Duration,
    /// An origin the wall clock has jumped to, with the time of the jump.
    candidate: Option<(Duration, Moment)>,
}

impl WindowClock {
    /// Creates a clock for windows of `length` that starts from the current wall-clock time.
    pub fn new(length: Duration, now: Moment, wall: Duration) -> Self {
        Self { length, origin: wall.saturating_sub(now), candidate: None }
    }

    /// Returns the time since the epoch, given the readings of the monotonic and the wall clock.
    pub fn read(&mut self, now: Moment, wall: Duration) -> Duration {
        let origin = wall.saturating_sub(now);
        if origin.abs_diff(self.origin) <= MAX_DRIFT {
            self.origin = origin;
            self.candidate = None;
            return wall;
        }
        match self.candidate {
            Some((candidate, since)) if origin.abs_diff(candidate) <= MAX_DRIFT => {
                if now.saturating_sub(since) >= RESYNC_AFTER {
                    self.origin = origin;
                    self.candidate = None;
                }
            }
            _ => self.candidate = Some((origin, now)),
        }
        self.origin + now
    }

    /// Adopts the time of a daemon that has run for longer if it differs by more than the allowed
    /// drift. Returns whether it was adopted.
    pub fn adopt_peer_time(&mut self, now: Moment, peer_time: Duration) -> bool {
        let origin = peer_time.saturating_sub(now);
        let is_different = origin.abs_diff(self.origin) > MAX_DRIFT;
        if is_different {
            self.origin = origin;
        }
        is_different
    }

    /// Returns the window that contains a time of the monotonic clock.
    pub fn window(&self, at: Moment) -> Window {
        let nanos = (self.origin + at).as_nanos() / self.length.as_nanos().max(1);
        Window(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the monotonic time at which a window ends, or zero if it ended before the origin.
    pub fn end(&self, window: Window) -> Moment {
        let windows = u32::try_from(window.0 + 1).unwrap_or(u32::MAX);
        (self.length * windows).saturating_sub(self.origin)
    }
}
