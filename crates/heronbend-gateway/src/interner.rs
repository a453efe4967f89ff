//! Equal values that are held in memory once.

use std::collections::HashSet;
use std::hash::Hash;
use std::rc::Rc;

/// Values below which none is looked for that nobody holds any more.
const MIN_VALUES_TO_PRUNE: usize = 64;

/// Values of which equal ones are shared by all that hold them.
#[derive(Debug)]
pub struct Pool<T> {
    values: HashSet<Rc<T>>,
    /// How many values there may be before those that nobody holds are dropped.
    prune_at: usize,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self { values: HashSet::new(), prune_at: MIN_VALUES_TO_PRUNE }
    }
}

impl<T: Eq + Hash> Pool<T> {
    /// The value that is equal to this one and held already, or this one.
    pub fn share(&mut self, value: Rc<T>) -> Rc<T> {
        if let Some(known) = self.values.get(&value) {
            return known.clone();
        }
        if self.values.len() >= self.prune_at {
            self.prune();
        }
        self.values.insert(value.clone());
        value
    }

    /// Drops the values that nobody else holds. The next time is once as many have come again, so that
    /// a value costs a bounded number of looks however many there are.
    fn prune(&mut self) {
        self.values.retain(|value| Rc::strong_count(value) > 1);
        self.prune_at = (2 * self.values.len()).max(MIN_VALUES_TO_PRUNE);
    }

    /// Values that are held.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
