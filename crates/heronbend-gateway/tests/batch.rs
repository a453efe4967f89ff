//! Result log, event streams, start order and takeover order of batch jobs.

mod support;

use std::rc::Rc;

use heronbend_gateway::batch::event_stream::{EventReader, ItemText, StreamError};
use heronbend_gateway::batch::ownership::successor;
use heronbend_gateway::batch::ownership::takeover_position;
use heronbend_gateway::batch::schedule::start_order;
use heronbend_gateway::batch::ResultLog;
use support::{item, node, result};

fn items(log: &ResultLog) -> Vec<String> {
    log.page(0).iter().map(|result| result.item.clone()).collect()
}

#[test]
fn result_is_not_readable_before_its_chunk_is_committed() {
    let mut log = ResultLog::default();
    log.add(result("a"));
    assert!(log.page(0).is_empty());
    let chunk = log.start_write().unwrap();
    assert!(log.page(0).is_empty());
    assert!(log.commit(chunk.number, chunk.results));
    assert_eq!(items(&log), ["a"]);
}

#[test]
fn no_new_chunk_while_a_write_is_in_doubt() {
    let mut log = ResultLog::default();
    log.add(result("a"));
    let first = log.start_write().unwrap();
    log.add(result("b"));
    assert!(log.start_write().is_none());
    log.write_failed(true);
    assert!(log.is_in_doubt());
    let retry = log.start_write().unwrap();
    assert_eq!(retry.number, first.number);
}

#[test]
fn chunk_of_another_writer_wins_without_duplicate_results() {
    let mut log = ResultLog::default();
    log.add(result("a"));
    log.add(result("b"));
    let own = log.start_write().unwrap();
    // Another owner has written this chunk number first.
    log.commit(own.number, vec![Rc::new(result("b")), Rc::new(result("c"))]);
    assert_eq!(items(&log), ["b", "c"]);
    let next = log.start_write().unwrap();
    assert_eq!(next.number, 1);
    assert_eq!(next.results.len(), 1);
    log.commit(next.number, next.results);
    assert_eq!(items(&log), ["b", "c", "a"]);
}

#[test]
fn chunk_after_a_gap_is_ignored() {
    let mut log = ResultLog::default();
    assert!(!log.commit(1, vec![Rc::new(result("a"))]));
    assert!(log.is_empty());
}

#[test]
fn second_result_of_an_item_is_ignored() {
    let mut log = ResultLog::default();
    log.commit(0, vec![Rc::new(result("a"))]);
    log.add(result("a"));
    assert!(log.start_write().is_none());
}

#[test]
fn extending_a_partial_log_adds_each_result_once() {
    let mut owner = ResultLog::default();
    for (number, name) in ["a", "b", "c"].iter().enumerate() {
        owner.commit(number as u32, vec![Rc::new(result(name))]);
    }
    let mut reader = ResultLog::default();
    reader.commit(0, vec![Rc::new(result("a"))]);
    reader.extend(owner.page(1), owner.chunks());
    // A delayed response to an earlier request has no effect.
    reader.extend(owner.page(0)[..2].to_vec(), 2);
    assert_eq!(items(&reader), ["a", "b", "c"]);
    assert_eq!(reader.chunks(), 3);
    assert!(reader.page(3).is_empty());
}

#[test]
fn page_is_size_limited_but_not_empty() {
    let mut log = ResultLog::default();
    let mut large = result("large");
    large.text = "x".repeat(2_000_000);
    log.commit(0, vec![Rc::new(large), Rc::new(result("small"))]);
    assert_eq!(log.page(0).len(), 1);
    assert_eq!(log.page(1).len(), 1);
    assert!(log.page(2).is_empty());
}

#[test]
fn stream_split_at_any_byte_yields_the_same_text() {
    let stream = b"id: 1\ndata: one\n\nweights: 8\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";
    for cut in 0..stream.len() {
        let mut text = ItemText::default();
        let mut reader = EventReader::new("weights", Some(7));
        reader.read(&stream[..cut], &mut text).unwrap();
        reader.read(&stream[cut..], &mut text).unwrap();
        assert!(reader.is_between_events());
        assert_eq!(text.text(), "one\ntwo\nthree");
        assert_eq!(text.versions().iter().copied().collect::<Vec<_>>(), [7, 8]);
    }
}

#[test]
fn continuation_must_start_with_the_next_event() {
    let mut text = ItemText::default();
    let mut first = EventReader::new("weights", Some(7));
    first.read(b"id: 1\ndata: one\n\nid: 2\nda", &mut text).unwrap();
    assert!(!first.is_between_events());
    assert_eq!(text.last_event(), 1);
    for stream in ["id: 1\ndata: one\n\n", "id: 3\ndata: three\n\n", "data: two\n\n"] {
        let mut second = EventReader::new("weights", Some(7));
        assert_eq!(second.read(stream.as_bytes(), &mut text), Err(StreamError::OutOfOrder));
    }
    let mut second = EventReader::new("weights", Some(7));
    assert_eq!(second.read(b"id: 2\ndata: two\n\n", &mut text), Ok(1));
    assert_eq!(text.text(), "one\ntwo");
}

#[test]
fn malformed_events_are_rejected() {
    let mut text = ItemText::default();
    let mut reader = EventReader::new("weights", Some(7));
    assert_eq!(reader.read(b"id: x\ndata: 1\n\n", &mut text), Err(StreamError::Malformed));
    let mut reader = EventReader::new("weights", Some(7));
    assert_eq!(reader.read(b"id: 1\ndata: \xff\n\n", &mut text), Err(StreamError::Malformed));
}

#[test]
fn longest_items_start_first() {
    let items = [item("short", Some(10)), item("unknown", None), item("long", Some(900))];
    assert_eq!(start_order(&items), [2, 1, 0]);
}

#[test]
fn successor_is_independent_of_order_and_varies_by_job() {
    let nodes = [node("a"), node("b"), node("c")];
    let mut reversed = nodes.clone();
    reversed.reverse();
    let mut chosen = std::collections::BTreeSet::new();
    for number in 0..50 {
        let job = format!("job-{number}");
        let first = successor(&job, nodes.iter()).unwrap();
        assert_eq!(first, successor(&job, reversed.iter()).unwrap());
        chosen.insert(first.clone());
    }
    assert_eq!(chosen.len(), 3);
    assert_eq!(successor("job", [].iter()), None);
}

#[test]
fn version_is_required_only_for_events() {
    let mut text = ItemText::default();
    let mut reader = EventReader::new("weights", None);
    assert_eq!(reader.read(b"", &mut text), Ok(0));
    assert!(reader.is_between_events());
    assert_eq!(reader.read(b"id: 1\ndata: one\n\n", &mut text), Err(StreamError::Malformed));
}

#[test]
fn takeover_positions_are_distinct_and_start_with_the_successor() {
    let alive: Vec<_> = ["a", "b", "c", "d"].map(node).to_vec();
    let mut positions: Vec<usize> =
        alive.iter().map(|node_id| takeover_position("j", node_id, &alive)).collect();
    let first = successor("j", alive.iter()).unwrap();
    assert_eq!(takeover_position("j", first, &alive), 0);
    positions.sort_unstable();
    assert_eq!(positions, [0, 1, 2, 3]);
}
