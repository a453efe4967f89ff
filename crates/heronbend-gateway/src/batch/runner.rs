//! Runs the jobs that this daemon owns, and takes over those of daemons that are lost.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use serde_json::json;
use smol::{Task, Timer};

use super::appender;
use super::item_run;
use super::ownership::{successor, Ownership};
use super::registry::{Job, OWNERSHIPS, SPECIFICATIONS};
use super::schedule::begin_order;
use super::specification::JobSpecification;
use crate::gateway::Gateway;
use crate::mirror::{backoff, MirrorSink};
use crate::peers::INTRODUCTION;
use crate::ports::{Change, Condition, Object, StoreError};

/// Time between two looks for jobs without a living owner.
const SWEEP: Duration = Duration::from_millis(500);

/// Takes in the ownerships of jobs.
pub struct OwnershipSink(pub Rc<Gateway>);

impl MirrorSink for OwnershipSink {
    fn reset(&self, objects: Vec<Object>) {
        for object in &objects {
            self.0.jobs.learn_object(object);
        }
        self.0.jobs.known.set(true);
    }

    fn change(&self, change: Change) {
        match change {
            Change::Set(object) => {
                self.0.jobs.learn_object(&object);
            }
            Change::Removed(name) => self.0.jobs.forget(&name),
        }
    }

    fn applied(&self) {
        start_own_jobs(&self.0);
    }
}

/// Starts every job that this daemon owns and does not run yet.
pub fn start_own_jobs(gateway: &Rc<Gateway>) {
    for job in gateway.jobs.all() {
        let is_mine = job.owner() == gateway.identity.node;
        let has_work = !job.ended.get() && !job.is_complete();
        if is_mine && has_work && !job.running.replace(true) {
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
    let outcome = stopped.or(work).await;
    log::info!(
        "event=job_run_over job={} outcome={outcome} listed={} total={} ended={}",
        job.id,
        job.log.borrow().len(),
        job.total,
        job.ended.get()
    );
    job.running.set(false);
}

async fn work_on(gateway: &Rc<Gateway>, job: &Rc<Job>) {
    let specification = load(gateway, job).await;
    let _appender = gateway.executor.spawn(appender::run(gateway.clone(), job.clone()));
    let mut tasks: Vec<Task<()>> = Vec::new();
    for position in begin_order(&specification.items) {
        if job.log.borrow().is_listed(&specification.items[position].id) {
            continue;
        }
        let (gateway, job) = (gateway.clone(), job.clone());
        let specification = specification.clone();
        tasks.push(gateway.clone().executor.spawn(async move {
            let item = &specification.items[position];
            let result = item_run::run(&gateway, &job, &specification, item).await;
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
            // A job that was handed in here a moment ago has no results yet.
            if gateway.metrics.jobs_adopted.get() > 0 || job.known_since < INTRODUCTION {
                appender::catch_up(gateway, job).await?;
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

/// Looks for jobs whose owner is lost, and takes over those that fall to this daemon.
pub async fn adopt_orphans(gateway: Rc<Gateway>) {
    Timer::after(INTRODUCTION).await;
    loop {
        for job in gateway.jobs.all() {
            if is_mine_to_adopt(&gateway, &job) {
                adopt(&gateway, &job).await;
            }
        }
        remove_old_jobs(&gateway).await;
        Timer::after(SWEEP).await;
    }
}

fn is_mine_to_adopt(gateway: &Gateway, job: &Job) -> bool {
    let owner = job.owner();
    let me = &gateway.identity.node;
    if gateway.draining.get() || job.ended.get() || job.is_complete() || owner == *me {
        return false;
    }
    gateway.members.is_lost(gateway.now(), &owner) && successor_here(gateway, &job.id) == *me
}

fn successor_here(gateway: &Gateway, job: &str) -> NodeId {
    let mut alive = gateway.members.alive();
    alive.push(gateway.identity.node.clone());
    successor(job, alive.iter()).cloned().unwrap_or_else(|| gateway.identity.node.clone())
}

async fn adopt(gateway: &Rc<Gateway>, job: &Rc<Job>) {
    let (former, revision) = job.ownership.borrow().clone();
    let ownership = Ownership { owner: gateway.identity.node.clone(), ..former.clone() };
    let content = json!(ownership);
    let written =
        gateway.store.replace(OWNERSHIPS, &job.id, content, Condition::At(revision)).await;
    log::info!(
        "event=job_adopted job={} from={} revision={revision} outcome={}",
        job.id,
        former.owner,
        written.as_ref().map_or_else(ToString::to_string, |_| "done".to_owned())
    );
    match written {
        Ok(object) => {
            gateway.metrics.jobs_adopted.inc();
            gateway.jobs.learn_object(&object);
            start_own_jobs(gateway);
        }
        Err(StoreError::Conflict(Some(object))) => {
            gateway.jobs.learn_object(&object);
        }
        // The watch tells if it was done after all.
        Err(_) => {}
    }
}

/// Removes jobs whose results need not be readable any more.
async fn remove_old_jobs(gateway: &Gateway) {
    let now = gateway.now();
    let retention = gateway.tuning.result_retention;
    for job in gateway.jobs.all() {
        let is_old = job.ended_since.get().is_some_and(|since| now > since + retention);
        if is_old && successor_here(gateway, &job.id) == gateway.identity.node {
            let removed = appender::remove_all(gateway, &job.id).await;
            log::info!("event=job_removed job={} outcome={removed:?}", job.id);
        }
    }
}
