//! Saving and restoring texts in progress.

mod support;

use heronbend_gateway::batch::event_stream::EventReader;
use heronbend_gateway::batch::event_stream::ItemText;
use heronbend_gateway::batch::job_texts::JobTexts;
use heronbend_gateway::batch::segment::Segment;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Appends events to a text as a server with weight version `version` would send them.
fn append_events(
    texts: &JobTexts,
    item: usize,
    events: std::ops::RangeInclusive<u64>,
    version: u64,
) {
    let text = texts.get(item);
    let mut reader = EventReader::new("weights", Some(version));
    for number in events {
        let event = format!("id: {number}\ndata: e{number}\n\n");
        reader.read(event.as_bytes(), &mut text.borrow_mut()).unwrap();
    }
}

fn restored(items: usize, segments: &[Segment]) -> JobTexts {
    let mut texts = JobTexts::new(items);
    texts.restore(segments);
    texts
}

#[test]
fn text_is_saved_incrementally_with_its_versions() {
    let mut texts = JobTexts::new(2);
    append_events(&texts, 1, 1..=20, 3);
    let first = texts.unsaved(|_| false);
    texts.mark_saved(&first);
    assert!(texts.unsaved(|_| false).is_empty());
    append_events(&texts, 1, 21..=25, 4);
    let second = texts.unsaved(|_| false);
    assert_eq!((second[0].after, second[0].events.len()), (20, 5));
    let new_owner = restored(2, &[first[0].clone(), second[0].clone()]);
    assert_eq!(*new_owner.get(1).borrow(), *texts.get(1).borrow());
    assert_eq!(new_owner.get(1).borrow().versions().into_iter().collect::<Vec<_>>(), [3, 4]);
    assert!(new_owner.unsaved(|_| false).is_empty());
}

#[test]
fn short_and_committed_texts_are_not_saved() {
    let texts = JobTexts::new(2);
    append_events(&texts, 0, 1..=3, 1);
    append_events(&texts, 1, 1..=30, 1);
    assert!(texts.unsaved(|item| item == 1).is_empty());
}

#[test]
fn overlapping_segments_of_two_writers_are_joined() {
    let texts = JobTexts::new(1);
    append_events(&texts, 0, 1..=40, 1);
    let text = texts.get(0);
    let segment = |after, to: usize| {
        let mut segment = text.borrow().segment(0, after);
        segment.events.truncate(to);
        segment.versions.truncate(to);
        segment
    };
    // The second writer did not know the first one's events, and one of its segments is missing.
    let segments = [segment(0, 30), segment(0, 20), segment(20, 20), segment(50, 10)];
    let restored = restored(1, &segments);
    assert_eq!(*restored.get(0).borrow(), *text.borrow());
}

#[test]
fn segment_after_a_gap_is_ignored() {
    let texts = JobTexts::new(1);
    append_events(&texts, 0, 1..=40, 1);
    let late = texts.get(0).borrow().segment(0, 20);
    let restored = restored(1, &[late]);
    assert_eq!(restored.get(0).borrow().last_event(), 0);
}

#[test]
fn restarted_text_is_saved_from_its_start() {
    let mut texts = JobTexts::new(1);
    append_events(&texts, 0, 1..=40, 1);
    let saved = texts.unsaved(|_| false);
    texts.mark_saved(&saved);
    texts.get(0).take();
    append_events(&texts, 0, 1..=20, 2);
    assert_eq!(texts.unsaved(|_| false)[0].after, 0);
}

#[test]
fn checkpoints_respect_the_object_size_limit() {
    let mut texts = JobTexts::new(400);
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
        texts.mark_saved(&segments);
    }
    assert_eq!(saved, 400);
}

#[test]
fn longest_texts_are_saved_first() {
    let texts = JobTexts::new(3);
    for (item, events) in [(0, 20), (1, 60), (2, 40)] {
        append_events(&texts, item, 1..=events, 1);
    }
    let order: Vec<usize> = texts.unsaved(|_| false).iter().map(|segment| segment.item).collect();
    assert_eq!(order, [1, 2, 0]);
}

