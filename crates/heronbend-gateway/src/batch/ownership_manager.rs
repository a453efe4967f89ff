//! Tracks the owner of each job and takes over the jobs of lost daemons.
//!
//! Ownership changes are announced by hints. Since hints may be lost, the daemons that watch the
//! store list all ownerships at startup, after an outage and periodically, and pass them on to the
//! other daemons. A few daemons also list them after a daemon is lost. An owner polls the objects
//! of the jobs that it runs, to notice an end that was recorded elsewhere.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use serde_json::json;
use smol::Timer;

use super::adoption::{self, AdoptionReason};
use super::owner_selection;
use super::ownership::{takeover_position, Ownership};
use super::registry::{Job, OWNERSHIPS};
use super::runner::start_owned_jobs;
use super::tenure::AdoptionOutcome;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::peers::{bootstrap, client, Hint, PeerReply, PeerRequest, PeerStatus, MEMBERSHIP_GRACE};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};
use crate::reflector::{list_all, wait_for_store};
use crate::region_policy;
use crate::upstream::Upstream;
use crate::wait;

/// Interval between checks for jobs without a live owner.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between an owner's reads of its job's object. Bounds how long items of an ended job are
/// still sent if the hint is lost.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1300);
/// Maximum time between two loads of all ownerships.
const RELOAD_INTERVAL: Duration = Duration::from_secs(20);
/// Delay between loads, so that one load serves several losses.
const LOSS_BATCHING_WINDOW: Duration = Duration::from_millis(300);
/// Number of daemons that load the ownerships after a loss. The same daemons are selected for every
/// loss, so that simultaneous losses cause few loads.
const RELOADING_DAEMONS: usize = 3;
/// Key of the rendezvous hash that selects those daemons.
const RELOAD_ORDER_KEY: &str = "ownerships";
/// Time allowed for the daemon that accepted a job to hand it to its owner. Afterwards the owner
/// starts the job from the store.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for asking a suspected owner whether it still runs its job.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// Loads the ownerships whenever hints may have been missed. Runs for the lifetime of the daemon.
pub async fn refresh_ownerships(gateway: Rc<Gateway>) {
    gateway.members.bootstrap.wait().await;
    let mut failures = 0;
    let mut was_requested = false;
    loop {
        let doubted = gateway.restart_watches.listen();
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

/// Loads the ownerships from a peer that watches the store, or from the store itself if this daemon
/// has no such peer or `from_store` is set.
async fn load_ownerships(gateway: &Rc<Gateway>, from_store: bool) -> Result<(), StoreError> {
    if !from_store {
        match dissemination::select_upstream(gateway) {
            Upstream::Store => {}
            Upstream::Peers(watchers) => {
                for watcher in watchers {
                    if bootstrap::fetch_jobs_from(gateway, &watcher).await {
                        return Ok(());
                    }
                }
            }
            Upstream::Unavailable => {
                return Err(StoreError::NotDone(
                    "the watching daemons cannot reach the store".into(),
                ))
            }
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

/// Takes over the jobs of earlier incarnations of this daemon.
async fn adopt_from_earlier_run(gateway: &Rc<Gateway>) {
    let this_node = &gateway.identity.node;
    for job in gateway.jobs.all() {
        if job.is_open() && is_earlier_run(&job.owner(), this_node) && !gateway.draining.get() {
            adopt(gateway, &job, AdoptionReason::EarlierRun).await;
        }
    }
}

/// Whether `owner` is another run of the daemon `this_node`.
fn is_earlier_run(owner: &NodeId, this_node: &NodeId) -> bool {
    owner.name == this_node.name && owner != this_node
}

/// Requests a load of the ownerships after a daemon is lost, as its jobs may be unknown here.
pub fn on_member_lost(gateway: &Gateway) {
    let mut order = gateway.members.alive();
    order.push(gateway.identity.node.clone());
    if takeover_position(RELOAD_ORDER_KEY, &gateway.identity.node, &order) < RELOADING_DAEMONS {
        gateway.jobs.reload_requested.notify(usize::MAX);
    }
}

/// Announces a written ownership to the other daemons.
pub fn announce(
    gateway: &Gateway,
    job: &str,
    ownership: &Ownership,
    revision: Revision,
    is_new: bool,
) {
    let (job, ownership) = (job.to_owned(), ownership.clone());
    gateway.members.broadcast(Hint::JobOwned { job, ownership, revision, is_new });
}

/// Applies an ownership announced by another daemon.
///
/// The owner of a new job waits for the handoff, which includes the items. If it started on the
/// earlier hint, it would have to read the items and the empty log from the store.
pub fn apply_hint(
    gateway: &Rc<Gateway>,
    job: &str,
    ownership: Ownership,
    revision: Revision,
    is_new: bool,
) {
    let job = gateway.jobs.upsert(job, ownership, revision);
    if is_new && job.owner() == gateway.identity.node && !job.is_running() {
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

/// Polls the ownership of a running job until the job has ended or changed owner.
///
/// A job that a peer handed over is checked at once: the handoff may have been delivered late.
pub async fn watch_ownership(gateway: &Rc<Gateway>, job: &Job) {
    let is_handed_over =
        job.tenure.borrow().has_whole_log() && job.ownership_confirmed_at.get().is_none();
    if is_handed_over && !check_ownership(gateway, job).await {
        return;
    }
    loop {
        // If peers suspected this daemon, its jobs may have been adopted.
        wait::at_most(OWNERSHIP_CHECK_INTERVAL, gateway.members.suspicion_refuted.listen()).await;
        if !check_ownership(gateway, job).await {
            return;
        }
    }
}

/// Reads the ownership of a running job. Returns false if the job has ended or changed owner.
async fn check_ownership(gateway: &Rc<Gateway>, job: &Job) -> bool {
    let checked_at = gateway.now();
    match gateway.store.get(OWNERSHIPS, &job.id).await {
        Ok(Some(object)) => {
            gateway.jobs.upsert_object(&object);
            let is_owner = !job.ended.get() && job.owner() == gateway.identity.node;
            if is_owner {
                job.ownership_confirmed_at.set(Some(checked_at));
            }
            is_owner
        }
        Ok(None) => true,
        Err(error) => {
            log::warn!("event=owner_not_checked job={} error=\"{error}\"", job.id);
            true
        }
    }
}

/// Periodically takes over jobs whose owner is lost and for which it is this daemon's turn, and
/// starts jobs that this daemon turns out to own.
pub async fn adopt_orphans(gateway: Rc<Gateway>) {
    Timer::after(MEMBERSHIP_GRACE).await;
    loop {
        start_owned_jobs(&gateway);
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
        Timer::after(ORPHAN_CHECK_INTERVAL).await;
    }
}

/// Returns why this daemon should take over a job now, if it should.
fn adoption_reason(gateway: &Gateway, job: &Job) -> Option<AdoptionReason> {
    let (owner, this_node) = (job.owner(), &gateway.identity.node);
    if job.is_open() && job.tenure.borrow().is_adoption_in_doubt(job.revision()) {
        return Some(AdoptionReason::OutcomeUnknown);
    }
    if job.is_open() && is_earlier_run(&owner, this_node) {
        return Some(AdoptionReason::EarlierRun).filter(|_| !gateway.draining.get());
    }
    let standing = gateway.members.status_of(&owner);
    if !job.is_open() || owner == *this_node || standing == PeerStatus::Alive {
        job.orphaned_since.set(None);
        return None;
    }
    let now = gateway.now();
    let since = job.orphaned_since.get().unwrap_or(now);
    job.orphaned_since.set(Some(since));
    let candidates = gateway.job_candidates(job.ownership.borrow().0.homes.as_ref());
    let order = owner_selection::takeover_order(&job.id, &candidates);
    // Daemons outside the allowed regions are not candidates.
    let position = order.iter().position(|node| node == this_node)?;
    adoption::reason_for_position(standing, now - since, position)
        .filter(|_| !gateway.draining.get())
}

/// Asks a suspected owner whether it still runs its job. Membership views differ between daemons,
/// and adopting the job of a healthy owner would run it twice for a while.
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

/// Answers a peer that asks whether this daemon runs a job.
pub fn confirm_owner(gateway: &Gateway, job: &str, revision: Revision) -> PeerReply {
    let runs = gateway.jobs.get(job).is_some_and(|job| {
        let is_newest = job.ownership.borrow().1 >= revision;
        job.is_running() && is_newest && job.owner() == gateway.identity.node
    });
    if runs {
        PeerReply::Running
    } else {
        PeerReply::NotOwner
    }
}

/// Takes over a job unless its ownership has changed concurrently.
///
/// If the outcome is unknown, [`adopt_orphans`] repeats the write.
pub async fn adopt(gateway: &Rc<Gateway>, job: &Rc<Job>, reason: AdoptionReason) {
    let (former, revision) = job.ownership.borrow().clone();
    if !region_policy::allows(former.homes.as_ref(), &gateway.identity.region) {
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
    let current = current_ownership(gateway, job, written).await;
    let outcome = match &current {
        Ok(_) | Err(StoreError::NotFound) => AdoptionOutcome::Answered,
        Err(error) if error.is_not_done() => AdoptionOutcome::NotDone,
        Err(_) => AdoptionOutcome::Unknown,
    };
    job.tenure.borrow_mut().record_adoption(revision, outcome);
    let Ok(object) = current else {
        return;
    };
    gateway.jobs.upsert_object(&object);
    // A conflict names this daemon if an earlier write took effect whose answer was lost.
    if job.owner() == gateway.identity.node {
        gateway.metrics.record_adoption(reason.name());
        announce(gateway, &job.id, &job.ownership.borrow().0, object.revision, false);
        start_owned_jobs(gateway);
    }
}

/// Returns the ownership that the store holds after a write.
async fn current_ownership(
    gateway: &Gateway,
    job: &Job,
    written: Result<Object, StoreError>,
) -> Result<Object, StoreError> {
    let object = match written {
        Ok(object) => return Ok(object),
        Err(StoreError::Conflict(Some(object))) => *object,
        Err(StoreError::Conflict(None)) => {
            let read = gateway.store.get(OWNERSHIPS, &job.id).await?;
            read.ok_or(StoreError::NotFound)?
        }
        Err(error) => return Err(error),
    };
    log::info!(
        "event=job_owner_found job={} owner={} revision={}",
        job.id,
        object.content["owner"],
        object.revision
    );
    Ok(object)
}
