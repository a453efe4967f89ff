//! Published versions, recent step times and the last accepted command.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::lease_state::LeaseState;

/// Steps that take longer, including training, need more than half of the model's servers.
const SLOW_STEP_THRESHOLD: Duration = Duration::from_millis(4200);
/// Number of step times kept per model.
const RECENT_STEPS: usize = 2;

/// Published versions and the progress of steps and commands, as known to this daemon.
#[derive(Default)]
pub struct PublishedVersions {
    newest: RefCell<HashMap<String, (u64, Moment)>>,
    /// When the last known command was accepted.
    last_command: Cell<Option<Moment>>,
    /// When the current watch of published versions was first complete.
    listed_at: Cell<Option<Moment>>,
    /// Durations of the newest steps by model, from submission to the publication of the version.
    step_times: RefCell<HashMap<String, VecDeque<Duration>>>,
    /// The lease for commands.
    pub lease: LeaseState,
    /// Notified when a version is published or a command is accepted.
    pub changed: Event,
}

impl PublishedVersions {
    /// Records a published version. Returns whether it is newer than the known one.
    pub fn observe(&self, now: Moment, model: &str, version: u64) -> bool {
        let mut newest = self.newest.borrow_mut();
        let known = newest.get(model).map_or(0, |(known, _)| *known);
        if version > known {
            newest.insert(model.to_owned(), (version, now));
            self.changed.notify(usize::MAX);
        }
        version > known
    }

    /// Records the duration of a step.
    pub fn record_step_time(&self, model: &str, time: Duration) {
        let mut times = self.step_times.borrow_mut();
        let times = times.entry(model.to_owned()).or_default();
        times.push_back(time);
        if times.len() > RECENT_STEPS {
            times.pop_front();
        }
    }

    /// Whether the model's steps are so slow that they need more than half of its servers.
    pub fn has_slow_steps(&self, model: &str) -> bool {
        let times = self.step_times.borrow();
        times.get(model).is_some_and(|times| times.iter().any(|time| *time > SLOW_STEP_THRESHOLD))
    }

    /// The newest published version by model, and when this daemon learned of it.
    pub fn newest(&self) -> HashMap<String, (u64, Moment)> {
        self.newest.borrow().clone()
    }

    /// Records that a server accepted a command from `holder`.
    pub fn note_command_accepted(&self, now: Moment, holder: NodeName) {
        self.lease.set_holder(now, holder);
        self.last_command.set(Some(now));
        self.changed.notify(usize::MAX);
    }

    /// When the last known command was accepted.
    pub fn last_command(&self) -> Option<Moment> {
        self.last_command.get()
    }

    /// Records that the watch of published versions is complete. Later lists of the same watch
    /// change nothing.
    pub fn note_listed(&self, now: Moment) {
        if self.listed_at.get().is_none() {
            self.listed_at.set(Some(now));
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that published versions are no longer watched.
    pub fn note_unwatched(&self) {
        self.listed_at.set(None);
    }

    /// When the current watch of published versions was first complete, if there is one.
    pub fn listed_at(&self) -> Option<Moment> {
        self.listed_at.get()
    }
}
