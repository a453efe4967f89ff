//! Distributes the contents of the store to all daemons through a tree of peers.
//!
//! Watching the store from every daemon would cost one call per daemon and change. Instead, the
//! roots of each zone's tree (see [`heronbend::overlay`]) watch the store, and the other daemons
//! follow their parents by long polls, which double as heartbeats. A daemon watches the store
//! itself if it is a root or none of its upstream peers answers; in a small zone, every daemon is a
//! root. A daemon that cannot reach the store follows roots, of other zones as well. While the
//! roots report that they cannot reach the store, the other daemons wait instead of calling it.
//!
//! Every reply carries the age of the data at its source, which accumulates over the hops. A daemon
//! whose data is too old sends no updates, which bounds how long two daemons with differing views
//! of the tree can follow each other.
//!
//! Revisions only move forward: an update is applied only if its revision is newer than the known
//! one.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::identity::NodeId;
use heronbend::overlay::Tree;
use heronbend::Moment;
use rapidhash::v3::rapidhash_v3;

use crate::compressed_update;
use crate::compressed_update::CacheKey;
use crate::encoded_object::EncodedObject;
use crate::gateway::Gateway;
use crate::peers::client;
use crate::peers::messages::CompressedSnapshot;
use crate::peers::messages::KindSnapshot;
use crate::peers::PeerReply;
use crate::peers::PeerRequest;
use crate::peers::UpstreamFailure;
use crate::ports::Changes;
use crate::ports::Revision;
use crate::replica::Replica;
use crate::replica::Update;
use crate::replica::Verification;
use crate::upstream::Upstream;
use crate::wait;

/// Maximum number of peers that a daemon follows.
const MAX_UPSTREAM_PEERS: usize = 3;
/// Longest time for which a long poll is held without an update.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call for a snapshot. Some thirty daemons that start together share the link of
/// their sender, 60 Mbit/s at the least, and the snapshot of ten thousand servers is about half a
/// megabyte.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Backoff before a peer that did not respond is followed again.
const NO_RESPONSE_BACKOFF: Duration = Duration::from_millis(1500);
/// Maximum age of data that a root sends: after this time without a response from the store, it may
/// have missed changes.
const MAX_AGE: Duration = Duration::from_millis(1800);
/// Added to [`MAX_AGE`] for each hop: the poll timeout and the network latency.
const MAX_AGE_PER_HOP: Duration = Duration::from_millis(600);
/// Time that a snapshot takes for one hop of the tree, including its processing.
const SNAPSHOT_HOP_TIME: Duration = Duration::from_millis(600);
/// Backoff before a peer that had only stale data is followed again.
const STALE_BACKOFF: Duration = Duration::from_millis(400);
/// Time per hop that the roots are given to recover after the store has become reachable again.
const ROOT_RECOVERY_TIME: Duration = Duration::from_millis(400);

/// A pending request for an update.
type PendingUpdate<'a> = Pin<Box<dyn Future<Output = Option<Update>> + 'a>>;

/// Age of the last update of a kind at its source, and when it was received.
#[derive(Debug, Clone, Copy)]
pub struct UpdateAge {
    at: Moment,
    age: Duration,
    /// When a peer last answered.
    pub answered_at: Moment,
}

/// Why upstream peers brought no changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoChanges {
    /// None of them sent an update.
    NoUpdate,
    /// The objects have to be listed.
    ListNeeded,
}

/// Selects where this daemon receives the contents of the store from now.
///
/// Prefers its parents in the tree of its zone, then the roots of that tree, then those of other
/// zones. Falls back to the store if all of them failed recently.
pub fn select_upstream(gateway: &Gateway) -> Upstream {
    let this_node = &gateway.identity;
    let tree = gateway.tree();
    let is_store_reachable = gateway.store.is_reachable();
    if is_store_reachable && tree.is_root(&this_node.node) {
        return Upstream::Store;
    }
    let now = gateway.now();
    let is_usable =
        |node: &NodeId| *node != this_node.node && !gateway.members.is_upstream_failed(now, node);
    let usable = |nodes: &[NodeId]| -> Vec<NodeId> {
        nodes.iter().filter(|node| is_usable(node)).cloned().collect()
    };
    let mut candidates = usable(tree.parents(&this_node.node));
    if candidates.is_empty() {
        candidates = usable(tree.roots());
    }
    if candidates.is_empty() || !is_store_reachable {
        let zones = gateway.members.zones().into_iter().filter(|zone| *zone != this_node.zone);
        let first = |zone: String| gateway.tree_of(&zone).roots().first().cloned();
        candidates.extend(zones.filter_map(first).filter(is_usable));
    }
    candidates.truncate(MAX_UPSTREAM_PEERS);
    if !candidates.is_empty() {
        return Upstream::Peers(candidates);
    }
    if gateway.members.is_outage_reported(now) && !has_store_recovered(gateway) {
        return Upstream::Unavailable;
    }
    if now < gateway.last_update_at.get() + initial_wait(&tree, &this_node.node) {
        return Upstream::Unavailable;
    }
    Upstream::Store
}

