//! News of the store by way of peers.

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
fn a_follower_gets_what_changed_since_it_was_told_and_nothing_else() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    let whole = replica.update_since(0, Unverified).unwrap();
    assert!(whole.is_snapshot);
    assert_eq!((names(&whole.objects), whole.at), (vec!["a", "b"], 2));
    assert_eq!(replica.update_since(2, Unverified), None);
    replica.apply(&[set("c", 4), Change::Removed("a".to_owned())], 5);
    let news = replica.update_since(2, Unverified).unwrap();
    assert!(!news.is_snapshot);
    assert_eq!((names(&news.objects), news.removed, news.at), (vec!["c"], vec!["a".to_owned()], 5));
    // A follower that another watcher has told more gets nothing older.
    assert_eq!(replica.update_since(6, Unverified), None);
}

#[test]
fn what_a_whole_state_takes_is_known_without_packing_it() {
    let bytes = |objects: &[Rc<EncodedObject>]| objects.iter().map(|object| object.bytes()).sum();
    let mut replica = Replica::default();
    assert_eq!(replica.bytes(), 0);
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    replica.apply(&[set("b", 1000), set("c", 1001), Change::Removed("a".to_owned())], 1002);
    // One that is gone already, and one that is told again, change nothing.
    replica.apply(&[Change::Removed("a".to_owned()), set("c", 1001)], 1003);
    let expected: usize = bytes(&[listed("b", 1000), listed("c", 1001)]);
    assert_eq!(replica.bytes(), expected);
    replica.reset(&[listed("c", 1001)], 1004);
    assert_eq!(replica.bytes(), bytes(&[listed("c", 1001)]));
}

#[test]
fn what_a_list_lacks_is_not_told_to_who_knew_it() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1), listed("b", 2)], 2);
    replica.reset(&[listed("b", 2)], 9);
    // All that there is: a follower drops whatever is not among it.
    let news = replica.update_since(2, Unverified).unwrap();
    assert!(news.is_snapshot);
    assert_eq!((names(&news.objects), news.at), (vec!["b"], 9));
}

#[test]
fn an_object_that_came_back_is_not_told_as_removed() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1)], 1);
    replica.apply(&[Change::Removed("a".to_owned())], 2);
    replica.apply(&[set("a", 3)], 3);
    let news = replica.update_since(1, Unverified).unwrap();
    assert_eq!((names(&news.objects), news.removed.len()), (vec!["a"], 0));
}

#[test]
fn a_follower_that_is_far_behind_gets_everything() {
    let mut replica = Replica::default();
    replica.reset(&[listed("kept", 1)], 1);
    for revision in 2..2000 {
        replica.apply(&[Change::Removed(format!("gone-{revision}"))], revision);
    }
    assert!(replica.update_since(5, Unverified).unwrap().is_snapshot);
    assert!(!replica.update_since(1990, Unverified).unwrap().is_snapshot);
}

#[test]
fn a_list_that_is_older_than_what_is_known_is_not_told_to_those_who_know_more() {
    let mut replica = Replica::default();
    replica.reset(&[listed("a", 1)], 8);
    replica.reset(&[listed("a", 1)], 4);
    assert_eq!(replica.update_since(8, Unverified), None);
}

/// Those of a zone's daemons, all with the same processor, that watch the store for the others.
fn watchers(zone: Vec<NodeId>) -> Vec<NodeId> {
    let candidate = |node| Candidate { node, processor_millis: 120 };
    Tree::new(zone.into_iter().map(candidate).collect()).roots().to_vec()
}

#[test]
fn two_daemons_of_a_large_zone_watch_and_all_of_a_small_one() {
    let mut large: Vec<NodeId> = (0..9).map(|n| node(&format!("l{n}"))).collect();
    let small: Vec<NodeId> = (0..3).map(|n| node(&format!("s{n}"))).collect();
    assert_eq!(watchers(small).len(), 3);
    let chosen = watchers(large.clone());
    assert_eq!(chosen.len(), 2);
    // All daemons agree, in whatever order they know each other.
    large.reverse();
    assert_eq!(watchers(large.clone()), chosen);
    // One that is lost is replaced, and the other goes on.
    large.retain(|node| *node != chosen[0]);
    let after = watchers(large);
    assert_eq!((after.len(), &after[0]), (2, &chosen[1]));
}

#[test]
fn who_was_told_of_an_object_by_another_hears_of_its_removal_from_one_that_never_knew_it() {
    let mut late = Replica::default();
    // The object was made at 1 and removed at 2; this daemon lists only then.
    late.reset(&[listed("b", 3)], 3);
    let news = late.update_since(1, Unverified).unwrap();
    assert!(news.is_snapshot, "changes cannot tell of removals before the list");
    // The same where it lists again after a gap in what it heard.
    late.reset(&[listed("b", 3), listed("c", 9)], 9);
    assert!(late.update_since(5, Unverified).unwrap().is_snapshot);
    late.apply(&[Change::Removed("c".to_owned())], 10);
    let news = late.update_since(9, Unverified).unwrap();
    assert_eq!((news.is_snapshot, news.removed), (false, vec!["c".to_owned()]));
}

#[test]
fn followers_are_shared_out_among_the_first_two_watchers_and_know_the_others() {
    let upstreams = [node("w1"), node("w2"), node("w3")];
    let mut first = [0; 2];
    for number in 0..200 {
        let order = failover_order(&node(&format!("front-{number}")), &upstreams);
        assert_eq!(order[2], upstreams[2]);
        let place = upstreams.iter().position(|watcher| *watcher == order[0]).expect("one of them");
        first[place] += 1;
    }
    assert!(first.iter().all(|followers| (70..=130).contains(followers)), "{first:?}");
    let alone = [node("w1")];
    assert_eq!(failover_order(&node("front-1"), &alone), alone);
}

#[test]
fn who_checks_what_it_is_told_gets_the_changes_of_a_list_and_finds_what_it_missed() {
    let mut known = Replica::default();
    known.reset(&[listed("a", 1), listed("b", 2)], 2);
    let mut follower = known.clone();
    // The daemon that tells lists anew, as when the store has dropped its history.
    known.reset(&[listed("b", 2), listed("c", 8)], 9);
    let news = known.update_since(2, Digest).unwrap();
    assert!(!news.is_snapshot);
    assert_eq!((names(&news.objects), &news.removed), (vec!["c"], &vec!["a".to_owned()]));
    assert!(follower.accepts(&news));
    // Another daemon told of an object that came and went before the list.
    follower.apply(&[set("x", 4)], 4);
    let news = known.update_since(4, Digest).unwrap();
    assert!(!news.is_snapshot && !follower.accepts(&news));
    assert!(known.update_since(0, Digest).unwrap().is_snapshot);
}

/// Servers of a fleet of 985 machines, and of one of twice the size, of which a zone's part is replaced.
#[test]
fn a_release_among_thousands_of_servers_is_told_as_changes() {
    for servers in [9_999_u64, 19_998] {
        let name = |number: u64| format!("i-{number:05}");
        let all: Vec<_> = (0..servers).map(|number| listed(&name(number), 1)).collect();
        let mut known = Replica::default();
        known.reset(&all, 1);
        for number in 0..servers / 5 {
            let made = set(&name(servers + number), number + 2);
            known.apply(&[Change::Removed(name(number)), made], number + 2);
        }
        let news = known.update_since(1, Digest).unwrap();
        assert!(!news.is_snapshot, "of {servers} servers");
        assert_eq!(news.removed.len() as u64, servers / 5);
        assert_eq!(news.objects.len() as u64, servers / 5);
    }
}
