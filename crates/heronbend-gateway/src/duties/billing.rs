//! Usage accounting of one request.

use std::cell::Cell;
use std::rc::Rc;

use heronbend::Moment;

use super::usage::UsageTracker;

/// Counts a tenant's request once, when a server starts it.
pub struct Billing {
    usage: Rc<UsageTracker>,
    tenant: Box<str>,
    clock: Box<dyn Fn() -> Moment>,
    /// When the request was sent, unless the server reported that it did not run it.
    sent_at: Cell<Option<Moment>>,
    is_counted: Cell<bool>,
}

impl Billing {
    /// Creates the accounting of a request that was not sent yet. `clock` returns the current time.
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

    /// Records that the request is sent to a server, which may start it without any response.
    pub fn mark_sent(&self, at: Moment) {
        if self.sent_at.get().is_none() {
            self.sent_at.set(Some(at));
        }
    }

    /// Records that the server to which the request was sent at `at` did not run it.
    pub fn mark_not_run(&self, at: Moment) {
        if self.sent_at.get() == Some(at) {
            self.sent_at.set(None);
        }
    }

    /// Records that a server started the request at `at`.
    pub fn mark_started(&self, at: Moment) {
        if !self.is_counted.replace(true) {
            self.usage.record_request((self.clock)(), at, &self.tenant);
        }
    }
}

impl Drop for Billing {
    /// Counts a request that ended without a response, since a server most likely started it.
    fn drop(&mut self) {
        if let Some(at) = self.sent_at.get() {
            self.mark_started(at);
        }
    }
}
