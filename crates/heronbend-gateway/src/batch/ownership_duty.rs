//! Keeps track of who runs which job, and takes over the jobs of daemons that are lost.
//!
//! Ownerships are told by hint when they are written. Hints may be lost, so the daemons that watch
//! the store for others list them at the start, after an outage and now and then, and tell the
//! others; a few list when a daemon was lost. An owner looks at its own job's object while it runs
//! it, so that an end that was recorded elsewhere is known in time.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use serde_json::json;
use smol::Timer;

use super::adoption::{self, Reason};
use super::appender;
use super::ownership::{place_in_line, successor, Ownership};
use super::registry::{Job, OWNERSHIPS};
use super::runner::start_own_jobs;
use super::succession;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::homes;
use crate::mirror::{list_all, wait_for_store};
use crate::news_way::Way;
use crate::peers::{client, introduction, Hint, PeerReply, PeerRequest, Standing, INTRODUCTION};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};
use crate::wait;

/// Time between two looks for jobs without a living owner.
const SWEEP: Duration = Duration::from_millis(500);
/// Time between two looks of an owner at its job's object. Bounds how long items of a job that was
/// ended elsewhere still go out when the hint was lost.
const OWN_LOOK: Duration = Duration::from_millis(1300);
/// Longest time between two lists.
const LIST_PERIOD: Duration = Duration::from_secs(20);
/// Wait after a daemon was lost, so that one list serves for several that are lost together.
const LOSS_GATHERING: Duration = Duration::from_millis(300);
/// Daemons that list after others were lost: always the same ones, so that a loss of many costs few
/// lists.
const LISTERS: usize = 3;
/// What the order of those goes by.
const LISTERS_KEY: &str = "ownerships";
/// Time in which the daemon that took a job in passes it on to its owner. After it the owner starts
/// the job by itself: the other one may be lost.
const PASS_ON_WAIT: Duration = Duration::from_millis(600);
/// Time that a daemon which is taken for lost is given to say that it runs its job.
const OWNER_ANSWER: Duration = Duration::from_millis(250);

