//! Keeps track of who runs which job, and takes over the jobs of daemons that are lost.
//!
//! Ownerships are told by hint when they are written. They are listed at the start, when a daemon
//! was lost, after an outage and now and then: a hint may be lost, and a watch at each daemon for
//! each change would cost more than these lists. An owner looks at its own job's object while it
//! runs it, so that an end that was recorded elsewhere is known in time.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use serde_json::json;
use smol::Timer;

use super::appender;
use super::ownership::{place_in_line, successor, Ownership};
use super::registry::{Job, OWNERSHIPS};
use super::runner::start_own_jobs;
use crate::gateway::Gateway;
use crate::mirror::{list_all, wait_for_store};
use crate::peers::{Hint, INTRODUCTION};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};
use crate::wait;

/// Time between two looks for jobs without a living owner.
const SWEEP: Duration = Duration::from_millis(500);
/// Time between two looks of an owner at its job's object. Bounds how long items of a job that was
/// ended elsewhere still go out when the hint was lost.
const OWN_LOOK: Duration = Duration::from_millis(1300);
/// Time that each daemon in line for a lost daemon's job is given before the next one takes it over.
const LINE_WAIT: Duration = Duration::from_millis(800);
/// Longest time between two lists.
const LIST_PERIOD: Duration = Duration::from_secs(20);
/// Wait after a daemon was lost, so that one list serves for several that are lost together.
const LOSS_GATHERING: Duration = Duration::from_millis(300);
/// Daemons that list after another one was lost.
const LISTERS: usize = 3;

/// Lists the ownerships whenever hints may have been missed.
pub async fn follow(gateway: Rc<Gateway>) {
    let mut failures = 0;
    loop {
        let doubted = gateway.watches_doubted.listen();
        let asked = gateway.jobs.list_wanted.listen();
        match list_all(&gateway, OWNERSHIPS).await {
            Ok((objects, _)) => {
                failures = 0;
                take_list(&gateway, &objects);
                adopt_from_earlier_run(&gateway).await;
                wait::at_most(LIST_PERIOD, doubted.or(asked)).await;
                Timer::after(LOSS_GATHERING).await;
            }
            Err(error) => {
                failures += 1;
                log::warn!("event=ownerships_not_listed failures={failures} error=\"{error}\"");
                wait_for_store(&gateway, failures).await;
            }
        }
    }
}

fn take_list(gateway: &Rc<Gateway>, objects: &[Object]) {
    for object in objects {
        gateway.jobs.learn_object(object);
    }
    start_own_jobs(gateway);
}

/// Takes over the jobs of an earlier run of this very daemon, which has certainly ended.
async fn adopt_from_earlier_run(gateway: &Rc<Gateway>) {
    let me = &gateway.identity.node;
    for job in gateway.jobs.all() {
        let owner = job.owner();
        let is_open = !job.ended.get() && !job.is_complete();
        if is_open && owner.name == me.name && owner != *me && !gateway.draining.get() {
            adopt(gateway, &job).await;
        }
    }
}

/// Notes that a daemon was lost: its jobs may be unknown here.
pub fn note_lost(gateway: &Gateway, node: &NodeId) {
    let mut line = gateway.members.alive();
    line.push(gateway.identity.node.clone());
    if place_in_line(&node.name.0, &gateway.identity.node, &line) < LISTERS {
        gateway.jobs.list_wanted.notify(usize::MAX);
    }
}

/// Tells the other daemons of an ownership that was written.
pub fn tell(gateway: &Gateway, job: &str, ownership: &Ownership, revision: Revision) {
    let (job, ownership) = (job.to_owned(), ownership.clone());
    gateway.members.tell_all(Hint::JobOwned { job, ownership, revision });
}

/// Takes in what another daemon tells of an ownership.
pub fn take_hint(gateway: &Rc<Gateway>, job: &str, ownership: Ownership, revision: Revision) {
    gateway.jobs.learn(job, ownership, revision);
    start_own_jobs(gateway);
}

/// Looks at a job that is run here until its object says that it has ended or changed hands.
pub async fn watch_for_end(gateway: &Rc<Gateway>, job: &Job) {
    loop {
        Timer::after(OWN_LOOK).await;
        let asked = gateway.now();
        if let Ok(Some(object)) = gateway.store.get(OWNERSHIPS, &job.id).await {
            gateway.jobs.learn_object(&object);
            if job.confirmed.get().is_some() {
                job.confirmed.set(Some(asked));
            }
            if job.ended.get() || job.owner() != gateway.identity.node {
                return;
            }
        }
    }
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

/// Whether it falls to this daemon to take a job over. Those behind the first in line wait for it: it
/// may not know the job yet, or may be cut off from the store without the others knowing.
fn is_mine_to_adopt(gateway: &Gateway, job: &Job) -> bool {
    let owner = job.owner();
    let me = &gateway.identity.node;
    let now = gateway.now();
    let is_open = !job.ended.get() && !job.is_complete();
    if !is_open || owner == *me || !gateway.members.is_lost(now, &owner) {
        job.orphaned_since.set(None);
        return false;
    }
    let since = job.orphaned_since.get().unwrap_or(now);
    job.orphaned_since.set(Some(since));
    let mut alive = gateway.members.alive();
    alive.push(me.clone());
    let place = u32::try_from(place_in_line(&job.id, me, &alive)).unwrap_or(u32::MAX);
    !gateway.draining.get() && now >= since + LINE_WAIT * place
}

fn successor_here(gateway: &Gateway, job: &str) -> NodeId {
    let mut alive = gateway.members.alive();
    alive.push(gateway.identity.node.clone());
    successor(job, alive.iter()).cloned().unwrap_or_else(|| gateway.identity.node.clone())
}

/// Takes a job over, if nobody else has meanwhile.
pub async fn adopt(gateway: &Rc<Gateway>, job: &Rc<Job>) {
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
            job.is_new.set(false);
            gateway.jobs.learn_object(&object);
            tell(gateway, &job.id, &job.ownership.borrow().0, object.revision);
            start_own_jobs(gateway);
        }
        Err(StoreError::Conflict(Some(object))) => {
            gateway.jobs.learn_object(&object);
        }
        // The next attempt tells if it was done after all.
        Err(_) => {}
    }
}

/// Removes jobs whose results need not be readable any more.
async fn remove_old_jobs(gateway: &Gateway) {
    let now = gateway.now();
    let retention = gateway.tuning().result_retention;
    for job in gateway.jobs.all() {
        let is_old = job.ended_since.get().is_some_and(|since| now > since + retention);
        if is_old && successor_here(gateway, &job.id) == gateway.identity.node {
            let removed = appender::remove_all(gateway, &job.id).await;
            log::info!("event=job_removed job={} outcome={removed:?}", job.id);
        }
    }
}
