//! The one clock that rights and deadlines are judged by.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use heronbend::Moment;
use heronbend_net::boot_clock::BootClock;

/// Tells the time since the daemon's start.
#[derive(Clone)]
pub struct Clock(Rc<dyn Fn() -> Moment>);

impl Clock {
    /// The system's clock, from now on. It counts the time for which the machine is suspended: what
    /// others may do meanwhile does not wait.
    pub fn system() -> Self {
        let clock = BootClock::start();
        Self(Rc::new(move || clock.elapsed()))
    }

    /// A clock that is told the time.
    pub fn from_fn(now: impl Fn() -> Moment + 'static) -> Self {
        Self(Rc::new(now))
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Clock({:?})", self.now())
    }
}

/// Longest difference between the two clocks that is no suspension: they are read one after the other.
const MAX_READ_GAP: Duration = Duration::from_millis(200);

/// Notices suspensions: the steady clock, by which waits go, falls behind.
#[derive(Debug)]
pub struct SuspensionDetector {
    monotonic: Instant,
    boot: Moment,
}

impl SuspensionDetector {
    /// A watch that begins now.
    pub fn new(clock: &Clock) -> Self {
        Self { monotonic: monotonic_now(), boot: clock.now() }
    }

    /// How long the machine was suspended since the last look, if it was.
    pub fn check(&mut self, clock: &Clock) -> Option<Duration> {
        let next = Self::new(clock);
        let monotonic_elapsed = next.monotonic.duration_since(self.monotonic);
        let suspended = (next.boot - self.boot).saturating_sub(monotonic_elapsed);
        *self = next;
        (suspended > MAX_READ_GAP).then_some(suspended)
    }
}

/// The clock of the timers, which stands still while the machine is suspended.
#[expect(
    clippy::disallowed_methods,
    reason = "it is told apart from the clock that all else goes by"
)]
pub fn monotonic_now() -> Instant {
    Instant::now()
}
