//! Tests of the dissemination tree.

use std::collections::BTreeMap;

use super::*;
use crate::identity::Incarnation;
use crate::identity::NodeName;

fn candidate(index: usize) -> Candidate {
    let name = NodeName(format!("front-{index}"));
    // Every sixteenth daemon has about four times the CPU allotment of the others.
    let processor_millis = if index.is_multiple_of(16) { 500 } else { 120 };
    Candidate { node: NodeId { name, incarnation: Incarnation(1) }, processor_millis }
}

fn zone(daemons: usize) -> (Tree, Vec<NodeId>) {
    let candidates: Vec<Candidate> = (0..daemons).map(candidate).collect();
    let nodes = candidates.iter().map(|candidate| candidate.node.clone()).collect();
    (Tree::new(candidates), nodes)
}

/// Returns the number of followers of each daemon.
fn follower_counts(tree: &Tree, nodes: &[NodeId]) -> BTreeMap<NodeId, usize> {
    let mut follower_counts = BTreeMap::new();
    for node in nodes.iter().filter(|node| !tree.is_root(node)) {
        for parent in tree.parents(node) {
            *follower_counts.entry(parent.clone()).or_default() += 1;
        }
    }
    follower_counts
}

#[test]
fn follower_count_is_bounded_at_any_zone_size() {
    for daemons in [9, 34, 60, 200, 400, 1000, 2000] {
        let (tree, nodes) = zone(daemons);
        let max_followers = follower_counts(&tree, &nodes).into_values().max().unwrap();
        assert!(
            max_followers <= PARENT_COUNT * FAN_OUT,
            "{daemons} daemons: one has {max_followers} followers"
        );
        assert_eq!(tree.roots().len(), ROOT_COUNT);
    }
}

#[test]
fn height_is_logarithmic_in_the_zone_size() {
    let height = |daemons| zone(daemons).0.height();
    assert_eq!([3, 9, 34, 59, 200, 400].map(height), [0, 1, 1, 2, 2, 2]);
    assert_eq!([1000, 2000].map(height), [3, 3]);
}

#[test]
fn parents_are_one_level_closer_to_the_store() {
    let (tree, nodes) = zone(1000);
    for node in nodes.iter().filter(|node| !tree.is_root(node)) {
        let parents = tree.parents(node);
        assert_eq!(parents.len(), PARENT_COUNT);
        assert!(parents.iter().all(|parent| tree.depth(parent) + 1 == tree.depth(node)));
    }
}

#[test]
fn daemons_with_the_largest_cpu_allotment_are_parents() {
    let (tree, nodes) = zone(160);
    let large: Vec<NodeId> = (0..160).step_by(16).map(|index| candidate(index).node).collect();
    assert!(tree.roots().iter().all(|root| large.contains(root)));
    assert!(follower_counts(&tree, &nodes).keys().all(|parent| large.contains(parent)));
}

#[test]
fn tree_is_independent_of_candidate_order() {
    let mut candidates: Vec<Candidate> = (0..300).map(candidate).collect();
    let tree = Tree::new(candidates.clone());
    candidates.reverse();
    assert_eq!(Tree::new(candidates), tree);
}

#[test]
fn removal_of_a_daemon_changes_few_parents() {
    let (tree, nodes) = zone(200);
    let removed = nodes.iter().find(|node| !tree.is_root(node) && tree.depth(node) == 2).unwrap();
    let remaining =
        (0..200).map(candidate).filter(|candidate| candidate.node != *removed).collect();
    let after = Tree::new(remaining);
    let changed = nodes.iter().filter(|node| *node != removed);
    let changed = changed.filter(|node| tree.parents(node) != after.parents(node)).count();
    // At most one daemon per pair of parents after the removed one.
    assert!(changed <= 200 / (PARENT_COUNT * FAN_OUT) + 1, "{changed} changed");
}

#[test]
fn small_zone_has_only_roots_and_unknown_daemon_follows_roots() {
    let (small, nodes) = zone(3);
    assert!(nodes.iter().all(|node| small.is_root(node) && small.depth(node) == 0));
    let (tree, _) = zone(40);
    let unknown = candidate(999).node;
    assert_eq!((tree.parents(&unknown), tree.depth(&unknown)), (tree.roots(), 1));
    assert_eq!(Tree::new(Vec::new()).roots(), &[]);
}
