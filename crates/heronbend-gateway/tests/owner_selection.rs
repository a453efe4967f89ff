//! Selection of the daemon that runs a job.

mod support;

use heronbend::membership::Candidate;
use heronbend_gateway::batch::owner_selection::select_owner;
use heronbend_gateway::batch::owner_selection::takeover_order;
use heronbend_gateway::batch::owner_selection::ModelOwner;
use support::node;

fn candidate(name: &str, processor_millis: u32) -> Candidate {
    Candidate { node: node(name), processor_millis }
}

fn fleet() -> Vec<Candidate> {
    let small = (0..20).map(|number| candidate(&format!("small-{number}"), 120));
    let large = (0..4).map(|number| candidate(&format!("large-{number}"), 500));
    small.chain(large).collect()
}

fn model_owner(model: &str, owner: &str) -> ModelOwner {
    ModelOwner { model: model.to_owned(), owner: node(owner) }
}

#[test]
fn large_daemons_precede_small_ones() {
    let order = takeover_order("job", &fleet());
    assert_eq!(order.len(), 24);
    assert!(order[..4].iter().all(|node| node.name.0.starts_with("large")));
    let small: Vec<_> = fleet().into_iter().filter(|one| one.processor_millis < 500).collect();
    assert!(select_owner("m", &small, &[]).is_some_and(|owner| owner.name.0.starts_with("small")));
    assert_eq!(select_owner("m", &[], &[]), None);
}

#[test]
fn daemons_without_reported_cpu_are_treated_alike() {
    let fleet: Vec<_> = (0..5).map(|number| candidate(&format!("d{number}"), 0)).collect();
    let mut first: Vec<_> =
        (0..40).map(|job| takeover_order(&format!("j{job}"), &fleet)[0].clone()).collect();
    first.sort();
    first.dedup();
    assert!(first.len() > 2);
}

#[test]
fn jobs_of_a_model_keep_their_owner() {
    let owners = [model_owner("m0", "large-2"), model_owner("m1", "large-0")];
    assert_eq!(select_owner("m0", &fleet(), &owners), Some(node("large-2")));
    assert_eq!(select_owner("m1", &fleet(), &owners), Some(node("large-0")));
}

#[test]
fn shared_and_small_owners_are_replaced() {
    let owners =
        [model_owner("m0", "large-1"), model_owner("m1", "large-1"), model_owner("m2", "small-3")];
    assert_eq!(select_owner("m0", &fleet(), &owners), Some(node("large-1")));
    for model in ["m1", "m2"] {
        let moved = select_owner(model, &fleet(), &owners).expect("a daemon");
        assert!(moved.name.0.starts_with("large") && moved != node("large-1"), "{moved}");
    }
}

#[test]
fn models_stay_if_no_large_daemon_is_free() {
    let two = [candidate("a", 500), candidate("b", 500), candidate("c", 100)];
    let owners = [model_owner("m0", "a"), model_owner("m1", "b"), model_owner("m2", "a")];
    assert_eq!(select_owner("m2", &two, &owners), Some(node("a")));
}