/// How long a daemon without a usable upstream waits for an update, which may take several hops,
/// before it calls the store. Zero if the roots serve all other daemons directly.
fn initial_wait(tree: &Tree, node: &NodeId) -> Duration {
    if tree.height() < 2 {
        return Duration::ZERO;
    }
    SNAPSHOT_HOP_TIME * (tree.depth(node) + 1)
}

/// Whether the store has responded to this daemon for long enough that the roots should have
/// recovered as well, unless the store rejects only them.
fn has_store_recovered(gateway: &Gateway) -> bool {
    let is_responding = gateway.store.since_last_response() < MAX_AGE;
    let hops = gateway.tree().depth(&gateway.identity.node).max(1);
    is_responding
        && gateway.now() >= gateway.store_reachable_since.get() + ROOT_RECOVERY_TIME * hops
}

/// Whether this daemon is a root of its zone's tree, and so watches the store.
pub fn is_tree_root(gateway: &Gateway) -> bool {
    gateway.tree().is_root(&gateway.identity.node)
}

/// The kinds of which this daemon has data that is fresh enough to be sent to peers.
pub fn servable_kinds(gateway: &Gateway) -> Vec<&'static str> {
    let kinds: Vec<&'static str> = gateway.replicas.borrow().keys().copied().collect();
    kinds.into_iter().filter(|kind| servable_age(gateway, kind).is_some()).collect()
}

