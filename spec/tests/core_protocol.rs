//! Bounded exploration of the core protocol; without any one guard, a counterexample must exist.
//!
//! `cargo test -p heronbend-spec --release -- --nocapture` prints the states, depths and bounds.

use heronbend_spec::check::{check, Report};
use heronbend_spec::model::{Bounds, Model, Mutation};
use heronbend_spec::scenario::{Claims, Fences, Scenario, Steps};

/// Limits memory use; a state takes about 250 bytes.
const MAX_STATES: usize = 6_000_000;
/// Limit for bounds that are too large to be exhausted.
const SAMPLED_STATES: usize = 600_000;

const NO_EPOCH_CHANGE: Bounds = Bounds {
    hosts: 3,
    proposers: 2,
    rounds: [2, 1, 0],
    first_round: [1, 1, 1],
    restarts: 0,
    transitions: 0,
};

/// The ballot of the second proposer is higher than both of the first.
const SECOND_BALLOT_HIGHER: Bounds = Bounds { first_round: [1, 3, 1], ..NO_EPOCH_CHANGE };

fn explore<S: Scenario>(
    scenario: S,
    bounds: Bounds,
    mutation: Mutation,
    max_states: usize,
) -> Report {
    let model = Model::new(scenario, bounds, mutation);
    let report = check(&model, max_states);
    println!(
        "scenario={} mutation={mutation:?} states={} steps={} depth={} exhausted={} bounds={:?} invariants={:?}",
        model.scenario().name(),
        report.states,
        report.steps,
        report.depth,
        report.exhausted,
        model.bounds(),
        model.scenario().invariants(),
    );
    if let Some(counterexample) = &report.counterexample {
        println!("{counterexample}");
    }
    report
}

fn assert_invariants_hold<S: Scenario>(scenario: S, bounds: Bounds) {
    let report = explore(scenario, bounds, Mutation::None, MAX_STATES);
    assert!(report.counterexample.is_none());
    assert!(report.exhausted, "the bounds were not exhausted within {MAX_STATES} states");
}

fn assert_counterexample<S: Scenario>(scenario: S, bounds: Bounds, mutation: Mutation) {
    let report = explore(scenario, bounds, mutation, MAX_STATES);
    assert!(report.counterexample.is_some(), "no counterexample within the bounds");
}

#[test]
fn claims_hold_without_epoch_changes() {
    assert_invariants_hold(Claims::default(), NO_EPOCH_CHANGE);
}

#[test]
fn claims_hold_after_a_release() {
    assert_invariants_hold(Claims::default(), SECOND_BALLOT_HIGHER);
}

#[test]
fn claims_hold_with_three_attempts() {
    assert_invariants_hold(
        Claims::default(),
        Bounds { proposers: 3, rounds: [1, 1, 1], ..NO_EPOCH_CHANGE },
    );
}

#[test]
fn claims_hold_under_restarts() {
    assert_invariants_hold(
        Claims::default(),
        Bounds { rounds: [1, 1, 0], restarts: 2, ..NO_EPOCH_CHANGE },
    );
}

#[test]
fn claims_hold_over_an_epoch_change() {
    assert_invariants_hold(
        Claims::default(),
        Bounds { rounds: [1, 1, 0], restarts: 1, transitions: 1, ..NO_EPOCH_CHANGE },
    );
}

/// Explores the states up to some depth, without exhausting the bounds.
#[test]
fn steps_hold_within_a_limited_number_of_states() {
    let bounds = Bounds { rounds: [2, 2, 0], first_round: [1, 2, 1], ..NO_EPOCH_CHANGE };
    let report = explore(Steps::default(), bounds, Mutation::None, SAMPLED_STATES);
    assert!(report.counterexample.is_none());
}

#[test]
fn fences_hold() {
    assert_invariants_hold(Fences, Bounds { rounds: [2, 1, 0], ..NO_EPOCH_CHANGE });
}

#[test]
fn fences_hold_over_an_epoch_change() {
    assert_invariants_hold(
        Fences,
        Bounds { rounds: [1, 1, 0], restarts: 1, transitions: 1, ..NO_EPOCH_CHANGE },
    );
}

#[test]
fn a_restarted_replica_must_not_keep_its_incarnation() {
    let bounds = Bounds { rounds: [1, 1, 0], restarts: 1, ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::RestartKeepsIncarnation);
}

#[test]
fn a_promised_ballot_must_be_respected() {
    let bounds = Bounds { rounds: [1, 1, 0], ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::BreaksPromises);
}

#[test]
fn a_replica_must_reject_other_epochs() {
    let bounds = Bounds { rounds: [1, 1, 0], restarts: 1, transitions: 1, ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::IgnoresEpochs);
}

#[test]
fn a_proposal_needs_a_majority() {
    let bounds = Bounds { rounds: [1, 1, 0], hosts: 4, transitions: 1, ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::SingleMemberQuorum);
}

#[test]
fn the_old_replica_set_must_be_sealed_by_a_majority() {
    let bounds = Bounds { rounds: [1, 1, 0], restarts: 1, transitions: 1, ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::SealsOneMember);
}

#[test]
fn the_new_replica_set_must_start_with_the_old_state() {
    let bounds = Bounds { rounds: [1, 1, 0], restarts: 1, transitions: 1, ..NO_EPOCH_CHANGE };
    assert_counterexample(Claims::default(), bounds, Mutation::SkipsStateTransfer);
}

#[test]
fn a_dispatched_request_must_not_be_released() {
    let scenario = Claims { releases_after_dispatch: true };
    assert_counterexample(scenario, SECOND_BALLOT_HIGHER, Mutation::None);
}

#[test]
fn a_batch_must_be_sealed_before_it_is_delivered() {
    let scenario = Steps { delivers_before_sealing: true };
    assert_counterexample(scenario, NO_EPOCH_CHANGE, Mutation::None);
}
