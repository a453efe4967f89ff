//! Accepts batch jobs from callers, and ends them on request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heronbend::access::Caller;
use heronbend::identity::NodeId;
use heronbend::Moment;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use serde_json::json;
use smol::Timer;

use super::adoption::AdoptionReason;
use super::owner_selection;
use super::owner_selection::ModelOwner;
use super::ownership::Ownership;
use super::ownership_manager;
use super::registry::{Job, OWNERSHIPS, SPECIFICATIONS};
use super::runner::start_owned_jobs;
use super::specification::{is_base64, JobSpecification};
use super::tenure::InitialLog;
use crate::access;
use crate::gateway::Gateway;
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{Condition, Object, ObjectStore, Revision, StoreError};
use crate::reflector::backoff;
use crate::region_policy;

/// Bytes reserved in an object for metadata besides the specification.
const OBJECT_OVERHEAD: usize = 4 * 1024;

/// Error of [`submit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// The specification is invalid; the text lists the problems.
    Malformed(String),
    /// The specification exceeds the object size limit of the store.
    TooLarge,
    /// The job was not accepted and will not run.
    Unavailable,
    /// Another tenant has a job with the same identifier.
    IdInUse,
    /// The outcome is unknown: the job may have been accepted.
    Unknown,
}

impl SubmitError {
    /// The HTTP status reported to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::IdInUse => StatusCode::CONFLICT,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Accepts a job. On success the job is durable and will run.
///
/// Store operations are retried until `deadline`. Submitting a job again is idempotent.
pub async fn submit(
    gateway: &Rc<Gateway>,
    specification: JobSpecification,
    deadline: Moment,
) -> Result<(), SubmitError> {
    if let Some(job) = gateway.jobs.get(&specification.id) {
        let is_same_tenant = job.ownership.borrow().0.tenant == specification.tenant;
        return is_same_tenant.then_some(()).ok_or(SubmitError::IdInUse);
    }
    validate(&specification)?;
    let content = json!(specification);
    if content.to_string().len() + OBJECT_OVERHEAD > gateway.tuning().max_object_bytes {
        return Err(SubmitError::TooLarge);
    }
    let allowed_regions = allowed_regions(gateway, &specification);
    if gateway.job_candidates(allowed_regions.as_ref()).is_empty() {
        log::warn!("event=job_without_home job={} homes={allowed_regions:?}", specification.id);
        return Err(SubmitError::Unavailable);
    }
    let mut is_in_doubt = false;
    let mut failures = 0;
    loop {
        match gateway.store.create(SPECIFICATIONS, &specification.id, content.clone()).await {
            Ok(_) => break,
            // Submitted before, to this daemon or another one.
            Err(StoreError::Conflict(object)) => {
                if object.is_some_and(|object| is_of_other_tenant(&object, &specification)) {
                    return Err(SubmitError::IdInUse);
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
        if gateway.now() + rest >= deadline {
            return Err(if is_in_doubt { SubmitError::Unknown } else { SubmitError::Unavailable });
        }
        Timer::after(rest).await;
    }
    create_ownership(gateway, Rc::new(specification), deadline).await
}

/// Whether a stored specification belongs to another tenant, or cannot be decoded.
fn is_of_other_tenant(object: &Object, specification: &JobSpecification) -> bool {
    match serde_json::from_value::<JobSpecification>(object.content.clone()) {
        Ok(known) => known.tenant != specification.tenant,
        Err(error) => {
            log::warn!("event=job_malformed job={} error=\"{error}\"", object.name);
            true
        }
    }
}

/// Checks the parts of a request that has to be sent to servers later.
fn check_request(name: &str, id: &str, path: &str, body: &str, problems: &mut Vec<String>) {
    if HeaderValue::from_str(id).is_err() {
        problems.push(format!("{name}: the identifier is malformed"));
    }
    if path.parse::<http::Uri>().is_err() {
        problems.push(format!("{name}: the path is malformed"));
    }
    if !is_base64(body) {
        problems.push(format!("{name}: the body is not base64"));
    }
}

fn validate(specification: &JobSpecification) -> Result<(), SubmitError> {
    let mut problems = Vec::new();
    if specification.items.is_empty() {
        problems.push("there are no items".to_owned());
    }
    for item in &specification.items {
        let name = format!("item {}", item.id);
        check_request(&name, &item.id, &item.path, &item.body, &mut problems);
        for (header, value) in &item.headers {
            let is_valid = HeaderName::from_bytes(header.as_bytes()).is_ok()
                && HeaderValue::from_str(value).is_ok();
            if !is_valid {
                problems.push(format!("{name}: the header {header:?} is malformed"));
            }
        }
        if let Some(call) = &item.reward {
            let name = format!("{name}, reward call");
            check_request(&name, &call.id, &call.path, &call.body, &mut problems);
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(SubmitError::Malformed(problems.join("; ")))
    }
}

/// Creates the ownership object of a job. From then on the job runs even if this daemon fails.
async fn create_ownership(
    gateway: &Rc<Gateway>,
    specification: Rc<JobSpecification>,
    deadline: Moment,
) -> Result<(), SubmitError> {
    let allowed_regions = allowed_regions(gateway, &specification);
    let owner = choose_owner(gateway, &specification, allowed_regions.as_ref());
    let ownership = Ownership::new(&specification, owner, allowed_regions);
    let content = json!(ownership);
    let mut failures = 0;
    loop {
        let sent_at = gateway.now();
        match gateway.store.create(OWNERSHIPS, &specification.id, content.clone()).await {
            Ok(object) => {
                gateway.metrics.jobs_accepted.inc();
                ownership_manager::announce(
                    gateway,
                    &specification.id,
                    &ownership,
                    object.revision,
                    true,
                );
                let handoff = Handoff {
                    ownership,
                    revision: object.revision,
                    specification,
                    initial_log: InitialLog::Empty,
                    confirmed_at: Some(sent_at),
                };
                dispatch(gateway, handoff);
                return Ok(());
            }
            Err(StoreError::Conflict(object)) => {
                if let Some(job) = object.and_then(|object| gateway.jobs.upsert_object(&object)) {
                    hand_over_stored(gateway, &job, specification);
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
        if gateway.now() + rest >= deadline {
            return Err(SubmitError::Unknown);
        }
        Timer::after(rest).await;
    }
}

/// Hands over a job whose ownership was found in the store.
///
/// An earlier write without an answer may have created it, of which the owner knows nothing, or
/// another daemon, which may have failed before it told the owner. The job may have results.
fn hand_over_stored(gateway: &Rc<Gateway>, job: &Job, specification: Rc<JobSpecification>) {
    let (ownership, revision) = job.ownership.borrow().clone();
    if ownership.ended {
        return;
    }
    log::info!("event=job_found_owned job={} owner={}", job.id, ownership.owner);
    let (initial_log, confirmed_at) = (InitialLog::Stored, None);
    let handoff = Handoff { ownership, revision, specification, initial_log, confirmed_at };
    dispatch(gateway, handoff);
}

/// A job that is handed to its owner.
pub struct Handoff {
    /// The ownership.
    pub ownership: Ownership,
    /// The store's revision of the ownership.
    pub revision: Revision,
    /// The specification.
    pub specification: Rc<JobSpecification>,
    /// What the store may hold of the job's log.
    pub initial_log: InitialLog,
    /// When the store confirmed the ownership; `None` if that is not known.
    pub confirmed_at: Option<Moment>,
}

/// Starts a submitted job on its owner, which may be a peer.
fn dispatch(gateway: &Rc<Gateway>, handoff: Handoff) {
    if handoff.ownership.owner == gateway.identity.node {
        run_here(gateway, handoff, true);
        return;
    }
    let Handoff { ownership, revision, specification, initial_log, .. } = handoff;
    let job = gateway.jobs.upsert(&specification.id, ownership.clone(), revision);
    *job.specification.borrow_mut() = Some(specification.clone());
    let executor = gateway.executor.clone();
    let gateway = gateway.clone();
    let request_run = async move {
        let owner = ownership.owner.clone();
        let specification = JobSpecification::clone(&specification);
        let ownership = Box::new(ownership);
        let has_results = initial_log == InitialLog::Stored;
        let request = PeerRequest::RunJob { ownership, revision, specification, has_results };
        let reply = client::call(&gateway, &owner, &request, Duration::ZERO).await;
        log::info!("event=job_passed_on job={} owner={owner} reply={reply:?}", job.id);
        if reply != Some(PeerReply::Running) {
            ownership_manager::adopt(&gateway, &job, AdoptionReason::Refused).await;
        }
    };
    executor.spawn(request_run).detach();
}

/// Starts a submitted job on this daemon.
///
/// Refuses jobs of peers while this daemon is draining or cannot reach the store.
pub fn run_here(gateway: &Rc<Gateway>, handoff: Handoff, is_submitted_here: bool) -> PeerReply {
    let Handoff { ownership, revision, specification, initial_log, confirmed_at } = handoff;
    let accepts_jobs = !gateway.draining.get() && gateway.store.is_reachable();
    if ownership.owner != gateway.identity.node || !(accepts_jobs || is_submitted_here) {
        return PeerReply::NotOwner;
    }
    let job = gateway.jobs.upsert(&specification.id, ownership, revision);
    *job.specification.borrow_mut() = Some(specification);
    if initial_log == InitialLog::Empty && !job.is_running() {
        job.tenure.borrow_mut().submitted(revision);
        job.ownership_confirmed_at.set(confirmed_at);
    }
    job.handoff_deadline.set(None);
    start_owned_jobs(gateway);
    PeerReply::Running
}

/// Selects the owner of a new job. Jobs of one model preferably share an owner, which can then
/// track the load of the model's servers and reuse connections.
fn choose_owner(
    gateway: &Gateway,
    specification: &JobSpecification,
    allowed_regions: Option<&BTreeSet<String>>,
) -> NodeId {
    let this_node = gateway.identity.node.clone();
    let candidates = gateway.job_candidates(allowed_regions);
    let chosen = match &specification.step {
        Some(step) => {
            owner_selection::select_owner(&step.model, &candidates, &model_owners(gateway))
        }
        None => owner_selection::takeover_order(&specification.id, &candidates).into_iter().next(),
    };
    chosen.unwrap_or(this_node)
}

/// The regions in which a job may run; `None` if unrestricted.
fn allowed_regions(
    gateway: &Gateway,
    specification: &JobSpecification,
) -> Option<BTreeSet<String>> {
    let configuration = gateway.configuration()?;
    let route = configuration.match_route(&specification.host, &specification.path)?;
    let owner = access::job_caller(&configuration, specification.tenant.as_deref());
    region_policy::allowed_regions(&configuration, route, &owner)
}

/// The owner of the newest job of each model.
fn model_owners(gateway: &Gateway) -> Vec<ModelOwner> {
    let mut newest: BTreeMap<String, (Moment, NodeId)> = BTreeMap::new();
    for job in gateway.jobs.all() {
        let Some(model) = job.ownership.borrow().0.model.clone() else {
            continue;
        };
        let is_newer =
            newest.get(&model).is_none_or(|(first_seen, _)| *first_seen <= job.first_seen);
        if is_newer {
            newest.insert(model, (job.first_seen, job.owner()));
        }
    }
    newest.into_iter().map(|(model, (_, owner))| ModelOwner { model, owner }).collect()
}

/// Error of [`end`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndError {
    /// There is no such job.
    NoSuchJob,
    /// The store could not record the end in time.
    Unavailable,
}

/// Ends a job. On success no further items are started.
///
/// Store operations are retried until `deadline`.
pub async fn end(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
    deadline: Moment,
) -> Result<(), EndError> {
    let mut failures = 0;
    loop {
        match try_end(gateway, id, caller).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(EndError::NoSuchJob),
            // The ownership changed concurrently; retry with the newer revision.
            Err(StoreError::Conflict(Some(object))) => {
                gateway.jobs.upsert_object(&object);
                failures += 1;
            }
            Err(error) => {
                failures += 1;
                log::warn!("event=job_not_ended job={id} failures={failures} error=\"{error}\"");
            }
        }
        let rest = backoff(failures);
        if gateway.now() + rest >= deadline {
            return Err(EndError::Unavailable);
        }
        Timer::after(rest).await;
    }
}

/// Tries once to end a job. Returns false if there is no job visible to the caller.
async fn try_end(gateway: &Rc<Gateway>, id: &str, caller: &Caller) -> Result<bool, StoreError> {
    let job = match gateway.jobs.get(id) {
        Some(job) => job,
        None => match gateway.store.get(OWNERSHIPS, id).await? {
            Some(object) => match gateway.jobs.upsert_object(&object) {
                Some(job) => job,
                None => return Err(StoreError::Malformed("ownership".to_owned())),
            },
            None => return end_unowned(gateway, id, caller).await,
        },
    };
    if !job.is_visible_to(caller) {
        return Ok(false);
    }
    if job.ended.get() && job.ownership.borrow().0.ended {
        return Ok(true);
    }
    // Stop locally even if the store cannot be reached.
    job.end(gateway.now());
    let (ownership, revision) = job.ownership.borrow().clone();
    if ownership.ended {
        return Ok(true);
    }
    let ownership = Ownership { ended: true, ..ownership };
    let content = json!(ownership);
    let object = gateway.store.replace(OWNERSHIPS, id, content, Condition::At(revision)).await?;
    gateway.jobs.upsert_object(&object);
    // The owner stops immediately, and no daemon adopts the job later.
    ownership_manager::announce(gateway, id, &ownership, object.revision, false);
    Ok(true)
}

/// Ends a job whose specification was written but whose ownership was not.
async fn end_unowned(gateway: &Rc<Gateway>, id: &str, caller: &Caller) -> Result<bool, StoreError> {
    let Some(object) = gateway.store.get(SPECIFICATIONS, id).await? else {
        return Ok(false);
    };
    let specification: JobSpecification = serde_json::from_value(object.content)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    if !caller.can_access(specification.tenant.as_deref()) {
        return Ok(false);
    }
    let allowed_regions = allowed_regions(gateway, &specification);
    let ownership = Ownership::new(&specification, gateway.identity.node.clone(), allowed_regions);
    let ownership = Ownership { ended: true, ..ownership };
    let object = gateway.store.create(OWNERSHIPS, id, json!(ownership)).await?;
    gateway.jobs.upsert_object(&object);
    ownership_manager::announce(gateway, id, &ownership, object.revision, false);
    Ok(true)
}

/// The decoded body of an item, or `None` if the job has no such item.
pub fn item_body(specification: &JobSpecification, item: &str) -> Option<Bytes> {
    specification.items.iter().find(|known| known.id == item).map(|item| item.decoded_body())
}
