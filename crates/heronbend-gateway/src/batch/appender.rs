//! Appends chunks of results to the log of a job in the store.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use smol::Timer;

use super::batching_window;
use super::checkpoint;
use super::registry::{chunk_name, results_kind, Job, OWNERSHIPS};
use super::result_log::{Chunk, ItemResult};
use crate::gateway::Gateway;
use crate::list_pages;
use crate::ports::{Object, ObjectStore, StoreError};
use crate::reflector::{backoff, list_all};
use crate::wait;

/// Delay before ownership is checked again.
const OWNERSHIP_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writer of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writer {
    /// This run of this daemon.
    Own,
    /// Another daemon, or an earlier run of this one, that owns the job or owned it at that time.
    Other,
}

/// Appends results while this daemon runs the job.
///
/// A chunk by another writer means that the owner may have changed. Nothing is appended after it
/// until the store confirms that this daemon is the owner.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    let mut failures = 0;
    loop {
        if job.owner_unconfirmed.get() {
            confirm_owner(&gateway, &job).await;
            continue;
        }
        let result_pending = job.result_pending.listen();
        if job.log.borrow().pending() == 0 {
            result_pending.await;
            continue;
        }
        // A chunk whose write may have succeeded is retried without delay.
        if !job.log.borrow().is_in_doubt() {
            wait_for_batch(&gateway, &job).await;
        }
        let Some(chunk) = job.log.borrow_mut().start_write() else {
            continue;
        };
        match write(&gateway, &job, &chunk).await {
            Ok(_) => failures = 0,
            Err(error) => {
                failures += 1;
                job.log.borrow_mut().write_failed(!error.is_not_done());
                log::warn!(
                    "event=results_not_written job={} chunk={} results={} failures={failures} error=\"{error}\"",
                    job.id,
                    chunk.number,
                    chunk.results.len()
                );
                Timer::after(backoff(failures)).await;
            }
        }
    }
}

/// Reads the ownership from the store. Waits before returning unless this daemon is the owner.
async fn confirm_owner(gateway: &Gateway, job: &Job) {
    let read = gateway.store.get(OWNERSHIPS, &job.id).await;
    if let Ok(Some(object)) = &read {
        gateway.jobs.upsert_object(object);
    }
    let is_owner = matches!(read, Ok(Some(_))) && job.owner() == gateway.identity.node;
    log::info!(
        "event=owner_confirmed job={} owner={} is_owner={is_owner} outcome={}",
        job.id,
        job.owner(),
        read.as_ref().map_or_else(ToString::to_string, |_| "read".to_owned())
    );
    if is_owner {
        job.owner_unconfirmed.set(false);
    } else {
        Timer::after(OWNERSHIP_RETRY_DELAY).await;
    }
}

/// Appends an empty chunk, which fences off former owners: their in-flight writes conflict with it,
/// and they confirm the owner before writing again. Until then the local log may be missing results
/// that a former owner has committed.
pub async fn seal(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    loop {
        if job.owner_unconfirmed.get() {
            // A chunk found by the write may belong to a newer owner.
            confirm_owner(gateway, job).await;
            continue;
        }
        let number = job.log.borrow().chunks();
        let chunk = Chunk { number, results: Vec::new() };
        if write(gateway, job, &chunk).await? == Writer::Own {
            log::info!("event=log_sealed job={} chunk={number}", job.id);
            return Ok(());
        }
    }
}

/// Waits until the pending results are to be committed.
async fn wait_for_batch(gateway: &Gateway, job: &Job) {
    let started = gateway.now();
    loop {
        let result_pending = job.result_pending.listen();
        let step_progress = step_progress(gateway, job);
        let is_batch_full = is_batch_full(job);
        let waited = gateway.now().saturating_sub(started);
        let left = batching_window::remaining_wait(step_progress.as_ref(), waited)
            .filter(|_| !is_batch_full);
        let Some(left) = left.filter(|left| !left.is_zero()) else {
            return;
        };
        wait::at_most(left, result_pending).await;
    }
}

/// Whether the pending results include the last one or fill half a chunk.
fn is_batch_full(job: &Job) -> bool {
    let log = job.log.borrow();
    log.len() + log.pending() >= job.total || log.is_chunk_half_full()
}

/// Progress of the training step of a job; `None` if the job is not part of a step.
fn step_progress(gateway: &Gateway, job: &Job) -> Option<batching_window::StepProgress> {
    let specification = job.specification.borrow();
    let specification = specification.as_deref()?;
    let desired_groups = specification.step.as_ref()?.desired_groups;
    let log = job.log.borrow();
    let committed_groups = specification.complete_groups(|item| log.is_committed(item));
    let complete_groups = specification.complete_groups(|item| log.has_result(item));
    let required = job.required_items.borrow();
    let required_missing = required.iter().filter(|item| !log.has_result(item)).count();
    let required_uncommitted = required.iter().filter(|item| !log.is_committed(item)).count();
    let age = gateway.now().saturating_sub(job.first_seen);
    let deadline = gateway.configuration().and_then(|configuration| {
        configuration.match_route(&specification.host, &specification.path)?.result_deadline
    });
    let deadline = deadline.map(|deadline| match deadline.checked_sub(age) {
        Some(left) => batching_window::Deadline::Remaining(left),
        None => batching_window::Deadline::Overdue(age - deadline),
    });
    let long_poll_left = job.long_poll_until.get().saturating_sub(gateway.now());
    Some(batching_window::StepProgress {
        desired_groups,
        committed_groups,
        complete_groups,
        required_missing,
        required_uncommitted,
        deadline,
        long_poll_left,
    })
}