/// Total size of all objects of some kinds in bytes, before compression.
pub fn uncompressed_bytes(gateway: &Gateway, kinds: &[&'static str]) -> usize {
    let replicas = gateway.replicas.borrow();
    kinds.iter().filter_map(|kind| replicas.get(kind)).map(Replica::bytes).sum()
}

/// Returns compressed snapshots of some kinds, for a daemon that starts.
pub fn compressed_snapshots(gateway: &Gateway, kinds: &[&'static str]) -> Vec<CompressedSnapshot> {
    let packed =
        kinds.iter().filter_map(|kind| match update_for(gateway, kind, 0, Verification::Digest) {
            Available::Update(packed) => {
                Some(CompressedSnapshot { kind: (*kind).to_owned(), packed: packed.to_vec() })
            }
            Available::UpToDate | Available::UnknownKind => None,
        });
    packed.collect()
}

/// Returns uncompressed snapshots of all kinds, for a starting daemon of an earlier build. Empty
/// unless this daemon watches the store and its data is fresh.
pub fn legacy_snapshots(gateway: &Gateway) -> Vec<KindSnapshot> {
    if select_upstream(gateway) != Upstream::Store || !is_store_current(gateway) {
        return Vec::new();
    }
    let replicas = gateway.replicas.borrow();
    let snapshot = |(kind, replica): (&&'static str, &Replica)| KindSnapshot {
        kind: (*kind).to_owned(),
        objects: replica.objects().map(|object| EncodedObject::clone(object)).collect(),
        at: replica.revision(),
    };
    replicas.iter().map(snapshot).collect()
}

/// Logs the upstream of a kind whenever it changes.
pub fn log_upstream_change(gateway: &Gateway, kind: &'static str, upstream: &Upstream) {
    let mut logged = gateway.upstreams.borrow_mut();
    if logged.get(kind).unwrap_or(&Upstream::Store) == upstream {
        return;
    }
    let source = match upstream {
        Upstream::Store => "store".to_owned(),
        Upstream::Unavailable => "nobody".to_owned(),
        Upstream::Peers(peers) => {
            let names: Vec<&str> = peers.iter().map(|node| node.name.0.as_str()).collect();
            names.join(",")
        }
    };
    log::info!(
        "event=news_source kind={kind} source={source} store_reached={} daemons={}",
        gateway.store.is_reachable(),
        gateway.members.alive_count() + 1
    );
    logged.insert(kind, upstream.clone());
}

/// Waits for changes of a kind from the upstream peers.
///
/// # Errors
///
/// Fails once all peers have failed, or if their update cannot be applied as changes.
pub async fn next_changes(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    peers: &[NodeId],
) -> Result<Changes, NoChanges> {
    let update = next_update(gateway, kind, since, peers).await.ok_or(NoChanges::NoUpdate)?;
    if update.is_snapshot {
        return Err(NoChanges::ListNeeded);
    }
    let accepts = gateway.replicas.borrow().get(kind).is_some_and(|known| known.accepts(&update));
    if !accepts {
        log::warn!("event=news_incomplete kind={kind} since={since} at={}", update.at);
        return Err(NoChanges::ListNeeded);
    }
    Ok(update.into_changes())
}

/// Fetches all objects of a kind from the upstream peers; `None` if all failed, or the snapshot is
/// older than this daemon's own data.
pub async fn fetch_snapshot(
    gateway: &Gateway,
    kind: &'static str,
    peers: &[NodeId],
) -> Option<(Vec<Rc<EncodedObject>>, Revision)> {
    let update = next_update(gateway, kind, 0, peers).await?;
    let known = gateway.replicas.borrow().get(kind).map_or(0, Replica::revision);
    (update.at >= known).then_some((update.objects, update.at))
}

/// Waits for the next update of a kind; `None` once all peers have failed.
///
/// The configuration is small and urgent, so all peers are polled at once and the first update
/// wins. Other kinds can be large: one peer is polled at a time, and the next one only after it has
/// failed.
async fn next_update(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    peers: &[NodeId],
) -> Option<Update> {
    if kind == gateway.dialect.kinds().configuration {
        return first_update(gateway, kind, since, peers).await;
    }
    for peer in failover_order(&gateway.identity.node, peers) {
        match poll_peer(gateway, kind, since, &peer).await {
            Ok(update) => return Some(update),
            Err(failure) => mark_failed(gateway, &peer, failure),
        }
    }
    None
}

/// The order in which a follower polls its upstream peers. Balances the followers of the same peers
/// between the first two.
pub fn failover_order(follower: &NodeId, peers: &[NodeId]) -> Vec<NodeId> {
    let mut order = peers.to_vec();
    let is_odd = rapidhash_v3(follower.name.0.as_bytes()) & 1 == 1;
    if is_odd && order.len() > 1 {
        order.swap(0, 1);
    }
    order
}

/// Records that a peer failed to send an update, so that it is not polled for some time.
fn mark_failed(gateway: &Gateway, peer: &NodeId, failure: UpstreamFailure) {
    let backoff = match failure {
        UpstreamFailure::NoResponse => NO_RESPONSE_BACKOFF,
        UpstreamFailure::Stale => STALE_BACKOFF,
    };
    gateway.members.mark_upstream_failed(gateway.now(), backoff, peer, failure);
}

/// Polls all peers at once and returns the first update; `None` once all have failed.
async fn first_update(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    peers: &[NodeId],
) -> Option<Update> {
    if peers.is_empty() {
        return None;
    }
    let failed = Cell::new(0);
    let mut first: PendingUpdate = Box::pin(futures_lite::future::pending());
    for peer in peers {
        let failed = &failed;
        let attempt = async move {
            match poll_peer(gateway, kind, since, peer).await {
                Ok(update) => Some(update),
                Err(failure) => {
                    mark_failed(gateway, peer, failure);
                    failed.set(failed.get() + 1);
                    if failed.get() < peers.len() {
                        futures_lite::future::pending::<()>().await;
                    }
                    None
                }
            }
        };
        first = Box::pin(first.or(attempt));
    }
    first.await
}

/// Polls one peer until it has an update, or fails.
async fn poll_peer(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    peer: &NodeId,
) -> Result<Update, UpstreamFailure> {
    loop {
        let wait_millis = u64::try_from(POLL_TIMEOUT.as_millis()).unwrap_or(0);
        let request =
            PeerRequest::Follow { kind: kind.to_owned(), since, wait_millis, checks: true };
        let limit = if since == 0 { SNAPSHOT_TIMEOUT } else { POLL_TIMEOUT };
        let reply = client::call(gateway, peer, &request, limit).await;
        let (packed, age_millis) = match reply {
            Some(PeerReply::News { packed, age_millis }) => (packed, age_millis),
            Some(PeerReply::Current { age_millis }) => {
                record_age(gateway, kind, age_millis);
                continue;
            }
            Some(PeerReply::NoNews) => {
                record_age(gateway, kind, 0);
                continue;
            }
            Some(PeerReply::Uninformed) => return Err(UpstreamFailure::Stale),
            _ => return Err(UpstreamFailure::NoResponse),
        };
        let update = compressed_update::decode(&packed).map_err(|error| {
            log::warn!("event=news_malformed kind={kind} from={peer} error=\"{error}\"");
            UpstreamFailure::NoResponse
        })?;
        record_age(gateway, kind, age_millis);
        if update.at > since {
            return Ok(update);
        }
    }
}

/// Records the age of the data of a kind, as reported by an upstream peer.
fn record_age(gateway: &Gateway, kind: &'static str, age_millis: u64) {
    let (at, age) = (gateway.now(), Duration::from_millis(age_millis));
    gateway.update_ages.borrow_mut().insert(kind, UpdateAge { at, age, answered_at: at });
    gateway.last_update_at.set(at);
    if kind == gateway.dialect.kinds().configuration {
        gateway.configuration_confirmed_at.set(at.saturating_sub(age));
    }
}

/// Records that a kind was read from the store while the peers were silent.
pub fn record_read_from_store(gateway: &Gateway, kind: &'static str) {
    let at = gateway.now();
    let mut ages = gateway.update_ages.borrow_mut();
    let update = ages.entry(kind).or_insert(UpdateAge { at, age: Duration::ZERO, answered_at: at });
    (update.at, update.age) = (at, Duration::ZERO);
    drop(ages);
    if kind == gateway.dialect.kinds().configuration {
        gateway.configuration_confirmed_at.set(at);
    }
}

/// The age of this daemon's data of a kind; `None` if it is too old to be sent to peers.
fn servable_age(gateway: &Gateway, kind: &str) -> Option<Duration> {
    if select_upstream(gateway) == Upstream::Store {
        return is_store_current(gateway).then(|| gateway.store.since_last_response());
    }
    let hops = gateway.tree().depth(&gateway.identity.node);
    let UpdateAge { at, age, .. } = gateway.update_ages.borrow().get(kind).copied()?;
    let age = gateway.now().saturating_sub(at) + age;
    (age < MAX_AGE + MAX_AGE_PER_HOP * hops).then_some(age)
}

/// Handles a long poll of a follower. Any daemon is served, whatever this daemon's view of the
/// tree: the reply carries the age of the data.
pub async fn handle_follow(
    gateway: &Rc<Gateway>,
    kind: &str,
    since: Revision,
    limit: Duration,
    verification: Verification,
) -> PeerReply {
    let deadline = gateway.now() + limit.min(POLL_TIMEOUT);
    loop {
        let changed = gateway.replica_changed.listen();
        let Some(age) = servable_age(gateway, kind) else {
            return PeerReply::Uninformed;
        };
        let age_millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        match update_for(gateway, kind, since, verification) {
            Available::Update(packed) => {
                return PeerReply::News { packed: packed.to_vec(), age_millis };
            }
            Available::UnknownKind => return PeerReply::Uninformed,
            Available::UpToDate => {}
        }
        let remaining = deadline.saturating_sub(gateway.now());
        if remaining.is_zero() {
            return match verification {
                Verification::Digest => PeerReply::Current { age_millis },
                Verification::Unverified => PeerReply::NoNews,
            };
        }
        wait::at_most(remaining, changed).await;
    }
}

/// What can be sent to a follower.
enum Available {
    /// A compressed update.
    Update(Rc<[u8]>),
    /// The follower is up to date.
    UpToDate,
    /// There is no replica of the kind yet.
    UnknownKind,
}

/// Returns the update of a kind for a follower at revision `since`.
fn update_for(
    gateway: &Gateway,
    kind: &str,
    since: Revision,
    verification: Verification,
) -> Available {
    let replicas = gateway.replicas.borrow();
    let Some((kind, replica)) = replicas.get_key_value(kind) else {
        return Available::UnknownKind;
    };
    if since >= replica.revision() {
        return Available::UpToDate;
    }
    let encode = || match replica.update_since(since, verification) {
        Some(update) => compressed_update::encode(&update),
        None => Err(std::io::Error::other("there is no news")),
    };
    let key = CacheKey { since, at: replica.revision(), verification };
    match gateway.compressed_updates.get(kind, key, encode) {
        Ok(packed) => Available::Update(packed),
        Err(error) => {
            log::error!("event=news_not_packed kind={kind} error=\"{error}\"");
            Available::UnknownKind
        }
    }
}

/// Whether the store is reachable and has responded recently.
fn is_store_current(gateway: &Gateway) -> bool {
    gateway.store.is_reachable() && gateway.store.since_last_response() < MAX_AGE
}
