//! Dissemination of store changes through peers.

mod support;

use std::rc::Rc;

use heronbend::identity::NodeId;
use heronbend::membership::Candidate;
use heronbend::overlay::Tree;
use heronbend_gateway::dissemination::failover_order;
use heronbend_gateway::encoded_object::EncodedObject;
use heronbend_gateway::ports::Change;
use heronbend_gateway::ports::Object;
use heronbend_gateway::ports::Revision;
use heronbend_gateway::replica::Replica;
use heronbend_gateway::replica::Verification::Digest;
use heronbend_gateway::replica::Verification::Unverified;
use serde_json::Value;
use support::node;

fn object(name: &str, revision: Revision) -> Object {
    Object { name: name.to_owned(), revision, content: Value::from(revision), status: Value::Null }
}

fn listed(name: &str, revision: Revision) -> Rc<EncodedObject> {
    Rc::new(EncodedObject::from(&object(name, revision)))
}

fn set(name: &str, revision: Revision) -> Change {
    Change::Set(listed(name, revision))
}

fn names(objects: &[Rc<EncodedObject>]) -> Vec<&str> {
    objects.iter().map(|object| object.name.as_str()).collect()
}

#[test]
fn a_follower_gets_the_changes_since_its_revision() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    let full = replica.update_since(0, Unverified).unwrap();
    assert!(full.is_snapshot);
    assert_eq!((names(&full.objects), full.at), (vec!["a", "b"], 2));
    assert_eq!(replica.update_since(2, Unverified), None);
    replica.apply(&[set("c", 4), Change::Removed("a".to_owned())], 5);
    let update = replica.update_since(2, Unverified).unwrap();
    assert!(!update.is_snapshot);
    assert_eq!(
        (names(&update.objects), update.removed, update.at),
        (vec!["c"], vec!["a".to_owned()], 5)
    );
    // A follower that is ahead of this replica gets no update.
    assert_eq!(replica.update_since(6, Unverified), None);
}

#[test]
fn the_size_of_the_full_state_is_tracked() {
    let bytes = |objects: &[Rc<EncodedObject>]| objects.iter().map(|object| object.bytes()).sum();
    let mut replica = Replica::default();
    assert_eq!(replica.bytes(), 0);
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    replica.apply(&[set("b", 1000), set("c", 1001), Change::Removed("a".to_owned())], 1002);
    // Duplicate changes have no effect.
    replica.apply(&[Change::Removed("a".to_owned()), set("c", 1001)], 1003);
    let expected: usize = bytes(&[listed("b", 1000), listed("c", 1001)]);
    assert_eq!(replica.bytes(), expected);
    replica.reset(&[listed("c", 1001)], 1004);
    assert_eq!(replica.bytes(), bytes(&[listed("c", 1001)]));
}

#[test]
fn objects_missing_from_a_list_are_removed_from_followers() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    replica.reset(&[listed("b", 2)], 9);
    // A full state, from which the follower drops all other objects.
    let update = replica.update_since(2, Unverified).unwrap();
    assert!(update.is_snapshot);
    assert_eq!((names(&update.objects), update.at), (vec!["b"], 9));
}

#[test]
fn a_recreated_object_is_not_sent_as_removed() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1)], 1);
    replica.apply(&[Change::Removed("a".to_owned())], 2);
    replica.apply(&[set("a", 3)], 3);
    let update = replica.update_since(1, Unverified).unwrap();
    assert_eq!((names(&update.objects), update.removed.len()), (vec!["a"], 0));
}

#[test]
fn a_follower_that_is_far_behind_gets_the_full_state() {
    let mut replica = Replica::default();
    replica.reset(&[listed("kept", 1)], 1);
    for revision in 2..2000 {
        replica.apply(&[Change::Removed(format!("gone-{revision}"))], revision);
    }
    assert!(replica.update_since(5, Unverified).unwrap().is_snapshot);
    assert!(!replica.update_since(1990, Unverified).unwrap().is_snapshot);
}

#[test]
fn an_older_list_is_not_sent_to_followers_that_are_ahead() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1)], 8);
    replica.reset(&[listed("a", 1)], 4);
    assert_eq!(replica.update_since(8, Unverified), None);
}

