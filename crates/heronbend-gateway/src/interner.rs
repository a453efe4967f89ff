//! Equal values that are held in memory once.

use std::collections::HashSet;
use std::hash::Hash;
use std::rc::Rc;

/// Values below which none is looked for that nobody holds any more.
const MIN_PRUNE_THRESHOLD: usize = 64;

/// Values of which equal ones are shared by all that hold them.
#[derive(Debug)]
pub struct Interner<T> {
    values: HashSet<Rc<T>>,
    /// How many values there may be before those that nobody holds are dropped.
    prune_threshold: usize,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { values: HashSet::new(), prune_threshold: MIN_PRUNE_THRESHOLD }
    }
}

impl<T: Eq + Hash> Interner<T> {
    /// The value that is equal to this one and held already, or this one.
    pub fn intern(&mut self, value: Rc<T>) -> Rc<T> {
        if let Some(known) = self.values.get(&value) {
            return known.clone();
        }
        if self.values.len() >= self.prune_threshold {
            self.prune();
        }
        self.values.insert(value.clone());
        value
    }

    /// Drops the values that nobody else holds. The next time is once as many have come again, so that
    /// a value costs a bounded number of looks however many there are.
    fn prune(&mut self) {
        self.values.retain(|value| Rc::strong_count(value) > 1);
        self.prune_threshold = (2 * self.values.len()).max(MIN_PRUNE_THRESHOLD);
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
