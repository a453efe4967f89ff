//! The jobs that this daemon knows, each with what it has of its results.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::access::Caller;
use heronbend::identity::NodeId;
use heronbend::Moment;

use super::ownership::Ownership;
use super::result_log::ResultLog;
use super::specification::JobSpecification;
use super::texts::Texts;
use crate::ports::{Object, Revision};

/// Kind of the specifications.
pub const SPECIFICATIONS: &str = "heronbend-jobs";
/// Kind of the ownerships.
pub const OWNERSHIPS: &str = "heronbend-work";

/// Time for which a confirmation from the store holds. An owner that is lost to the others is
/// replaced no sooner.
const CONFIRMATION_HOLDS: Duration = Duration::from_millis(2500);

/// What the kinds of chunks begin with.
pub const RESULTS: &str = "heronbend-results";

/// Kind of the chunks of a job's results.
pub fn results_kind(job: &str) -> String {
    format!("{RESULTS}-{job}")
}

/// Name of a chunk; names sort by number.
pub fn chunk_name(number: u32) -> String {
    format!("{number:08}")
}

/// A job and what this daemon has of it.
pub struct Job {
    /// Its identifier.
    pub id: String,
    /// Number of its items.
    pub total: usize,
    /// Who runs it, by the newest that is known, with the revision of that.
    pub ownership: RefCell<(Ownership, Revision)>,
    /// Its items, where they have been read.
    pub specification: RefCell<Option<Rc<JobSpecification>>>,
    /// Items of groups that an earlier step left behind: the trainer cannot do without them.
    pub required: RefCell<BTreeSet<String>>,
    /// Its results as far as they are known here.
    pub log: RefCell<ResultLog>,
    /// Texts of its items, while it is run here.
    pub texts: RefCell<Texts>,
    /// Number of the next checkpoint of its texts that this run of the daemon writes.
    pub next_checkpoint: Cell<u32>,
    /// Notified when the log has grown.
    pub grew: Event,
    /// Until when a read of the newest results is held, here or by a daemon that asks this one.
    pub read_held_until: Cell<Moment>,
    /// Notified when a result waits to be written.
    pub result_waits: Event,
    /// Whether it has ended.
    pub ended: Cell<bool>,
    /// Notified when it ends, or when another daemon takes it over.
    pub stopping: Event,
    /// Whether it is being run here.
    pub running: Cell<bool>,
    /// When the store last confirmed that this daemon runs it and that the log here is complete.
    pub confirmed: Cell<Option<Moment>>,
    /// Whether a chunk of another writer was found, which may be a newer owner's: nothing is appended
    /// until the store has confirmed the owner.
    pub owner_in_doubt: Cell<bool>,
    /// Whether it was made a moment ago, so that it has no results in the store.
    pub is_new: Cell<bool>,
    /// Until when its items are awaited from the daemon that took it in.
    pub passed_on_until: Cell<Option<Moment>>,
    /// When this daemon first knew of it.
    pub known_since: Moment,
    /// Since when it is seen to have no living owner.
    pub orphaned_since: Cell<Option<Moment>>,
    /// When this daemon learnt of its end.
    pub ended_since: Cell<Option<Moment>>,
}

