//! The one clock that rights and deadlines are judged by.

use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use heronbend::Moment;

/// Tells the time since the daemon's start.
#[derive(Clone)]
pub struct Clock(Rc<dyn Fn() -> Moment>);

impl Clock {
    /// The system's clock, from now on.
    pub fn system() -> Self {
        let started = Instant::now();
        Self(Rc::new(move || started.elapsed()))
    }

    /// A clock that is told the time.
    pub fn told(now: impl Fn() -> Moment + 'static) -> Self {
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
