//! Taking in batch jobs, and ending them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heronbend::access::Caller;
use heronbend::identity::NodeId;
use heronbend::Moment;
use http::StatusCode;
use serde_json::json;
use smol::Timer;

use super::adoption::Reason;
use super::ownership::Ownership;
use super::ownership_duty;
use super::registry::{OWNERSHIPS, SPECIFICATIONS};
use super::runner::start_own_jobs;
use super::specification::{is_base64, JobSpecification};
use super::succession;
use super::succession::Tenure;
use crate::access;
use crate::gateway::Gateway;
use crate::homes;
use crate::mirror::backoff;
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};

/// Room that an object needs apart from a specification's own bytes.
const OBJECT_OVERHEAD: usize = 4 * 1024;

/// Why a job was not taken in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandInError {
    /// It is not well formed.
    Malformed(String),
    /// It is larger than the store takes.
    TooLarge,
    /// Nothing of it runs, now or later.
    NotTaken,
    /// Its identifier is that of another tenant's job.
    Taken,
    /// It may have been taken in.
    Unknown,
}

impl HandInError {
    /// The status that tells a caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotTaken => StatusCode::SERVICE_UNAVAILABLE,
            Self::Taken => StatusCode::CONFLICT,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Takes a job in; when this returns without an error, all of it is kept and will be run.
pub async fn hand_in(
    gateway: &Rc<Gateway>,
    specification: JobSpecification,
    give_up_at: Moment,
) -> Result<(), HandInError> {
    if let Some(job) = gateway.jobs.get(&specification.id) {
        let is_same = job.ownership.borrow().0.tenant == specification.tenant;
        return is_same.then_some(()).ok_or(HandInError::Taken);
    }
    check(&specification)?;
    let content = json!(specification);
    if content.to_string().len() + OBJECT_OVERHEAD > gateway.tuning().max_object_bytes {
        return Err(HandInError::TooLarge);
    }
    let homes = homes_of(gateway, &specification);
    if gateway.job_candidates(homes.as_ref()).is_empty() {
        log::warn!("event=job_without_home job={} homes={homes:?}", specification.id);
        return Err(HandInError::NotTaken);
    }
    let mut is_in_doubt = false;
    let mut failures = 0;
    loop {
        match gateway.store.create(SPECIFICATIONS, &specification.id, content.clone()).await {
            Ok(_) => break,
            // Handed in before, here or at another daemon.
            Err(StoreError::Conflict(object)) => {
                if object.is_some_and(|object| is_of_another(&object, &specification)) {
                    return Err(HandInError::Taken);
                }
                break;
            }
            Err(error) => {
                is_in_doubt |= !error.is_not_done();
                failures += 1;
                log::warn!(
                    "event=job_not_written job={} failures={failures} in_doubt={is_in_doubt} error=\"{error}\"",
                    specification.id
                );
            }
        }
        let rest = backoff(failures);
        if gateway.now() + rest >= give_up_at {
            return Err(if is_in_doubt { HandInError::Unknown } else { HandInError::NotTaken });
        }
        Timer::after(rest).await;
    }
    own(gateway, Rc::new(specification), give_up_at).await
}

/// Whether a job in the store belongs to another tenant than `specification`.
fn is_of_another(object: &Object, specification: &JobSpecification) -> bool {
    match serde_json::from_value::<JobSpecification>(object.content.clone()) {
        Ok(known) => known.tenant != specification.tenant,
        Err(error) => {
            log::warn!("event=job_malformed job={} error=\"{error}\"", object.name);
            true
        }
    }
}

fn check(specification: &JobSpecification) -> Result<(), HandInError> {
    let mut findings = Vec::new();
    if specification.items.is_empty() {
        findings.push("there are no items".to_owned());
    }
    for item in &specification.items {
        if !is_base64(&item.body) {
            findings.push(format!("item {}: the body is not base64", item.id));
        }
        if item.path.parse::<http::Uri>().is_err() {
            findings.push(format!("item {}: the path is malformed", item.id));
        }
    }
    if findings.is_empty() {
        Ok(())
    } else {
        Err(HandInError::Malformed(findings.join("; ")))
    }
}

/// Makes the job's ownership. From then on it is run, whatever becomes of this daemon.
async fn own(
    gateway: &Rc<Gateway>,
    specification: Rc<JobSpecification>,
    give_up_at: Moment,
) -> Result<(), HandInError> {
    let homes = homes_of(gateway, &specification);
    let owner = new_owner(gateway, &specification, homes.as_ref());
    let ownership = Ownership::new(&specification, owner, homes);
    let content = json!(ownership);
    let mut failures = 0;
    loop {
        match gateway.store.create(OWNERSHIPS, &specification.id, content.clone()).await {
            Ok(object) => {
                gateway.metrics.jobs_accepted.inc();
                ownership_duty::tell(gateway, &specification.id, &ownership, object.revision, true);
                start(gateway, ownership, object.revision, specification);
                return Ok(());
            }
            Err(StoreError::Conflict(object)) => {
                if let Some(object) = object {
                    gateway.jobs.learn_object(&object);
                    start_own_jobs(gateway);
                }
                return Ok(());
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    "event=job_not_owned job={} failures={failures} error=\"{error}\"",
                    specification.id
                );
            }
        }
        let rest = backoff(failures);
        if gateway.now() + rest >= give_up_at {
            return Err(HandInError::Unknown);
        }
        Timer::after(rest).await;
    }
}

