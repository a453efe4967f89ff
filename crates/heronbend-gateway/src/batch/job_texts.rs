//! Texts of a running job and how much of each is saved in checkpoints.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;

use super::digest::Digest;
use super::event_stream::ItemText;
use super::segment::Segment;

/// Minimum number of events of a text to be saved. Shorter texts are cheap to generate again.
const MIN_EVENTS: u64 = 16;
/// Maximum size of the events in one checkpoint in bytes, below the object size limit.
const MAX_BYTES: usize = 400 * 1024;

/// The prefix of a text that is saved in checkpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct SavedPrefix {
    /// Number of the last saved event.
    pub events: u64,
    /// Digest of the text up to that event.
    pub digest: Digest,
}

impl SavedPrefix {
    /// The prefix that covers an entire text.
    pub fn all_of(text: &ItemText) -> Self {
        let events = text.last_event();
        Self { events, digest: text.digest_at(events).unwrap_or_default() }
    }

    /// The prefix that ends with a segment.
    pub fn through(segment: &Segment) -> Self {
        let events = segment.events.iter().zip(&segment.versions);
        let digest =
            events.fold(segment.follows, |digest, (event, version)| digest.chain(event, *version));
        Self { events: segment.after + segment.events.len() as u64, digest }
    }

    /// The events of a text after this prefix, or all events if the text no longer starts with it.
    pub fn unsaved(&self, item: usize, text: &ItemText) -> Segment {
        let continues = text.digest_at(self.events) == Some(self.digest);
        text.segment(item, if continues { self.events } else { 0 })
    }
}

/// Texts of a running job, by position of the item.
#[derive(Debug, Default)]
pub struct JobTexts {
    texts: Vec<Rc<RefCell<ItemText>>>,
    /// Saved prefix of each text.
    saved: Vec<SavedPrefix>,
}

impl JobTexts {
    /// Creates empty texts for `items` items.
    pub fn new(items: usize) -> Self {
        let texts = (0..items).map(|_| Rc::default()).collect();
        Self { texts, saved: vec![SavedPrefix::default(); items] }
    }

    /// Returns the text of an item; a new empty one if the position is out of range.
    pub fn get(&self, item: usize) -> Rc<RefCell<ItemText>> {
        self.texts.get(item).cloned().unwrap_or_default()
    }

    /// Sets each text to the longest one that can be assembled from segments of any writers.
    pub fn restore(&mut self, segments: &[Segment]) {
        for (item, text) in self.texts.iter().enumerate() {
            let item_segments: Vec<&Segment> =
                segments.iter().filter(|segment| segment.item == item).collect();
            if item_segments.is_empty() {
                continue;
            }
            let longest = longest_text(&text.borrow(), item_segments);
            self.saved[item] = SavedPrefix::all_of(&longest);
            *text.borrow_mut() = longest;
        }
    }

    /// Number of events in each text.
    pub fn event_counts(&self) -> impl Iterator<Item = u64> + '_ {
        self.texts.iter().map(|text| text.borrow().last_event())
    }

    /// Unsaved events of texts that are long enough and not committed: longest texts first, as many
    /// as fit into one checkpoint.
    pub fn unsaved(&self, is_committed: impl Fn(usize) -> bool) -> Vec<Segment> {
        let length = |item: usize| self.texts[item].borrow().last_event();
        let is_saved = |item: usize| {
            let text = self.texts[item].borrow();
            self.saved[item] == SavedPrefix::all_of(&text)
        };
        let needs_save =
            |item: &usize| length(*item) >= MIN_EVENTS && !is_saved(*item) && !is_committed(*item);
        let mut unsaved: Vec<usize> = (0..self.texts.len()).filter(needs_save).collect();
        unsaved.sort_by_key(|item| Reverse(length(*item)));
        let mut bytes = 0;
        let mut segments = Vec::new();
        for item in unsaved {
            let text = self.texts[item].borrow();
            let segment = self.saved[item].unsaved(item, &text);
            bytes += segment.events.iter().map(String::len).sum::<usize>();
            if bytes > MAX_BYTES && !segments.is_empty() {
                break;
            }
            segments.push(segment);
        }
        segments
    }

    /// Records that segments are in the store.
    pub fn mark_saved(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.saved[segment.item] = SavedPrefix::through(segment);
        }
    }
}

/// Returns the longest text that can be assembled from a known one and segments in any order.
pub fn longest_text(known: &ItemText, mut segments: Vec<&Segment>) -> ItemText {
    let mut branches = vec![known.clone()];
    loop {
        let before = segments.len();
        segments.retain(|segment| !extend_branches(&mut branches, segment));
        if segments.is_empty() || segments.len() == before {
            break;
        }
    }
    branches.into_iter().max_by_key(ItemText::last_event).unwrap_or_default()
}

/// Adds a segment to the candidate texts. Returns false if it continues none of them.
fn extend_branches(branches: &mut Vec<ItemText>, segment: &Segment) -> bool {
    let Some(extended) = branches.iter().find_map(|text| text.continued_by(segment)) else {
        return false;
    };
    if !branches.iter().any(|text| extended.is_prefix_of(text)) {
        branches.retain(|text| !text.is_prefix_of(&extended));
        branches.push(extended);
    }
    true
}