impl Job {
    fn new(id: &str, ownership: Ownership, revision: Revision, now: Moment) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            total: ownership.total,
            ended: Cell::new(ownership.ended),
            ended_since: Cell::new(ownership.ended.then_some(now)),
            ownership: RefCell::new((ownership, revision)),
            specification: RefCell::default(),
            required: RefCell::default(),
            log: RefCell::default(),
            texts: RefCell::default(),
            next_checkpoint: Cell::new(0),
            grew: Event::new(),
            read_held_until: Cell::new(Moment::ZERO),
            result_waits: Event::new(),
            stopping: Event::new(),
            running: Cell::new(false),
            confirmed: Cell::new(None),
            owner_in_doubt: Cell::new(false),
            is_new: Cell::new(false),
            passed_on_until: Cell::new(None),
            known_since: now,
            orphaned_since: Cell::new(None),
        })
    }

    /// The run of the daemon that runs it.
    pub fn owner(&self) -> NodeId {
        self.ownership.borrow().0.owner.clone()
    }

    /// Whether a caller may know of it.
    pub fn is_visible_to(&self, caller: &Caller) -> bool {
        caller.can_access(self.ownership.borrow().0.tenant.as_deref())
    }

    /// Whether this daemon runs it and its log is sure to hold all that has ever been readable. A
    /// daemon that was paused may have lost the job to another one, which has appended since.
    pub fn is_authority(&self, now: Moment) -> bool {
        let confirmed = self.confirmed.get();
        let knows_all = !self.log.borrow().is_in_doubt();
        self.running.get() && knows_all && confirmed.is_some_and(|at| now < at + CONFIRMATION_HOLDS)
    }

    /// Whether every item has a settled result.
    pub fn is_complete(&self) -> bool {
        self.log.borrow().len() >= self.total
    }

    /// Notes its end.
    pub fn end(&self, now: Moment) {
        if !self.ended.replace(true) {
            self.ended_since.set(Some(now));
            self.stopping.notify(usize::MAX);
            self.grew.notify(usize::MAX);
        }
    }
}

/// All known jobs.
pub struct JobRegistry {
    jobs: RefCell<HashMap<String, Rc<Job>>>,
    clock: Box<dyn Fn() -> Moment>,
    /// Notified when the ownerships are to be listed.
    pub list_wanted: Event,
    /// Whether the ownerships have been listed here, or by a daemon that told them.
    pub is_listed: Cell<bool>,
}

impl JobRegistry {
    /// An empty registry.
    pub fn new(clock: impl Fn() -> Moment + 'static) -> Self {
        Self {
            jobs: RefCell::default(),
            clock: Box::new(clock),
            list_wanted: Event::new(),
            is_listed: Cell::new(false),
        }
    }

    /// A job by its identifier.
    pub fn get(&self, id: &str) -> Option<Rc<Job>> {
        self.jobs.borrow().get(id).cloned()
    }

    /// All known jobs.
    pub fn all(&self) -> Vec<Rc<Job>> {
        self.jobs.borrow().values().cloned().collect()
    }

    /// Takes in an ownership that is in the store; an older one than is known is passed over.
    pub fn learn(&self, id: &str, ownership: Ownership, revision: Revision) -> Rc<Job> {
        let now = (self.clock)();
        let known = self.get(id);
        let Some(job) = known else {
            let job = Job::new(id, ownership, revision, now);
            self.jobs.borrow_mut().insert(id.to_owned(), job.clone());
            return job;
        };
        if revision > job.ownership.borrow().1 {
            let has_moved = job.owner() != ownership.owner;
            let ended = ownership.ended;
            *job.ownership.borrow_mut() = (ownership, revision);
            if ended {
                job.end(now);
            }
            if has_moved {
                job.stopping.notify(usize::MAX);
            }
        }
        job
    }

    /// Takes in an ownership object; one that cannot be understood is logged and passed over.
    pub fn learn_object(&self, object: &Object) -> Option<Rc<Job>> {
        match serde_json::from_value::<Ownership>(object.content.clone()) {
            Ok(ownership) => Some(self.learn(&object.name, ownership, object.revision)),
            Err(error) => {
                log::warn!("event=ownership_malformed job={} error=\"{error}\"", object.name);
                None
            }
        }
    }

    /// Notes which items of a job an earlier job has had as well, as far as its items are known here.
    pub fn note_required(&self, job: &Job, specification: &JobSpecification) {
        let jobs = self.jobs.borrow();
        let earlier = jobs
            .values()
            .filter(|known| known.id != job.id && known.known_since <= job.known_since);
        let mut known_items = BTreeSet::new();
        for known in earlier {
            let specification = known.specification.borrow();
            let items = specification.iter().flat_map(|known| known.items.iter());
            known_items.extend(items.map(|item| item.id.clone()));
        }
        let items = specification.items.iter().map(|item| &item.id);
        *job.required.borrow_mut() =
            items.filter(|id| known_items.contains(*id)).cloned().collect();
    }

    /// Forgets a job.
    pub fn forget(&self, id: &str) {
        self.jobs.borrow_mut().remove(id);
    }
}
