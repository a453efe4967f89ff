//! The store as a daemon uses it: counted, by the daemon's own way while that works, and through a
//! peer while it does not.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use heronbend::Moment;
use rand::seq::IndexedRandom;
use serde_json::Value;

use crate::batch::checkpoint::CHECKPOINTS_KIND_PREFIX;
use crate::batch::registry::RESULTS_KIND_PREFIX;
use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::relayed::{StoreCall, StoreReply};
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError};

/// Time after a failure in which the own way is taken for lost, unless it works meanwhile.
const LOST_FOR: Duration = Duration::from_millis(2500);
/// Time after an answer in which the way to the store is taken to work; probes come more often.
const ANSWERS_HOLD: Duration = Duration::from_millis(1800);
/// Refusals in a row after which the own way is taken for lost.
const REFUSALS_TO_LOSE: u32 = 3;
/// Time that a peer is given for a call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Peers that are asked for one call.
const RELAY_ATTEMPTS: usize = 2;

/// The store with its ways to reach it.
pub struct RelayedStore {
    direct: Rc<dyn ObjectStore>,
    metrics: Metrics,
    gateway: RefCell<Weak<Gateway>>,
    clock: Clock,
    failed: Cell<Option<Moment>>,
    /// Calls in a row that were refused for now.
    refused: Cell<u32>,
    answered: Cell<Option<Moment>>,
}

impl RelayedStore {
    /// A store without peers so far.
    pub fn new(direct: Rc<dyn ObjectStore>, metrics: Metrics, clock: Clock) -> Self {
        Self {
            direct,
            metrics,
            clock,
            gateway: RefCell::new(Weak::new()),
            failed: Cell::new(None),
            refused: Cell::new(0),
            answered: Cell::new(None),
        }
    }

    /// Lets calls go through the peers of a daemon.
    pub fn relay_through(&self, gateway: &Rc<Gateway>) {
        *self.gateway.borrow_mut() = Rc::downgrade(gateway);
    }

    /// The store by the daemon's own way alone.
    pub fn direct(&self) -> Rc<dyn ObjectStore> {
        self.direct.clone()
    }

    fn age(&self, at: Moment) -> Duration {
        self.clock.now().saturating_sub(at)
    }

    /// Whether the daemon's own way to the store works, as far as is known.
    pub fn is_reached(&self) -> bool {
        self.failed.get().is_none_or(|at| self.age(at) >= LOST_FOR)
    }

    /// Notes how a call by the own way ended. An answer that is lost while others come says nothing
    /// of the way: a peer's would be lost as well. One call that is refused for now says little
    /// either; several in a row say that this daemon is refused.
    fn note<T>(&self, kind: &str, result: &Result<T, StoreError>) {
        self.metrics.record_store_call(purpose(kind));
        let now = self.clock.now();
        match result {
            Err(StoreError::Throttled) => {
                self.refused.set(self.refused.get().saturating_add(1));
                if self.refused.get() >= REFUSALS_TO_LOSE {
                    self.failed.set(Some(now));
                }
            }
            Err(StoreError::NotDone(_)) => self.failed.set(Some(now)),
            Err(StoreError::Unknown(_)) if self.has_answered_lately() => {}
            Err(StoreError::Unknown(_)) => self.failed.set(Some(now)),
            _ => {
                self.answered.set(Some(now));
                self.failed.set(None);
                self.refused.set(0);
            }
        }
    }

    fn has_answered_lately(&self) -> bool {
        self.answered.get().is_some_and(|at| self.age(at) < ANSWERS_HOLD)
    }

    /// How long ago the store answered by the own way.
    pub fn silent_for(&self) -> Duration {
        self.answered.get().map_or(Duration::MAX, |at| self.age(at))
    }

