//! What a daemon that starts is told by one that is up: the members, the jobs, and the objects that
//! daemons follow by way of each other.
//!
//! Without it each start costs the store a list of every kind, and a whole fleet that starts asks the
//! store for the same at once. A daemon that nobody answers, or to whom nobody can tell the objects,
//! lists for itself. Later on, daemons tell each other now and then of the jobs that they know: the
//! hints by which these are told may be lost.

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
use super::messages::JobEntry;
use super::messages::KindState;
use super::messages::LeaseRenewal;
use super::messages::PackedKind;
use super::PeerReply;
use super::PeerRequest;
use super::Untelling;
use crate::batch::registry::Job;
use crate::batch::runner::start_owned_jobs;
use crate::dissemination;
use crate::gateway::Gateway;
use crate::mirror::KnownObjects;
use crate::news_way::Way;
use crate::packed_news;
use crate::quarantine::news;
use crate::wait;

/// Time after the start in which some other daemon has to be heard of.
const CONTACT_WAIT: Duration = Duration::from_millis(500);
/// Time after the start in which some daemon has to know the objects, where the whole system starts
/// for the first time: those that watch the store read them meanwhile, and nobody waits yet.
const FIRST_START_WAIT: Duration = Duration::from_millis(1800);
/// The same at every other start. One that is up tells within some hundredths of a second; where all
/// were lost at once, callers wait for each of them.
const RESTART_WAIT: Duration = Duration::from_millis(250);
/// Time after which the members of a fleet that starts as a whole are mostly known; they are known
/// sooner where none was added between two looks.
const FLEET_KNOWN: Duration = Duration::from_millis(600);
/// Rest between two daemons that are asked.
const REST: Duration = Duration::from_millis(60);
/// Time for which a daemon that did not answer is not asked again.
const UNANSWERED_REST: Duration = Duration::from_millis(1500);
/// Time that a daemon is given to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Most bytes of objects in one answer, before they are packed. A tenth is left then, which a link of 60
/// Mbit/s carries to thirty askers at once within the time for a call. To pack what is not told would
/// cost a small daemon half of a second for ten thousand servers, for each asker after each change.
const MAX_OBJECT_BYTES: usize = 640 * 1024;
/// A second daemon is asked so long after the first one answered, which may have started itself a
/// moment before.
const SECOND_LOOK: Duration = Duration::from_millis(1500);

/// What this daemon was told when it started.
#[derive(Default)]
pub struct Introduction {
    kinds: RefCell<HashMap<String, KnownObjects>>,
    is_under_way: Cell<bool>,
    /// Whether the whole system starts for the first time.
    is_first_start: Cell<bool>,
    /// Whether a daemon that knows the jobs, and so has been up for a while, has told all.
    is_complete: Cell<bool>,
    over: Event,
}

impl Introduction {
    /// Notes that other daemons are going to be asked.
    pub fn begin(&self, is_first_start: bool) {
        self.is_first_start.set(is_first_start);
        self.is_under_way.set(true);
    }

    /// How long others are asked after the start.
    fn limit(&self) -> Duration {
        if self.is_first_start.get() {
            FIRST_START_WAIT
        } else {
            RESTART_WAIT
        }
    }

    /// Waits until others have told this daemon what they know, or nobody is going to.
    pub async fn wait(&self) {
        loop {
            let over = self.over.listen();
            if !self.is_under_way.get() {
                return;
            }
            over.await;
        }
    }

    /// Waits for the end, and takes the objects of a kind that were told.
    pub async fn take(&self, kind: &str) -> Option<KnownObjects> {
        self.wait().await;
        self.kinds.borrow_mut().remove(kind)
    }

    /// Whether a daemon that has been up for a while has told this one what it knows.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    fn end(&self, told: Option<&Told>) {
        self.is_complete.set(told.is_some_and(|told| told.knows_jobs));
        self.is_under_way.set(false);
        self.over.notify(usize::MAX);
    }
}

/// What an asker wants to be told beside the jobs.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// The objects that daemons follow.
    pub objects: bool,
    /// Whether it understands packed ones.
    pub takes_packed: bool,
    /// The members.
    pub members: bool,
}

/// What another daemon told.
struct Told {
    by: NodeId,
    /// Whether it told the objects, or knows them and has too many.
    knows_objects: bool,
    knows_jobs: bool,
}

/// Asks daemons that are up until one has told all, or time is over.
pub async fn run(gateway: Rc<Gateway>) {
    let told = ask_until_told(&gateway).await;
    log::info!(
        "event=introduced by={} objects={} jobs_known={} after_ms={} daemons={} jobs={}",
        told.as_ref().map_or_else(|| "nobody".to_owned(), |told| told.by.to_string()),
        told.as_ref().is_some_and(|told| told.knows_objects),
        told.as_ref().is_some_and(|told| told.knows_jobs),
        gateway.now().as_millis(),
        gateway.members.count_alive() + 1,
        gateway.jobs.all().len()
    );
    gateway.members.introduction.end(told.as_ref());
    if let Some(told) = told {
        Timer::after(SECOND_LOOK).await;
        let others = gateway.members.alive();
        let other = others.choose(&mut rand::rng()).unwrap_or(&told.by).clone();
        learn_jobs_of(&gateway, &other).await;
    }
}

