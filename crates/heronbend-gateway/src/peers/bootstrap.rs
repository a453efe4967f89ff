//! Fetches the initial state of a starting daemon from a running one: members, jobs, leases and
//! snapshots of the replicated objects.
//!
//! This saves the store from listing every kind at each start. A daemon that receives no snapshots
//! lists the objects itself. Jobs are also exchanged periodically later on, because hints about
//! them may be lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::NodeId;
use rand::seq::IndexedRandom;
use smol::Timer;

use super::client;
use super::messages::CompressedSnapshot;
use super::messages::JobEntry;
use super::messages::KindSnapshot;
use super::messages::LeaseRenewal;
use super::PeerReply;
use super::PeerRequest;
use super::UpstreamFailure;
use crate::batch::registry::Job;
use crate::batch::runner::start_owned_jobs;
use crate::compressed_update;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::quarantine::gossip;
use crate::reflector::ObjectList;
use crate::upstream::Upstream;
use crate::wait;

/// Time after the start within which another daemon has to be discovered.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the bootstrap at the first start of the whole system. Long enough for the daemons
/// that watch the store to list the objects.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(1800);
/// Timeout of the bootstrap at every other start. Short, since callers may be waiting.
const RESTART_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which the membership counts as settled even if it still changes between attempts.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Backoff before a peer that did not answer is asked again.
const NO_RESPONSE_BACKOFF: Duration = Duration::from_millis(1500);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest total size of the snapshots in one reply, in bytes before compression. Bounds the
/// network and CPU load when many daemons start at once: a tenth is left after compression, which a
/// link of 60 Mbit/s carries to thirty daemons within [`CALL_TIMEOUT`].
const MAX_OBJECT_BYTES: usize = 640 * 1024;
/// Delay before the jobs are fetched from a second peer, since the first one may have just started
/// too.
const JOB_REFRESH_DELAY: Duration = Duration::from_millis(1500);

/// Progress and result of this daemon's bootstrap.
#[derive(Default)]
pub struct Bootstrap {
    snapshots: RefCell<HashMap<String, ObjectList>>,
    is_running: Cell<bool>,
    /// Whether the whole system starts for the first time.
    is_first_start: Cell<bool>,
    /// Whether the state came from a peer that has loaded all jobs.
    is_complete: Cell<bool>,
    finished: Event,
}

impl Bootstrap {
    /// Marks the bootstrap as running.
    pub fn begin(&self, is_first_start: bool) {
        self.is_first_start.set(is_first_start);
        self.is_running.set(true);
    }

    /// Time after the start at which the bootstrap is given up.
    fn timeout(&self) -> Duration {
        if self.is_first_start.get() {
            FIRST_START_TIMEOUT
        } else {
            RESTART_TIMEOUT
        }
    }

    /// Waits until the bootstrap has finished or failed.
    pub async fn wait(&self) {
        loop {
            let finished = self.finished.listen();
            if !self.is_running.get() {
                return;
            }
            finished.await;
        }
    }

    /// Waits for the bootstrap and takes the snapshot of a kind, if one was received.
    pub async fn take_objects(&self, kind: &str) -> Option<ObjectList> {
        self.wait().await;
        self.snapshots.borrow_mut().remove(kind)
    }

    /// Whether the state came from a peer that has loaded all jobs.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    fn finish(&self, result: Option<&BootstrapResult>) {
        self.is_complete.set(result.is_some_and(|result| result.knows_jobs));
        self.is_running.set(false);
        self.finished.notify(usize::MAX);
    }
}

/// Optional parts of the reply to a bootstrap request.
#[derive(Debug, Clone, Copy)]
pub struct BootstrapOptions {
    /// Whether to include snapshots of the replicated objects.
    pub objects: bool,
    /// Whether the caller supports compressed snapshots.
    pub takes_packed: bool,
    /// Whether to include the members.
    pub members: bool,
}

/// Summary of a peer's reply.
struct BootstrapResult {
    source: NodeId,
    /// Whether it sent snapshots, or has too many objects to send them.
    knows_objects: bool,
    knows_jobs: bool,
}