/// Has a job that was handed in a moment ago run by its owner.
fn start(
    gateway: &Rc<Gateway>,
    ownership: Ownership,
    revision: Revision,
    specification: Rc<JobSpecification>,
) {
    if ownership.owner == gateway.identity.node {
        run_here(gateway, ownership, revision, Rc::unwrap_or_clone(specification), true);
        return;
    }
    let job = gateway.jobs.learn(&specification.id, ownership.clone(), revision);
    *job.specification.borrow_mut() = Some(specification.clone());
    let executor = gateway.executor.clone();
    let gateway = gateway.clone();
    let asking = async move {
        let owner = ownership.owner.clone();
        let specification = JobSpecification::clone(&specification);
        let ownership = Box::new(ownership);
        let request = PeerRequest::RunJob { ownership, revision, specification };
        let reply = client::call(&gateway, &owner, &request, Duration::ZERO).await;
        log::info!("event=job_passed_on job={} owner={owner} reply={reply:?}", job.id);
        if reply != Some(PeerReply::Running) {
            ownership_duty::adopt(&gateway, &job, Reason::Refused).await;
        }
    };
    executor.spawn(asking).detach();
}

/// Runs a job that has no results yet.
pub fn run_here(
    gateway: &Rc<Gateway>,
    ownership: Ownership,
    revision: Revision,
    specification: JobSpecification,
    is_local: bool,
) -> PeerReply {
    // For a job that was handed in at this daemon itself there is nobody to refuse to.
    let is_fit = !gateway.draining.get() && gateway.store.is_reached();
    if ownership.owner != gateway.identity.node || !(is_fit || is_local) {
        return PeerReply::NotOwner;
    }
    let job = gateway.jobs.learn(&specification.id, ownership, revision);
    *job.specification.borrow_mut() = Some(Rc::new(specification));
    job.is_new.set(true);
    job.passed_on_until.set(None);
    start_own_jobs(gateway);
    PeerReply::Running
}

/// Who runs a job. The jobs of one model are run by one daemon, where that is possible: it knows
/// what it has sent to each server, and its connections serve one step after the other.
fn new_owner(
    gateway: &Gateway,
    specification: &JobSpecification,
    homes: Option<&BTreeSet<String>>,
) -> NodeId {
    let me = gateway.identity.node.clone();
    let candidates = gateway.job_candidates(homes);
    let chosen = match &specification.step {
        Some(step) => succession::owner(&step.model, &candidates, &tenures(gateway)),
        None => succession::line(&specification.id, &candidates).into_iter().next(),
    };
    chosen.unwrap_or(me)
}

/// The regions in which a job may run.
fn homes_of(gateway: &Gateway, specification: &JobSpecification) -> Option<BTreeSet<String>> {
    let configuration = gateway.configuration()?;
    let route = configuration.route(&specification.host, &specification.path)?;
    let owner = access::owner_of_job(&configuration, specification.tenant.as_deref());
    homes::of(&configuration, route, &owner)
}

