//! What authors want, and what the outside world may see of it.

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

/// How an author goes on after a response: its next change, and what the world has seen by then.
pub type Continuation<S> = (Option<Change<S>>, <S as Scenario>::Witness);
/// The change type of a scenario.
pub type Change<S> = <<S as Scenario>::Value as RegisterValue>::Change;
/// The response type of a scenario.
pub type Response<S> = <<S as Scenario>::Value as RegisterValue>::Response;

/// A use of one register by several authors.
pub trait Scenario {
    /// The register's value.
    type Value: RegisterValue<Change: Eq + Hash + Ord, Response: Eq + Hash + Ord> + Eq + Hash + Ord;
    /// What the outside world has seen.
    type Witness: Clone + Debug + Default + Eq + Hash;

    /// Its name.
    fn name(&self) -> &'static str;
    /// An author's first change.
    fn first_change(&self, author: usize) -> Change<Self>;
    /// Every way in which an author may go on after a response.
    fn continuations(
        &self,
        author: usize,
        response: &Response<Self>,
        witness: &Self::Witness,
    ) -> Vec<Continuation<Self>>;
    /// The invariant that does not hold, if one does not.
    fn violation(&self, witness: &Self::Witness) -> Option<&'static str>;
    /// The invariants.
    fn invariants(&self) -> &'static [&'static str];
}

fn author_node(author: usize) -> NodeId {
    NodeId::new(&format!("author-{author}"), 1)
}

fn attempt_of(author: usize) -> u64 {
    author as u64 + 1
}

/// Several attempts at one not-repeatable request.
#[derive(Debug, Default)]
pub struct Claims {
    /// Guard removed: an author that handed the request over releases its claim all the same.
    pub releases_after_dispatch: bool,
}

const AT_MOST_ONCE: &str = "a not-repeatable request runs at most once";

impl Scenario for Claims {
    type Value = Claim;
    /// Attempts whose request a back end ran.
    type Witness = BTreeSet<u64>;

    fn name(&self) -> &'static str {
        "claims"
    }

    fn first_change(&self, author: usize) -> ClaimChange {
        ClaimChange::Acquire {
            attempt: attempt_of(author),
            holder: author_node(author),
            request_digest: 0,
        }
    }

    fn continuations(
        &self,
        author: usize,
        response: &ClaimResponse,
        witness: &Self::Witness,
    ) -> Vec<Continuation<Self>> {
        if *response != ClaimResponse::Granted {
            return vec![(None, witness.clone())];
        }
        let attempt = attempt_of(author);
        let mut ran = witness.clone();
        ran.insert(attempt);
        let settle = ClaimChange::Settle { attempt, answer: StoredAnswer::Unknown, expires: 0 };
        let release = ClaimChange::Release { attempt };
        let after_dispatch = if self.releases_after_dispatch { release.clone() } else { settle };
        // Either a back end runs it, or every back end says that it did not.
        vec![(Some(after_dispatch), ran), (Some(release), witness.clone())]
    }

    fn violation(&self, witness: &Self::Witness) -> Option<&'static str> {
        (witness.len() > 1).then_some(AT_MOST_ONCE)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[AT_MOST_ONCE]
    }
}

/// Two daemons that both coordinate one step of two slots, in batches of one sample.
#[derive(Debug, Default)]
pub struct Steps {
    /// Guard removed: a batch is shown before it is sealed.
    pub shows_before_sealing: bool,
}

const ONE_COMPOSITION: &str = "a batch that was shown has one composition";
const ONE_BATCH_A_SLOT: &str = "a slot is in one batch";
const SLOTS: u32 = 2;

/// What trainers were shown, by batch number.
pub type ShownBatches = BTreeMap<u32, BTreeSet<SealedBatch>>;

impl Steps {
    /// The next batch of an author: its own drawing of a slot that the record says is left.
    fn next_seal(author: usize, step: &OpenStep) -> Option<StepChange> {
        let order: Vec<u32> =
            if author == 0 { (0..SLOTS).collect() } else { (0..SLOTS).rev().collect() };
        let left = order.into_iter().map(SlotIndex).find(|slot| !step.delivered.contains(*slot))?;
        let sample = Sample {
            slot: left,
            seed: 0,
            text: format!("by {author}"),
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
    type Witness = ShownBatches;

    fn name(&self) -> &'static str {
        "steps"
    }

    fn first_change(&self, author: usize) -> StepChange {
        StepChange::Begin { coordinator: author_node(author), slots: SLOTS }
    }

    fn continuations(
        &self,
        author: usize,
        response: &StepResponse,
        witness: &ShownBatches,
    ) -> Vec<Continuation<Self>> {
        let mut seen = witness.clone();
        let next = match response {
            StepResponse::Begun(step) => Self::next_seal(author, step),
            StepResponse::Sealed(batch) => {
                seen.entry(batch.number).or_default().insert(batch.clone());
                // To see what else there is, the author asks for the state again.
                Some(self.first_change(author)).filter(|_| batch.number + 1 < SLOTS)
            }
            _ => None,
        };
        if let (true, Some(StepChange::Seal { batch, .. })) = (self.shows_before_sealing, &next) {
            seen.entry(batch.number).or_default().insert(batch.clone());
        }
        vec![(next, seen)]
    }

    fn violation(&self, witness: &ShownBatches) -> Option<&'static str> {
        if witness.values().any(|compositions| compositions.len() > 1) {
            return Some(ONE_COMPOSITION);
        }
        let mut slots = BTreeSet::new();
        let samples =
            witness.values().flatten().flat_map(|batch| &batch.samples).map(|sample| sample.slot);
        let mut all = samples;
        (!all.all(|slot| slots.insert(slot))).then_some(ONE_BATCH_A_SLOT)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ONE_COMPOSITION, ONE_BATCH_A_SLOT]
    }
}

/// Several daemons that ask for a fencing token.
#[derive(Debug, Default)]
pub struct Fences;

const ONE_HOLDER: &str = "a fencing token has one holder";

impl Scenario for Fences {
    type Value = Fence;
    /// Tokens that were handed out.
    type Witness = BTreeSet<Fence>;

    fn name(&self) -> &'static str {
        "fences"
    }

    fn first_change(&self, author: usize) -> FenceChange {
        FenceChange { holder: author_node(author), above: 0 }
    }

    fn continuations(
        &self,
        _: usize,
        response: &Fence,
        witness: &BTreeSet<Fence>,
    ) -> Vec<Continuation<Self>> {
        let mut seen = witness.clone();
        seen.insert(response.clone());
        vec![(None, seen)]
    }

    fn violation(&self, witness: &BTreeSet<Fence>) -> Option<&'static str> {
        let tokens: BTreeSet<u64> = witness.iter().map(|fence| fence.token).collect();
        (tokens.len() < witness.len()).then_some(ONE_HOLDER)
    }

    fn invariants(&self) -> &'static [&'static str] {
        &[ONE_HOLDER]
    }
}