#[test]
fn version_constraints_apply_to_every_event() {
    let texts = JobTexts::new(1);
    let text = texts.get(0);
    assert!(text.borrow().satisfies_versions(9, true));
    append_events(&texts, 0, 1..=3, 4);
    assert!(text.borrow().satisfies_versions(4, true));
    assert!(!text.borrow().satisfies_versions(5, false));
    append_events(&texts, 0, 4..=5, 5);
    assert!(text.borrow().satisfies_versions(4, false));
    assert!(!text.borrow().satisfies_versions(4, true));
}

/// Appends `count` events of an attempt. Each event names the run, the event after which the
/// attempt was asked to continue, and its own number.
fn append_run(run: &str, text: &mut ItemText, count: u64) {
    let mut reader = EventReader::new("weights", Some(1));
    let after = text.last_event();
    for number in after + 1..=after + count {
        let event = format!("id: {number}\ndata: {run}:{after}:{number}\n\n");
        reader.read(event.as_bytes(), text).unwrap();
    }
}

/// Checks the numbers of events made by [`append_run`], and that each run starts after the event
/// that it was asked to continue. Returns a description of the first violation.
fn find_inconsistency(text: &ItemText) -> Option<String> {
    let text = text.text();
    let events: Vec<Vec<&str>> = text.lines().map(|event| event.split(':').collect()).collect();
    for (index, event) in events.iter().enumerate() {
        let has_next_number = event[2] == (index + 1).to_string();
        let starts_run = index == 0 || events[index - 1][0] != event[0];
        let follows_requested_event = !starts_run || event[1] == index.to_string();
        if !has_next_number || !follows_requested_event {
            return Some(format!("event {} is {event:?}", index + 1));
        }
    }
    None
}

/// Saves all unsaved events and returns the segments.
fn save(texts: &mut JobTexts) -> Vec<Segment> {
    let segments = texts.unsaved(|_| false);
    texts.mark_saved(&segments);
    segments
}

#[test]
fn diverging_texts_of_two_owners_are_not_joined() {
    let mut first = JobTexts::new(1);
    append_run("a", &mut first.get(0).borrow_mut(), 40);
    let mut segments = save(&mut first);
    let mut second = restored(1, &segments);
    append_run("b", &mut first.get(0).borrow_mut(), 10);
    append_run("c", &mut second.get(0).borrow_mut(), 30);
    // The former owner's last checkpoint is written before the new owner's first.
    segments.extend(save(&mut first));
    segments.extend(save(&mut second));
    let third = restored(1, &segments);
    assert_eq!(find_inconsistency(&third.get(0).borrow()), None);
    assert_eq!(third.get(0).borrow().last_event(), 70, "the longer text is kept");
}

#[test]
fn late_checkpoint_of_a_former_owner_is_not_joined() {
    let mut first = JobTexts::new(1);
    append_run("a", &mut first.get(0).borrow_mut(), 20);
    let mut segments = save(&mut first);
    let mut second = restored(1, &segments);
    append_run("b", &mut first.get(0).borrow_mut(), 10);
    let late = save(&mut first);
    append_run("c", &mut second.get(0).borrow_mut(), 5);
    segments.extend(save(&mut second));
    segments.extend(late);
    append_run("c", &mut second.get(0).borrow_mut(), 1);
    segments.extend(save(&mut second));
    assert_eq!(find_inconsistency(&restored(1, &segments).get(0).borrow()), None);
}

#[test]
fn restarted_text_longer_than_the_saved_one_is_saved_from_its_start() {
    let mut texts = JobTexts::new(1);
    append_run("a", &mut texts.get(0).borrow_mut(), 20);
    let mut segments = save(&mut texts);
    texts.get(0).take();
    append_run("b", &mut texts.get(0).borrow_mut(), 45);
    segments.extend(save(&mut texts));
    append_run("b", &mut texts.get(0).borrow_mut(), 5);
    segments.extend(save(&mut texts));
    let next = restored(1, &segments);
    assert_eq!(find_inconsistency(&next.get(0).borrow()), None);
    assert_eq!(next.get(0).borrow().last_event(), 50);
}

