//! Reward calls under way, by service.

use std::cell::RefCell;
use std::collections::HashMap;

use event_listener::Event;

/// Reward calls under way, by service.
#[derive(Debug, Default)]
pub struct Gate {
    running: RefCell<HashMap<String, u32>>,
    /// Notified when a call has ended.
    pub left: Event,
}

impl Gate {
    /// Reward calls that are under way at a service.
    pub fn running(&self, service: &str) -> u32 {
        self.running.borrow().get(service).copied().unwrap_or(0)
    }

    /// Notes that a call begins.
    pub fn begin(&self, service: &str) {
        *self.running.borrow_mut().entry(service.to_owned()).or_default() += 1;
    }

    /// Notes that a call has ended.
    pub fn end(&self, service: &str) {
        if let Some(running) = self.running.borrow_mut().get_mut(service) {
            *running -= 1;
        }
        self.left.notify(1);
    }
}
