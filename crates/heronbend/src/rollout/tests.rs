use assert_matches::assert_matches;

use super::pace::{Pace, MAX_DELAY};
use super::sample::append_segment;
use super::*;
use crate::identity::{Incarnation, NodeId};
use crate::lifecycle::BackendName;
use crate::register::RegisterValue;
use crate::Moment;

fn segment(version: u64, start: u32, end: u32) -> Segment {
    Segment {
        version,
        start,
        end,
        engine: BackendName("engine".into()),
        incarnation: Incarnation(1),
    }
}

fn sample(slot: u32, version: u64, tokens: u32) -> Sample {
    Sample {
        slot: SlotIndex(slot),
        seed: 0,
        text: String::new(),
        segments: vec![segment(version, 0, tokens)],
        finish_reason: FinishReason::Stop,
        reward_milli: 0,
    }
}

fn plan(prompts: u32, samples_per_prompt: u32) -> StepPlan {
    StepPlan {
        prompts,
        samples_per_prompt,
        order: SamplingOrder::LongestExpectedFirst,
        max_copies: 1,
        hedge_below_milli: 0,
    }
}

fn started_slots(effects: &[Effect]) -> Vec<u32> {
    let slot = |effect: &Effect| match effect {
        Effect::Start { slot, .. } => Some(slot.0),
        Effect::Cancel { .. } => None,
    };
    effects.iter().filter_map(slot).collect()
}

fn batch(number: u32, samples: Vec<Sample>) -> SealedBatch {
    SealedBatch { number, samples }
}

struct Record(Option<StepRecord>);

impl Record {
    fn change(&mut self, change: StepChange) -> StepResponse {
        let applied = StepRecord::apply(self.0.as_ref(), &change);
        self.0 = Some(applied.value);
        applied.response
    }

    fn begin(&mut self, name: &str, slots: u32) -> StepResponse {
        let coordinator = NodeId::new(name, 1);
        self.change(StepChange::Begin { coordinator, slots })
    }

    fn seal(&mut self, term: u64, batch: SealedBatch) -> StepResponse {
        self.change(StepChange::Seal { term, batch })
    }
}

#[test]
fn contiguous_segments_merge_and_a_version_change_starts_a_new_one() {
    let mut segments = Vec::new();
    assert!(append_segment(&mut segments, segment(1, 0, 4)));
    assert!(append_segment(&mut segments, segment(1, 4, 6)));
    assert!(append_segment(&mut segments, segment(2, 6, 8)));
    assert!(!append_segment(&mut segments, segment(2, 9, 10)));
    assert_eq!(segments, [segment(1, 0, 6), segment(2, 6, 8)]);
}

#[test]
fn sample_staleness_is_that_of_its_oldest_segment() {
    let mut mixed = sample(0, 5, 3);
    mixed.segments.push(segment(4, 3, 6));
    assert_eq!(mixed.oldest_version(), Some(4));
    assert!(!mixed.is_fresh(5));
}

#[test]
fn first_sealed_batch_wins_and_no_slot_is_sealed_twice() {
    let mut record = Record(None);
    record.begin("a", 3);
    let first = batch(0, vec![sample(0, 1, 1)]);
    assert_eq!(record.seal(1, first.clone()), StepResponse::Sealed(first.clone()));
    let competing = batch(0, vec![sample(1, 1, 1)]);
    assert_eq!(record.seal(1, competing), StepResponse::Sealed(first));
    let duplicate = record.seal(1, batch(1, vec![sample(0, 1, 1)]));
    assert_eq!(duplicate, StepResponse::Refused(StepRefusal::AlreadyDelivered));
    let skipped = record.seal(1, batch(2, vec![sample(2, 1, 1)]));
    assert_eq!(skipped, StepResponse::Refused(StepRefusal::OutOfOrder { next: 1 }));
}

#[test]
fn replaced_coordinator_is_fenced() {
    let mut record = Record(None);
    assert_matches!(record.begin("a", 2), StepResponse::Begun(step) if step.term == 1);
    assert_matches!(record.begin("b", 2), StepResponse::Begun(step) if step.term == 2);
    let stale_seal = record.seal(1, batch(0, vec![sample(0, 1, 1)]));
    assert_matches!(stale_seal, StepResponse::Refused(StepRefusal::Fenced { .. }));
    assert_matches!(
        record.begin("b", 3),
        StepResponse::Refused(StepRefusal::Mismatch { slots: 2 })
    );
}

#[test]
fn raising_the_version_floor_evicts_stale_samples_from_the_open_batch() {
    let mut record = Record(None);
    record.begin("a", 2);
    record.seal(1, batch(0, vec![sample(0, 1, 1), sample(1, 2, 1)]));
    let evicted = record.change(StepChange::Withhold { term: 1, number: 0, floor: 2 });
    assert_matches!(evicted, StepResponse::Sealed(batch) if batch.samples.len() == 1);
    let premature = record.change(StepChange::Complete { number: 0, expires: 0 });
    assert_eq!(premature, StepResponse::Refused(StepRefusal::Unfinished));
    assert_matches!(record.seal(1, batch(1, vec![sample(0, 2, 1)])), StepResponse::Sealed(_));
    let complete = StepChange::Complete { number: 1, expires: 0 };
    assert_eq!(record.change(complete.clone()), StepResponse::Completed);
    assert_eq!(record.change(complete), StepResponse::Completed);
    assert_eq!(record.begin("b", 2), StepResponse::Refused(StepRefusal::Complete));
}