async fn write(gateway: &Gateway, job: &Job, chunk: &Chunk) -> Result<Writer, StoreError> {
    let kind = results_kind(&job.id);
    let name = chunk_name(chunk.number);
    let writer = gateway.identity.node.to_string();
    let content = json!({ "results": chunk.results, "writer": writer });
    match gateway.store.create(&kind, &name, content).await {
        Ok(_) => {
            commit(gateway, job, chunk.number, chunk.results.clone());
            Ok(Writer::Own)
        }
        // The chunk exists: an earlier attempt succeeded, or another daemon runs the job.
        Err(StoreError::Conflict(Some(object))) => commit_object(gateway, job, &object),
        Err(StoreError::Conflict(None)) => match gateway.store.get(&kind, &name).await? {
            Some(object) => commit_object(gateway, job, &object),
            None => Err(StoreError::NotDone("the conflicting chunk no longer exists".to_owned())),
        },
        Err(error) => Err(error),
    }
}

fn commit_object(gateway: &Gateway, job: &Job, object: &Object) -> Result<Writer, StoreError> {
    let (number, results) = parse_chunk(object)?;
    commit(gateway, job, number, results);
    let writer = writer_of(gateway, object);
    if writer == Writer::Other {
        // Cleared once the store has confirmed the owner.
        job.owner_unconfirmed.set(true);
    }
    Ok(writer)
}

fn writer_of(gateway: &Gateway, chunk: &Object) -> Writer {
    let writer = chunk.content.get("writer").and_then(Value::as_str);
    if writer == Some(gateway.identity.node.to_string().as_str()) {
        Writer::Own
    } else {
        Writer::Other
    }
}

fn commit(gateway: &Gateway, job: &Job, number: u32, results: Vec<Rc<ItemResult>>) {
    let age = gateway.now().saturating_sub(job.first_seen);
    for _ in &results {
        gateway.metrics.items_committed.inc();
        gateway.metrics.item_age.observe(age.as_secs_f64());
    }
    let mut log = job.log.borrow_mut();
    let from = log.len();
    log.commit(number, results);
    let committed = log.len();
    drop(log);
    log::info!(
        "event=results_listed job={} chunk={number} positions={from}..{committed} total={} age_ms={}",
        job.id,
        job.total,
        age.as_millis()
    );
    job.log_changed.notify(usize::MAX);
}

/// Decodes a chunk object into its number and results.
pub fn parse_chunk(object: &Object) -> Result<(u32, Vec<Rc<ItemResult>>), StoreError> {
    let malformed = |error: &dyn ToString| {
        StoreError::Malformed(format!("chunk {}: {}", object.name, error.to_string()))
    };
    let number = object.name.parse().map_err(|error| malformed(&error))?;
    let results = object.content.get("results").cloned().unwrap_or_default();
    let results: Vec<ItemResult> =
        serde_json::from_value(results).map_err(|error| malformed(&error))?;
    Ok((number, results.into_iter().map(Rc::new).collect()))
}

/// Reads all chunks from the store that are missing in the local log. Objects whose names are not
/// numbers of chunks are logged and skipped.
pub async fn catch_up(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    let kind = results_kind(&job.id);
    let after = job.log.borrow().chunks().checked_sub(1).map(chunk_name);
    let commit_page = |page: Vec<Object>| commit_listed(gateway, job, &page);
    list_pages::read(&gateway.store, &kind, after, commit_page).await?;
    Ok(())
}

/// Commits the chunks of a page of the log.
fn commit_listed(gateway: &Gateway, job: &Job, page: &[Object]) -> Result<(), StoreError> {
    for object in page {
        if object.name.parse::<u32>().is_err() {
            log::warn!("event=chunk_without_number job={} name={}", job.id, object.name);
            continue;
        }
        let (number, results) = parse_chunk(object)?;
        let is_new = number >= job.log.borrow().chunks();
        if is_new && writer_of(gateway, object) == Writer::Other {
            job.owner_unconfirmed.set(true);
        }
        job.log.borrow_mut().commit(number, results);
    }
    if !page.is_empty() {
        job.log_changed.notify(usize::MAX);
    }
    Ok(())
}

/// Removes all objects of a job from the store.
pub async fn remove_all(gateway: &Gateway, job: &str) -> Result<(), StoreError> {
    for kind in [results_kind(job), checkpoint::kind(job)] {
        for object in list_all(gateway, &kind).await?.0 {
            gateway.store.remove(&kind, &object.name).await?;
        }
    }
    gateway.store.remove(super::registry::SPECIFICATIONS, job).await?;
    gateway.store.remove(super::registry::OWNERSHIPS, job).await
}
