//! Keeps a local view of all objects of a kind current: lists them, then watches for changes.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use rand::Rng;
use smol::Timer;

use crate::dissemination;
use crate::dissemination::NoChanges;
use crate::encoded_object::EncodedObject;
use crate::gateway::Gateway;
use crate::list_pages;
use crate::ports::{Change, Changes, Object, ObjectStore, Revision, StoreError};
use crate::replica::Replica;
use crate::silence;
use crate::upstream::Upstream;
use crate::wait;

/// Timeout of one watch call. Dead connections are detected by keepalive probes, not by this.
const WATCH_TIMEOUT: Duration = Duration::from_secs(29);
/// Timeout of a watch while the peers are silent, after which they are selected anew.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the store to answer such a watch after its timeout.
const SILENT_WATCH_MARGIN: Duration = Duration::from_millis(300);
/// Interval of the checks whether the store can still bring changes while the peers are silent.
const SILENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const BACKOFF_BASE: Duration = Duration::from_millis(80);
const BACKOFF_CAP: Duration = Duration::from_millis(640);
/// Time without a response from the store after which it is probed.
const PROBE_AFTER: Duration = Duration::from_millis(1000);
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a failed probe is repeated, on a daemon that watches the store for others.
const PROBE_RETRY: Duration = Duration::from_millis(400);
/// Delay before a failed probe is repeated, on a daemon that follows peers.
const FOLLOWER_PROBE_RETRY: Duration = Duration::from_millis(1200);
/// Delay before the next attempt while the upstream peers cannot reach the store either.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(400);
/// Upper bound on the batching delay of a daemon that follows peers.
const MAX_PEER_BATCHING: Duration = Duration::from_millis(60);
/// Batching delay of a handler that needs the next changes soon.
const MIN_BATCHING: Duration = Duration::from_millis(60);
/// Longest wait for a successful probe before the next call is attempted anyway.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(2);
/// Consecutive failures after which a success restarts the watches of all kinds.
const FAILURES_BEFORE_WATCH_RESTART: u32 = 2;
/// Consecutive failures after which the loss of the store is logged.
const FAILURES_BEFORE_LOG: u32 = 2;

/// Changes that are handled before the task yields to others.
const YIELD_INTERVAL: usize = 200;

/// All objects of a kind and the revision at which they are current.
pub type ObjectList = (Vec<Rc<EncodedObject>>, Revision);

/// Receives the objects of a kind and their changes.
pub trait ObjectHandler {
    /// Called with the names of all listed objects: any other object no longer exists. The listed
    /// objects follow as calls of [`ObjectHandler::upsert`].
    fn retain(&self, names: &BTreeSet<String>);
    /// An object was created or replaced.
    fn upsert(&self, object: &Object);
    /// The object with this name was removed.
    fn remove(&self, name: &str);
    /// Called after all objects of a list were passed to [`ObjectHandler::upsert`].
    fn on_list(&self) {}
    /// Called after each batch of changes.
    fn on_batch(&self) {}
    /// Whether the next changes should be read soon rather than with a full batch.
    fn needs_changes_soon(&self) -> bool {
        false
    }
}

/// Where a reflector reads its kind from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store only.
    Store,
    /// From the upstream peers in the overlay tree, or from the store if there are none.
    Peers,
}

/// Lists and watches a kind until the daemon exits. Waits for `batch_delay` after each batch of
/// changes, so that further changes arrive with one call.
pub async fn run(
    gateway: Rc<Gateway>,
    kind: &'static str,
    source: Source,
    batch_delay: Duration,
    handler: impl ObjectHandler,
) {
    let mut failures = 0;
    let mut initial = match source {
        Source::Store => None,
        Source::Peers => gateway.members.bootstrap.take_objects(kind).await,
    };
    loop {
        let listed = match initial.take() {
            Some(list) => Ok(list),
            None => list(&gateway, kind, source).await,
        };
        match listed {
            Ok((objects, at)) => {
                if gateway.store.is_reachable() {
                    record_success(&gateway, kind, &mut failures);
                }
                update_replica(&gateway, kind, source, |replica| replica.reset(&objects, at));
                handle_list(kind, objects, &handler).await;
                watch_from(&gateway, kind, source, at, batch_delay, &handler, &mut failures).await;
            }
            Err(error) => record_failure(&gateway, kind, &error, &mut failures).await,
        }
    }
}

