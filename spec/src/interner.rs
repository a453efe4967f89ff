//! Small numbers for large parts of states, so that millions of states fit in memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Gives equal values the same number.
#[derive(Debug)]
pub struct Interner<T> {
    numbers: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { numbers: HashMap::new(), values: Vec::new() }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// The number of a value.
    pub fn number(&mut self, value: T) -> u32 {
        if let Some(number) = self.numbers.get(&value) {
            return *number;
        }
        let number = u32::try_from(self.values.len()).expect("fewer than 2^32 values");
        self.values.push(value.clone());
        self.numbers.insert(value, number);
        number
    }

    /// The value of a number.
    pub fn value(&self, number: u32) -> &T {
        &self.values[number as usize]
    }

    /// How many values there are.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
