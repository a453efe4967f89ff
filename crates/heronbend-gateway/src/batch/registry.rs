//! Registry of the jobs known to this daemon.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::access::Caller;
use heronbend::identity::NodeId;
use heronbend::Moment;

use super::job_texts::JobTexts;
use super::ownership::Ownership;
use super::result_log::ResultLog;
use super::specification::JobSpecification;
use super::tenure::Tenure;
use crate::ports::{Object, Revision};

/// Object kind of job specifications.
pub const SPECIFICATIONS: &str = "heronbend-jobs";
/// Object kind of job ownerships.
pub const OWNERSHIPS: &str = "heronbend-work";

/// Time for which a confirmation of ownership by the store is valid. Shorter than the time after
/// which other daemons replace a lost owner.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2500);

/// Prefix of the object kinds of result chunks.
pub const RESULTS_KIND_PREFIX: &str = "heronbend-results";

/// Object kind of the result chunks of a job.
pub fn results_kind(job: &str) -> String {
    format!("{RESULTS_KIND_PREFIX}-{job}")
}

/// Object name of a chunk. Names sort by chunk number.
pub fn chunk_name(number: u32) -> String {
    format!("{number:08}")
}

/// A job and its local state.
pub struct Job {
    /// Identifier of the job.
    pub id: String,
    /// Number of items.
    pub total: usize,
    /// Newest known ownership and its revision in the store.
    pub ownership: RefCell<(Ownership, Revision)>,
    /// The specification, once it has been read.
    pub specification: RefCell<Option<Rc<JobSpecification>>>,
    /// Identifiers of items that an earlier job had as well. The trainer needs them to complete its
    /// step.
    pub required_items: RefCell<BTreeSet<String>>,
    /// Local view of the result log.
    pub log: RefCell<ResultLog>,
    /// Texts of the items while the job runs here.
    pub texts: RefCell<JobTexts>,
    /// Number of the next checkpoint that this daemon writes.
    pub next_checkpoint: Cell<u32>,
    /// Notified when the log grows or the job ends.
    pub log_changed: Event,
    /// When the current long poll for new results, from a caller or a peer, times out.
    pub long_poll_until: Cell<Moment>,
    /// Notified when a result is added to the log.
    pub result_pending: Event,
    /// Whether the job has ended.
    pub ended: Cell<bool>,
    /// Notified when the job ends or a newer ownership becomes known.
    pub stopping: Event,
    /// The runs of the job here, and its adoption if the outcome of that is unknown.
    pub tenure: RefCell<Tenure>,
    /// When the store last confirmed that this daemon is the owner.
    pub ownership_confirmed_at: Cell<Option<Moment>>,
    /// Whether a chunk by another writer was found, which may be a newer owner. Nothing is appended
    /// until the store has confirmed the owner.
    pub owner_unconfirmed: Cell<bool>,
    /// Until when the owner waits for the handoff from the daemon that accepted the job.
    pub handoff_deadline: Cell<Option<Moment>>,
    /// When this daemon first learned of the job.
    pub first_seen: Moment,
    /// Since when the owner appears lost, if it does.
    pub orphaned_since: Cell<Option<Moment>>,
    /// When this daemon learned that the job had ended.
    pub ended_at: Cell<Option<Moment>>,
}