/// Fetches the initial state, and the jobs once more from a second peer.
pub async fn run(gateway: Rc<Gateway>) {
    let result = fetch_state(&gateway).await;
    log::info!(
        "event=introduced by={} objects={} jobs_known={} after_ms={} daemons={} jobs={}",
        result.as_ref().map_or_else(|| "nobody".to_owned(), |result| result.source.to_string()),
        result.as_ref().is_some_and(|result| result.knows_objects),
        result.as_ref().is_some_and(|result| result.knows_jobs),
        gateway.now().as_millis(),
        gateway.members.alive_count() + 1,
        gateway.jobs.all().len()
    );
    gateway.members.bootstrap.finish(result.as_ref());
    if let Some(result) = result {
        Timer::after(JOB_REFRESH_DELAY).await;
        let others = gateway.members.alive();
        let peer = others.choose(&mut rand::rng()).unwrap_or(&result.source).clone();
        fetch_jobs_from(&gateway, &peer).await;
    }
}

async fn fetch_state(gateway: &Rc<Gateway>) -> Option<BootstrapResult> {
    if gateway.seeds.borrow().is_empty() {
        return None;
    }
    let mut result = None;
    let mut previous_count = 0;
    let timeout = gateway.members.bootstrap.timeout();
    while gateway.now() < timeout {
        if gateway.members.alive_count() == 0 {
            if gateway.now() >= CONTACT_TIMEOUT {
                return None;
            }
            wait::at_most(RETRY_INTERVAL, gateway.members.changed.listen()).await;
            continue;
        }
        if let Some(new) = fetch_from_peer(gateway, result.is_some()).await {
            let is_complete = new.knows_objects && new.knows_jobs;
            result = Some(new);
            // A tree root lists the store itself, once it knows the members that determine the
            // tree.
            let known = gateway.members.alive_count();
            let is_membership_settled =
                gateway.now() >= MEMBERSHIP_SETTLE_TIME || known == previous_count;
            previous_count = known;
            if is_complete || (is_membership_settled && dissemination::is_tree_root(gateway)) {
                break;
            }
        }
        Timer::after(RETRY_INTERVAL).await;
    }
    result
}

/// Fetches the state from one peer, preferably an upstream peer, and applies it. The members can be
/// omitted to reduce the size of the reply.
async fn fetch_from_peer(gateway: &Rc<Gateway>, without_members: bool) -> Option<BootstrapResult> {
    let known = match dissemination::select_upstream(gateway) {
        Upstream::Peers(peers) => peers,
        Upstream::Store | Upstream::Unavailable => gateway.members.alive(),
    };
    let peer = known.choose(&mut rand::rng())?.clone();
    let request =
        PeerRequest::Introduce { with_objects: true, takes_packed: true, without_members };
    let Some(reply) = call(gateway, &peer, &request).await else {
        let now = gateway.now();
        gateway.members.mark_upstream_failed(
            now,
            NO_RESPONSE_BACKOFF,
            &peer,
            UpstreamFailure::NoResponse,
        );
        return None;
    };
    let PeerReply::Introduced {
        members,
        jobs,
        knows_jobs,
        lease,
        duty_lease,
        suspects,
        time_millis,
        kinds,
        packed_kinds,
        has_many_objects,
    } = reply
    else {
        return None;
    };
    gateway.members.merge_members(members).await;
    merge_jobs(gateway, jobs);
    gossip::merge_reports(gateway, suspects);
    for (lease_state, renewal) in
        [(&gateway.versions.lease, lease), (&gateway.duty_lease, duty_lease)]
    {
        if let Some(LeaseRenewal { revision, record }) = renewal {
            lease_state.record_renewal(gateway.now(), revision, record);
        }
    }
    if let (Some(usage), Some(millis)) = (&gateway.usage, time_millis) {
        usage.adopt_peer_time(gateway.now(), Duration::from_millis(millis));
    }
    let knows_objects = !kinds.is_empty() || !packed_kinds.is_empty() || has_many_objects;
    kinds.into_iter().for_each(|state| store_snapshot(gateway, state));
    packed_kinds.iter().for_each(|kind| store_compressed_snapshot(gateway, kind));
    Some(BootstrapResult { source: peer, knows_objects, knows_jobs })
}