/// Passes a complete list to the handler.
async fn handle_list(kind: &str, objects: Vec<Rc<EncodedObject>>, handler: &impl ObjectHandler) {
    let names = objects.iter().map(|object| object.name.clone()).collect();
    handler.retain(&names);
    handle_changes(kind, objects.into_iter().map(Change::Set), handler).await;
    // Let the reflectors of related kinds, such as evacuations, apply their lists first.
    future::yield_now().await;
    handler.on_list();
    handler.on_batch();
}

/// Passes changes to the handler. Decodes one object at a time to bound memory use, and yields
/// regularly so that a large list does not block other tasks.
async fn handle_changes(
    kind: &str,
    changes: impl IntoIterator<Item = Change>,
    handler: &impl ObjectHandler,
) {
    for (number, change) in changes.into_iter().enumerate() {
        if number > 0 && number % YIELD_INTERVAL == 0 {
            future::yield_now().await;
        }
        match change {
            Change::Removed(name) => handler.remove(&name),
            Change::Set(object) => match object.decode() {
                Ok(object) => handler.upsert(&object),
                Err(error) => {
                    let name = &object.name;
                    log::warn!("event=object_malformed kind={kind} name={name} error=\"{error}\"");
                }
            },
        }
    }
}

/// Updates the replica that is served to downstream peers.
fn update_replica(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    change: impl FnOnce(&mut Replica),
) {
    if source == Source::Peers {
        change(gateway.replicas.borrow_mut().entry(kind).or_default());
        gateway.replica_changed.notify(usize::MAX);
    }
}

/// Why a list or a watch failed.
#[derive(Debug)]
enum SourceError {
    /// The store failed.
    Store(StoreError),
    /// None of the upstream peers sent an update that can be applied.
    NoUpdate,
    /// The upstream peers report that they cannot reach the store.
    Unavailable,
}

impl From<StoreError> for SourceError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

fn upstream(gateway: &Gateway, source: Source) -> Upstream {
    match source {
        Source::Store => Upstream::Store,
        Source::Peers => dissemination::select_upstream(gateway),
    }
}

/// Lists all objects of a kind, from an upstream peer or from the store.
async fn list(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
) -> Result<ObjectList, SourceError> {
    let upstream = upstream(gateway, source);
    dissemination::log_upstream_change(gateway, kind, &upstream);
    match upstream {
        Upstream::Store => Ok(list_encoded(gateway, kind).await?),
        Upstream::Peers(peers) => list_from_peers(gateway, kind, &peers).await,
        Upstream::Unavailable => Err(SourceError::Unavailable),
    }
}

/// Lists all objects of a kind from an upstream peer. A daemon that has listed them before reads
/// them from the store once the peers are silent; the store could not bear the lists of all daemons
/// that start.
async fn list_from_peers(
    gateway: &Gateway,
    kind: &'static str,
    peers: &[NodeId],
) -> Result<ObjectList, SourceError> {
    let from_peers = async {
        match dissemination::fetch_snapshot(gateway, kind, peers).await {
            Some(list) => Ok(list),
            None => Err(SourceError::NoUpdate),
        }
    };
    if !gateway.replicas.borrow().contains_key(kind) {
        return from_peers.await;
    }
    let from_store = async {
        silence::wait_for(gateway, kind).await;
        let list = list_encoded(gateway, kind).await?;
        dissemination::record_read_from_store(gateway, kind);
        Ok(list)
    };
    from_peers.or(from_store).await
}

/// Waits for changes from the upstream peers, and from the store once they are silent. Fails once
/// neither can bring any, so that other peers are tried.
async fn watch_peers(
    gateway: &Gateway,
    kind: &'static str,
    at: Revision,
    peers: &[NodeId],
) -> Result<Changes, SourceError> {
    let is_store_silent = Cell::new(false);
    let from_peers = async {
        match dissemination::next_changes(gateway, kind, at, peers).await {
            Ok(changes) => return Ok(changes),
            Err(NoChanges::ListNeeded) => return Err(SourceError::NoUpdate),
            Err(NoChanges::NoUpdate) => {}
        }
        while !is_store_silent.get() && silence::may_call_store(gateway) {
            Timer::after(SILENT_CHECK_INTERVAL).await;
        }
        Err(SourceError::NoUpdate)
    };
    let from_store = async {
        silence::wait_for(gateway, kind).await;
        let watching = gateway.store.watch(kind, at, SILENT_WATCH_TIMEOUT);
        let timeout = async {
            Timer::after(SILENT_WATCH_TIMEOUT + SILENT_WATCH_MARGIN).await;
            is_store_silent.set(true);
            future::pending().await
        };
        let changes = watching.or(timeout).await?;
        dissemination::record_read_from_store(gateway, kind);
        Ok(changes)
    };
    from_peers.or(from_store).await
}

