//! Sample slots of a step.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// Index of a sample in its step: `prompt * samples_per_prompt + sample`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct SlotIndex(pub u32);

/// A set of slots, stored as a bitmap.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct SlotSet {
    words: Vec<u64>,
}

impl SlotSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a slot. Returns whether it was newly inserted.
    pub fn insert(&mut self, slot: SlotIndex) -> bool {
        let (word, bit) = word_and_bit(slot);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_new
    }

    /// Removes a slot if present.
    pub fn remove(&mut self, slot: SlotIndex) {
        let (word, bit) = word_and_bit(slot);
        if let Some(word) = self.words.get_mut(word) {
            *word &= !bit;
        }
    }

    /// Returns whether the set contains a slot.
    pub fn contains(&self, slot: SlotIndex) -> bool {
        let (word, bit) = word_and_bit(slot);
        self.words.get(word).is_some_and(|word| word & bit != 0)
    }

    /// Returns the number of slots in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn word_and_bit(slot: SlotIndex) -> (usize, u64) {
    ((slot.0 / WORD_BITS) as usize, 1 << (slot.0 % WORD_BITS))
}
