//! Clock for leases and deadlines.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use heronbend::Moment;
use heronbend_net::boot_clock::BootClock;

/// Measures the time since the daemon started.
#[derive(Clone)]
pub struct Clock(Rc<dyn Fn() -> Moment>);

impl Clock {
    /// Creates a clock that starts now. It includes the time during which the machine is suspended,
    /// since leases expire and peers take over meanwhile.
    pub fn system() -> Self {
        let clock = BootClock::start();
        Self(Rc::new(move || clock.elapsed()))
    }

    /// Creates a clock that reads the time from `now`.
    pub fn from_fn(now: impl Fn() -> Moment + 'static) -> Self {
        Self(Rc::new(now))
    }

    /// Time since the start of the daemon.
    pub fn now(&self) -> Moment {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Clock({:?})", self.now())
    }
}

/// Maximum difference between the two clocks that is not a suspension; they are not read at the
/// same instant.
const MAX_READ_GAP: Duration = Duration::from_millis(200);

/// Detects suspensions of the machine, during which the monotonic clock is paused and the boot
/// clock is not.
#[derive(Debug)]
pub struct SuspensionDetector {
    monotonic: Instant,
    boot: Moment,
}

impl SuspensionDetector {
    /// Creates a detector that starts now.
    pub fn new(clock: &Clock) -> Self {
        Self { monotonic: monotonic_now(), boot: clock.now() }
    }

    /// Returns how long the machine was suspended since the last check, if it was.
    pub fn check(&mut self, clock: &Clock) -> Option<Duration> {
        let next = Self::new(clock);
        let monotonic_elapsed = next.monotonic.duration_since(self.monotonic);
        let suspended = (next.boot - self.boot).saturating_sub(monotonic_elapsed);
        *self = next;
        (suspended > MAX_READ_GAP).then_some(suspended)
    }
}

/// Reads the monotonic clock, which timers use and which is paused while the machine is suspended.
#[expect(
    clippy::disallowed_methods,
    reason = "it is told apart from the clock that all else goes by"
)]
pub fn monotonic_now() -> Instant {
    Instant::now()
}
