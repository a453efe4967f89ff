//! Interning of equal values, which are stored once.

use std::collections::HashSet;
use std::hash::Hash;
use std::rc::Rc;

/// Minimum number of values before unused ones are pruned.
const MIN_PRUNE_THRESHOLD: usize = 64;

/// Set of shared values.
#[derive(Debug)]
pub struct Interner<T> {
    values: HashSet<Rc<T>>,
    /// Number of values at which unused ones are pruned.
    prune_threshold: usize,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { values: HashSet::new(), prune_threshold: MIN_PRUNE_THRESHOLD }
    }
}

impl<T: Eq + Hash> Interner<T> {
    /// Returns the stored value equal to `value`, or stores `value` and returns it.
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

    /// Drops unused values. The threshold doubles with the number of values in use, so that the
    /// amortised cost of an insertion is constant.
    fn prune(&mut self) {
        self.values.retain(|value| Rc::strong_count(value) > 1);
        self.prune_threshold = (2 * self.values.len()).max(MIN_PRUNE_THRESHOLD);
    }

    /// Number of stored values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
