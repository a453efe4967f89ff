//! Slots that wait to be drawn, in the order in which they should be.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::slots::SlotIndex;
use crate::Moment;

/// Place of a slot in the order: longest expected first, then by sequence.
type Rank = (Reverse<u32>, i64);

/// A queue by expected length; slots of equal expectation keep their order.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingQueue {
    order: BTreeSet<(Rank, SlotIndex)>,
    ranks: BTreeMap<SlotIndex, Rank>,
    delayed: BTreeSet<(Moment, SlotIndex)>,
    next_back: i64,
    next_front: i64,
}

impl WaitingQueue {
    /// Adds a slot behind those of equal expectation.
    pub(super) fn push_back(&mut self, slot: SlotIndex, expected_length: u32) {
        self.next_back += 1;
        self.insert(slot, (Reverse(expected_length), self.next_back));
    }

    /// Adds a slot before those of equal expectation.
    pub(super) fn push_front(&mut self, slot: SlotIndex, expected_length: u32) {
        self.next_front -= 1;
        self.insert(slot, (Reverse(expected_length), self.next_front));
    }

    /// Adds a slot that is not to be drawn before `due`.
    pub(super) fn push_delayed(&mut self, ready_at: Moment, slot: SlotIndex) {
        self.delayed.insert((ready_at, slot));
    }

    /// Takes out slots whose delay is over.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<SlotIndex> {
        let mut due = Vec::new();
        while let Some((ready_at, slot)) = self.delayed.first().copied() {
            if ready_at > now {
                break;
            }
            self.delayed.pop_first();
            due.push(slot);
        }
        due
    }

    /// Changes the expectation of a slot, if it waits.
    pub(super) fn set_expected_length(&mut self, slot: SlotIndex, expected_length: u32) {
        if let Some((_, sequence)) = self.ranks.get(&slot).copied() {
            self.remove(slot);
            self.insert(slot, (Reverse(expected_length), sequence));
        }
    }

    /// Takes the slot to be drawn next.
    pub(super) fn pop(&mut self) -> Option<SlotIndex> {
        let (_, slot) = self.order.pop_first()?;
        self.ranks.remove(&slot);
        Some(slot)
    }

    /// Takes a slot out, wherever it is.
    pub(super) fn remove(&mut self, slot: SlotIndex) {
        if let Some(rank) = self.ranks.remove(&slot) {
            self.order.remove(&(rank, slot));
        }
        self.delayed.retain(|(_, delayed)| *delayed != slot);
    }

    /// Whether no slot waits, delayed ones included.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty() && self.delayed.is_empty()
    }

    fn insert(&mut self, slot: SlotIndex, rank: Rank) {
        self.ranks.insert(slot, rank);
        self.order.insert((rank, slot));
    }
}
