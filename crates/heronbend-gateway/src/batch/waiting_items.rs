//! The items of a job that wait for a slot.

use std::cell::RefCell;
use std::collections::HashSet;

/// Identifiers of the items of a job that wait for a slot.
#[derive(Debug, Default)]
pub struct WaitingItems {
    items: RefCell<HashSet<String>>,
}

/// An item that waits until this value is dropped.
pub struct WaitingItem<'a> {
    items: &'a WaitingItems,
    id: &'a str,
}

impl WaitingItems {
    /// Records that an item waits.
    pub fn add<'a>(&'a self, id: &'a str) -> WaitingItem<'a> {
        self.items.borrow_mut().insert(id.to_owned());
        WaitingItem { items: self, id }
    }

    /// Whether an item waits.
    pub fn contains(&self, id: &str) -> bool {
        self.items.borrow().contains(id)
    }
}

impl Drop for WaitingItem<'_> {
    fn drop(&mut self) {
        self.items.items.borrow_mut().remove(self.id);
    }
}
