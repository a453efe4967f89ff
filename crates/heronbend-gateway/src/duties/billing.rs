//! One request's entry in the usage.

use std::cell::Cell;
use std::rc::Rc;

use heronbend::Moment;

use super::usage::UsageTracker;

/// Counts a request of a tenant once, when a server has begun it.
pub struct Billing {
    usage: Rc<UsageTracker>,
    tenant: Box<str>,
    clock: Box<dyn Fn() -> Moment>,
    /// When it was sent to a server that has not said that it did not run it.
    sent_at: Cell<Option<Moment>>,
    is_counted: Cell<bool>,
}

impl Billing {
    /// The entry of a request that no server has been sent.
    pub fn new(
        usage: Rc<UsageTracker>,
        tenant: &str,
        clock: impl Fn() -> Moment + 'static,
    ) -> Self {
        Self {
            usage,
            tenant: tenant.into(),
            clock: Box::new(clock),
            sent_at: Cell::default(),
            is_counted: Cell::new(false),
        }
    }

    /// Notes that the request is being sent to a server, which may begin it without telling.
    pub fn mark_sent(&self, at: Moment) {
        if self.sent_at.get().is_none() {
            self.sent_at.set(Some(at));
        }
    }

    /// Notes that the server which was sent the request at `at` did not run it.
    pub fn mark_not_run(&self, at: Moment) {
        if self.sent_at.get() == Some(at) {
            self.sent_at.set(None);
        }
    }

    /// Notes that a server began the request at `at`.
    pub fn mark_started(&self, at: Moment) {
        if !self.is_counted.replace(true) {
            self.usage.record_request((self.clock)(), at, &self.tenant);
        }
    }
}

impl Drop for Billing {
    /// A request that ends without an answer was most likely begun.
    fn drop(&mut self) {
        if let Some(at) = self.sent_at.get() {
            self.mark_started(at);
        }
    }
}
