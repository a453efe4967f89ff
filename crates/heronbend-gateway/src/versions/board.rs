//! Versions that are named, and orders that servers have taken but do not show yet.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use event_listener::Event;
use heronbend::identity::NodeName;
use heronbend::Moment;

use crate::directory::Server;
use crate::lease_news::LeaseNews;

/// Time from an order until the server may have loaded the version.
pub const EXPECTED_LOAD: Duration = Duration::from_millis(850);
/// A step that takes longer, with its training, needs more than half of its model's servers.
const SLOW_STEP: Duration = Duration::from_millis(4200);
/// Steps of a model that are looked at for this.
const RECENT_STEPS: usize = 2;
/// Time after which an order that does not show is no longer believed in.
const ORDER_BELIEVED: Duration = Duration::from_secs(6);

/// An order that a server has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When this daemon heard of it.
    pub since: Moment,
}

/// Whether a server can run requests of a model under a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fitness {
    /// Its entry says so.
    Listed,
    /// It may have loaded this version by now; a request has to say which version it expects.
    Expected(u64),
    /// It cannot.
    Unfit,
}

/// What is known of versions.
#[derive(Default)]
pub struct VersionBoard {
    named: RefCell<HashMap<String, (u64, Moment)>>,
    orders: RefCell<HashMap<String, OpenOrder>>,
    /// Times that a model's newest steps took, from hand-in to the version that came of it.
    step_times: RefCell<HashMap<String, VecDeque<Duration>>>,
    /// The lease for orders.
    pub lease: LeaseNews,
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

    /// Notes an order that a server has taken.
    pub fn order_taken(&self, now: Moment, holder: NodeName, server: &str, order: (&str, u64)) {
        self.lease.set_holder(now, holder);
        let (model, version) = order;
        let order = OpenOrder { model: model.to_owned(), version, since: now };
        self.orders.borrow_mut().insert(server.to_owned(), order);
        self.changed.notify(usize::MAX);
    }

    /// When the last order that is known of was taken.
    pub fn last_order(&self) -> Option<Moment> {
        self.orders.borrow().values().map(|order| order.since).max()
    }

    /// The order that a server works on, if its entry does not show the version yet.
    pub fn open_order(&self, now: Moment, server: &Server) -> Option<OpenOrder> {
        let orders = self.orders.borrow();
        let order = orders.get(&server.id)?;
        let is_shown = server.models.get(&order.model).is_some_and(|v| *v >= order.version);
        let is_believed = now < order.since + ORDER_BELIEVED;
        (!is_shown && is_believed).then(|| order.clone())
    }

    /// Whether `server` can run requests of `model` under `min_version` or later.
    pub fn fitness(&self, now: Moment, server: &Server, model: &str, min_version: u64) -> Fitness {
        if let Some(order) = self.open_order(now, server).filter(|order| order.model == model) {
            let may_be_loaded = now >= order.since + EXPECTED_LOAD;
            return if may_be_loaded && order.version >= min_version {
                Fitness::Expected(order.version)
            } else {
                Fitness::Unfit
            };
        }
        let listed = server.models.get(model);
        if listed.is_some_and(|version| *version >= min_version) {
            Fitness::Listed
        } else {
            Fitness::Unfit
        }
    }
}
