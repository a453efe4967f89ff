//! An [`ObjectStore`] that calls the store directly, and relays calls through a peer while the
//! direct path fails. Counts calls by kind.

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
use crate::peers::client::CallError;
use crate::peers::store_messages::{StoreCall, StoreReply};
use crate::peers::{client, PeerReply, PeerRequest};
use crate::ports::{Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError};

/// Time after a failure for which the direct path counts as unreachable, unless a call succeeds.
const UNREACHABLE_FOR: Duration = Duration::from_millis(2500);
/// Time after a response for which calls without a result do not count as a failure of the direct
/// path.
const RESPONSE_VALID_FOR: Duration = Duration::from_millis(1800);
/// Consecutive throttled calls after which the direct path counts as unreachable.
const MAX_CONSECUTIVE_THROTTLES: u32 = 3;
/// Timeout of a call that is relayed by a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Peers that are tried for one call.
const RELAY_ATTEMPTS: usize = 2;

/// Result of relaying a call through peers.
enum Relayed {
    /// A peer made the call.
    Done(StoreReply),
    /// No peer made the call.
    NotDone,
    /// A peer may have made the call, or may still make it.
    Unknown,
}

/// An object store with a direct path and a fallback through peers.
pub struct FailoverStore {
    direct: Rc<dyn ObjectStore>,
    metrics: Metrics,
    gateway: RefCell<Weak<Gateway>>,
    clock: Clock,
    last_failure: Cell<Option<Moment>>,
    /// Consecutive calls that were throttled.
    throttled_calls: Cell<u32>,
    last_response: Cell<Option<Moment>>,
}

impl FailoverStore {
    /// Creates a store without a fallback.
    pub fn new(direct: Rc<dyn ObjectStore>, metrics: Metrics, clock: Clock) -> Self {
        Self {
            direct,
            metrics,
            clock,
            gateway: RefCell::new(Weak::new()),
            last_failure: Cell::new(None),
            throttled_calls: Cell::new(0),
            last_response: Cell::new(None),
        }
    }

    /// Sets the daemon whose peers relay calls while the direct path fails.
    pub fn set_relay(&self, gateway: &Rc<Gateway>) {
        *self.gateway.borrow_mut() = Rc::downgrade(gateway);
    }

    /// Returns the store without the fallback.
    pub fn direct(&self) -> Rc<dyn ObjectStore> {
        self.direct.clone()
    }

    fn elapsed_since(&self, at: Moment) -> Duration {
        self.clock.now().saturating_sub(at)
    }

    /// Whether the direct path to the store works, as far as known.
    pub fn is_reachable(&self) -> bool {
        self.last_failure.get().is_none_or(|at| self.elapsed_since(at) >= UNREACHABLE_FOR)
    }

    /// Records the result of a direct call.
    ///
    /// A call without a result does not count as a failure of the path while other calls are
    /// answered. Throttled calls only count after [`MAX_CONSECUTIVE_THROTTLES`] in a row.
    fn record_result<T>(&self, kind: &str, result: &Result<T, StoreError>) {
        self.metrics.record_store_call(metric_label(kind));
        let now = self.clock.now();
        match result {
            Err(StoreError::Throttled) => {
                self.throttled_calls.set(self.throttled_calls.get().saturating_add(1));
                if self.throttled_calls.get() >= MAX_CONSECUTIVE_THROTTLES {
                    self.last_failure.set(Some(now));
                }
            }
            Err(StoreError::NotDone(_)) => self.last_failure.set(Some(now)),
            Err(StoreError::Unknown(_)) if self.has_recent_response() => {}
            Err(StoreError::Unknown(_)) => self.last_failure.set(Some(now)),
            _ => {
                self.last_response.set(Some(now));
                self.last_failure.set(None);
                self.throttled_calls.set(0);
            }
        }
    }

    fn has_recent_response(&self) -> bool {
        self.last_response.get().is_some_and(|at| self.elapsed_since(at) < RESPONSE_VALID_FOR)
    }

    /// Time since the last response on the direct path; [`Duration::MAX`] before the first one.
    pub fn since_last_response(&self) -> Duration {
        self.last_response.get().map_or(Duration::MAX, |at| self.elapsed_since(at))
    }

