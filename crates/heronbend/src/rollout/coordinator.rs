//! Scheduling of the samples of a step.
//!
//! Samples of the same prompt have similar lengths, and a few are far longer than the rest.
//! Generating the samples with the longest expected length first shortens the tail of the step.
//! Near its end, idle engine capacity is used for hedging: a slot in flight gets a second attempt,
//! and the first attempt to finish fills the slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::pace::Pace;
use super::sample::Sample;
use super::slots::{SlotIndex, SlotSet};
use super::waiting::WaitingQueue;
use crate::Moment;

/// Delay before a slot is retried after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identifies an attempt to generate a sample, unique within a [`StepCoordinator`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The backend that ran it was lost, or may have been.
    BackendLost,
    /// Any other reason.
    Other,
}

/// Order in which waiting slots are generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SamplingOrder {
    /// In slot order.
    FirstInFirstOut,
    /// One sample of each prompt first, then by the longest sample of the prompt so far,
    /// descending.
    LongestExpectedFirst,
}

/// Parameters of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepPlan {
    /// Number of prompts.
    pub prompts: u32,
    /// Number of samples per prompt.
    pub samples_per_prompt: u32,
    /// Order in which slots are generated.
    pub order: SamplingOrder,
    /// Maximum number of concurrent attempts per slot; 1 disables hedging.
    pub max_copies: u32,
    /// Hedging starts when the fraction of slots in flight is at most this, in thousandths.
    pub hedge_below_milli: u32,
}

impl StepPlan {
    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.prompts * self.samples_per_prompt
    }

    /// Returns the index of the prompt of a slot.
    pub fn prompt_of(&self, slot: SlotIndex) -> u32 {
        slot.0 / self.samples_per_prompt
    }
}

/// An action for the driver of a [`StepCoordinator`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Start an attempt to generate the sample of a slot.
    Start {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Slot to fill.
        slot: SlotIndex,
    },
    /// Cancel an attempt because its slot has been filled.
    Cancel {
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
}

/// Result of [`StepCoordinator::compose_batch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextBatch {
    /// Samples of the next batch.
    Ready(Vec<Sample>),
    /// More samples must be generated first.
    Pending,
    /// Every slot has been delivered.
    Exhausted,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    slot: SlotIndex,
    started: Moment,
}

/// Schedules the samples of one step.
///
/// Invariant: each slot is in exactly one state: waiting, in flight, ready or delivered.
#[derive(Debug, Clone)]
pub struct StepCoordinator {
    plan: StepPlan,
    delivered: SlotSet,
    ready: VecDeque<Sample>,
    waiting: WaitingQueue,
    in_flight: BTreeMap<AttemptId, Attempt>,
    longest_by_prompt: BTreeMap<u32, u32>,
    /// Slots whose last attempts lost their backends.
    paces: BTreeMap<SlotIndex, Pace>,
    next_attempt: u64,
    wasted_tokens: u64,
}

impl StepCoordinator {
    /// Creates a coordinator for the slots that are not in `delivered`.
    pub fn new(plan: StepPlan, delivered: SlotSet) -> Self {
        let mut coordinator = Self {
            plan,
            delivered,
            ready: VecDeque::new(),
            waiting: WaitingQueue::default(),
            in_flight: BTreeMap::new(),
            longest_by_prompt: BTreeMap::new(),
            paces: BTreeMap::new(),
            next_attempt: 0,
            wasted_tokens: 0,
        };
        for slot in (0..plan.slots()).map(SlotIndex) {
            if !coordinator.delivered.contains(slot) {
                coordinator.waiting.push_back(slot, coordinator.expected_length(slot));
            }
        }
        coordinator
    }

    /// Overrides the expected length, in tokens, of the sample of a waiting slot.
    pub fn set_expected_length(&mut self, slot: SlotIndex, tokens: u32) {
        self.waiting.set_expected_length(slot, tokens);
    }

    /// Returns up to `capacity` attempts to start now.
    pub fn schedule(&mut self, now: Moment, capacity: usize) -> Vec<Effect> {
        let mut effects = Vec::new();
        for slot in self.waiting.take_ready(now) {
            self.waiting.push_back(slot, self.expected_length(slot));
        }
        while effects.len() < capacity {
            let Some(slot) = self.waiting.pop().or_else(|| self.next_hedge()) else {
                break;
            };
            effects.push(self.start_attempt(now, slot));
        }
        effects
    }

    /// Records the sample of a completed attempt. Cancels other attempts for its slot.
    pub fn on_completed(&mut self, attempt: AttemptId, sample: Sample) -> Vec<Effect> {
        let Some(Attempt { slot, .. }) = self.in_flight.remove(&attempt) else {
            self.wasted_tokens += u64::from(sample.tokens());
            return Vec::new();
        };
        self.paces.remove(&slot);
        self.record_length(slot, sample.tokens());
        self.ready.push_back(sample);
        self.cancel_attempts(slot)
    }