#[test]
fn text_restarted_during_a_checkpoint_is_saved_from_its_start() {
    let mut texts = JobTexts::new(1);
    append_run("a", &mut texts.get(0).borrow_mut(), 20);
    let mut segments = texts.unsaved(|_| false);
    texts.get(0).take();
    append_run("b", &mut texts.get(0).borrow_mut(), 25);
    texts.mark_saved(&segments);
    segments.extend(save(&mut texts));
    assert_eq!(find_inconsistency(&restored(1, &segments).get(0).borrow()), None);
}

#[test]
fn migrated_text_is_restored_completely() {
    let mut texts = JobTexts::new(1);
    append_run("a", &mut texts.get(0).borrow_mut(), 20);
    let mut segments = save(&mut texts);
    append_run("b", &mut texts.get(0).borrow_mut(), 7);
    segments.extend(save(&mut texts));
    append_run("c", &mut texts.get(0).borrow_mut(), 7);
    segments.extend(save(&mut texts));
    let next = restored(1, &segments);
    assert_eq!(*next.get(0).borrow(), *texts.get(0).borrow());
}

#[test]
fn checkpoint_order_does_not_matter() {
    let mut texts = JobTexts::new(1);
    let mut segments = Vec::new();
    for _ in 0..3 {
        append_run("a", &mut texts.get(0).borrow_mut(), 20);
        segments.extend(save(&mut texts));
    }
    segments.reverse();
    assert_eq!(restored(1, &segments).get(0).borrow().last_event(), 60);
}

/// Several concurrent owners of one job and the checkpoints that they have written.
struct Owners {
    random: SmallRng,
    owners: Vec<JobTexts>,
    /// Segments in the store.
    stored: Vec<Segment>,
    /// Writes that may take effect later or never.
    in_flight_writes: Vec<Vec<Segment>>,
    runs: u32,
}

const ITEMS: usize = 2;
const OWNERS: usize = 3;

impl Owners {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            owners: (0..OWNERS).map(|_| JobTexts::new(ITEMS)).collect(),
            stored: Vec::new(),
            in_flight_writes: Vec::new(),
            runs: 0,
        }
    }

    fn step(&mut self) {
        let owner = self.random.random_range(0..OWNERS);
        let item = self.random.random_range(0..ITEMS);
        let text = self.owners[owner].get(item);
        match self.random.random_range(0..10) {
            0..=4 => {
                self.runs += 1;
                let count = self.random.random_range(1..25);
                append_run(&format!("r{}", self.runs), &mut text.borrow_mut(), count);
            }
            5 => {
                text.take();
            }
            6 => {
                let segments = save(&mut self.owners[owner]);
                self.stored.extend(segments);
            }
            // A write without a response: the same events are saved again.
            7 => self.in_flight_writes.push(self.owners[owner].unsaved(|_| false)),
            8 => {
                if let Some(late) = self.in_flight_writes.pop() {
                    self.stored.extend(late);
                }
            }
            _ => self.owners[owner] = restored(ITEMS, &self.stored),
        }
    }
}

#[test]
fn restored_texts_are_consistent_for_random_interleavings() {
    let seed: u64 = rand::random();
    println!("first seed {seed}");
    for seed in (0..2000).map(|number| seed.wrapping_add(number)) {
        let mut owners = Owners::new(seed);
        for _ in 0..60 {
            owners.step();
            let restored = restored(ITEMS, &owners.stored);
            for item in 0..ITEMS {
                let text = restored.get(item);
                assert_eq!(find_inconsistency(&text.borrow()), None, "item {item}, seed {seed}");
            }
        }
    }
}
