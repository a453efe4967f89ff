//! Reward calls under way, by service.

use std::cell::RefCell;
use std::collections::HashMap;

use event_listener::Event;

/// Reward calls under way, by service.
#[derive(Debug, Default)]
pub struct InFlightCalls {
    in_flight: RefCell<HashMap<String, u32>>,
    /// Notified when a call has ended.
    pub finished: Event,
}

impl InFlightCalls {
    /// Reward calls that are under way at a service.
    pub fn count(&self, service: &str) -> u32 {
        self.in_flight.borrow().get(service).copied().unwrap_or(0)
    }

    /// Notes that a call begins.
    pub fn start(&self, service: &str) {
        *self.in_flight.borrow_mut().entry(service.to_owned()).or_default() += 1;
    }

    /// Notes that a call has ended.
    pub fn finish(&self, service: &str) {
        if let Some(in_flight) = self.in_flight.borrow_mut().get_mut(service) {
            *in_flight -= 1;
        }
        self.finished.notify(1);
    }
}
