//! Texts under way, saved now and then: a daemon that takes a job over goes on with them.
//!
//! A checkpoint holds the events that long texts have gained since the one before it, each with the
//! version of the weights that made it. It promises nothing: a text that is lost, or saved in part, is
//! made again from where the saved part ends. So checkpoints need no order among writers and no
//! condition: a segment is used as far as it continues what is known already.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::Timer;

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

/// Kind of a job's checkpoints.
pub fn kind(job: &str) -> String {
    format!("heronbend-progress-{job}")
}

/// Consecutive events of one item's text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Position of the item in its job.
    pub item: usize,
    /// Number of the event that it follows; 0 at the start of the text.
    pub after: u64,
    /// The data of its events.
    pub events: Vec<String>,
    /// The version of the weights that made each event.
    pub versions: Vec<u64>,
}

/// The texts of one job that is being run here, by position of their item.
#[derive(Debug, Default)]
pub struct Texts {
    texts: Vec<Rc<RefCell<ItemText>>>,
    /// Events of each text that are in a checkpoint.
    saved: Vec<u64>,
}

impl Texts {
    /// Empty texts for so many items.
    pub fn new(items: usize) -> Self {
        Self { texts: (0..items).map(|_| Rc::default()).collect(), saved: vec![0; items] }
    }

    /// The text of an item.
    pub fn get(&self, item: usize) -> Rc<RefCell<ItemText>> {
        self.texts.get(item).cloned().unwrap_or_default()
    }

    /// Continues a text as far as the segment goes on from what is known of it.
    pub fn restore(&mut self, segment: &Segment) {
        let Some(text) = self.texts.get(segment.item) else {
            return;
        };
        let mut text = text.borrow_mut();
        text.extend_from(segment);
        self.saved[segment.item] = text.last_event();
    }

    /// What long texts have gained since they were saved last, the longest first, as much as fits one
    /// checkpoint.
    pub fn unsaved(&self, is_listed: impl Fn(usize) -> bool) -> Vec<Segment> {
        let length = |item: usize| self.texts[item].borrow().last_event();
        let is_due = |item: &usize| {
            length(*item) >= MIN_EVENTS && length(*item) != self.saved[*item] && !is_listed(*item)
        };
        let mut due: Vec<usize> = (0..self.texts.len()).filter(is_due).collect();
        due.sort_by_key(|item| Reverse(length(*item)));
        let mut bytes = 0;
        let mut segments = Vec::new();
        for item in due {
            let text = self.texts[item].borrow();
            // A text that was begun anew is shorter than what was saved of it.
            let after = if text.last_event() < self.saved[item] { 0 } else { self.saved[item] };
            let segment = text.segment(item, after);
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
            self.saved[segment.item] = segment.after + segment.events.len() as u64;
        }
    }
}

/// Saves a job's texts for as long as this daemon runs it.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    let mut number = 0;
    loop {
        Timer::after(PERIOD).await;
        for _ in 0..MOST_AT_ONCE {
            let segments = unsaved(&job);
            if segments.is_empty() || !save(&gateway, &job, number, &segments).await {
                break;
            }
            number += 1;
        }
        // One that failed may have been written, or may be yet: its name is not used again.
        number += 1;
    }
}

/// Writes one checkpoint; false when it may not have been written.
async fn save(gateway: &Gateway, job: &Job, number: u32, segments: &[Segment]) -> bool {
    let node = &gateway.identity.node;
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
    let (mut objects, _) = list_all(gateway, &kind(&job.id)).await?;
    // In the order in which they were written: a writer's own follow each other.
    objects.sort_by_key(|object| object.revision);
    let mut texts = job.texts.borrow_mut();
    for segment in objects.iter().flat_map(segments) {
        texts.restore(&segment);
    }
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
