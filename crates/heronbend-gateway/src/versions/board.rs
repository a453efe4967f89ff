//! Versions that are named, and how steps and orders go on.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::lease_state::LeaseState;

/// A step that takes longer, with its training, needs more than half of its model's servers.
const SLOW_STEP: Duration = Duration::from_millis(4200);
/// Steps of a model that are looked at for this.
const RECENT_STEPS: usize = 2;

/// What is known of versions.
#[derive(Default)]
pub struct VersionBoard {
    named: RefCell<HashMap<String, (u64, Moment)>>,
    /// When the last order that is known of was taken.
    last_order: Cell<Option<Moment>>,
    /// Times that a model's newest steps took, from hand-in to the version that came of it.
    step_times: RefCell<HashMap<String, VecDeque<Duration>>>,
    /// The lease for orders.
    pub lease: LeaseState,
    /// Notified when a version was named, or an order was taken.
    pub changed: Event,
}

impl VersionBoard {
    /// Notes a named version; versions only rise. Whether it was news.
    pub fn name(&self, now: Moment, model: &str, version: u64) -> bool {
        let mut named = self.named.borrow_mut();
        let known = named.get(model).map_or(0, |(known, _)| *known);
        if version > known {
            named.insert(model.to_owned(), (version, now));
            self.changed.notify(usize::MAX);
        }
        version > known
    }

    /// Notes how long a model's step took.
    pub fn step_took(&self, model: &str, time: Duration) {
        let mut times = self.step_times.borrow_mut();
        let times = times.entry(model.to_owned()).or_default();
        times.push_back(time);
        if times.len() > RECENT_STEPS {
            times.pop_front();
        }
    }

    /// Whether a model's steps take so long that half of its servers are not enough for them.
    pub fn is_pressed(&self, model: &str) -> bool {
        let times = self.step_times.borrow();
        times.get(model).is_some_and(|times| times.iter().any(|time| *time > SLOW_STEP))
    }

    /// Named versions by model, with the time since which this daemon knows them.
    pub fn named(&self) -> HashMap<String, (u64, Moment)> {
        self.named.borrow().clone()
    }

    /// Notes that a server has taken an order.
    pub fn order_taken(&self, now: Moment, holder: NodeName) {
        self.lease.set_holder(now, holder);
        self.last_order.set(Some(now));
        self.changed.notify(usize::MAX);
    }

    /// When the last order that is known of was taken.
    pub fn last_order(&self) -> Option<Moment> {
        self.last_order.get()
    }
}
