//! The tree at the sizes to design for.

use std::collections::BTreeMap;

use super::*;
use crate::identity::Incarnation;
use crate::identity::NodeName;

fn candidate(number: usize) -> Candidate {
    let name = NodeName(format!("front-{number}"));
    // One of sixteen has four times the processor of the others.
    let processor_millis = if number.is_multiple_of(16) { 500 } else { 120 };
    Candidate { node: NodeId { name, incarnation: Incarnation(1) }, processor_millis }
}

fn zone(daemons: usize) -> (Tree, Vec<NodeId>) {
    let candidates: Vec<Candidate> = (0..daemons).map(candidate).collect();
    let nodes = candidates.iter().map(|candidate| candidate.node.clone()).collect();
    (Tree::new(candidates), nodes)
}

/// How many daemons follow each one.
fn followers(tree: &Tree, nodes: &[NodeId]) -> BTreeMap<NodeId, usize> {
    let mut followers = BTreeMap::new();
    for node in nodes.iter().filter(|node| !tree.is_root(node)) {
        for parent in tree.parents(node) {
            *followers.entry(parent.clone()).or_default() += 1;
        }
    }
    followers
}

#[test]
fn nobody_is_followed_by_more_however_large_the_zone_is() {
    for daemons in [9, 34, 60, 200, 400, 1000, 2000] {
        let (tree, nodes) = zone(daemons);
        let most = followers(&tree, &nodes).into_values().max().unwrap();
        assert!(most <= PARENTS * FAN_OUT, "{daemons} daemons: {most} follow one");
        assert_eq!(tree.roots().len(), ROOTS);
    }
}

#[test]
fn the_way_from_the_store_grows_with_the_logarithm_of_the_zone() {
    let height = |daemons| zone(daemons).0.height();
    // A zone of the fleets before, of the whole fleet of 985 machines, and of one of twice the size.
    assert_eq!([3, 9, 34, 59, 200, 400].map(height), [0, 1, 1, 2, 2, 2]);
    assert_eq!([1000, 2000].map(height), [3, 3]);
}

#[test]
fn every_daemon_has_two_parents_that_are_nearer_to_the_store() {
    let (tree, nodes) = zone(1000);
    for node in nodes.iter().filter(|node| !tree.is_root(node)) {
        let parents = tree.parents(node);
        assert_eq!(parents.len(), PARENTS);
        assert!(parents.iter().all(|parent| tree.depth(parent) + 1 == tree.depth(node)));
    }
}

#[test]
fn daemons_with_much_processor_tell_the_others() {
    let (tree, nodes) = zone(160);
    let large: Vec<NodeId> = (0..160).step_by(16).map(|number| candidate(number).node).collect();
    assert!(tree.roots().iter().all(|root| large.contains(root)));
    assert!(followers(&tree, &nodes).keys().all(|parent| large.contains(parent)));
}

#[test]
fn all_daemons_agree_in_whatever_order_they_know_each_other() {
    let mut candidates: Vec<Candidate> = (0..300).map(candidate).collect();
    let tree = Tree::new(candidates.clone());
    candidates.reverse();
    assert_eq!(Tree::new(candidates), tree);
}

#[test]
fn a_daemon_that_is_lost_moves_few_others() {
    let (tree, nodes) = zone(200);
    let lost = nodes.iter().find(|node| !tree.is_root(node) && tree.depth(node) == 2).unwrap();
    let left = (0..200).map(candidate).filter(|candidate| candidate.node != *lost).collect();
    let after = Tree::new(left);
    let moved = nodes.iter().filter(|node| *node != lost);
    let moved = moved.filter(|node| tree.parents(node) != after.parents(node)).count();
    // One for each pair of parents behind it.
    assert!(moved <= 200 / (PARENTS * FAN_OUT) + 1, "{moved} moved");
}

#[test]
fn all_of_a_small_zone_are_roots_and_one_that_is_unknown_follows_the_roots() {
    let (small, nodes) = zone(3);
    assert!(nodes.iter().all(|node| small.is_root(node) && small.depth(node) == 0));
    let (tree, _) = zone(40);
    let stranger = candidate(999).node;
    assert_eq!((tree.parents(&stranger), tree.depth(&stranger)), (tree.roots(), 1));
    assert_eq!(Tree::new(Vec::new()).roots(), &[]);
}
