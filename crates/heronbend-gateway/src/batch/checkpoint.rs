//! Texts under way, saved now and then: a daemon that takes a job over goes on with them.
//!
//! A checkpoint holds the events that long texts have gained since the one before it, each with the
//! version of the weights that made it. It promises nothing: a text that is lost, or saved in part, is
//! made again from where the saved part ends. So checkpoints need no order among writers and no
//! condition. Several daemons may save texts of one job, each of its own runs: a segment says by a
//! digest which events it continues, and is joined to those alone.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::Timer;

use super::digest::Digest;
use super::event_stream::ItemText;
use super::registry::Job;
use crate::gateway::Gateway;
use crate::mirror::list_all;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;

/// Time between two checkpoints of a job: what a new owner has to make again at most.
const PERIOD: Duration = Duration::from_millis(1000);
/// Texts that are shorter are made again in less time than the others need anyway.
const MIN_EVENTS: u64 = 16;
/// Most bytes of events in one checkpoint, which is one object. The rest goes into the next one.
const MAX_BYTES: usize = 400 * 1024;
/// Most checkpoints in one period.
const MOST_AT_ONCE: usize = 3;

/// What the kinds of checkpoints begin with.
pub const PROGRESS: &str = "heronbend-progress";

/// Kind of a job's checkpoints.
pub fn kind(job: &str) -> String {
    format!("{PROGRESS}-{job}")
}

/// Consecutive events of one item's text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Position of the item in its job.
    pub item: usize,
    /// Number of the event that it follows; 0 at the start of the text.
    pub after: u64,
    /// The digest of the text up to that event.
    #[serde(default)]
    pub follows: Digest,
    /// The data of its events.
    pub events: Vec<String>,
    /// The version of the weights that made each event.
    pub versions: Vec<u64>,
}

/// How much of a text is in checkpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Saved {
    /// Number of the last event that is saved.
    pub events: u64,
    /// The digest of the text up to that event.
    pub digest: Digest,
}

impl Saved {
    /// All of a text.
    pub fn all_of(text: &ItemText) -> Self {
        let events = text.last_event();
        Self { events, digest: text.digest_at(events).unwrap_or_default() }
    }

    /// What is saved once a segment is.
    pub fn through(segment: &Segment) -> Self {
        let events = segment.events.iter().zip(&segment.versions);
        let digest =
            events.fold(segment.follows, |digest, (event, version)| digest.then(event, *version));
        Self { events: segment.after + segment.events.len() as u64, digest }
    }

    /// What a text has gained: all of it where it was begun anew since.
    pub fn unsaved(&self, item: usize, text: &ItemText) -> Segment {
        let goes_on = text.digest_at(self.events) == Some(self.digest);
        text.segment(item, if goes_on { self.events } else { 0 })
    }
}

/// The texts of one job that is being run here, by position of their item.
#[derive(Debug, Default)]
pub struct Texts {
    texts: Vec<Rc<RefCell<ItemText>>>,
    /// What of each text is in checkpoints.
    saved: Vec<Saved>,
}

impl Texts {
    /// Empty texts for so many items.
    pub fn new(items: usize) -> Self {
        let texts = (0..items).map(|_| Rc::default()).collect();
        Self { texts, saved: vec![Saved::default(); items] }
    }

    /// The text of an item.
    pub fn get(&self, item: usize) -> Rc<RefCell<ItemText>> {
        self.texts.get(item).cloned().unwrap_or_default()
    }

    /// Sets each text to the longest one that the segments of one or more writers make.
    pub fn restore(&mut self, segments: &[Segment]) {
        for (item, text) in self.texts.iter().enumerate() {
            let of_item: Vec<&Segment> =
                segments.iter().filter(|segment| segment.item == item).collect();
            if of_item.is_empty() {
                continue;
            }
            let longest = longest_text(&text.borrow(), of_item);
            self.saved[item] = Saved::all_of(&longest);
            *text.borrow_mut() = longest;
        }
    }

