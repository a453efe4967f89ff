//! Memory budgets for what the daemon holds on behalf of clients and servers.
//!
//! Client request bodies and buffered answers have a budget each. What does not fit is refused at
//! once, except for parts of a stream that has started, which wait for room.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// Largest reservation that may use the share for small reservations.
pub const SMALL_RESERVATION_BYTES: usize = 64 * 1024;

/// Limit and current use of the budget.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// Part of the limit that only small reservations may use.
    small_share: usize,
    reserved: Cell<usize>,
    /// Notified when reserved bytes are released.
    released: Event,
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
        Self::with_small_share(limit, 0)
    }

    /// Creates a budget of `limit` bytes, `small_share` of which are only available to reservations
    /// of at most [`SMALL_RESERVATION_BYTES`].
    pub fn with_small_share(limit: usize, small_share: usize) -> Rc<Self> {
        Rc::new(Self { limit, small_share, reserved: Cell::new(0), released: Event::new() })
    }

    /// Number of bytes reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Maximum number of bytes that can be reserved.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Size of the largest possible reservation.
    pub fn max_reservation(&self) -> usize {
        self.limit.saturating_sub(self.small_share).max(self.limit.min(SMALL_RESERVATION_BYTES))
    }

    /// Number of bytes that can still be reserved by small reservations.
    pub fn available(&self) -> usize {
        self.limit - self.reserved.get()
    }

    /// Number of bytes by which a reservation can grow to `bytes`.
    pub fn available_to(&self, bytes: usize) -> usize {
        let is_small = bytes <= SMALL_RESERVATION_BYTES;
        let kept = if is_small { 0 } else { self.small_share };
        self.available().saturating_sub(kept)
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.reserved.set(self.reserved.get() - bytes);
            self.released.notify(usize::MAX);
        }
    }

    /// Creates an empty reservation.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more bytes; returns `false` and reserves nothing if they don't fit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes > self.budget.available_to(self.bytes.saturating_add(bytes)) {
            return false;
        }
        self.budget.reserved.set(self.budget.reserved.get() + bytes);
        self.bytes += bytes;
        true
    }

    /// Changes the reservation to `bytes`; returns `false` and changes nothing if they don't fit.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.budget.release(self.bytes - bytes);
        self.bytes = bytes;
        true
    }

    /// Changes the reservation to `bytes` once they fit. Waits forever if they exceed
    /// [`MemoryBudget::max_reservation`].
    pub async fn resize_when_released(&mut self, bytes: usize) {
        loop {
            let released = self.budget.released.listen();
            if self.resize(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Changes the reservation to the capacity of a buffer that must hold `length` bytes and would
    /// better have `wanted`. Returns the capacity; `None` if not even `length` bytes fit.
    pub fn resize_buffer(&mut self, length: usize, wanted: usize) -> Option<usize> {
        let is_small = length <= SMALL_RESERVATION_BYTES;
        let wanted = if is_small { wanted.min(SMALL_RESERVATION_BYTES) } else { wanted };
        [wanted.max(length), length].into_iter().find(|capacity| self.resize(*capacity))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
