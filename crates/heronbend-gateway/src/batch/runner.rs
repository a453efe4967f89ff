//! Runs the jobs that this daemon owns.

use std::rc::Rc;

use futures_lite::FutureExt;
use smol::{Task, Timer};

use super::registry::{Job, SPECIFICATIONS};
use super::schedule::begin_order;
use super::specification::JobSpecification;
use super::texts::Texts;
use super::{appender, checkpoint, item_run, ownership_duty};
use crate::gateway::Gateway;
use crate::ports::{ObjectStore, StoreError};
use crate::reflector::backoff;

/// Starts every job that this daemon owns and does not run yet.
pub fn start_own_jobs(gateway: &Rc<Gateway>) {
    for job in gateway.jobs.all() {
        let is_mine = job.owner() == gateway.identity.node;
        let has_work = !job.ended.get() && !job.is_complete();
        let is_awaited = job.passed_on_until.get().is_some_and(|until| gateway.now() < until);
        if is_mine && has_work && !is_awaited && !job.running.replace(true) {
            gateway.executor.spawn(run_job(gateway.clone(), job)).detach();
        }
    }
}

/// Runs a job until it is complete, has ended or belongs to another daemon.
async fn run_job(gateway: Rc<Gateway>, job: Rc<Job>) {
    let stopped = async {
        loop {
            let stopping = job.stopping.listen();
            if job.ended.get() || job.owner() != gateway.identity.node {
                return "stopped";
            }
            stopping.await;
        }
    };
    let work = async {
        work_on(&gateway, &job).await;
        "complete"
    };
    let ends_elsewhere = async {
        ownership_duty::watch_for_end(&gateway, &job).await;
        "ended elsewhere"
    };
    let outcome = stopped.or(work).or(ends_elsewhere).await;
    log::info!(
        "event=job_run_over job={} outcome={outcome} listed={} total={} ended={}",
        job.id,
        job.log.borrow().len(),
        job.total,
        job.ended.get()
    );
    job.running.set(false);
    job.confirmed.set(None);
    // What is listed stands in the log; a later run restores the rest.
    job.texts.take();
}

async fn work_on(gateway: &Rc<Gateway>, job: &Rc<Job>) {
    let specification = load(gateway, job).await;
    gateway.jobs.note_required(job, &specification);
    job.confirmed.set(Some(gateway.now()));
    let _appender = gateway.executor.spawn(appender::run(gateway.clone(), job.clone()));
    let _checkpoints = gateway.executor.spawn(checkpoint::run(gateway.clone(), job.clone()));
    let mut tasks: Vec<Task<()>> = Vec::new();
    for position in begin_order(&specification.items) {
        if job.log.borrow().is_listed(&specification.items[position].id) {
            continue;
        }
        let (gateway, job) = (gateway.clone(), job.clone());
        let specification = specification.clone();
        let text = job.texts.borrow().get(position);
        tasks.push(gateway.clone().executor.spawn(async move {
            let item = &specification.items[position];
            let result = item_run::run(&gateway, &job, &specification, item, text).await;
            job.log.borrow_mut().add(result);
            job.result_waits.notify(usize::MAX);
        }));
    }
    for task in tasks {
        task.await;
    }
    loop {
        let grew = job.grew.listen();
        if job.is_complete() {
            return;
        }
        grew.await;
    }
}

/// Reads a job's specification and the results that it has so far.
async fn load(gateway: &Gateway, job: &Job) -> Rc<JobSpecification> {
    let mut failures = 0;
    loop {
        let loaded = async {
            let specification = specification(gateway, job).await?;
            *job.texts.borrow_mut() = Texts::new(specification.items.len());
            // A job that was handed in a moment ago has no results yet.
            if !job.is_new.get() {
                appender::catch_up(gateway, job).await?;
                appender::seal(gateway, job).await?;
                checkpoint::restore(gateway, job).await?;
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

/// A job's specification, read from the store unless it is known.
pub async fn specification(
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
