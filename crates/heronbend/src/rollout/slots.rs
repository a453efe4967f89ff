//! Places for samples in a step.

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// Place of a sample in its step: prompt number times samples a prompt, plus sample number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct SlotIndex(pub u32);

/// A set of slots, one bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct SlotSet {
    words: Vec<u64>,
}

impl SlotSet {
    /// An empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a slot; whether it was absent.
    pub fn insert(&mut self, slot: SlotIndex) -> bool {
        let (word, bit) = position(slot);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let absent = self.words[word] & bit == 0;
        self.words[word] |= bit;
        absent
    }

    /// Removes a slot.
    pub fn remove(&mut self, slot: SlotIndex) {
        let (word, bit) = position(slot);
        if let Some(word) = self.words.get_mut(word) {
            *word &= !bit;
        }
    }

    /// Whether the slot is in the set.
    pub fn contains(&self, slot: SlotIndex) -> bool {
        let (word, bit) = position(slot);
        self.words.get(word).is_some_and(|word| word & bit != 0)
    }

    /// Number of slots in the set.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn position(slot: SlotIndex) -> (usize, u64) {
    ((slot.0 / WORD_BITS) as usize, 1 << (slot.0 % WORD_BITS))
}