    /// Records a failed attempt. Its slot is retried unless another attempt is in flight, later if
    /// it keeps losing its backends.
    pub fn on_failed(&mut self, now: Moment, attempt: AttemptId, failure: AttemptFailure) {
        let Some(Attempt { slot, .. }) = self.in_flight.remove(&attempt) else {
            return;
        };
        let pace = self.paces.entry(slot).or_default();
        if failure == AttemptFailure::BackendLost {
            pace.record_loss();
        }
        let delay = pace.take_delay().max(RETRY_DELAY);
        if !self.in_flight.values().any(|other| other.slot == slot) {
            self.waiting.push_delayed(now + delay, slot);
        }
    }

    /// Returns the samples of the next batch, none older than version `floor`. They stay ready
    /// until [`StepCoordinator::on_sealed`]. Slots of stale samples are queued for regeneration.
    pub fn compose_batch(&mut self, floor: u64, batch_size: usize) -> NextBatch {
        let (fresh, stale): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.ready).into_iter().partition(|sample| sample.is_fresh(floor));
        self.ready = fresh;
        for sample in stale {
            self.wasted_tokens += u64::from(sample.tokens());
            self.waiting.push_front(sample.slot, self.expected_length(sample.slot));
        }
        let undelivered = (self.plan.slots() - self.delivered.len()) as usize;
        if undelivered == 0 {
            return NextBatch::Exhausted;
        }
        let target_size = batch_size.min(undelivered);
        if self.ready.len() < target_size {
            return NextBatch::Pending;
        }
        NextBatch::Ready(self.ready.iter().take(target_size).cloned().collect())
    }

    /// Marks the slots of a sealed batch as delivered, including those filled by other
    /// coordinators.
    pub fn on_sealed(&mut self, samples: &[Sample]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for sample in samples {
            self.delivered.insert(sample.slot);
            self.waiting.remove(sample.slot);
            effects.extend(self.cancel_attempts(sample.slot));
        }
        let delivered = &self.delivered;
        self.ready.retain(|sample| !delivered.contains(sample.slot));
        effects
    }

    /// Queues the slots of samples that were evicted from the open batch for regeneration.
    pub fn on_evicted(&mut self, slots: impl Iterator<Item = SlotIndex>) {
        for slot in slots {
            self.delivered.remove(slot);
            self.waiting.push_front(slot, self.expected_length(slot));
        }
    }

    /// Returns whether every slot is delivered.
    pub fn is_fully_delivered(&self) -> bool {
        self.delivered.len() == self.plan.slots()
    }

    /// Returns the number of generated samples that are not yet sealed.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of tokens of completed samples that were discarded.
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    fn start_attempt(&mut self, now: Moment, slot: SlotIndex) -> Effect {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.in_flight.insert(attempt, Attempt { slot, started: now });
        Effect::Start { attempt, slot }
    }

    /// Updates the expected lengths of the waiting samples of the same prompt.
    fn record_length(&mut self, slot: SlotIndex, tokens: u32) {
        let prompt = self.plan.prompt_of(slot);
        let longest = self.longest_by_prompt.entry(prompt).or_default();
        if tokens <= *longest {
            return;
        }
        *longest = tokens;
        let first = prompt * self.plan.samples_per_prompt;
        for sibling in (first..first + self.plan.samples_per_prompt).map(SlotIndex) {
            self.waiting.set_expected_length(sibling, self.expected_length(sibling));
        }
    }

    /// Returns the expected length of a slot's sample. The first sample of a prompt without a
    /// completed sample gets the highest priority, as its length predicts that of the others.
    fn expected_length(&self, slot: SlotIndex) -> u32 {
        if self.plan.order == SamplingOrder::FirstInFirstOut {
            return 0;
        }
        let prompt = self.plan.prompt_of(slot);
        let is_first_of_prompt = slot.0.is_multiple_of(self.plan.samples_per_prompt);
        match self.longest_by_prompt.get(&prompt) {
            Some(longest) => *longest,
            None if is_first_of_prompt => u32::MAX,
            None => 0,
        }
    }

    /// Returns the slot to hedge next, once few slots are in flight: the one with the fewest
    /// attempts, then the longest in flight.
    fn next_hedge(&self) -> Option<SlotIndex> {
        if self.plan.max_copies < 2 || !self.waiting.is_empty() {
            return None;
        }
        let mut attempts: BTreeMap<SlotIndex, (u32, Moment)> = BTreeMap::new();
        for attempt in self.in_flight.values() {
            let entry = attempts.entry(attempt.slot).or_insert((0, attempt.started));
            entry.0 += 1;
            entry.1 = entry.1.min(attempt.started);
        }
        let threshold = u64::from(self.plan.slots()) * u64::from(self.plan.hedge_below_milli);
        if attempts.len() as u64 * 1000 > threshold {
            return None;
        }
        attempts
            .into_iter()
            .filter(|(_, (count, _))| *count < self.plan.max_copies)
            .min_by_key(|(slot, (count, started))| (*count, *started, *slot))
            .map(|(slot, _)| slot)
    }

    fn cancel_attempts(&mut self, slot: SlotIndex) -> Vec<Effect> {
        let attempts: Vec<AttemptId> = self
            .in_flight
            .iter()
            .filter(|(_, attempt)| attempt.slot == slot)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in &attempts {
            self.in_flight.remove(attempt);
        }
        attempts.into_iter().map(|attempt| Effect::Cancel { attempt }).collect()
    }
}