/// Waits for changes, from an upstream peer or from the store.
async fn watch(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    at: Revision,
) -> Result<Changes, SourceError> {
    let upstream = upstream(gateway, source);
    dissemination::log_upstream_change(gateway, kind, &upstream);
    match upstream {
        Upstream::Store => Ok(gateway.store.watch(kind, at, WATCH_TIMEOUT).await?),
        Upstream::Peers(peers) => watch_peers(gateway, kind, at, &peers).await,
        Upstream::Unavailable => Err(SourceError::Unavailable),
    }
}

/// Watches until a new list is needed: the history was compacted, the watch failed, or a restart of
/// all watches was requested.
///
/// A failed watch is not resumed from the same revision: the missed changes may be compacted while
/// the new watch is already waiting, and would then never be delivered.
async fn watch_from(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    mut at: Revision,
    batch_delay: Duration,
    handler: &impl ObjectHandler,
    failures: &mut u32,
) {
    loop {
        let restart_requested = gateway.restart_watches.listen();
        let watching = async { Some(watch(gateway, kind, source, at).await) };
        let interrupted = async {
            restart_requested.await;
            None
        };
        match watching.or(interrupted).await {
            Some(Ok(changes)) => {
                record_success(gateway, kind, failures);
                at = changes.at.max(at);
                update_replica(gateway, kind, source, |replica| {
                    replica.apply(&changes.changes, at)
                });
                if changes.changes.is_empty() {
                    continue;
                }
                handle_changes(kind, changes.changes, handler).await;
                handler.on_batch();
                let delay = batching_delay(gateway, source, batch_delay);
                let is_urgent = handler.needs_changes_soon();
                Timer::after(if is_urgent { delay.min(MIN_BATCHING) } else { delay }).await;
            }
            Some(Err(SourceError::Store(StoreError::HistoryGone))) => {
                log::info!("event=history_gone kind={kind} at={at}");
                return;
            }
            Some(Err(error)) => {
                record_failure(gateway, kind, &error, failures).await;
                return;
            }
            None => {
                log::info!("event=watch_doubted kind={kind} at={at}");
                return;
            }
        }
    }
}

/// Delay after a batch of changes, so that further changes arrive with the next call. Shorter for a
/// daemon that follows peers, which batch the changes already.
fn batching_delay(gateway: &Gateway, source: Source, batch_delay: Duration) -> Duration {
    match upstream(gateway, source) {
        Upstream::Store => batch_delay,
        Upstream::Peers(_) | Upstream::Unavailable => batch_delay.min(MAX_PEER_BATCHING),
    }
}

/// Probes the store whenever it has not responded for [`PROBE_AFTER`], and restarts all watches
/// once it responds again.
///
/// A watch that was started during an outage may never be answered, and one whose connection was
/// lost receives nothing; both would go unnoticed until their timeout.
pub async fn probe_store(gateway: Rc<Gateway>) {
    let mut failures = 0;
    loop {
        let delay = match failures {
            0 => PROBE_CHECK_INTERVAL,
            _ if dissemination::is_tree_root(&gateway) => PROBE_RETRY,
            _ => FOLLOWER_PROBE_RETRY,
        };
        Timer::after(delay).await;
        let since_last_response = gateway.store.since_last_response();
        let is_following_peers =
            matches!(dissemination::select_upstream(&gateway), Upstream::Peers(_));
        if failures == 0 && (since_last_response < PROBE_AFTER || is_following_peers) {
            continue;
        }
        match gateway.store.probe().await {
            Ok(()) => {
                if failures > 0 {
                    log::info!("event=store_answers_again probes_failed={failures}");
                    gateway.store_reachable_since.set(gateway.now());
                    gateway.restart_watches.notify(usize::MAX);
                }
                failures = 0;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!(
                        "event=store_silent silent_ms={} error=\"{error}\"",
                        since_last_response.as_millis()
                    );
                }
            }
        }
    }
}

