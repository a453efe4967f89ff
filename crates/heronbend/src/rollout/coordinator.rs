//! Which sample to draw next, without I/O.
//!
//! Samples of one prompt have similar lengths, and a few run far longer than the rest. Drawing the
//! longest-expected first keeps them off the end of the step; near the end, idle places draw a
//! second copy of samples still under way, and the first copy to finish fills the slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::sample::Sample;
use super::slots::{SlotIndex, SlotSet};
use super::waiting::WaitingQueue;
use crate::Moment;

/// Wait before a slot whose draw failed is drawn again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of one attempt to draw a sample, unique in its step and daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// The order in which waiting slots are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SamplingOrder {
    /// In the order of the step.
    FirstInFirstOut,
    /// One sample of each prompt first, then prompts by the longest sample seen of them.
    LongestExpectedFirst,
}

/// How a step is drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepPlan {
    /// Number of prompts.
    pub prompts: u32,
    /// Samples of each prompt.
    pub samples_per_prompt: u32,
    /// Order of drawing.
    pub order: SamplingOrder,
    /// Most copies of one sample that are drawn at once; 1 for no hedging.
    pub max_copies: u32,
    /// Share of the slots, in thousandths, that may be unfilled when hedging begins.
    pub hedge_below_milli: u32,
}

impl StepPlan {
    /// Number of slots.
    pub fn slots(&self) -> u32 {
        self.prompts * self.samples_per_prompt
    }

    /// The prompt of a slot.
    pub fn prompt_of(&self, slot: SlotIndex) -> u32 {
        slot.0 / self.samples_per_prompt
    }
}

/// What the driver is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Draw the sample of a slot.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The slot.
        slot: SlotIndex,
    },
    /// Give an attempt up: another copy was faster.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// What can be handed over now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextBatch {
    /// These samples make a batch.
    Ready(Vec<Sample>),
    /// More samples have to be drawn first.
    Pending,
    /// Every slot has been delivered.
    Exhausted,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    slot: SlotIndex,
    started: Moment,
}

/// Draws one step.
///
/// Invariant: each slot is in exactly one state: waiting, being drawn, ready or delivered.
#[derive(Debug, Clone)]
pub struct StepCoordinator {
    plan: StepPlan,
    delivered: SlotSet,
    ready: VecDeque<Sample>,
    waiting: WaitingQueue,
    in_flight: BTreeMap<AttemptId, Attempt>,
    longest_by_prompt: BTreeMap<u32, u32>,
    next_attempt: u64,
    wasted_tokens: u64,
}

impl StepCoordinator {
    /// A coordinator for the slots that are not yet delivered.
    pub fn new(plan: StepPlan, delivered: SlotSet) -> Self {
        let mut coordinator = Self {
            plan,
            delivered,
            ready: VecDeque::new(),
            waiting: WaitingQueue::default(),
            in_flight: BTreeMap::new(),
            longest_by_prompt: BTreeMap::new(),
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

    /// States the length that a waiting slot's sample is expected to have, in tokens, where something
    /// better is known than what the coordinator learns by itself.
    pub fn set_expected_length(&mut self, slot: SlotIndex, tokens: u32) {
        self.waiting.set_expected_length(slot, tokens);
    }

    /// Draws to start now, given how many more the engines can take.
    pub fn schedule(&mut self, now: Moment, capacity: usize) -> Vec<Effect> {
        let mut effects = Vec::new();
        for slot in self.waiting.take_due(now) {
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

    /// A draw has produced its sample.
    pub fn on_completed(&mut self, attempt: AttemptId, sample: Sample) -> Vec<Effect> {
        let Some(Attempt { slot, .. }) = self.in_flight.remove(&attempt) else {
            self.wasted_tokens += u64::from(sample.tokens());
            return Vec::new();
        };
        self.record_length(slot, sample.tokens());
        self.ready.push_back(sample);
        self.cancel_copies(slot)
    }

    /// A draw has failed; its slot is drawn again unless another copy is under way.
    pub fn on_failed(&mut self, now: Moment, attempt: AttemptId) {
        if let Some(Attempt { slot, .. }) = self.in_flight.remove(&attempt) {
            if !self.in_flight.values().any(|other| other.slot == slot) {
                self.waiting.push_delayed(now + RETRY_DELAY, slot);
            }
        }
    }

    /// The samples for the next batch, none older than `floor`. They stay ready until
    /// [`StepCoordinator::on_sealed`]; samples that are too old are put up for drawing again.
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
        let wanted = batch_size.min(undelivered);
        if self.ready.len() < wanted {
            return NextBatch::Pending;
        }
        NextBatch::Ready(self.ready.iter().take(wanted).cloned().collect())
    }

    /// A batch was sealed; its slots are delivered, whoever drew them.
    pub fn on_sealed(&mut self, samples: &[Sample]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for sample in samples {
            self.delivered.insert(sample.slot);
            self.waiting.remove(sample.slot);
            effects.extend(self.cancel_copies(sample.slot));
        }
        let delivered = &self.delivered;
        self.ready.retain(|sample| !delivered.contains(sample.slot));
        effects
    }

    /// Samples were taken out of the open batch; their slots are drawn again.
    pub fn on_evicted(&mut self, slots: impl Iterator<Item = SlotIndex>) {
        for slot in slots {
            self.delivered.remove(slot);
            self.waiting.push_front(slot, self.expected_length(slot));
        }
    }

    /// Whether every slot is delivered.
    pub fn is_fully_delivered(&self) -> bool {
        self.delivered.len() == self.plan.slots()
    }

    /// Samples that are drawn and not yet sealed.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Draws under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Tokens of whole samples that were drawn in vain.
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    fn start_attempt(&mut self, now: Moment, slot: SlotIndex) -> Effect {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.in_flight.insert(attempt, Attempt { slot, started: now });
        Effect::Start { attempt, slot }
    }

    /// A finished sample tells how long the others of its prompt may run.
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

    /// Expected length of a slot's sample; a prompt of which nothing is known comes first, since its
    /// first sample is what tells the length of the others.
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

    /// The slot that has been drawn for longest with copies to spare, once few are unfilled.
    fn next_hedge(&self) -> Option<SlotIndex> {
        if self.plan.max_copies < 2 || !self.waiting.is_empty() {
            return None;
        }
        let mut copies: BTreeMap<SlotIndex, (u32, Moment)> = BTreeMap::new();
        for attempt in self.in_flight.values() {
            let entry = copies.entry(attempt.slot).or_insert((0, attempt.started));
            entry.0 += 1;
            entry.1 = entry.1.min(attempt.started);
        }
        let threshold = u64::from(self.plan.slots()) * u64::from(self.plan.hedge_below_milli);
        if copies.len() as u64 * 1000 > threshold {
            return None;
        }
        copies
            .into_iter()
            .filter(|(_, (count, _))| *count < self.plan.max_copies)
            .min_by_key(|(slot, (count, started))| (*count, *started, *slot))
            .map(|(slot, _)| slot)
    }

    fn cancel_copies(&mut self, slot: SlotIndex) -> Vec<Effect> {
        let copies: Vec<AttemptId> = self
            .in_flight
            .iter()
            .filter(|(_, attempt)| attempt.slot == slot)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in &copies {
            self.in_flight.remove(attempt);
        }
        copies.into_iter().map(|attempt| Effect::Cancel { attempt }).collect()
    }
}
