//! Memory budget for client request bodies.
//!
//! A body that does not fit into the budget is rejected at once with a retry delay, without being
//! run.

use std::cell::Cell;
use std::rc::Rc;

/// Limit and current use of the budget.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Cell<usize>,
}

/// Reserved bytes, which are released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, reserved: Cell::new(0) })
    }

    /// Number of bytes reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Creates an empty reservation.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more bytes; returns `false` and reserves nothing if they don't fit.
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
