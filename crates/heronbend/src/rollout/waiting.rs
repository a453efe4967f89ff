//! Priority queue of slots waiting for generation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::slots::SlotIndex;
use crate::Moment;

/// Sort key of a queued slot: longest expected length first, then sequence number.
type Rank = (Reverse<u32>, i64);

/// A queue ordered by descending expected length. Slots of equal length are in FIFO order.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingQueue {
    queue: BTreeSet<(Rank, SlotIndex)>,
    ranks: BTreeMap<SlotIndex, Rank>,
    delayed: BTreeSet<(Moment, SlotIndex)>,
    next_back: i64,
    next_front: i64,
}

impl WaitingQueue {
    /// Adds a slot behind those of equal expected length.
    pub(super) fn push_back(&mut self, slot: SlotIndex, expected_length: u32) {
        self.next_back += 1;
        self.insert(slot, (Reverse(expected_length), self.next_back));
    }

    /// Adds a slot before those of equal expected length.
    pub(super) fn push_front(&mut self, slot: SlotIndex, expected_length: u32) {
        self.next_front -= 1;
        self.insert(slot, (Reverse(expected_length), self.next_front));
    }

    /// Adds a slot that becomes ready at `ready_at`.
    pub(super) fn push_delayed(&mut self, ready_at: Moment, slot: SlotIndex) {
        self.delayed.insert((ready_at, slot));
    }

    /// Removes and returns the delayed slots that are ready.
    pub(super) fn take_ready(&mut self, now: Moment) -> Vec<SlotIndex> {
        let mut ready = Vec::new();
        while let Some((ready_at, slot)) = self.delayed.first().copied() {
            if ready_at > now {
                break;
            }
            self.delayed.pop_first();
            ready.push(slot);
        }
        ready
    }

    /// Updates the expected length of a slot if it is queued.
    pub(super) fn set_expected_length(&mut self, slot: SlotIndex, expected_length: u32) {
        if let Some((_, sequence)) = self.ranks.get(&slot).copied() {
            self.remove(slot);
            self.insert(slot, (Reverse(expected_length), sequence));
        }
    }

    /// Removes and returns the next slot.
    pub(super) fn pop(&mut self) -> Option<SlotIndex> {
        let (_, slot) = self.queue.pop_first()?;
        self.ranks.remove(&slot);
        Some(slot)
    }

    /// Removes a slot, whether queued or delayed.
    pub(super) fn remove(&mut self, slot: SlotIndex) {
        if let Some(rank) = self.ranks.remove(&slot) {
            self.queue.remove(&(rank, slot));
        }
        self.delayed.retain(|(_, delayed)| *delayed != slot);
    }

    /// Returns whether there are no slots, neither queued nor delayed.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.delayed.is_empty()
    }

    fn insert(&mut self, slot: SlotIndex, rank: Rank) {
        self.ranks.insert(slot, rank);
        self.queue.insert((rank, slot));
    }
}