/// Stores the snapshot of a kind until its reflector starts.
fn store_snapshot(gateway: &Gateway, state: KindSnapshot) {
    let KindSnapshot { kind, objects, at } = state;
    let objects = objects.into_iter().map(Rc::new).collect();
    gateway.members.bootstrap.snapshots.borrow_mut().insert(kind, (objects, at));
}

/// Decompresses the snapshot of a kind and stores it until its reflector starts.
fn store_compressed_snapshot(gateway: &Gateway, kind: &CompressedSnapshot) {
    match compressed_update::decode(&kind.packed) {
        Ok(update) => {
            let result = (update.objects, update.at);
            gateway.members.bootstrap.snapshots.borrow_mut().insert(kind.kind.clone(), result);
        }
        Err(error) => {
            log::warn!("event=introduction_malformed kind={} error=\"{error}\"", kind.kind);
        }
    }
}

async fn call(gateway: &Gateway, peer: &NodeId, request: &PeerRequest) -> Option<PeerReply> {
    let address = gateway.members.address(peer)?;
    client::call_at(gateway, address, request, CALL_TIMEOUT).await
}

/// Fetches and merges the jobs that a peer knows; returns whether the peer has loaded all jobs.
pub async fn fetch_jobs_from(gateway: &Rc<Gateway>, peer: &NodeId) -> bool {
    let request =
        PeerRequest::Introduce { with_objects: false, takes_packed: true, without_members: true };
    let Some(PeerReply::Introduced { jobs, knows_jobs, suspects, .. }) =
        call(gateway, peer, &request).await
    else {
        return false;
    };
    merge_jobs(gateway, jobs);
    gossip::merge_reports(gateway, suspects);
    knows_jobs
}

fn merge_jobs(gateway: &Rc<Gateway>, jobs: Vec<JobEntry>) {
    for JobEntry { job, ownership, revision } in jobs {
        gateway.jobs.upsert(&job, ownership, revision);
    }
    start_owned_jobs(gateway);
}

/// Handles the bootstrap request of a peer.
pub fn handle(gateway: &Gateway, options: BootstrapOptions) -> PeerReply {
    let entry = |job: Rc<Job>| {
        let (ownership, revision) = job.ownership.borrow().clone();
        JobEntry { job: job.id.clone(), ownership, revision }
    };
    let renewal = |(revision, record, _)| LeaseRenewal { revision, record };
    let time = gateway.usage.as_ref().map(|usage| usage.time(gateway.now()).as_millis());
    let is_legacy_caller = options.objects && !options.takes_packed;
    let mut kinds = Vec::new();
    if options.objects && options.takes_packed {
        kinds = dissemination::servable_kinds(gateway);
    }
    let has_many_objects = dissemination::uncompressed_bytes(gateway, &kinds) > MAX_OBJECT_BYTES;
    if has_many_objects {
        kinds.clear();
    }
    PeerReply::Introduced {
        members: if options.members { gateway.members.all() } else { Vec::new() },
        jobs: gateway.jobs.all().into_iter().map(entry).collect(),
        knows_jobs: gateway.jobs.is_loaded.get(),
        lease: gateway.versions.lease.newest_renewal().map(renewal),
        duty_lease: gateway.duty_lease.newest_renewal().map(renewal),
        suspects: gossip::all_reports(gateway),
        time_millis: time.and_then(|millis| u64::try_from(millis).ok()),
        kinds: if is_legacy_caller { dissemination::legacy_snapshots(gateway) } else { Vec::new() },
        packed_kinds: dissemination::compressed_snapshots(gateway, &kinds),
        has_many_objects,
    }
}
