//! Scenarios: the changes that proposers make, and the invariants on what an observer sees.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::hash::Hash;

use heronbend::identity::NodeId;
use heronbend::register::RegisterValue;
use heronbend::request::{Claim, ClaimChange, ClaimResponse, StoredAnswer};
use heronbend::rollout::step_record::OpenStep;
use heronbend::rollout::{
    FinishReason, Sample, SealedBatch, SlotIndex, StepChange, StepRecord, StepResponse,
};
use heronbend::weights::{Fence, FenceChange};

/// The next change of a proposer after a response, and the observations made by then.
pub type Continuation<S> = (Option<Change<S>>, <S as Scenario>::Observations);
/// The change type of a scenario.
pub type Change<S> = <<S as Scenario>::Value as RegisterValue>::Change;
/// The response type of a scenario.
pub type Response<S> = <<S as Scenario>::Value as RegisterValue>::Response;

/// A use of one register by several proposers.
pub trait Scenario {
    /// Value of the register.
    type Value: RegisterValue<Change: Eq + Hash + Ord, Response: Eq + Hash + Ord> + Eq + Hash + Ord;
    /// What an external observer has seen.
    type Observations: Clone + Debug + Default + Eq + Hash;

    /// Returns the name of the scenario.
    fn name(&self) -> &'static str;
    /// Returns the first change of a proposer.
    fn first_change(&self, proposer: usize) -> Change<Self>;
    /// Returns all continuations of a proposer after a response.
    fn continuations(
        &self,
        proposer: usize,
        response: &Response<Self>,
        observations: &Self::Observations,
    ) -> Vec<Continuation<Self>>;
    /// Returns an invariant that the observations violate, if there is one.
    fn violated_invariant(&self, observations: &Self::Observations) -> Option<&'static str>;
    /// Returns all invariants of the scenario.
    fn invariants(&self) -> &'static [&'static str];
}

fn proposer_node(proposer: usize) -> NodeId {
    NodeId::new(&format!("author-{proposer}"), 1)
}

fn attempt_of(proposer: usize) -> u64 {
    proposer as u64 + 1
}

/// Several attempts at one non-idempotent request.
#[derive(Debug, Default)]
pub struct Claims {
    /// Removed guard: a proposer releases its claim after it has dispatched the request.
    pub releases_after_dispatch: bool,
}

const AT_MOST_ONCE: &str = "a non-idempotent request runs at most once";

impl Scenario for Claims {
    type Value = Claim;
    /// Attempts whose request a backend executed.
    type Observations = BTreeSet<u64>;

    fn name(&self) -> &'static str {
        "claims"
    }

    fn first_change(&self, proposer: usize) -> ClaimChange {
        ClaimChange::Acquire {
            attempt: attempt_of(proposer),
            holder: proposer_node(proposer),
            request_digest: 0,
        }
    }

    fn continuations(
        &self,
        proposer: usize,
        response: &ClaimResponse,
        observations: &Self::Observations,
    ) -> Vec<Continuation<Self>> {
        if *response != ClaimResponse::Granted {
            return vec![(None, observations.clone())];
        }
        let attempt = attempt_of(proposer);
        let mut executed = observations.clone();
        executed.insert(attempt);
        let settle = ClaimChange::Settle { attempt, answer: StoredAnswer::Unknown, expires: 0 };
        let release = ClaimChange::Release { attempt };
        let after_dispatch = if self.releases_after_dispatch { release.clone() } else { settle };
        // Either a backend runs the request, or every backend responds that it did not.
        vec![(Some(after_dispatch), executed), (Some(release), observations.clone())]
    }

    fn violated_invariant(&self, observations: &Self::Observations) -> Option<&'static str> {
        (observations.len() > 1).then_some(AT_MOST_ONCE)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[AT_MOST_ONCE]
    }
}

/// Two daemons that coordinate the same step of two slots, in batches of one sample.
#[derive(Debug, Default)]
pub struct Steps {
    /// Removed guard: a batch is delivered to the trainer before it is sealed.
    pub delivers_before_sealing: bool,
}