#[test]
fn one_sample_per_prompt_is_generated_first_then_the_longest_prompts() {
    let mut coordinator = StepCoordinator::new(plan(3, 2), SlotSet::new());
    let first = coordinator.schedule(Moment::ZERO, 3);
    assert_eq!(started_slots(&first), [0, 2, 4]);
    for (attempt, (slot, tokens)) in [(0, 10), (2, 90), (4, 50)].into_iter().enumerate() {
        coordinator.on_completed(AttemptId(attempt as u64), sample(slot, 1, tokens));
    }
    assert_eq!(started_slots(&coordinator.schedule(Moment::ZERO, 3)), [3, 5, 1]);
}

#[test]
fn hedged_slot_is_filled_once_and_the_slower_copy_is_cancelled() {
    let hedged = StepPlan { max_copies: 2, hedge_below_milli: 1000, ..plan(1, 2) };
    let mut coordinator = StepCoordinator::new(hedged, SlotSet::new());
    let effects = coordinator.schedule(Moment::ZERO, 4);
    assert_eq!(started_slots(&effects), [0, 1, 0, 1]);
    let cancelled = coordinator.on_completed(AttemptId(2), sample(0, 1, 7));
    assert_eq!(cancelled, [Effect::Cancel { attempt: AttemptId(0) }]);
    assert_eq!(coordinator.on_completed(AttemptId(0), sample(0, 1, 7)), []);
    assert_eq!((coordinator.ready_count(), coordinator.wasted_tokens()), (1, 7));
}

#[test]
fn samples_below_the_version_floor_are_regenerated() {
    let mut coordinator = StepCoordinator::new(plan(2, 1), SlotSet::new());
    coordinator.schedule(Moment::ZERO, 2);
    coordinator.on_completed(AttemptId(0), sample(0, 1, 1));
    coordinator.on_completed(AttemptId(1), sample(1, 2, 1));
    assert_eq!(coordinator.compose_batch(2, 2), NextBatch::Pending);
    assert_eq!(started_slots(&coordinator.schedule(Moment::ZERO, 2)), [0]);
    coordinator.on_completed(AttemptId(2), sample(0, 2, 1));
    let composed = coordinator.compose_batch(2, 2);
    assert_matches!(&composed, NextBatch::Ready(samples) if samples.len() == 2);
    let NextBatch::Ready(samples) = composed else { return };
    coordinator.on_sealed(&samples);
    assert_eq!(coordinator.compose_batch(2, 2), NextBatch::Exhausted);
}

#[test]
fn failed_attempt_is_retried_after_a_delay() {
    let mut coordinator = StepCoordinator::new(plan(1, 1), SlotSet::new());
    coordinator.schedule(Moment::ZERO, 1);
    coordinator.on_failed(Moment::ZERO, AttemptId(0), AttemptFailure::Other);
    assert!(coordinator.schedule(Moment::ZERO, 1).is_empty());
    let after_delay = Moment::from_secs(1);
    assert_eq!(started_slots(&coordinator.schedule(after_delay, 1)), [0]);
}

#[test]
fn new_coordinator_schedules_only_undelivered_slots() {
    let mut delivered = SlotSet::new();
    delivered.insert(SlotIndex(0));
    let mut coordinator = StepCoordinator::new(plan(2, 1), delivered);
    assert_eq!(started_slots(&coordinator.schedule(Moment::ZERO, 9)), [1]);
}

/// Guards against an accepted request that rests ever longer because its servers crash.
#[test]
fn attempts_are_delayed_after_three_lost_servers_by_a_bounded_time() {
    let mut pace = Pace::default();
    let mut delays = Vec::new();
    for _ in 0..5 {
        pace.record_loss();
        delays.push(pace.take_delay().as_secs());
        // An attempt that no server ran.
        assert!(pace.take_delay().is_zero());
    }
    assert_eq!(delays, [0, 0, 1, 2, 3]);
    for _ in 0..1000 {
        pace.record_loss();
        assert!(pace.take_delay() <= MAX_DELAY);
    }
    assert!(pace.is_delaying());
    pace.record_answer();
    assert!(!pace.is_delaying());
}

/// Guards against a sample that takes one backend after the other from the requests of callers.
#[test]
fn a_slot_that_keeps_losing_its_backends_is_delayed() {
    let mut coordinator = StepCoordinator::new(plan(1, 1), SlotSet::new());
    let mut now = Moment::ZERO;
    for delay in [1, 1, 1000, 2000, 3000, 3000].map(Moment::from_millis) {
        let started = loop {
            match coordinator.schedule(now, 1).as_slice() {
                [Effect::Start { attempt, .. }] => break *attempt,
                _ => now += Moment::from_millis(1),
            }
        };
        coordinator.on_failed(now, started, AttemptFailure::BackendLost);
        assert!(coordinator.schedule(now + delay - Moment::from_millis(1), 1).is_empty());
        assert!(coordinator.schedule(now, 1).is_empty());
    }
}
