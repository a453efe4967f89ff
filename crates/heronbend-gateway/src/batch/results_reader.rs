//! Serves results and items of any job to callers and peers.
//!
//! Only committed results are returned: from the local log if it has them, otherwise from the owner
//! or the store. Committed results never change, so a stale local log is a valid prefix.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heronbend::access::Caller;
use heronbend::Moment;
use smol::Timer;

use super::appender;
use super::registry::{Job, OWNERSHIPS};
use super::result_log::ItemResult;
use super::result_log::ResultsPage;
use super::runner;
use super::submission::item_body;
use crate::gateway::Gateway;
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{ObjectStore, StoreError};
use crate::wait;

/// Error of [`results`] and [`item`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// There is no such job or item, or the caller may not see it.
    NotFound,
    /// Neither the owner nor the store can answer at present.
    Unavailable,
}

/// Interval between reads of the store if the owner cannot be reached.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(450);

/// Delay between consecutive calls to the owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns results from position `from`. Waits until `wait_until` for the first one (long poll).
pub async fn results(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
    from: usize,
    wait_until: Moment,
) -> Result<ResultsPage, ReadError> {
    let job = find_visible(gateway, id, caller).await?;
    loop {
        let log_changed = job.log_changed.listen();
        if job.log.borrow().len() > from || job.is_complete() {
            return local_page(&job, from);
        }
        let now = gateway.now();
        let remaining = wait_until.saturating_sub(now);
        if job.is_authoritative(now) {
            if remaining.is_zero() || job.ended.get() {
                return local_page(&job, from);
            }
            job.long_poll_until.set(wait_until);
            wait::at_most(remaining, log_changed).await;
            job.long_poll_until.set(Moment::ZERO);
            continue;
        }
        // The owner answers as a long poll; the store answers immediately.
        let poll_interval = match ask_owner(gateway, &job, from, remaining).await {
            Some(page) => {
                let page = page?;
                if !page.results.is_empty() || gateway.now() >= wait_until || job.ended.get() {
                    return Ok(page);
                }
                OWNER_POLL_INTERVAL
            }
            None => {
                catch_up(gateway, &job).await?;
                let has_new_results = job.log.borrow().len() > from;
                if has_new_results || gateway.now() >= wait_until || job.ended.get() {
                    return local_page(&job, from);
                }
                STORE_POLL_INTERVAL
            }
        };
        Timer::after(poll_interval.min(wait_until.saturating_sub(gateway.now()))).await;
    }
}

/// Results in the local log from position `from`.
fn local_page(job: &Job, from: usize) -> Result<ResultsPage, ReadError> {
    let log = job.log.borrow();
    if from > log.len() {
        // The caller has already seen more results than the local log holds.
        return Err(ReadError::Unavailable);
    }
    Ok(ResultsPage { total: job.total, from, results: log.page(from) })
}

/// Asks a remote owner for results from position `from`. Earlier results are not requested, to
/// limit traffic between zones. Returns `None` if the owner cannot answer.
async fn ask_owner(
    gateway: &Gateway,
    job: &Job,
    from: usize,
    limit: Duration,
) -> Option<Result<ResultsPage, ReadError>> {
    let owner = job.owner();
    if owner == gateway.identity.node {
        return None;
    }
    let wait_millis = u64::try_from(limit.as_millis()).unwrap_or(0);
    let request = PeerRequest::ReadResults { job: job.id.clone(), from, wait_millis };
    let reply = client::call(gateway, &owner, &request, limit).await;
    let Some(PeerReply::Results { results, settled, chunks }) = reply else {
        return None;
    };
    if from > settled {
        return Some(Err(ReadError::Unavailable));
    }
    let results: Vec<Rc<ItemResult>> = results.into_iter().map(Rc::new).collect();
    let continues = job.log.borrow().len() == from && from + results.len() == settled;
    if continues && !results.is_empty() {
        job.log.borrow_mut().extend(results.clone(), chunks);
        job.owner_unconfirmed.set(true);
        job.log_changed.notify(usize::MAX);
    }
    Some(Ok(ResultsPage { total: job.total, from, results }))
}

/// Updates the local log from the store.
async fn catch_up(gateway: &Gateway, job: &Job) -> Result<(), ReadError> {
    appender::catch_up(gateway, job).await.map_err(|error| {
        log::warn!("event=results_not_read job={} error=\"{error}\"", job.id);
        ReadError::Unavailable
    })
}

/// Answers a read from a peer for a job that runs on this daemon.
pub async fn answer_peer(
    gateway: &Rc<Gateway>,
    id: &str,
    from: usize,
    limit: Duration,
) -> PeerReply {
    let job = gateway.jobs.get(id).filter(|job| job.owner() == gateway.identity.node);
    let Some(job) = job.filter(|job| job.is_authoritative(gateway.now()) || job.is_complete())
    else {
        return PeerReply::NotOwner;
    };
    let until = gateway.now() + limit;
    loop {
        let log_changed = job.log_changed.listen();
        let remaining = until.saturating_sub(gateway.now());
        let has_new_results = job.log.borrow().len() > from;
        if has_new_results || remaining.is_zero() || job.ended.get() || !job.is_running() {
            break;
        }
        job.long_poll_until.set(until);
        wait::at_most(remaining, log_changed).await;
        job.long_poll_until.set(Moment::ZERO);
    }
    let log = job.log.borrow();
    let results = log.page(from).iter().map(|result| (**result).clone()).collect();
    PeerReply::Results { results, settled: log.len(), chunks: log.chunks() }
}

/// Returns the decoded body of an item.
pub async fn item(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
    item: &str,
) -> Result<Bytes, ReadError> {
    let job = find_visible(gateway, id, caller).await?;
    let specification =
        runner::load_specification(gateway, &job).await.map_err(|error| match error {
            StoreError::NotFound => ReadError::NotFound,
            _ => ReadError::Unavailable,
        })?;
    item_body(&specification, item).ok_or(ReadError::NotFound)
}

/// Finds a job that is visible to the caller. A job of another tenant is reported as not found.
async fn find_visible(gateway: &Gateway, id: &str, caller: &Caller) -> Result<Rc<Job>, ReadError> {
    let job = find(gateway, id).await?;
    job.is_visible_to(caller).then_some(job).ok_or(ReadError::NotFound)
}

async fn find(gateway: &Gateway, id: &str) -> Result<Rc<Job>, ReadError> {
    if let Some(job) = gateway.jobs.get(id) {
        return Ok(job);
    }
    match gateway.store.get(OWNERSHIPS, id).await {
        Ok(Some(object)) => gateway.jobs.upsert_object(&object).ok_or(ReadError::Unavailable),
        Ok(None) => Err(ReadError::NotFound),
        Err(error) => {
            log::warn!("event=job_not_found_out job={id} error=\"{error}\"");
            Err(ReadError::Unavailable)
        }
    }
}
