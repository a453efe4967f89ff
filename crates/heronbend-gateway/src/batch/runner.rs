//! Runs the jobs owned by this daemon.

use std::rc::Rc;

use futures_lite::FutureExt;
use smol::{Task, Timer};

use super::job_texts::JobTexts;
use super::registry::{Job, SPECIFICATIONS};
use super::schedule::start_order;
use super::specification::JobSpecification;
use super::tenure::InitialLog;
use super::{appender, checkpoint, item_run, ownership_manager};
use crate::gateway::Gateway;
use crate::ports::{ObjectStore, StoreError};
use crate::reflector::backoff;

/// Starts all jobs that this daemon owns and is not running yet.
pub fn start_owned_jobs(gateway: &Rc<Gateway>) {
    for job in gateway.jobs.all() {
        let is_owned = job.owner() == gateway.identity.node;
        let awaits_handoff = job.handoff_deadline.get().is_some_and(|until| gateway.now() < until);
        if !is_owned || !job.is_open() || awaits_handoff {
            continue;
        }
        let revision = job.revision();
        let started = job.tenure.borrow_mut().start(revision);
        if let Some(initial_log) = started {
            log::info!(
                "event=job_run_started job={} revision={revision} log={initial_log:?}",
                job.id
            );
            gateway.executor.spawn(run_job(gateway.clone(), job, initial_log)).detach();
        }
    }
}

/// Runs a job until it is complete, is ended by its caller or its ownership changes.
async fn run_job(gateway: Rc<Gateway>, job: Rc<Job>, initial_log: InitialLog) {
    let stopped = async {
        loop {
            let stopping = job.stopping.listen();
            if job.ended.get() || !job.tenure.borrow().runs_under(job.revision()) {
                return "stopped";
            }
            stopping.await;
        }
    };
    let work = async {
        run_items(&gateway, &job, initial_log).await;
        "complete"
    };
    let ended_elsewhere = async {
        ownership_manager::watch_ownership(&gateway, &job).await;
        "ended elsewhere"
    };
    let outcome = stopped.or(work).or(ended_elsewhere).await;
    log::info!(
        "event=job_run_over job={} outcome={outcome} listed={} total={} ended={}",
        job.id,
        job.log.borrow().len(),
        job.total,
        job.ended.get()
    );
    job.tenure.borrow_mut().end();
    job.ownership_confirmed_at.set(None);
    // Committed results are in the log; a later run restores the rest from checkpoints.
    job.texts.take();
    // The job may have left this daemon and returned meanwhile.
    start_owned_jobs(&gateway);
}

async fn run_items(gateway: &Rc<Gateway>, job: &Rc<Job>, initial_log: InitialLog) {
    let specification = load_job(gateway, job, initial_log).await;
    gateway.jobs.record_required_items(job, &specification);
    let _appender = gateway.executor.spawn(appender::run(gateway.clone(), job.clone()));
    let _checkpoints = gateway.executor.spawn(checkpoint::run(gateway.clone(), job.clone()));
    let mut tasks: Vec<Task<()>> = Vec::new();
    for position in start_order(&specification.items) {
        if job.log.borrow().is_committed(&specification.items[position].id) {
            continue;
        }
        let (gateway, job) = (gateway.clone(), job.clone());
        let specification = specification.clone();
        let text = job.texts.borrow().get(position);
        tasks.push(gateway.clone().executor.spawn(async move {
            let item = &specification.items[position];
            let result = item_run::run(&gateway, &job, &specification, item, text).await;
            job.log.borrow_mut().add(result);
            job.result_pending.notify(usize::MAX);
        }));
    }
    for task in tasks {
        task.await;
    }
    loop {
        let log_changed = job.log_changed.listen();
        if job.is_complete() {
            return;
        }
        log_changed.await;
    }
}

/// Loads a job's specification, committed results and checkpoints. Retries until it succeeds.
async fn load_job(gateway: &Gateway, job: &Job, initial_log: InitialLog) -> Rc<JobSpecification> {
    let mut failures = 0;
    loop {
        let started = gateway.now();
        let loaded = async {
            let specification = load_specification(gateway, job).await?;
            *job.texts.borrow_mut() = JobTexts::new(specification.items.len());
            if initial_log == InitialLog::Stored {
                appender::catch_up(gateway, job).await?;
                appender::seal(gateway, job).await?;
                checkpoint::restore(gateway, job).await?;
                job.tenure.borrow_mut().log_sealed();
                // The seal shows that nobody else had sealed the log since.
                job.ownership_confirmed_at.set(Some(started));
            }
            Ok::<_, StoreError>(specification)
        };
        match loaded.await {
            Ok(specification) => return specification,
            Err(error) => {
                failures += 1;
                log::warn!("event=job_not_loaded job={} error=\"{error}\"", job.id);
                Timer::after(backoff(failures)).await;
            }
        }
    }
}

/// Returns a job's specification, reading it from the store if it is not cached.
///
/// Fails with [`StoreError::NotFound`] if there is no such job.
pub async fn load_specification(
    gateway: &Gateway,
    job: &Job,
) -> Result<Rc<JobSpecification>, StoreError> {
    if let Some(known) = job.specification.borrow().clone() {
        return Ok(known);
    }
    let object = gateway.store.get(SPECIFICATIONS, &job.id).await?.ok_or(StoreError::NotFound)?;
    let specification: JobSpecification = serde_json::from_value(object.content)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    let specification = Rc::new(specification);
    *job.specification.borrow_mut() = Some(specification.clone());
    Ok(specification)
}
