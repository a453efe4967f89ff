//! Interning of the components of states, so that millions of states fit in memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Assigns each distinct value an index.
#[derive(Debug)]
pub struct Interner<T> {
    indices: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { indices: HashMap::new(), values: Vec::new() }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// Returns the index of a value, which is inserted if it is new.
    pub fn intern(&mut self, value: T) -> u32 {
        if let Some(index) = self.indices.get(&value) {
            return *index;
        }
        let index = u32::try_from(self.values.len()).expect("fewer than 2^32 values");
        self.values.push(value.clone());
        self.indices.insert(value, index);
        index
    }

    /// Returns the value at an index.
    pub fn value(&self, index: u32) -> &T {
        &self.values[index as usize]
    }

    /// Returns the number of distinct values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no value was interned.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