const ONE_COMPOSITION: &str = "a delivered batch has one composition";
const ONE_BATCH_PER_SLOT: &str = "a slot is in at most one batch";
const SLOTS: u32 = 2;

/// Batches that trainers received, by batch number.
pub type DeliveredBatches = BTreeMap<u32, BTreeSet<SealedBatch>>;

impl Steps {
    /// Returns the next batch of a proposer: its own sample for a slot that has not been delivered.
    fn next_seal(proposer: usize, step: &OpenStep) -> Option<StepChange> {
        let order: Vec<u32> =
            if proposer == 0 { (0..SLOTS).collect() } else { (0..SLOTS).rev().collect() };
        let next_slot =
            order.into_iter().map(SlotIndex).find(|slot| !step.delivered.contains(*slot))?;
        let sample = Sample {
            slot: next_slot,
            seed: 0,
            text: format!("by {proposer}"),
            segments: Vec::new(),
            finish_reason: FinishReason::Stop,
            reward_milli: 0,
        };
        let batch = SealedBatch { number: step.next_batch, samples: vec![sample] };
        Some(StepChange::Seal { term: step.term, batch })
    }
}

impl Scenario for Steps {
    type Value = StepRecord;
    type Observations = DeliveredBatches;

    fn name(&self) -> &'static str {
        "steps"
    }

    fn first_change(&self, proposer: usize) -> StepChange {
        StepChange::Begin { coordinator: proposer_node(proposer), slots: SLOTS }
    }

    fn continuations(
        &self,
        proposer: usize,
        response: &StepResponse,
        observations: &DeliveredBatches,
    ) -> Vec<Continuation<Self>> {
        let mut observed = observations.clone();
        let next = match response {
            StepResponse::Begun(step) => Self::next_seal(proposer, step),
            StepResponse::Sealed(batch) => {
                observed.entry(batch.number).or_default().insert(batch.clone());
                // The proposer requests the record again to find the remaining slots.
                Some(self.first_change(proposer)).filter(|_| batch.number + 1 < SLOTS)
            }
            _ => None,
        };
        if let (true, Some(StepChange::Seal { batch, .. })) = (self.delivers_before_sealing, &next)
        {
            observed.entry(batch.number).or_default().insert(batch.clone());
        }
        vec![(next, observed)]
    }

    fn violated_invariant(&self, observations: &DeliveredBatches) -> Option<&'static str> {
        if observations.values().any(|compositions| compositions.len() > 1) {
            return Some(ONE_COMPOSITION);
        }
        let mut slots = BTreeSet::new();
        let samples = observations
            .values()
            .flatten()
            .flat_map(|batch| &batch.samples)
            .map(|sample| sample.slot);
        let mut all = samples;
        (!all.all(|slot| slots.insert(slot))).then_some(ONE_BATCH_PER_SLOT)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ONE_COMPOSITION, ONE_BATCH_PER_SLOT]
    }
}

/// Several daemons that request a fencing token.
#[derive(Debug, Default)]
pub struct Fences;

const ONE_HOLDER: &str = "a fencing token has one holder";

impl Scenario for Fences {
    type Value = Fence;
    /// Tokens that were granted.
    type Observations = BTreeSet<Fence>;

    fn name(&self) -> &'static str {
        "fences"
    }

    fn first_change(&self, proposer: usize) -> FenceChange {
        FenceChange { holder: proposer_node(proposer), above: 0 }
    }

    fn continuations(
        &self,
        _: usize,
        response: &Fence,
        observations: &BTreeSet<Fence>,
    ) -> Vec<Continuation<Self>> {
        let mut observed = observations.clone();
        observed.insert(response.clone());
        vec![(None, observed)]
    }

    fn violated_invariant(&self, observations: &BTreeSet<Fence>) -> Option<&'static str> {
        let tokens: BTreeSet<u64> = observations.iter().map(|fence| fence.token).collect();
        (tokens.len() < observations.len()).then_some(ONE_HOLDER)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ONE_HOLDER]
    }
}