/// The tree roots among a zone's daemons, all with the same CPU limit: these watch the store.
fn roots(zone: Vec<NodeId>) -> Vec<NodeId> {
    let candidate = |node| Candidate { node, processor_millis: 120 };
    Tree::new(zone.into_iter().map(candidate).collect()).roots().to_vec()
}

#[test]
fn a_large_zone_has_two_roots_and_a_small_zone_only_roots() {
    let mut large: Vec<NodeId> = (0..9).map(|n| node(&format!("l{n}"))).collect();
    let small: Vec<NodeId> = (0..3).map(|n| node(&format!("s{n}"))).collect();
    assert_eq!(roots(small).len(), 3);
    let selected = roots(large.clone());
    assert_eq!(selected.len(), 2);
    // The selection does not depend on the order of the candidates.
    large.reverse();
    assert_eq!(roots(large.clone()), selected);
    // A lost root is replaced, and the other one stays.
    large.retain(|node| *node != selected[0]);
    let remaining = roots(large);
    assert_eq!((remaining.len(), &remaining[0]), (2, &selected[1]));
}

#[test]
fn removals_reach_followers_from_an_upstream_that_never_held_the_object() {
    let mut replica = Replica::default();
    // An object was created at 1 and removed at 2, before this replica's list.
    replica.reset(&[listed("b", 3)], 3);
    let update = replica.update_since(1, Unverified).unwrap();
    assert!(update.is_snapshot, "removals before the list are unknown");
    // The same after another list that follows a gap in the history.
    replica.reset(&[listed("b", 3), listed("c", 9)], 9);
    assert!(replica.update_since(5, Unverified).unwrap().is_snapshot);
    replica.apply(&[Change::Removed("c".to_owned())], 10);
    let update = replica.update_since(9, Unverified).unwrap();
    assert_eq!((update.is_snapshot, update.removed), (false, vec!["c".to_owned()]));
}

#[test]
fn followers_are_balanced_between_the_first_two_upstreams() {
    let upstreams = [node("w1"), node("w2"), node("w3")];
    let mut first = [0; 2];
    for number in 0..200 {
        let order = failover_order(&node(&format!("front-{number}")), &upstreams);
        assert_eq!(order[2], upstreams[2]);
        let index =
            upstreams.iter().position(|upstream| *upstream == order[0]).expect("one of them");
        first[index] += 1;
    }
    assert!(first.iter().all(|followers| (70..=130).contains(followers)), "{first:?}");
    let single = [node("w1")];
    assert_eq!(failover_order(&node("front-1"), &single), single);
}

#[test]
fn a_verifying_follower_gets_changes_and_detects_missed_ones() {
    let mut upstream = Replica::default();
    upstream.reset(&[listed("a", 1), listed("b", 2)], 2);
    let mut follower = upstream.clone();
    // The upstream lists again, as after the store compacted its history.
    upstream.reset(&[listed("b", 2), listed("c", 8)], 9);
    let update = upstream.update_since(2, Digest).unwrap();
    assert!(!update.is_snapshot);
    assert_eq!((names(&update.objects), &update.removed), (vec!["c"], &vec!["a".to_owned()]));
    assert!(follower.accepts(&update));
    // Another upstream sent an object that was created and removed before the list.
    follower.apply(&[set("x", 4)], 4);
    let update = upstream.update_since(4, Digest).unwrap();
    assert!(!update.is_snapshot && !follower.accepts(&update));
    assert!(upstream.update_since(0, Digest).unwrap().is_snapshot);
}

/// Replaces a fifth of the servers, at the size of the largest fleet and twice that.
#[test]
fn a_release_of_a_large_fleet_is_sent_as_changes() {
    for servers in [9_999_u64, 19_998] {
        let name = |number: u64| format!("i-{number:05}");
        let all: Vec<_> = (0..servers).map(|number| listed(&name(number), 1)).collect();
        let mut upstream = Replica::default();
        upstream.reset(&all, 1);
        for number in 0..servers / 5 {
            let created = set(&name(servers + number), number + 2);
            upstream.apply(&[Change::Removed(name(number)), created], number + 2);
        }
        let update = upstream.update_since(1, Digest).unwrap();
        assert!(!update.is_snapshot, "of {servers} servers");
        assert_eq!(update.removed.len() as u64, servers / 5);
        assert_eq!(update.objects.len() as u64, servers / 5);
    }
}