/// Who runs the newest job of each model.
fn tenures(gateway: &Gateway) -> Vec<Tenure> {
    let mut newest: BTreeMap<String, (Moment, NodeId)> = BTreeMap::new();
    for job in gateway.jobs.all() {
        let Some(model) = job.ownership.borrow().0.model.clone() else {
            continue;
        };
        let is_newer =
            newest.get(&model).is_none_or(|(known_since, _)| *known_since <= job.known_since);
        if is_newer {
            newest.insert(model, (job.known_since, job.owner()));
        }
    }
    newest.into_iter().map(|(model, (_, owner))| Tenure { model, owner }).collect()
}

/// Why a job could not be ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndError {
    /// There is no such job.
    NoSuchJob,
    /// The store does not answer.
    Unavailable,
}

/// Ends a job; when this returns without an error, nothing of it is begun any more.
pub async fn end(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
    give_up_at: Moment,
) -> Result<(), EndError> {
    let mut failures = 0;
    loop {
        match try_end(gateway, id, caller).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(EndError::NoSuchJob),
            // It changed hands meanwhile: the newer ownership is known now.
            Err(StoreError::Conflict(Some(object))) => {
                gateway.jobs.learn_object(&object);
                failures += 1;
            }
            Err(error) => {
                failures += 1;
                log::warn!("event=job_not_ended job={id} failures={failures} error=\"{error}\"");
            }
        }
        let rest = backoff(failures);
        if gateway.now() + rest >= give_up_at {
            return Err(EndError::Unavailable);
        }
        Timer::after(rest).await;
    }
}

/// Whether the job was ended; false when there is none.
async fn try_end(gateway: &Rc<Gateway>, id: &str, caller: &Caller) -> Result<bool, StoreError> {
    let job = match gateway.jobs.get(id) {
        Some(job) => job,
        None => match gateway.store.get(OWNERSHIPS, id).await? {
            Some(object) => match gateway.jobs.learn_object(&object) {
                Some(job) => job,
                None => return Err(StoreError::Malformed("ownership".to_owned())),
            },
            None => return end_before_owned(gateway, id, caller).await,
        },
    };
    if !job.is_visible_to(caller) {
        return Ok(false);
    }
    if job.ended.get() && job.ownership.borrow().0.ended {
        return Ok(true);
    }
    // Begin nothing more, whether or not the store answers.
    job.end(gateway.now());
    let (ownership, revision) = job.ownership.borrow().clone();
    if ownership.ended {
        return Ok(true);
    }
    let ownership = Ownership { ended: true, ..ownership };
    let content = json!(ownership);
    let object = gateway.store.replace(OWNERSHIPS, id, content, Condition::At(revision)).await?;
    gateway.jobs.learn_object(&object);
    // Its owner stops at once, and nobody takes it for a job that lacks one later.
    ownership_duty::tell(gateway, id, &ownership, object.revision, false);
    Ok(true)
}

/// Ends a job that was written but never acknowledged.
async fn end_before_owned(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
) -> Result<bool, StoreError> {
    let Some(object) = gateway.store.get(SPECIFICATIONS, id).await? else {
        return Ok(false);
    };
    let specification: JobSpecification = serde_json::from_value(object.content)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    if !caller.can_access(specification.tenant.as_deref()) {
        return Ok(false);
    }
    let homes = homes_of(gateway, &specification);
    let ownership = Ownership::new(&specification, gateway.identity.node.clone(), homes);
    let ownership = Ownership { ended: true, ..ownership };
    let object = gateway.store.create(OWNERSHIPS, id, json!(ownership)).await?;
    gateway.jobs.learn_object(&object);
    ownership_duty::tell(gateway, id, &ownership, object.revision, false);
    Ok(true)
}

/// The body of an item, decoded.
pub fn item_body(specification: &JobSpecification, item: &str) -> Option<Bytes> {
    specification.items.iter().find(|known| known.id == item).map(|item| item.decoded_body())
}
