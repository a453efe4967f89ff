//! Counts the reward calls in flight.

use std::cell::RefCell;
use std::collections::HashMap;

use event_listener::Event;

/// Number of reward calls in flight by service.
#[derive(Debug, Default)]
pub struct InFlightCalls {
    in_flight: RefCell<HashMap<String, u32>>,
    /// Notified when a call finishes.
    pub finished: Event,
}

impl InFlightCalls {
    /// Number of calls in flight to a service.
    pub fn count(&self, service: &str) -> u32 {
        self.in_flight.borrow().get(service).copied().unwrap_or(0)
    }

    /// Records the start of a call.
    pub fn start(&self, service: &str) {
        *self.in_flight.borrow_mut().entry(service.to_owned()).or_default() += 1;
    }

    /// Records the end of a call.
    pub fn finish(&self, service: &str) {
        if let Some(in_flight) = self.in_flight.borrow_mut().get_mut(service) {
            *in_flight -= 1;
        }
        self.finished.notify(1);
    }
}