/// Lists all objects of a kind; returns them with the revision to watch from.
pub async fn list_all(
    gateway: &Gateway,
    kind: &str,
) -> Result<(Vec<Object>, Revision), StoreError> {
    let mut objects = Vec::new();
    let collect = |page| {
        objects.extend(page);
        Ok(())
    };
    let end = list_pages::read(&gateway.store, kind, None, collect).await?;
    Ok((objects, end.at))
}

/// Like [`list_all`], but encodes each page on arrival to bound memory use. Objects that an
/// incomplete list lacks are kept as they are known.
async fn list_encoded(gateway: &Gateway, kind: &str) -> Result<ObjectList, StoreError> {
    let mut objects = Vec::new();
    let encode = |page: Vec<Object>| {
        objects.extend(page.iter().map(|object| Rc::new(EncodedObject::from(object))));
        Ok(())
    };
    let end = list_pages::read(&gateway.store, kind, None, encode).await?;
    if !end.is_complete {
        objects.extend(known_besides(gateway, kind, &objects));
    }
    Ok((objects, end.at))
}

/// Objects in the replica of a kind that are not among those listed.
fn known_besides(
    gateway: &Gateway,
    kind: &str,
    listed: &[Rc<EncodedObject>],
) -> Vec<Rc<EncodedObject>> {
    let names: BTreeSet<&str> = listed.iter().map(|object| object.name.as_str()).collect();
    let replicas = gateway.replicas.borrow();
    let known = replicas.get(kind).into_iter().flat_map(Replica::objects);
    known.filter(|object| !names.contains(object.name.as_str())).cloned().collect()
}

fn record_success(gateway: &Gateway, kind: &str, failures: &mut u32) {
    if *failures > 0 {
        gateway.store_reachable_since.set(gateway.now());
    }
    if *failures >= FAILURES_BEFORE_WATCH_RESTART {
        // Watches that were started during the outage may never be answered.
        gateway.restart_watches.notify(usize::MAX);
    }
    if *failures >= FAILURES_BEFORE_LOG {
        log::info!("event=store_regained kind={kind} failures={failures}");
    }
    *failures = 0;
}

/// Counts a failure and waits before the next attempt. Repeated failures wait for [`probe_store`],
/// which probes on behalf of all kinds.
async fn record_failure(gateway: &Gateway, kind: &str, error: &SourceError, failures: &mut u32) {
    let error = match error {
        SourceError::Store(error) => error,
        SourceError::NoUpdate => {
            Timer::after(backoff(1)).await;
            return;
        }
        SourceError::Unavailable => {
            Timer::after(UNAVAILABLE_RETRY).await;
            return;
        }
    };
    *failures += 1;
    if *failures == FAILURES_BEFORE_LOG {
        log::warn!("event=store_lost kind={kind} error=\"{error}\"");
    }
    if *failures == 1 {
        Timer::after(backoff(*failures)).await;
    } else {
        wait_for_store(gateway, *failures).await;
    }
}

/// Waits until a probe of the store succeeds, for at most [`MAX_PROBE_WAIT`], plus jitter.
///
/// If the store responds already, sleeps for the backoff of `failures` consecutive failures
/// instead.
pub async fn wait_for_store(gateway: &Gateway, failures: u32) {
    if gateway.store.is_reachable() && gateway.store.since_last_response() < PROBE_AFTER {
        Timer::after(backoff(failures)).await;
        return;
    }
    let store_answers = gateway.restart_watches.listen();
    wait::at_most(MAX_PROBE_WAIT, store_answers).await;
    Timer::after(backoff(1)).await;
}

/// Returns a capped exponential backoff with jitter after `failures` consecutive failures (at least
/// 1).
pub fn backoff(failures: u32) -> Duration {
    let doubled = BACKOFF_BASE * 2_u32.pow(failures.saturating_sub(1).min(8));
    doubled.min(BACKOFF_CAP).mul_f64(0.5 + rand::rng().random::<f64>() / 2.0)
}
