//! Writes a job's results to the store, chunk by chunk.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use smol::Timer;

use super::checkpoint;
use super::gathering;
use super::registry::{chunk_name, results_kind, Job, OWNERSHIPS};
use super::result_log::{Chunk, ItemResult};
use crate::gateway::Gateway;
use crate::mirror::{backoff, list_all};
use crate::ports::{Object, ObjectStore, StoreError};
use crate::wait;

/// Rest between two looks whether this daemon owns the job again.
const OWNER_LOOK: Duration = Duration::from_millis(500);

/// Who wrote the chunk that a write found or made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writer {
    /// This run of this daemon.
    Here,
    /// Another daemon, or an earlier run: it owns the job, or did when it wrote.
    Another,
}

/// Appends results for as long as this daemon runs the job.
///
/// A chunk of another writer means that the job may have changed hands: nothing more is appended
/// until the store confirms that this daemon owns it.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    let mut failures = 0;
    loop {
        if job.owner_in_doubt.get() {
            confirm_owner(&gateway, &job).await;
            continue;
        }
        let waits = job.result_waits.listen();
        if job.log.borrow().pending() == 0 {
            waits.await;
            continue;
        }
        // A chunk whose outcome is unknown is written, or read, before anything else.
        if !job.log.borrow().is_in_doubt() {
            gather(&gateway, &job).await;
        }
        let Some(chunk) = job.log.borrow_mut().start_writing() else {
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

/// Asks the store whether this daemon owns the job; rests where it does not, or cannot be told.
async fn confirm_owner(gateway: &Gateway, job: &Job) {
    let read = gateway.store.get(OWNERSHIPS, &job.id).await;
    if let Ok(Some(object)) = &read {
        gateway.jobs.learn_object(object);
    }
    let is_owner = matches!(read, Ok(Some(_))) && job.owner() == gateway.identity.node;
    log::info!(
        "event=owner_confirmed job={} owner={} is_owner={is_owner} outcome={}",
        job.id,
        job.owner(),
        read.as_ref().map_or_else(ToString::to_string, |_| "read".to_owned())
    );
    if is_owner {
        job.owner_in_doubt.set(false);
    } else {
        Timer::after(OWNER_LOOK).await;
    }
}

/// Appends a chunk without results, so that no write of a former owner can be done any more: one
/// that is still under way finds its number taken, and a former owner that finds this chunk asks
/// who owns the job. Until then the log here may lack what a former owner shows to readers.
pub async fn seal(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    loop {
        if job.owner_in_doubt.get() {
            // The chunks that were found may be those of a daemon that took the job over since.
            confirm_owner(gateway, job).await;
            continue;
        }
        let number = job.log.borrow().chunks();
        let chunk = Chunk { number, results: Vec::new() };
        if write(gateway, job, &chunk).await? == Writer::Here {
            log::info!("event=log_sealed job={} chunk={number}", job.id);
            return Ok(());
        }
    }
}

/// Waits for further results for as long as those that wait may wait.
async fn gather(gateway: &Gateway, job: &Job) {
    let begun = gateway.now();
    loop {
        let waits = job.result_waits.listen();
        let step = step(gateway, job);
        let is_full = is_full(job);
        let waited = gateway.now().saturating_sub(begun);
        let left = gathering::wait(step.as_ref(), waited).filter(|_| !is_full);
        let Some(left) = left.filter(|left| !left.is_zero()) else {
            return;
        };
        wait::at_most(left, waits).await;
    }
}

/// Whether there is nothing to wait for: the last result waits, or enough for a chunk.
fn is_full(job: &Job) -> bool {
    let log = job.log.borrow();
    log.len() + log.pending() >= job.total || log.is_chunk_half_full()
}

/// How far the step is that a job is for, if a trainer handed it in.
fn step(gateway: &Gateway, job: &Job) -> Option<gathering::Step> {
    let specification = job.specification.borrow();
    let specification = specification.as_deref()?;
    let desired = specification.step.as_ref()?.desired_groups;
    let log = job.log.borrow();
    let listed = specification.whole_groups(|item| log.is_listed(item));
    let whole = specification.whole_groups(|item| log.has_result(item));
    let required = job.required.borrow();
    let required_missing = required.iter().filter(|item| !log.has_result(item)).count();
    let required_unlisted = required.iter().filter(|item| !log.is_listed(item)).count();
    let age = gateway.now().saturating_sub(job.known_since);
    let due = gateway.configuration().and_then(|configuration| {
        configuration.match_route(&specification.host, &specification.path)?.result_deadline
    });
    let due = due.map(|due| match due.checked_sub(age) {
        Some(left) => gathering::Due::In(left),
        None => gathering::Due::Since(age - due),
    });
    let held_for = job.read_held_until.get().saturating_sub(gateway.now());
    Some(gathering::Step {
        desired,
        listed,
        whole,
        required_missing,
        required_unlisted,
        due,
        held_for,
    })
}

async fn write(gateway: &Gateway, job: &Job, chunk: &Chunk) -> Result<Writer, StoreError> {
    let kind = results_kind(&job.id);
    let name = chunk_name(chunk.number);
    let writer = gateway.identity.node.to_string();
    let content = json!({ "results": chunk.results, "writer": writer });
    match gateway.store.create(&kind, &name, content).await {
        Ok(_) => {
            settle(gateway, job, chunk.number, chunk.results.clone());
            Ok(Writer::Here)
        }
        // Written before, by this daemon or by another one that runs the job.
        Err(StoreError::Conflict(Some(object))) => settle_object(gateway, job, &object),
        Err(StoreError::Conflict(None)) => match gateway.store.get(&kind, &name).await? {
            Some(object) => settle_object(gateway, job, &object),
            None => Err(StoreError::NotDone("the chunk is gone".to_owned())),
        },
        Err(error) => Err(error),
    }
}

fn settle_object(gateway: &Gateway, job: &Job, object: &Object) -> Result<Writer, StoreError> {
    let (number, results) = parse_chunk(object)?;
    settle(gateway, job, number, results);
    let writer = writer_of(gateway, object);
    if writer == Writer::Another {
        // Only the store's word on the owner ends a doubt.
        job.owner_in_doubt.set(true);
    }
    Ok(writer)
}

fn writer_of(gateway: &Gateway, chunk: &Object) -> Writer {
    let writer = chunk.content.get("writer").and_then(Value::as_str);
    if writer == Some(gateway.identity.node.to_string().as_str()) {
        Writer::Here
    } else {
        Writer::Another
    }
}

fn settle(gateway: &Gateway, job: &Job, number: u32, results: Vec<Rc<ItemResult>>) {
    let age = gateway.now().saturating_sub(job.known_since);
    for _ in &results {
        gateway.metrics.items_listed.inc();
        gateway.metrics.item_age.observe(age.as_secs_f64());
    }
    let mut log = job.log.borrow_mut();
    let from = log.len();
    log.settle(number, results);
    let settled = log.len();
    drop(log);
    log::info!(
        "event=results_listed job={} chunk={number} positions={from}..{settled} total={} age_ms={}",
        job.id,
        job.total,
        age.as_millis()
    );
    job.grew.notify(usize::MAX);
}

/// A chunk's number and results, from its object.
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

/// Reads from the store all chunks that are not known here yet.
pub async fn catch_up(gateway: &Gateway, job: &Job) -> Result<(), StoreError> {
    let kind = results_kind(&job.id);
    loop {
        let chunks = job.log.borrow().chunks();
        let after = chunks.checked_sub(1).map(chunk_name);
        let page = gateway.store.list(&kind, after.as_deref()).await?;
        for object in &page.objects {
            let (number, results) = parse_chunk(object)?;
            let is_news = number >= job.log.borrow().chunks();
            if is_news && writer_of(gateway, object) == Writer::Another {
                job.owner_in_doubt.set(true);
            }
            job.log.borrow_mut().settle(number, results);
        }
        if !page.objects.is_empty() {
            job.grew.notify(usize::MAX);
        }
        if !page.more || page.objects.is_empty() {
            return Ok(());
        }
    }
}

/// Removes everything that the store keeps of a job.
pub async fn remove_all(gateway: &Gateway, job: &str) -> Result<(), StoreError> {
    for kind in [results_kind(job), checkpoint::kind(job)] {
        for object in list_all(gateway, &kind).await?.0 {
            gateway.store.remove(&kind, &object.name).await?;
        }
    }
    gateway.store.remove(super::registry::SPECIFICATIONS, job).await?;
    gateway.store.remove(super::registry::OWNERSHIPS, job).await
}
