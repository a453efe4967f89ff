//! A bound on the bytes of requests that a daemon holds at once.
//!
//! Each client may send a body as large as the configuration allows, and many may do so at the same
//! time. What does not fit is refused at once as not run, with a time to come back.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that may be held, and those that are.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    held: Cell<usize>,
}

/// Bytes held; given back when dropped.
#[derive(Debug)]
pub struct Hold {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, held: Cell::new(0) })
    }

    /// Bytes that are held now.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// A hold of nothing yet.
    pub fn hold(self: &Rc<Self>) -> Hold {
        Hold { budget: self.clone(), bytes: 0 }
    }
}

impl Hold {
    /// Holds more bytes; false, and nothing more, where they do not fit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.get();
        if bytes > self.budget.limit.saturating_sub(held) {
            return false;
        }
        self.budget.held.set(held + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
    }
}
