//! Reading results and items, at any daemon.
//!
//! A reader gets results whose position is settled, from what this daemon knows, else from the
//! owner, else from the store. Settled results never change, so an older view is a true prefix.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use heronbend::Moment;
use smol::Timer;

use super::appender;
use super::hand_in::item_body;
use super::registry::{Job, OWNERSHIPS};
use super::result_log::ResultsPage;
use super::runner;
use crate::gateway::Gateway;
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{ObjectStore, StoreError};

/// Why nothing can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// There is no such job or item.
    NotFound,
    /// It cannot be told now.
    Unavailable,
}

/// Rest between two looks at the store for a job whose owner cannot be asked.
const STORE_LOOK: Duration = Duration::from_millis(450);

/// Rest between two calls to an owner, which tells of results before the reader's position as well.
const OWNER_REST: Duration = Duration::from_millis(5);

/// Who told of the results.
enum Source {
    Owner,
    Store,
}

/// Results from a position on; waits for one until `wait_until`.
pub async fn results(
    gateway: &Rc<Gateway>,
    id: &str,
    from: usize,
    wait_until: Moment,
) -> Result<ResultsPage, ReadError> {
    let job = find(gateway, id).await?;
    loop {
        let grew = job.grew.listen();
        if job.log.borrow().len() > from || job.is_complete() {
            break;
        }
        let now = gateway.now();
        let left = wait_until.saturating_sub(now);
        if job.is_authority(now) {
            let is_over = left.is_zero() || job.ended.get();
            if is_over {
                break;
            }
            grew.or(async {
                Timer::after(left).await;
            })
            .await;
            continue;
        }
        let source = refresh(gateway, &job, left).await?;
        if job.log.borrow().len() > from || gateway.now() >= wait_until || job.ended.get() {
            break;
        }
        // An owner holds a call until it has news; the store answers at once.
        let rest = match source {
            Source::Owner => OWNER_REST,
            Source::Store => STORE_LOOK,
        };
        Timer::after(rest.min(wait_until.saturating_sub(gateway.now()))).await;
    }
    let log = job.log.borrow();
    if from > log.len() {
        // The reader has seen more than is known here.
        return Err(ReadError::Unavailable);
    }
    Ok(ResultsPage { total: job.total, from, results: log.page(from) })
}

/// Brings the log of a job that runs elsewhere up to date.
async fn refresh(gateway: &Gateway, job: &Job, wait: Duration) -> Result<Source, ReadError> {
    let owner = job.owner();
    if owner != gateway.identity.node {
        let chunks = job.log.borrow().chunks();
        let request = PeerRequest::ReadResults {
            job: job.id.clone(),
            chunks,
            wait_millis: u64::try_from(wait.as_millis()).unwrap_or(0),
        };
        if let Some(PeerReply::Results { results, chunks }) =
            client::call(gateway, &owner, &request, wait).await
        {
            let results = results.into_iter().map(Rc::new).collect();
            job.log.borrow_mut().extend(results, chunks);
            job.owner_in_doubt.set(true);
            job.grew.notify(usize::MAX);
            return Ok(Source::Owner);
        }
    }
    match appender::catch_up(gateway, job).await {
        Ok(()) => Ok(Source::Store),
        Err(error) => {
            log::warn!("event=results_not_read job={} error=\"{error}\"", job.id);
            Err(ReadError::Unavailable)
        }
    }
}

/// Answers a peer that reads a job which runs here.
pub async fn answer_peer(
    gateway: &Rc<Gateway>,
    id: &str,
    chunks: u32,
    wait: Duration,
) -> PeerReply {
    let job = gateway.jobs.get(id).filter(|job| job.owner() == gateway.identity.node);
    let Some(job) = job.filter(|job| job.is_authority(gateway.now()) || job.is_complete()) else {
        return PeerReply::NotOwner;
    };
    let until = gateway.now() + wait;
    loop {
        let grew = job.grew.listen();
        let left = until.saturating_sub(gateway.now());
        let has_news = job.log.borrow().chunks() > chunks;
        if has_news || left.is_zero() || job.ended.get() || !job.running.get() {
            break;
        }
        grew.or(async {
            Timer::after(left).await;
        })
        .await;
    }
    let log = job.log.borrow();
    let results = log.after_chunk(chunks).iter().map(|result| (**result).clone()).collect();
    PeerReply::Results { results, chunks: log.chunks() }
}

/// The body of an item.
pub async fn item(gateway: &Rc<Gateway>, id: &str, item: &str) -> Result<Bytes, ReadError> {
    let job = find(gateway, id).await?;
    let specification =
        runner::specification(gateway, &job).await.map_err(|error| match error {
            StoreError::NotFound => ReadError::NotFound,
            _ => ReadError::Unavailable,
        })?;
    item_body(&specification, item).ok_or(ReadError::NotFound)
}

/// A job that is known here or in the store.
async fn find(gateway: &Gateway, id: &str) -> Result<Rc<Job>, ReadError> {
    if let Some(job) = gateway.jobs.get(id) {
        return Ok(job);
    }
    match gateway.store.get(OWNERSHIPS, id).await {
        Ok(Some(object)) => gateway.jobs.learn_object(&object).ok_or(ReadError::Unavailable),
        Ok(None) => Err(ReadError::NotFound),
        Err(error) => {
            log::warn!("event=job_not_found_out job={id} error=\"{error}\"");
            Err(ReadError::Unavailable)
        }
    }
}
