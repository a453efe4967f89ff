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

use super::adoption::{self, AdoptionReason};
use super::appender;
use super::owner_selection;
use super::ownership::{successor, takeover_position, Ownership};
use super::registry::{Job, OWNERSHIPS};
use super::runner::start_owned_jobs;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::homes;
use crate::mirror::{list_all, wait_for_store};
use crate::news_way::Way;
use crate::peers::{client, introduction, Hint, PeerReply, PeerRequest, Standing, INTRODUCTION};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};
use crate::wait;

/// Time between two looks for jobs without a living owner.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks of an owner at its job's object. Bounds how long items of a job that was
/// ended elsewhere still go out when the hint was lost.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1300);
/// Longest time between two lists.
const RELOAD_INTERVAL: Duration = Duration::from_secs(20);
/// Wait after a daemon was lost, so that one list serves for several that are lost together.
const LOSS_BATCHING_WINDOW: Duration = Duration::from_millis(300);
/// Daemons that list after others were lost: always the same ones, so that a loss of many costs few
/// lists.
const RELOADING_DAEMONS: usize = 3;
/// What the order of those goes by.
const RELOAD_ORDER_KEY: &str = "ownerships";
/// Time in which the daemon that took a job in passes it on to its owner. After it the owner starts
/// the job by itself: the other one may be lost.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that a daemon which is taken for lost is given to say that it runs its job.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// Learns the ownerships whenever hints may have been missed.
pub async fn follow(gateway: Rc<Gateway>) {
    gateway.members.introduction.wait().await;
    let mut failures = 0;
    let mut was_requested = false;
    loop {
        let doubted = gateway.watches_doubted.listen();
        let requested = gateway.jobs.reload_requested.listen();
        match load_ownerships(&gateway, was_requested).await {
            Ok(()) => {
                failures = 0;
                gateway.jobs.is_loaded.set(true);
                adopt_from_earlier_run(&gateway).await;
                let requested = async {
                    requested.await;
                    true
                };
                let other = async {
                    wait::at_most(RELOAD_INTERVAL, doubted).await;
                    false
                };
                was_requested = requested.or(other).await;
                Timer::after(LOSS_BATCHING_WINDOW).await;
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
async fn load_ownerships(gateway: &Rc<Gateway>, from_store: bool) -> Result<(), StoreError> {
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
    apply_list(gateway, &objects);
    Ok(())
}

fn apply_list(gateway: &Rc<Gateway>, objects: &[Object]) {
    for object in objects {
        gateway.jobs.upsert_object(object);
    }
    start_owned_jobs(gateway);
}

/// Takes over the jobs of an earlier run of this very daemon, which has certainly ended.
async fn adopt_from_earlier_run(gateway: &Rc<Gateway>) {
    let this_node = &gateway.identity.node;
    for job in gateway.jobs.all() {
        let owner = job.owner();
        let is_open = !job.ended.get() && !job.is_complete();
        if is_open && owner.name == this_node.name && owner != *this_node && !gateway.draining.get()
        {
            adopt(gateway, &job, AdoptionReason::EarlierRun).await;
        }
    }
}

/// Notes that a daemon was lost: its jobs may be unknown here.
pub fn on_member_lost(gateway: &Gateway) {
    let mut order = gateway.members.alive();
    order.push(gateway.identity.node.clone());
    if takeover_position(RELOAD_ORDER_KEY, &gateway.identity.node, &order) < RELOADING_DAEMONS {
        gateway.jobs.reload_requested.notify(usize::MAX);
    }
}

/// Tells the other daemons of an ownership that was written.
pub fn announce(
    gateway: &Gateway,
    job: &str,
    ownership: &Ownership,
    revision: Revision,
    is_new: bool,
) {
    let (job, ownership) = (job.to_owned(), ownership.clone());
    gateway.members.tell_all(Hint::JobOwned { job, ownership, revision, is_new });
}

/// Takes in what another daemon tells of an ownership.
///
/// A new job is passed on to its owner together with its items. An owner that starts by the hint, which
/// comes earlier, has to read them from the store and cannot know that there are no results yet.
pub fn apply_hint(
    gateway: &Rc<Gateway>,
    job: &str,
    ownership: Ownership,
    revision: Revision,
    is_new: bool,
) {
    let job = gateway.jobs.upsert(job, ownership, revision);
    if is_new && job.owner() == gateway.identity.node && !job.running.get() {
        job.handoff_deadline.set(Some(gateway.now() + HANDOFF_TIMEOUT));
        let late = gateway.clone();
        let start = async move {
            Timer::after(HANDOFF_TIMEOUT).await;
            start_owned_jobs(&late);
        };
        gateway.executor.spawn(start).detach();
    }
    start_owned_jobs(gateway);
}

/// Looks at a job that is run here until its object says that it has ended or changed hands.
pub async fn watch_ownership(gateway: &Rc<Gateway>, job: &Job) {
    loop {
        // Who was taken for lost may have been replaced.
        wait::at_most(OWNERSHIP_CHECK_INTERVAL, gateway.members.was_doubted.listen()).await;
        let requested = gateway.now();
        if let Ok(Some(object)) = gateway.store.get(OWNERSHIPS, &job.id).await {
            gateway.jobs.upsert_object(&object);
            if job.ownership_confirmed_at.get().is_some() {
                job.ownership_confirmed_at.set(Some(requested));
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
            let Some(reason) = adoption_reason(&gateway, &job) else {
                continue;
            };
            if reason.needs_confirmation() && confirmed_by_owner(&gateway, &job).await {
                job.orphaned_since.set(None);
                continue;
            }
            adopt(&gateway, &job, reason).await;
        }
        remove_expired_jobs(&gateway).await;
        Timer::after(ORPHAN_CHECK_INTERVAL).await;
    }
}

/// Why it falls to this daemon to take a job over now, if it does.
fn adoption_reason(gateway: &Gateway, job: &Job) -> Option<AdoptionReason> {
    let (owner, this_node) = (job.owner(), &gateway.identity.node);
    let is_open = !job.ended.get() && !job.is_complete();
    let standing = gateway.members.standing(&owner);
    if !is_open || owner == *this_node || standing == Standing::Alive {
        job.orphaned_since.set(None);
        return None;
    }
    let now = gateway.now();
    let since = job.orphaned_since.get().unwrap_or(now);
    job.orphaned_since.set(Some(since));
    let candidates = gateway.job_candidates(job.ownership.borrow().0.homes.as_ref());
    let order = owner_selection::takeover_order(&job.id, &candidates);
    // Nobody outside of its homes runs it.
    let position = order.iter().position(|node| node == this_node)?;
    adoption::reason_for_position(standing, now - since, position)
        .filter(|_| !gateway.draining.get())
}

/// Asks a daemon that is taken for lost whether it runs its job. Views of who is alive differ from
/// daemon to daemon; a job that is taken from an owner that is well is run twice for a time.
async fn confirmed_by_owner(gateway: &Gateway, job: &Job) -> bool {
    let owner = job.owner();
    let Some(address) = gateway.members.last_address(&owner) else {
        return false;
    };
    let revision = job.ownership.borrow().1;
    let request = PeerRequest::ConfirmOwner { job: job.id.clone(), revision };
    let reply = client::call_at(gateway, address, &request, CONFIRM_TIMEOUT).await;
    let is_running = reply == Some(PeerReply::Running);
    log::info!("event=owner_asked job={} owner={owner} runs_it={is_running}", job.id);
    is_running
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

fn local_successor(gateway: &Gateway, job: &str) -> NodeId {
    let mut alive = gateway.members.alive();
    alive.push(gateway.identity.node.clone());
    successor(job, alive.iter()).cloned().unwrap_or_else(|| gateway.identity.node.clone())
}

/// Takes a job over, if nobody else has meanwhile.
pub async fn adopt(gateway: &Rc<Gateway>, job: &Rc<Job>, reason: AdoptionReason) {
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
            gateway.metrics.job_adopted(reason.name());
            job.is_new.set(false);
            gateway.jobs.upsert_object(&object);
            announce(gateway, &job.id, &job.ownership.borrow().0, object.revision, false);
            start_owned_jobs(gateway);
        }
        Err(StoreError::Conflict(Some(object))) => {
            gateway.jobs.upsert_object(&object);
        }
        // The next attempt tells if it was done after all.
        Err(_) => {}
    }
}

/// Removes jobs whose results need not be readable any more.
async fn remove_expired_jobs(gateway: &Gateway) {
    let now = gateway.now();
    let retention = gateway.tuning().result_retention;
    for job in gateway.jobs.all() {
        let is_expired = job.ended_at.get().is_some_and(|since| now > since + retention);
        if is_expired && local_successor(gateway, &job.id) == gateway.identity.node {
            let removed = appender::remove_all(gateway, &job.id).await;
            log::info!("event=job_removed job={} outcome={removed:?}", job.id);
        }
    }
}