async fn ask_until_told(gateway: &Rc<Gateway>) -> Option<Told> {
    if gateway.seeds.borrow().is_empty() {
        return None;
    }
    let mut told = None;
    let mut known_before = 0;
    let limit = gateway.members.introduction.limit();
    while gateway.now() < limit {
        if gateway.members.count_alive() == 0 {
            if gateway.now() >= CONTACT_WAIT {
                return None;
            }
            wait::at_most(REST, gateway.members.changed.listen()).await;
            continue;
        }
        if let Some(new) = ask_one(gateway, told.is_some()).await {
            let is_all = new.knows_objects && new.knows_jobs;
            told = Some(new);
            // Who watches the store for the others has to read it, once it knows who they are.
            let known = gateway.members.count_alive();
            let may_judge = gateway.now() >= FLEET_KNOWN || known == known_before;
            known_before = known;
            if is_all || (may_judge && dissemination::is_watcher(gateway)) {
                break;
            }
        }
        Timer::after(REST).await;
    }
    told
}

/// Asks one daemon: one that watches the store for this one, or any.
///
/// A daemon that was told the members before gets only the rest: the members of a large fleet are many
/// times more.
async fn ask_one(gateway: &Rc<Gateway>, without_members: bool) -> Option<Told> {
    let known = match dissemination::way(gateway) {
        Way::Watchers(watchers) => watchers,
        Way::Store | Way::Outage => gateway.members.alive(),
    };
    let peer = known.choose(&mut rand::rng())?.clone();
    let request =
        PeerRequest::Introduce { with_objects: true, takes_packed: true, without_members };
    let Some(reply) = ask(gateway, &peer, &request).await else {
        let now = gateway.now();
        gateway.members.note_untold(now, UNANSWERED_REST, &peer, Untelling::Silent);
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
    gateway.members.learn(members).await;
    learn_jobs(gateway, jobs);
    news::learn(gateway, suspects);
    for (known, renewal) in [(&gateway.versions.lease, lease), (&gateway.duty_lease, duty_lease)] {
        if let Some(LeaseRenewal { revision, record }) = renewal {
            known.tell(gateway.now(), revision, record);
        }
    }
    if let (Some(book), Some(millis)) = (&gateway.usage, time_millis) {
        book.hear_time(gateway.now(), Duration::from_millis(millis));
    }
    let knows_objects = !kinds.is_empty() || !packed_kinds.is_empty() || has_many_objects;
    kinds.into_iter().for_each(|state| keep(gateway, state));
    packed_kinds.iter().for_each(|kind| keep_packed(gateway, kind));
    Some(Told { by: peer, knows_objects, knows_jobs })
}

/// Keeps the objects of a kind until its mirror begins.
fn keep(gateway: &Gateway, state: KindState) {
    let KindState { kind, objects, at } = state;
    let objects = objects.into_iter().map(Rc::new).collect();
    gateway.members.introduction.kinds.borrow_mut().insert(kind, (objects, at));
}

/// The same, where the objects are packed.
fn keep_packed(gateway: &Gateway, kind: &PackedKind) {
    match packed_news::unpack(&kind.packed) {
        Ok(news) => {
            let told = (news.objects, news.at);
            gateway.members.introduction.kinds.borrow_mut().insert(kind.kind.clone(), told);
        }
        Err(error) => {
            log::warn!("event=introduction_malformed kind={} error=\"{error}\"", kind.kind);
        }
    }
}

async fn ask(gateway: &Gateway, peer: &NodeId, request: &PeerRequest) -> Option<PeerReply> {
    let address = gateway.members.address(peer)?;
    client::call_at(gateway, address, request, CALL_TIMEOUT).await
}

/// Learns the jobs that another daemon knows; false where it does not know all.
pub async fn learn_jobs_of(gateway: &Rc<Gateway>, peer: &NodeId) -> bool {
    let request =
        PeerRequest::Introduce { with_objects: false, takes_packed: true, without_members: true };
    let Some(PeerReply::Introduced { jobs, knows_jobs, suspects, .. }) =
        ask(gateway, peer, &request).await
    else {
        return false;
    };
    learn_jobs(gateway, jobs);
    news::learn(gateway, suspects);
    knows_jobs
}

fn learn_jobs(gateway: &Rc<Gateway>, jobs: Vec<JobEntry>) {
    for JobEntry { job, ownership, revision } in jobs {
        gateway.jobs.upsert(&job, ownership, revision);
    }
    start_owned_jobs(gateway);
}

/// What this daemon tells another one.
pub fn answer(gateway: &Gateway, wanted: Wanted) -> PeerReply {
    let entry = |job: Rc<Job>| {
        let (ownership, revision) = job.ownership.borrow().clone();
        JobEntry { job: job.id.clone(), ownership, revision }
    };
    let renewal = |(revision, record, _)| LeaseRenewal { revision, record };
    let time = gateway.usage.as_ref().map(|book| book.time(gateway.now()).as_millis());
    let is_old = wanted.objects && !wanted.takes_packed;
    let mut kinds = Vec::new();
    if wanted.objects && wanted.takes_packed {
        kinds = dissemination::known_kinds(gateway);
    }
    let has_many_objects = dissemination::bytes(gateway, &kinds) > MAX_OBJECT_BYTES;
    if has_many_objects {
        kinds.clear();
    }
    PeerReply::Introduced {
        members: if wanted.members { gateway.members.all() } else { Vec::new() },
        jobs: gateway.jobs.all().into_iter().map(entry).collect(),
        knows_jobs: gateway.jobs.is_loaded.get(),
        lease: gateway.versions.lease.told().map(renewal),
        duty_lease: gateway.duty_lease.told().map(renewal),
        suspects: news::reports(gateway),
        time_millis: time.and_then(|millis| u64::try_from(millis).ok()),
        kinds: if is_old { dissemination::states(gateway) } else { Vec::new() },
        packed_kinds: dissemination::packed_states(gateway, &kinds),
        has_many_objects,
    }
}
