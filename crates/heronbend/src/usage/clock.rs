//! The time that windows follow: the wall clock, without its jumps.

use std::time::Duration;

use super::Window;
use crate::Moment;

/// Difference between the wall clock and its course so far that is a jump and not drift. Clocks of
/// machines that keep time differ by some milliseconds.
const JUMP: Duration = Duration::from_millis(200);
/// Time for which the wall clock has to keep to a new course before that is believed. Jumps that
/// return are over by then.
const BELIEVED_AFTER: Duration = Duration::from_secs(60);

/// Derives the time since the Unix epoch from a steady clock and the wall clock.
#[derive(Debug, Clone)]
pub struct WindowClock {
    length: Duration,
    /// Time since the epoch when the steady clock read zero.
    origin: Duration,
    /// Another origin that the wall clock has kept to, and since when.
    other: Option<(Duration, Moment)>,
}

impl WindowClock {
    /// A clock for windows of `length` that takes the wall clock's word for the time.
    pub fn new(length: Duration, now: Moment, wall: Duration) -> Self {
        Self { length, origin: wall.saturating_sub(now), other: None }
    }

    /// Time since the epoch when the steady clock reads `now` and the wall clock `wall`.
    pub fn read(&mut self, now: Moment, wall: Duration) -> Duration {
        let origin = wall.saturating_sub(now);
        if origin.abs_diff(self.origin) <= JUMP {
            self.origin = origin;
            self.other = None;
            return wall;
        }
        match self.other {
            Some((other, since)) if origin.abs_diff(other) <= JUMP => {
                if now.saturating_sub(since) >= BELIEVED_AFTER {
                    self.origin = origin;
                    self.other = None;
                }
            }
            _ => self.other = Some((origin, now)),
        }
        self.origin + now
    }

    /// Takes over the time of a daemon that has run for longer; whether it differed.
    pub fn adopt_peer_time(&mut self, now: Moment, theirs: Duration) -> bool {
        let origin = theirs.saturating_sub(now);
        let differs = origin.abs_diff(self.origin) > JUMP;
        if differs {
            self.origin = origin;
        }
        differs
    }

    /// The window that a moment of the steady clock lies in.
    pub fn window(&self, at: Moment) -> Window {
        let nanos = (self.origin + at).as_nanos() / self.length.as_nanos().max(1);
        Window(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// When a window ends, by the steady clock; zero for one that ended before that began.
    pub fn end(&self, window: Window) -> Moment {
        let windows = u32::try_from(window.0 + 1).unwrap_or(u32::MAX);
        (self.length * windows).saturating_sub(self.origin)
    }
}