    /// What long texts have gained since they were saved last, the longest first, as much as fits one
    /// checkpoint.
    pub fn unsaved(&self, is_listed: impl Fn(usize) -> bool) -> Vec<Segment> {
        let length = |item: usize| self.texts[item].borrow().last_event();
        let is_saved = |item: usize| {
            let text = self.texts[item].borrow();
            self.saved[item] == Saved::all_of(&text)
        };
        let is_due =
            |item: &usize| length(*item) >= MIN_EVENTS && !is_saved(*item) && !is_listed(*item);
        let mut due: Vec<usize> = (0..self.texts.len()).filter(is_due).collect();
        due.sort_by_key(|item| Reverse(length(*item)));
        let mut bytes = 0;
        let mut segments = Vec::new();
        for item in due {
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

    /// Notes that segments are in the store.
    pub fn saved(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.saved[segment.item] = Saved::through(segment);
        }
    }
}

/// The longest text that segments make from a known one, in whatever order they come.
pub fn longest_text(known: &ItemText, mut segments: Vec<&Segment>) -> ItemText {
    let mut branches = vec![known.clone()];
    loop {
        let before = segments.len();
        segments.retain(|segment| !add(&mut branches, segment));
        if segments.is_empty() || segments.len() == before {
            break;
        }
    }
    branches.into_iter().max_by_key(ItemText::last_event).unwrap_or_default()
}

/// Adds a segment to the texts that were made so far; false where none has the events that it follows.
fn add(branches: &mut Vec<ItemText>, segment: &Segment) -> bool {
    let Some(made) = branches.iter().find_map(|text| text.continued_by(segment)) else {
        return false;
    };
    if !branches.iter().any(|text| made.is_start_of(text)) {
        branches.retain(|text| !text.is_start_of(&made));
        branches.push(made);
    }
    true
}

/// Saves a job's texts for as long as this daemon runs it.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    loop {
        Timer::after(PERIOD).await;
        for _ in 0..MOST_AT_ONCE {
            let segments = unsaved(&job);
            if segments.is_empty() || !save(&gateway, &job, &segments).await {
                break;
            }
        }
    }
}

/// Writes one checkpoint; false when it may not have been written.
async fn save(gateway: &Gateway, job: &Job, segments: &[Segment]) -> bool {
    let node = &gateway.identity.node;
    // A name is not used again: a write that failed may have been done, or may be yet, and the job
    // may come back to this daemon.
    let number = job.next_checkpoint.replace(job.next_checkpoint.get() + 1);
    let name = format!("{}-{}-{number:06}", node.name, node.incarnation.0);
    let written =
        gateway.store.create(&kind(&job.id), &name, json!({ "segments": segments })).await;
    match &written {
        Ok(_) => job.texts.borrow_mut().saved(segments),
        // The same events go into the next one.
        Err(error) => log::warn!(
            "event=checkpoint_not_written job={} name={name} texts={} error=\"{error}\"",
            job.id,
            segments.len()
        ),
    }
    written.is_ok()
}

fn unsaved(job: &Job) -> Vec<Segment> {
    let specification = job.specification.borrow();
    let Some(specification) = specification.as_deref() else {
        return Vec::new();
    };
    let log = job.log.borrow();
    job.texts.borrow().unsaved(|item| log.is_listed(&specification.items[item].id))
}

/// Restores the texts that former owners of a job have saved.
pub async fn restore(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    let (objects, _) = list_all(gateway, &kind(&job.id)).await?;
    let segments: Vec<Segment> = objects.iter().flat_map(segments).collect();
    let mut texts = job.texts.borrow_mut();
    texts.restore(&segments);
    let (count, events) = texts
        .texts
        .iter()
        .map(|text| text.borrow().last_event())
        .fold((0, 0), |(count, events), length| (count + usize::from(length > 0), events + length));
    log::info!(
        "event=texts_restored job={} checkpoints={} texts={count} events={events}",
        job.id,
        objects.len()
    );
    Ok(())
}

/// The segments of a checkpoint; one that cannot be understood is passed over.
fn segments(object: &Object) -> Vec<Segment> {
    Vec::deserialize(&object.content["segments"]).unwrap_or_else(|error| {
        log::warn!("event=checkpoint_malformed name={} error=\"{error}\"", object.name);
        Vec::new()
    })
}
