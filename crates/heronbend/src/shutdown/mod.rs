//! Decides which requests a stopping daemon still takes. Performs no I/O.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::Moment;

/// Time after the stop signal from which only requests that end before the cutoff are taken. By
/// then the load balancer has directed new connections to other daemons, and what is left comes on
/// open connections, whose clients can send it elsewhere.
pub const ADMISSION_DELAY: Duration = Duration::from_millis(2500);

/// A stop that has been requested.
///
/// Requests that are not answered at the cutoff get a final response then, and streams are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    started_at: Moment,
    cutoff_at: Moment,
}

impl Shutdown {
    /// Records the stop signal at `now`; requests are served for another `serving_time`.
    pub fn start(now: Moment, serving_time: Duration) -> Self {
        Self { started_at: now, cutoff_at: now + serving_time }
    }

    /// When requests are no longer served.
    pub fn cutoff_at(&self) -> Moment {
        self.cutoff_at
    }

    /// Whether a request is taken at `now` that may run until `deadline`.
    pub fn admits(&self, now: Moment, deadline: Moment) -> bool {
        now < self.started_at + ADMISSION_DELAY || deadline <= self.cutoff_at
    }
}
