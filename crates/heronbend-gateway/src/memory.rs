//! A bound on the bytes of requests that a daemon holds at once.
//!
//! Each client may send a body as large as the configuration allows, and many may do so at the same
//! time. What does not fit is refused at once as not run, with a time to come back.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that may be reserved, and those that are.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

/// Bytes reserved; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, reserved: Cell::new(0) })
    }

    /// Bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// A hold of nothing yet.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Holds more bytes; false, and nothing more, where they do not fit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.budget.reserved.get();
        if bytes > self.budget.limit.saturating_sub(reserved) {
            return false;
        }
        self.budget.reserved.set(reserved + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.set(self.budget.reserved.get() - self.bytes);
    }
}
