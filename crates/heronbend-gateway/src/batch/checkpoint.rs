//! Checkpoints of texts in progress, from which a new owner of a job continues.
//!
//! A checkpoint is incremental: it holds the events added to long texts since the previous one,
//! each with the weight version that generated it. Checkpoints are best effort; events that are not
//! saved are generated again. Writers need no coordination, even if several daemons save texts of
//! the same job: each segment carries a digest of the events before it and is joined only to those.

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

/// Interval between checkpoints of a job.
const PERIOD: Duration = Duration::from_millis(1000);
/// Maximum number of checkpoint objects written per interval.
const MAX_PER_PERIOD: usize = 3;

/// Prefix of the object kinds of checkpoints.
pub const CHECKPOINTS_KIND_PREFIX: &str = "heronbend-progress";

/// Object kind of the checkpoints of a job.
pub fn kind(job: &str) -> String {
    format!("{CHECKPOINTS_KIND_PREFIX}-{job}")
}

/// Periodically saves the texts of a job while this daemon runs it.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    loop {
        Timer::after(PERIOD).await;
        for _ in 0..MAX_PER_PERIOD {
            let segments = unsaved(&job);
            if segments.is_empty() || !save(&gateway, &job, &segments).await {
                break;
            }
        }
    }
}

/// Writes one checkpoint. Returns false if the write failed or its outcome is unknown.
async fn save(gateway: &Gateway, job: &Job, segments: &[Segment]) -> bool {
    let node = &gateway.identity.node;
    // Names are never reused: a failed write may still take effect, and the job may return to this
    // daemon.
    let number = job.next_checkpoint.replace(job.next_checkpoint.get() + 1);
    let name = format!("{}-{}-{number:06}", node.name, node.incarnation.0);
    let written =
        gateway.store.create(&kind(&job.id), &name, json!({ "segments": segments })).await;
    match &written {
        Ok(_) => job.texts.borrow_mut().mark_saved(segments),
        // The next checkpoint includes the same events.
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
    job.texts.borrow().unsaved(|item| log.is_committed(&specification.items[item].id))
}

/// Restores the texts saved by former owners of a job.
pub async fn restore(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    let (objects, _) = list_all(gateway, &kind(&job.id)).await?;
    let segments: Vec<Segment> = objects.iter().flat_map(segments).collect();
    let mut texts = job.texts.borrow_mut();
    texts.restore(&segments);
    let started: Vec<u64> = texts.event_counts().filter(|events| *events > 0).collect();
    log::info!(
        "event=texts_restored job={} checkpoints={} texts={} events={}",
        job.id,
        objects.len(),
        started.len(),
        started.iter().sum::<u64>()
    );
    Ok(())
}

/// Decodes the segments of a checkpoint. A malformed checkpoint is logged and skipped.
fn segments(object: &Object) -> Vec<Segment> {
    Vec::deserialize(&object.content["segments"]).unwrap_or_else(|error| {
        log::warn!("event=checkpoint_malformed name={} error=\"{error}\"", object.name);
        Vec::new()
    })
}
