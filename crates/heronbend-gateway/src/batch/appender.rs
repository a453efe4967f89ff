//! Writes a job's results to the store, chunk by chunk.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use serde_json::json;
use smol::Timer;

use super::registry::{chunk_name, results_kind, Job};
use super::result_log::{Chunk, ItemResult};
use crate::gateway::Gateway;
use crate::mirror::{backoff, list_all};
use crate::ports::{Object, ObjectStore, StoreError};

/// Results that come within this time are written together: each call to the store has a price.
const GATHERING: Duration = Duration::from_millis(450);

/// Appends results for as long as this daemon runs the job.
pub async fn run(gateway: Rc<Gateway>, job: Rc<Job>) {
    let mut failures = 0;
    loop {
        let waits = job.result_waits.listen();
        let chunk = job.log.borrow_mut().start_writing();
        let Some(chunk) = chunk else {
            waits.await;
            if !is_urgent(&job) {
                gather(&job).await;
            }
            continue;
        };
        match write(&gateway, &job, &chunk).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                job.log.borrow_mut().write_failed();
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

/// Whether a waiting result makes the trainer's wait end: with it as many groups are whole as the
/// trainer wants, or all items are listed.
fn is_urgent(job: &Job) -> bool {
    let log = job.log.borrow();
    if log.len() + log.pending() >= job.total {
        return true;
    }
    let specification = job.specification.borrow();
    let Some(specification) = specification.as_deref() else {
        return false;
    };
    let Some(step) = &specification.step else {
        return false;
    };
    let settled = specification.whole_groups(|item| log.is_listed(item));
    let waiting = specification.whole_groups(|item| log.has_result(item));
    settled < step.desired_groups && waiting >= step.desired_groups
}

/// Waits for further results, but not for long.
async fn gather(job: &Job) {
    let all_wait = async {
        loop {
            let waits = job.result_waits.listen();
            if is_urgent(job) {
                return;
            }
            waits.await;
        }
    };
    all_wait
        .or(async {
            Timer::after(GATHERING).await;
        })
        .await;
}

async fn write(gateway: &Gateway, job: &Job, chunk: &Chunk) -> Result<(), StoreError> {
    let kind = results_kind(&job.id);
    let name = chunk_name(chunk.number);
    let content = json!({ "results": chunk.results });
    match gateway.store.create(&kind, &name, content).await {
        Ok(_) => {
            settle(gateway, job, chunk.number, chunk.results.clone());
            Ok(())
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

fn settle_object(gateway: &Gateway, job: &Job, object: &Object) -> Result<(), StoreError> {
    let (number, results) = parse_chunk(object)?;
    settle(gateway, job, number, results);
    Ok(())
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
    let kind = results_kind(job);
    for chunk in list_all(gateway, &kind).await?.0 {
        gateway.store.remove(&kind, &chunk.name).await?;
    }
    gateway.store.remove(super::registry::SPECIFICATIONS, job).await?;
    gateway.store.remove(super::registry::OWNERSHIPS, job).await
}
