//! Texts under way, saved now and then: a daemon that takes a job over goes on with them.
//!
//! A checkpoint holds the events that long texts have gained since the one before it, each with the
//! version of the weights that made it. It promises nothing: a text that is lost, or saved in part, is
//! made again from where the saved part ends. So checkpoints need no order among writers and no
//! condition. Several daemons may save texts of one job, each of its own runs: a segment says by a
//! digest which events it continues, and is joined to those alone.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use smol::Timer;

use super::registry::Job;
use super::segment::Segment;
use crate::gateway::Gateway;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;
use crate::reflector::list_all;

/// Time between two checkpoints of a job: what a new owner has to make again at most.
const PERIOD: Duration = Duration::from_millis(1000);
/// Most checkpoints in one period.
const MOST_AT_ONCE: usize = 3;

/// What the kinds of checkpoints begin with.
pub const PROGRESS: &str = "heronbend-progress";

/// Kind of a job's checkpoints.
pub fn kind(job: &str) -> String {
    format!("{PROGRESS}-{job}")
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
    let begun: Vec<u64> = texts.lengths().filter(|events| *events > 0).collect();
    log::info!(
        "event=texts_restored job={} checkpoints={} texts={} events={}",
        job.id,
        objects.len(),
        begun.len(),
        begun.iter().sum::<u64>()
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