impl Job {
    fn new(id: &str, ownership: Ownership, revision: Revision, now: Moment) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            total: ownership.total,
            ended: Cell::new(ownership.ended),
            ended_at: Cell::new(ownership.ended.then_some(now)),
            ownership: RefCell::new((ownership, revision)),
            specification: RefCell::default(),
            required_items: RefCell::default(),
            log: RefCell::default(),
            texts: RefCell::default(),
            next_checkpoint: Cell::new(0),
            log_changed: Event::new(),
            long_poll_until: Cell::new(Moment::ZERO),
            result_pending: Event::new(),
            stopping: Event::new(),
            tenure: RefCell::default(),
            ownership_confirmed_at: Cell::new(None),
            owner_unconfirmed: Cell::new(false),
            handoff_deadline: Cell::new(None),
            first_seen: now,
            orphaned_since: Cell::new(None),
        })
    }

    /// The current owner.
    pub fn owner(&self) -> NodeId {
        self.ownership.borrow().0.owner.clone()
    }

    /// Revision of the newest known ownership.
    pub fn revision(&self) -> Revision {
        self.ownership.borrow().1
    }

    /// Whether the job runs here.
    pub fn is_running(&self) -> bool {
        self.tenure.borrow().is_running()
    }

    /// Whether a caller may see the job.
    pub fn is_visible_to(&self, caller: &Caller) -> bool {
        caller.can_access(self.ownership.borrow().0.tenant.as_deref())
    }

    /// Whether this daemon is the confirmed owner and its log holds every result that any reader
    /// may have seen. The confirmation expires, since a paused daemon may have lost the job to
    /// another one.
    pub fn is_authoritative(&self, now: Moment) -> bool {
        let confirmed_at = self.ownership_confirmed_at.get();
        let knows_all = self.tenure.borrow().has_whole_log() && !self.log.borrow().is_in_doubt();
        knows_all && confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TTL)
    }

    /// Whether every item has a committed result.
    pub fn is_complete(&self) -> bool {
        self.log.borrow().len() >= self.total
    }

    /// Whether the job has neither ended nor completed.
    pub fn is_open(&self) -> bool {
        !self.ended.get() && !self.is_complete()
    }

    /// Marks the job as ended.
    pub fn end(&self, now: Moment) {
        if !self.ended.replace(true) {
            self.ended_at.set(Some(now));
            self.stopping.notify(usize::MAX);
            self.log_changed.notify(usize::MAX);
        }
    }
}

/// All known jobs.
pub struct JobRegistry {
    jobs: RefCell<HashMap<String, Rc<Job>>>,
    clock: Box<dyn Fn() -> Moment>,
    /// Notified when the ownerships are to be loaded from the store.
    pub reload_requested: Event,
    /// Whether the ownerships have been loaded, from the store or from a peer.
    pub is_loaded: Cell<bool>,
}

impl JobRegistry {
    /// Creates an empty registry with a clock.
    pub fn new(clock: impl Fn() -> Moment + 'static) -> Self {
        Self {
            jobs: RefCell::default(),
            clock: Box::new(clock),
            reload_requested: Event::new(),
            is_loaded: Cell::new(false),
        }
    }

    /// Returns a job by its identifier.
    pub fn get(&self, id: &str) -> Option<Rc<Job>> {
        self.jobs.borrow().get(id).cloned()
    }

    /// All known jobs.
    pub fn all(&self) -> Vec<Rc<Job>> {
        self.jobs.borrow().values().cloned().collect()
    }

    /// Inserts or updates a job from a stored ownership. An older revision than the known one is
    /// ignored.
    pub fn upsert(&self, id: &str, ownership: Ownership, revision: Revision) -> Rc<Job> {
        let now = (self.clock)();
        let known = self.get(id);
        let Some(job) = known else {
            let job = Job::new(id, ownership, revision, now);
            self.jobs.borrow_mut().insert(id.to_owned(), job.clone());
            return job;
        };
        if revision > job.ownership.borrow().1 {
            let ended = ownership.ended;
            *job.ownership.borrow_mut() = (ownership, revision);
            if ended {
                job.end(now);
            }
            job.stopping.notify(usize::MAX);
        }
        job
    }

    /// Inserts or updates a job from an ownership object. Logs and returns `None` if it cannot be
    /// decoded.
    pub fn upsert_object(&self, object: &Object) -> Option<Rc<Job>> {
        match serde_json::from_value::<Ownership>(object.content.clone()) {
            Ok(ownership) => Some(self.upsert(&object.name, ownership, object.revision)),
            Err(error) => {
                log::warn!("event=ownership_malformed job={} error=\"{error}\"", object.name);
                None
            }
        }
    }

    /// Records which items of a job also belong to an earlier job whose specification is loaded.
    pub fn record_required_items(&self, job: &Job, specification: &JobSpecification) {
        let jobs = self.jobs.borrow();
        let earlier =
            jobs.values().filter(|known| known.id != job.id && known.first_seen <= job.first_seen);
        let mut known_items = BTreeSet::new();
        for known in earlier {
            let specification = known.specification.borrow();
            let items = specification.iter().flat_map(|known| known.items.iter());
            known_items.extend(items.map(|item| item.id.clone()));
        }
        let items = specification.items.iter().map(|item| &item.id);
        *job.required_items.borrow_mut() =
            items.filter(|id| known_items.contains(*id)).cloned().collect();
    }

    /// Removes a job.
    pub fn remove(&self, id: &str) {
        self.jobs.borrow_mut().remove(id);
    }
}
