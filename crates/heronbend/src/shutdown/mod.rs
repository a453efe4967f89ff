//! Decides which requests a stopping daemon still takes. Performs no I/O.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::Moment;

/// Time after the stop signal from which idle connections are closed, and only requests that cannot
/// be lost are taken. By then the load balancer directs new connections to other daemons.
pub const ADMISSION_DELAY: Duration = Duration::from_millis(2500);

/// Whether the caller of a request can send it again after any failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// It can, once it has a response.
    Allowed,
    /// It cannot: the request must not run twice, or its response is a stream.
    Forbidden,
}

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
    pub fn admits(&self, now: Moment, deadline: Moment, repetition: Repetition) -> bool {
        let is_early = now < self.started_at + ADMISSION_DELAY;
        let ends_in_time = deadline <= self.cutoff_at;
        is_early || ends_in_time || repetition == Repetition::Allowed
    }
}