    /// Relays a call through peers.
    async fn relay(&self, call: &StoreCall) -> Relayed {
        let Some(gateway) = self.gateway.borrow().upgrade() else {
            return Relayed::NotDone;
        };
        // The call may contain a request's body, which may be restricted to this region.
        let alive = if gateway.restricts_regions() {
            gateway.members.alive_in_region(&gateway.identity.region)
        } else {
            gateway.members.alive()
        };
        let candidates: Vec<_> = {
            let mut random = rand::rng();
            alive.choose_multiple(&mut random, RELAY_ATTEMPTS).cloned().collect()
        };
        let mut is_in_doubt = false;
        for peer in candidates {
            let request = PeerRequest::Store(call.clone());
            match client::try_call(&gateway, &peer, &request, RELAY_TIMEOUT).await {
                Ok(PeerReply::Store(StoreReply::NotDone(_))) | Err(CallError::NotSent) => {}
                Ok(PeerReply::Store(reply)) => {
                    log::info!("event=store_relayed peer={peer}");
                    return Relayed::Done(reply);
                }
                Ok(_) | Err(CallError::Unknown) => is_in_doubt = true,
            }
        }
        if is_in_doubt {
            Relayed::Unknown
        } else {
            Relayed::NotDone
        }
    }

    /// Makes a call directly, or through a peer if the direct path fails without a result.
    async fn with_fallback<T>(
        &self,
        kind: &str,
        direct: impl std::future::Future<Output = Result<T, StoreError>>,
        call: StoreCall,
        convert: impl FnOnce(StoreReply) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let was_reachable = self.is_reachable();
        let mut is_relay_in_doubt = false;
        if !was_reachable {
            match self.relay(&call).await {
                Relayed::Done(reply) => return convert(reply),
                Relayed::NotDone => {}
                Relayed::Unknown => is_relay_in_doubt = true,
            }
        }
        let result = direct.await;
        self.record_result(kind, &result);
        let is_inconclusive = matches!(
            result,
            Err(StoreError::Unknown(_) | StoreError::NotDone(_) | StoreError::Throttled)
        );
        if is_inconclusive && was_reachable && !self.is_reachable() {
            match self.relay(&call).await {
                Relayed::Done(reply) => return convert(reply),
                Relayed::NotDone => {}
                Relayed::Unknown => is_relay_in_doubt = true,
            }
        }
        match result {
            // A peer may still make the call.
            Err(error) if is_inconclusive && is_relay_in_doubt => {
                Err(StoreError::Unknown(format!("relayed without an answer; directly: {error}")))
            }
            result => result,
        }
    }
}

/// The metrics label of a kind: the kind itself, or the common prefix of kinds that exist per job.
fn metric_label(kind: &str) -> &str {
    let per_job = [RESULTS_KIND_PREFIX, CHECKPOINTS_KIND_PREFIX];
    per_job.into_iter().find(|prefix| kind.starts_with(prefix)).unwrap_or(kind)
}

#[async_trait(?Send)]
impl ObjectStore for FailoverStore {
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError> {
        let call = StoreCall::List { kind: kind.to_owned(), after: after.map(str::to_owned) };
        let direct = self.direct.list(kind, after);
        self.with_fallback(kind, direct, call, StoreReply::into_listing).await
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let call = StoreCall::Get { kind: kind.to_owned(), name: name.to_owned() };
        let convert = |reply| match reply {
            StoreReply::Missing => Ok(None),
            other => other.into_object().map(Some),
        };
        self.with_fallback(kind, self.direct.get(kind, name), call, convert).await
    }

    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let result = self.direct.watch(kind, since, wait).await;
        self.record_result(kind, &result);
        result
    }

    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        let call = StoreCall::Create {
            kind: kind.to_owned(),
            name: name.to_owned(),
            content: content.to_string(),
        };
        let direct = self.direct.create(kind, name, content);
        self.with_fallback(kind, direct, call, StoreReply::into_object).await
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
        self.with_fallback(kind, direct, call, StoreReply::into_object).await
    }

    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: Value,
        condition: Condition,
    ) -> Result<Object, StoreError> {
        let result = self.direct.replace_status(kind, name, status, condition).await;
        self.record_result(kind, &result);
        result
    }

    async fn probe(&self) -> Result<(), StoreError> {
        let result = self.direct.probe().await;
        self.record_result("probe", &result);
        result
    }

    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let result = self.direct.remove(kind, name).await;
        self.record_result(kind, &result);
        result
    }
}