    /// Asks peers to make a call; nothing when none of them could.
    async fn relay(&self, call: StoreCall) -> Option<StoreReply> {
        let gateway = self.gateway.borrow().upgrade()?;
        // A call may carry a request's body, which may not be in any region.
        let alive = if gateway.has_homes() {
            gateway.members.alive_in_region(&gateway.identity.region)
        } else {
            gateway.members.alive()
        };
        let chosen: Vec<_> = {
            let mut random = rand::rng();
            alive.choose_multiple(&mut random, RELAY_ATTEMPTS).cloned().collect()
        };
        for peer in chosen {
            let request = PeerRequest::Store(call.clone());
            let reply = client::call(&gateway, &peer, &request, RELAY_TIMEOUT).await;
            match reply {
                Some(PeerReply::Store(StoreReply::NotDone(_))) | None => {}
                Some(PeerReply::Store(reply)) => {
                    log::info!("event=store_relayed peer={peer}");
                    return Some(reply);
                }
                Some(_) => return None,
            }
        }
        None
    }

    /// Makes a call by the own way, or through a peer where that fails without a result.
    async fn by_either_way<T>(
        &self,
        kind: &str,
        direct: impl std::future::Future<Output = Result<T, StoreError>>,
        call: StoreCall,
        take: impl FnOnce(StoreReply) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let was_reached = self.is_reached();
        if !was_reached {
            if let Some(reply) = self.relay(call.clone()).await {
                return take(reply);
            }
        }
        let result = direct.await;
        self.note(kind, &result);
        let has_no_result = matches!(
            result,
            Err(StoreError::Unknown(_) | StoreError::NotDone(_) | StoreError::Throttled)
        );
        if has_no_result && was_reached && !self.is_reached() {
            if let Some(reply) = self.relay(call).await {
                return take(reply);
            }
        }
        result
    }
}

/// What a call is for: its kind, without the job that some kinds are made for.
fn purpose(kind: &str) -> &str {
    let of_jobs = [RESULTS_KIND_PREFIX, CHECKPOINTS_KIND_PREFIX];
    of_jobs.into_iter().find(|prefix| kind.starts_with(prefix)).unwrap_or(kind)
}

#[async_trait(?Send)]
impl ObjectStore for RelayedStore {
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError> {
        let call = StoreCall::List { kind: kind.to_owned(), after: after.map(str::to_owned) };
        let direct = self.direct.list(kind, after);
        self.by_either_way(kind, direct, call, StoreReply::into_listing).await
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let call = StoreCall::Get { kind: kind.to_owned(), name: name.to_owned() };
        let take = |reply| match reply {
            StoreReply::Missing => Ok(None),
            other => other.into_object().map(Some),
        };
        self.by_either_way(kind, self.direct.get(kind, name), call, take).await
    }

    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let result = self.direct.watch(kind, since, wait).await;
        self.note(kind, &result);
        result
    }

    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        let call = StoreCall::Create {
            kind: kind.to_owned(),
            name: name.to_owned(),
            content: content.to_string(),
        };
        let direct = self.direct.create(kind, name, content);
        self.by_either_way(kind, direct, call, StoreReply::into_object).await
    }

    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Condition,
    ) -> Result<Object, StoreError> {
        let revision = match condition {
            Condition::At(revision) => Some(revision),
            Condition::Any => None,
        };
        let call = StoreCall::Replace {
            kind: kind.to_owned(),
            name: name.to_owned(),
            content: content.to_string(),
            revision,
        };
        let direct = self.direct.replace(kind, name, content, condition);
        self.by_either_way(kind, direct, call, StoreReply::into_object).await
    }

    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: Value,
        condition: Condition,
    ) -> Result<Object, StoreError> {
        let result = self.direct.replace_status(kind, name, status, condition).await;
        self.note(kind, &result);
        result
    }

    async fn probe(&self) -> Result<(), StoreError> {
        let result = self.direct.probe().await;
        self.note("probe", &result);
        result
    }

    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let result = self.direct.remove(kind, name).await;
        self.note(kind, &result);
        result
    }
}
