//! Texts that are saved while they are under way.

mod support;

use heronbend_gateway::batch::checkpoint::Segment;
use heronbend_gateway::batch::checkpoint::Texts;
use heronbend_gateway::batch::event_stream::EventReader;

/// Adds events to a text, as a server under `version` would send them.
fn make(texts: &Texts, item: usize, events: std::ops::RangeInclusive<u64>, version: u64) {
    let text = texts.get(item);
    let mut reader = EventReader::new("weights", Some(version));
    for number in events {
        let event = format!("id: {number}\ndata: e{number}\n\n");
        reader.read(event.as_bytes(), &mut text.borrow_mut()).unwrap();
    }
}

fn restored(items: usize, segments: &[Segment]) -> Texts {
    let mut texts = Texts::new(items);
    segments.iter().for_each(|segment| texts.restore(segment));
    texts
}

#[test]
fn a_long_text_is_saved_once_and_goes_on_with_its_versions() {
    let mut texts = Texts::new(2);
    make(&texts, 1, 1..=20, 3);
    let first = texts.unsaved(|_| false);
    texts.saved(&first);
    assert!(texts.unsaved(|_| false).is_empty());
    make(&texts, 1, 21..=25, 4);
    let second = texts.unsaved(|_| false);
    assert_eq!((second[0].after, second[0].events.len()), (20, 5));
    let new_owner = restored(2, &[first[0].clone(), second[0].clone()]);
    assert_eq!(*new_owner.get(1).borrow(), *texts.get(1).borrow());
    assert_eq!(new_owner.get(1).borrow().versions().into_iter().collect::<Vec<_>>(), [3, 4]);
    assert!(new_owner.unsaved(|_| false).is_empty());
}

#[test]
fn short_texts_and_listed_ones_are_not_saved() {
    let texts = Texts::new(2);
    make(&texts, 0, 1..=3, 1);
    make(&texts, 1, 1..=30, 1);
    assert!(texts.unsaved(|item| item == 1).is_empty());
}

#[test]
fn segments_of_two_writers_make_one_text_without_gap_or_repetition() {
    let texts = Texts::new(1);
    make(&texts, 0, 1..=40, 1);
    let text = texts.get(0);
    let segment = |after, to: usize| {
        let mut segment = text.borrow().segment(0, after);
        segment.events.truncate(to);
        segment.versions.truncate(to);
        segment
    };
    // The second writer knew nothing of the first one's events; one of its segments is missing.
    let segments = [segment(0, 30), segment(0, 20), segment(20, 20), segment(50, 10)];
    let restored = restored(1, &segments);
    assert_eq!(*restored.get(0).borrow(), *text.borrow());
}

#[test]
fn a_segment_after_a_gap_adds_nothing() {
    let texts = Texts::new(1);
    make(&texts, 0, 1..=40, 1);
    let late = texts.get(0).borrow().segment(0, 20);
    let restored = restored(1, &[late]);
    assert_eq!(restored.get(0).borrow().last_event(), 0);
}

#[test]
fn a_text_that_was_begun_anew_is_saved_from_its_start() {
    let mut texts = Texts::new(1);
    make(&texts, 0, 1..=40, 1);
    let saved = texts.unsaved(|_| false);
    texts.saved(&saved);
    texts.get(0).take();
    make(&texts, 0, 1..=20, 2);
    assert_eq!(texts.unsaved(|_| false)[0].after, 0);
}

#[test]
fn no_checkpoint_is_larger_than_an_object_and_the_rest_goes_into_the_next() {
    let mut texts = Texts::new(400);
    for item in 0..400 {
        let text = texts.get(item);
        let mut reader = EventReader::new("weights", Some(1));
        for number in 1..=20 {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(200));
            reader.read(event.as_bytes(), &mut text.borrow_mut()).unwrap();
        }
    }
    let mut saved = 0;
    loop {
        let segments = texts.unsaved(|_| false);
        if segments.is_empty() {
            break;
        }
        assert!(serde_json::to_vec(&segments).unwrap().len() < 1 << 20);
        saved += segments.len();
        texts.saved(&segments);
    }
    assert_eq!(saved, 400);
}

#[test]
fn the_longest_texts_are_saved_first() {
    let texts = Texts::new(3);
    for (item, events) in [(0, 20), (1, 60), (2, 40)] {
        make(&texts, item, 1..=events, 1);
    }
    let order: Vec<usize> = texts.unsaved(|_| false).iter().map(|segment| segment.item).collect();
    assert_eq!(order, [1, 2, 0]);
}

#[test]
fn a_text_fits_where_each_event_was_made_under_a_version_that_does() {
    let texts = Texts::new(1);
    let text = texts.get(0);
    assert!(text.borrow().versions_fit(9, true));
    make(&texts, 0, 1..=3, 4);
    assert!(text.borrow().versions_fit(4, true));
    assert!(!text.borrow().versions_fit(5, false));
    make(&texts, 0, 4..=5, 5);
    assert!(text.borrow().versions_fit(4, false));
    assert!(!text.borrow().versions_fit(4, true));
}