/// Learns the ownerships whenever hints may have been missed.
pub async fn follow(gateway: Rc<Gateway>) {
    gateway.members.introduction.wait().await;
    let mut failures = 0;
    let mut is_asked = false;
    loop {
        let doubted = gateway.watches_doubted.listen();
        let asked = gateway.jobs.list_wanted.listen();
        match learn_ownerships(&gateway, is_asked).await {
            Ok(()) => {
                failures = 0;
                gateway.jobs.is_listed.set(true);
                adopt_from_earlier_run(&gateway).await;
                let asked = async {
                    asked.await;
                    true
                };
                let other = async {
                    wait::at_most(LIST_PERIOD, doubted).await;
                    false
                };
                is_asked = asked.or(other).await;
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

/// Learns the ownerships from a daemon that has listed them, where this one follows such; from the
/// store otherwise, and where they are wanted because a daemon was lost.
async fn learn_ownerships(gateway: &Rc<Gateway>, from_store: bool) -> Result<(), StoreError> {
    if !from_store {
        match dissemination::way(gateway) {
            Way::Store => {}
            Way::Watchers(watchers) => {
                for watcher in watchers {
                    if introduction::learn_jobs_of(gateway, &watcher).await {
                        return Ok(());
                    }
                }
            }
            Way::Outage => return Err(StoreError::NotDone("those that watch hear nothing".into())),
        }
    }
    let (objects, _) = list_all(gateway, OWNERSHIPS).await?;
    take_list(gateway, &objects);
    Ok(())
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
            adopt(gateway, &job, Reason::EarlierRun).await;
        }
    }
}

/// Notes that a daemon was lost: its jobs may be unknown here.
pub fn note_lost(gateway: &Gateway) {
    let mut line = gateway.members.alive();
    line.push(gateway.identity.node.clone());
    if place_in_line(LISTERS_KEY, &gateway.identity.node, &line) < LISTERS {
        gateway.jobs.list_wanted.notify(usize::MAX);
    }
}

/// Tells the other daemons of an ownership that was written.
pub fn tell(gateway: &Gateway, job: &str, ownership: &Ownership, revision: Revision, is_new: bool) {
    let (job, ownership) = (job.to_owned(), ownership.clone());
    gateway.members.tell_all(Hint::JobOwned { job, ownership, revision, is_new });
}

/// Takes in what another daemon tells of an ownership.
///
/// A new job is passed on to its owner together with its items. An owner that starts by the hint, which
/// comes earlier, has to read them from the store and cannot know that there are no results yet.
pub fn take_hint(
    gateway: &Rc<Gateway>,
    job: &str,
    ownership: Ownership,
    revision: Revision,
    is_new: bool,
) {
    let job = gateway.jobs.learn(job, ownership, revision);
    if is_new && job.owner() == gateway.identity.node && !job.running.get() {
        job.passed_on_until.set(Some(gateway.now() + PASS_ON_WAIT));
        let late = gateway.clone();
        let start = async move {
            Timer::after(PASS_ON_WAIT).await;
            start_own_jobs(&late);
        };
        gateway.executor.spawn(start).detach();
    }
    start_own_jobs(gateway);
}

/// Looks at a job that is run here until its object says that it has ended or changed hands.
pub async fn watch_for_end(gateway: &Rc<Gateway>, job: &Job) {
    loop {
        // Who was taken for lost may have been replaced.
        wait::at_most(OWN_LOOK, gateway.members.was_doubted.listen()).await;
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
            let Some(reason) = reason_to_adopt(&gateway, &job) else {
                continue;
            };
            if reason.may_be_wrong() && is_run_by_owner(&gateway, &job).await {
                job.orphaned_since.set(None);
                continue;
            }
            adopt(&gateway, &job, reason).await;
        }
        remove_old_jobs(&gateway).await;
        Timer::after(SWEEP).await;
    }
}

/// Why it falls to this daemon to take a job over now, if it does.
fn reason_to_adopt(gateway: &Gateway, job: &Job) -> Option<Reason> {
    let (owner, me) = (job.owner(), &gateway.identity.node);
    let is_open = !job.ended.get() && !job.is_complete();
    let standing = gateway.members.standing(&owner);
    if !is_open || owner == *me || standing == Standing::Alive {
        job.orphaned_since.set(None);
        return None;
    }
    let now = gateway.now();
    let since = job.orphaned_since.get().unwrap_or(now);
    job.orphaned_since.set(Some(since));
    let candidates = gateway.job_candidates(job.ownership.borrow().0.homes.as_ref());
    let line = succession::line(&job.id, &candidates);
    // Nobody outside of its homes runs it.
    let place = line.iter().position(|node| node == me)?;
    adoption::reason(standing, now - since, place).filter(|_| !gateway.draining.get())
}

/// Asks a daemon that is taken for lost whether it runs its job. Views of who is alive differ from
/// daemon to daemon; a job that is taken from an owner that is well is run twice for a time.
async fn is_run_by_owner(gateway: &Gateway, job: &Job) -> bool {
    let owner = job.owner();
    let Some(address) = gateway.members.last_address(&owner) else {
        return false;
    };
    let revision = job.ownership.borrow().1;
    let request = PeerRequest::ConfirmOwner { job: job.id.clone(), revision };
    let reply = client::call_at(gateway, address, &request, OWNER_ANSWER).await;
    let is_run = reply == Some(PeerReply::Running);
    log::info!("event=owner_asked job={} owner={owner} runs_it={is_run}", job.id);
    is_run
}

/// Answers a daemon that asks whether this one runs a job.
pub fn confirm_owner(gateway: &Gateway, job: &str, revision: Revision) -> PeerReply {
    let runs = gateway.jobs.get(job).is_some_and(|job| {
        let is_newest = job.ownership.borrow().1 >= revision;
        job.running.get() && is_newest && job.owner() == gateway.identity.node
    });
    if runs {
        PeerReply::Running
    } else {
        PeerReply::NotOwner
    }
}

fn successor_here(gateway: &Gateway, job: &str) -> NodeId {
    let mut alive = gateway.members.alive();
    alive.push(gateway.identity.node.clone());
    successor(job, alive.iter()).cloned().unwrap_or_else(|| gateway.identity.node.clone())
}

/// Takes a job over, if nobody else has meanwhile.
pub async fn adopt(gateway: &Rc<Gateway>, job: &Rc<Job>, reason: Reason) {
    let (former, revision) = job.ownership.borrow().clone();
    if !homes::allow(former.homes.as_ref(), &gateway.identity.region) {
        log::warn!("event=job_not_adopted job={} reason=outside_homes", job.id);
        return;
    }
    let ownership = Ownership { owner: gateway.identity.node.clone(), ..former.clone() };
    let content = json!(ownership);
    let written =
        gateway.store.replace(OWNERSHIPS, &job.id, content, Condition::At(revision)).await;
    log::info!(
        "event=job_adopted job={} from={} reason={} revision={revision} outcome={}",
        job.id,
        former.owner,
        reason.name(),
        written.as_ref().map_or_else(ToString::to_string, |_| "done".to_owned())
    );
    match written {
        Ok(object) => {
            gateway.metrics.record_adoption(reason.name());
            job.is_new.set(false);
            gateway.jobs.learn_object(&object);
            tell(gateway, &job.id, &job.ownership.borrow().0, object.revision, false);
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
