//! One request's entry in the book.

use std::cell::Cell;
use std::rc::Rc;

use heronbend::Moment;

use super::usage::Book;

/// Counts a request of a tenant once, when a server has begun it.
pub struct Billing {
    book: Rc<Book>,
    tenant: Box<str>,
    clock: Box<dyn Fn() -> Moment>,
    /// When it was sent to a server that has not said that it did not run it.
    sent: Cell<Option<Moment>>,
    is_counted: Cell<bool>,
}

impl Billing {
    /// The entry of a request that no server has been sent.
    pub fn new(book: Rc<Book>, tenant: &str, clock: impl Fn() -> Moment + 'static) -> Self {
        Self {
            book,
            tenant: tenant.into(),
            clock: Box::new(clock),
            sent: Cell::default(),
            is_counted: Cell::new(false),
        }
    }

    /// Notes that the request is being sent to a server, which may begin it without telling.
    pub fn sent(&self, at: Moment) {
        if self.sent.get().is_none() {
            self.sent.set(Some(at));
        }
    }

    /// Notes that the server which was sent the request at `at` did not run it.
    pub fn not_run(&self, at: Moment) {
        if self.sent.get() == Some(at) {
            self.sent.set(None);
        }
    }

    /// Notes that a server began the request at `at`.
    pub fn began(&self, at: Moment) {
        if !self.is_counted.replace(true) {
            self.book.count((self.clock)(), at, &self.tenant);
        }
    }
}

impl Drop for Billing {
    /// A request that ends without an answer was most likely begun.
    fn drop(&mut self) {
        if let Some(at) = self.sent.get() {
            self.began(at);
        }
    }
}
