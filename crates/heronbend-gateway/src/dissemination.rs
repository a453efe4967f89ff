//! News of the store by way of peers.
//!
//! Each daemon has to know the servers and the configuration; a watch at each of them costs a call
//! for each daemon and change. So a few daemons of each zone watch the store, and the others follow
//! them, or others that follow them, by the tree of [`heronbend::overlay`]: calls that are held until
//! there is news, and whose regular ends are the heartbeat. A daemon that none of these answers watches
//! for itself. So does every daemon of a small zone. A daemon that the store refuses follows those that
//! watch, of other zones as well. Where these say that they hear nothing from the store, the others wait
//! instead of asking it as well.
//!
//! Every answer says how old the news is at its source, and each step adds the time since. A daemon whose
//! news has grown old tells nothing, so that two that follow each other in a moment of differing views
//! believe each other for no longer than that.
//!
//! What a follower knows never runs backward: each piece of news says up to which revision of the
//! store it goes, and is taken in only if that is later than what is known.

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
use crate::compressed_update::Span;
use crate::encoded_object::EncodedObject;
use crate::gateway::Gateway;
use crate::peers::client;
use crate::peers::messages::KindState;
use crate::peers::messages::PackedKind;
use crate::peers::PeerReply;
use crate::peers::PeerRequest;
use crate::peers::Untelling;
use crate::ports::Changes;
use crate::ports::Revision;
use crate::replica::Checking;
use crate::replica::News;
use crate::replica::Replica;
use crate::upstream::Way;
use crate::wait;

/// Daemons that a daemon follows at most.
const UPSTREAMS: usize = 3;
/// Longest time that a watcher holds a call without news.
const HOLD: Duration = Duration::from_millis(500);
/// Longest time for a whole state: some thirty that start together share the link of the one that tells
/// them, 60 Mbit/s at the least, and that of ten thousand servers is some half of a megabyte.
const WHOLE_LIMIT: Duration = Duration::from_millis(2500);
/// Time after which a watcher that failed is followed again.
const FAILED_REST: Duration = Duration::from_millis(1500);
/// A watcher that has not heard from the store for so long tells nothing: it may have missed news.
const FRESHNESS: Duration = Duration::from_millis(1800);
/// The same is longer by this for each daemon that the news passed: the time for which a call is held,
/// and a tenth of a second on the way.
const FRESHNESS_A_STEP: Duration = Duration::from_millis(600);
/// Time that a whole state takes from one daemon of the tree to the next one: to list or to receive it,
/// and to take it in. For thousands of servers that is some half of a second of an eighth of a core.
const STEP_TIME: Duration = Duration::from_millis(600);
/// Time after which a watcher that has not heard from the store is asked again.
const UNINFORMED_REST: Duration = Duration::from_millis(400);
/// Time that watchers are given to hear from a store that answers others again.
const WATCHERS_FIRST: Duration = Duration::from_millis(400);

/// A wait for news.
type Listening<'a> = Pin<Box<dyn Future<Output = Option<News>> + 'a>>;

/// How long ago the news of a kind that a daemon was told was at its source, and when it was told.
#[derive(Debug, Clone, Copy)]
pub struct Telling {
    at: Moment,
    age: Duration,
}

/// By which way this daemon hears of the store now.
///
/// Its parents in the tree of its zone come first, then the roots of that tree, then those of other
/// zones. A daemon that none of them tells anything goes by itself.
pub fn way(gateway: &Gateway) -> Way {
    let me = &gateway.identity;
    let tree = gateway.tree();
    let is_served = gateway.store.is_reached();
    if is_served && tree.is_root(&me.node) {
        return Way::Store;
    }
    let now = gateway.now();
    let is_usable =
        |node: &NodeId| *node != me.node && !gateway.members.has_failed_to_tell(now, node);
    let usable = |nodes: &[NodeId]| -> Vec<NodeId> {
        nodes.iter().filter(|node| is_usable(node)).cloned().collect()
    };
    let mut line = usable(tree.parents(&me.node));
    if line.is_empty() {
        line = usable(tree.roots());
    }
    if line.is_empty() || !is_served {
        let zones = gateway.members.zones().into_iter().filter(|zone| *zone != me.zone);
        let first = |zone: String| gateway.tree_of(&zone).roots().first().cloned();
        line.extend(zones.filter_map(first).filter(is_usable));
    }
    line.truncate(UPSTREAMS);
    if !line.is_empty() {
        return Way::Watchers(line);
    }
    if gateway.members.is_outage_told(now) && !hears_by_itself(gateway) {
        return Way::Outage;
    }
    if now < gateway.told_last.get() + patience(&tree, &me.node) {
        return Way::Outage;
    }
    Way::Store
}

/// How long a daemon that nobody tells anything waits before it asks the store: news that takes several
/// steps to a daemon is on its way meanwhile. Nobody waits where the roots tell all others.
fn patience(tree: &Tree, me: &NodeId) -> Duration {
    if tree.height() < 2 {
        return Duration::ZERO;
    }
    STEP_TIME * (tree.depth(me) + 1)
}

/// Whether the store has answered this daemon's own probes for a moment: those that watch it for
/// others hear of it again meanwhile, unless it refuses them alone.
fn hears_by_itself(gateway: &Gateway) -> bool {
    let is_heard = gateway.store.silent_for() < FRESHNESS;
    let steps = gateway.tree().depth(&gateway.identity.node).max(1);
    is_heard && gateway.now() >= gateway.store_reached_since.get() + WATCHERS_FIRST * steps
}

/// Whether this daemon is one of those that watch the store.
pub fn is_watcher(gateway: &Gateway) -> bool {
    gateway.tree().is_root(&gateway.identity.node)
}

/// The kinds of which this daemon may tell another one all that it knows.
pub fn known_kinds(gateway: &Gateway) -> Vec<&'static str> {
    let kinds: Vec<&'static str> = gateway.replicas.borrow().keys().copied().collect();
    kinds.into_iter().filter(|kind| fresh_age(gateway, kind).is_some()).collect()
}

/// Bytes of all objects of some kinds that are known here, before they are packed.
pub fn bytes(gateway: &Gateway, kinds: &[&'static str]) -> usize {
    let replicas = gateway.replicas.borrow();
    kinds.iter().filter_map(|kind| replicas.get(kind)).map(Replica::bytes).sum()
}

/// All objects of some kinds that are known here, packed, for a daemon that starts.
pub fn packed_states(gateway: &Gateway, kinds: &[&'static str]) -> Vec<PackedKind> {
    let packed =
        kinds.iter().filter_map(|kind| match known_since(gateway, kind, 0, Checking::ByDigest) {
            Known::Later(packed) => {
                Some(PackedKind { kind: (*kind).to_owned(), packed: packed.to_vec() })
            }
            Known::Nothing | Known::Unknown => None,
        });
    packed.collect()
}

/// All objects that are known here for certain, for a daemon of an earlier build that starts.
pub fn states(gateway: &Gateway) -> Vec<KindState> {
    if way(gateway) != Way::Store || !is_fresh(gateway) {
        return Vec::new();
    }
    let replicas = gateway.replicas.borrow();
    let state = |(kind, replica): (&&'static str, &Replica)| KindState {
        kind: (*kind).to_owned(),
        objects: replica.objects().map(|object| EncodedObject::clone(object)).collect(),
        at: replica.at(),
    };
    replicas.iter().map(state).collect()
}

/// Logs where news of a kind comes from, whenever that has changed.
pub fn note_way(gateway: &Gateway, kind: &'static str, way: &Way) {
    let mut ways = gateway.ways.borrow_mut();
    if ways.get(kind).unwrap_or(&Way::Store) == way {
        return;
    }
    let source = match way {
        Way::Store => "store".to_owned(),
        Way::Outage => "nobody".to_owned(),
        Way::Watchers(watchers) => {
            let names: Vec<&str> = watchers.iter().map(|node| node.name.0.as_str()).collect();
            names.join(",")
        }
    };
    log::info!(
        "event=news_source kind={kind} source={source} store_reached={} daemons={}",
        gateway.store.is_reached(),
        gateway.members.count_alive() + 1
    );
    ways.insert(kind, way.clone());
}

/// Waits for changes of a kind at the watchers that this daemon follows; nothing when none of them
/// tells any.
pub async fn changes(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    upstreams: &[NodeId],
) -> Option<Changes> {
    let news = next_news(gateway, kind, since, upstreams).await?;
    if news.is_whole {
        // A whole state can't be told as changes: the caller lists.
        return None;
    }
    let accepts = gateway.replicas.borrow().get(kind).is_some_and(|known| known.accepts(&news));
    if !accepts {
        log::warn!("event=news_incomplete kind={kind} since={since} at={}", news.at);
        return None;
    }
    Some(news.into_changes())
}

/// All objects of a kind, from a watcher that this daemon follows; nothing from one that knows less
/// than this daemon does.
pub async fn whole(
    gateway: &Gateway,
    kind: &'static str,
    upstreams: &[NodeId],
) -> Option<(Vec<Rc<EncodedObject>>, Revision)> {
    let news = next_news(gateway, kind, 0, upstreams).await?;
    let known = gateway.replicas.borrow().get(kind).map_or(0, Replica::at);
    (news.at >= known).then_some((news.objects, news.at))
}

/// The next news of a kind; nothing once all watchers have failed.
///
/// The configuration is small and has to be in force soon: whichever watcher tells it first is
/// heard. Entries of servers are many: one watcher tells them, and another one is asked once that
/// one has failed, which shows within the time that a call is held. So they travel once to each
/// follower, and no connection is given up because the other watcher was faster.
async fn next_news(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    upstreams: &[NodeId],
) -> Option<News> {
    if kind == gateway.dialect.kinds().configuration {
        return first_news(gateway, kind, since, upstreams).await;
    }
    for upstream in own_order(&gateway.identity.node, upstreams) {
        match listen(gateway, kind, since, &upstream).await {
            Ok(news) => return Some(news),
            Err(why) => note_untold(gateway, &upstream, why),
        }
    }
    None
}

/// Daemons in the order in which a follower asks them. Followers of the same ones are shared out among
/// the first two.
pub fn own_order(follower: &NodeId, upstreams: &[NodeId]) -> Vec<NodeId> {
    let mut order = upstreams.to_vec();
    let is_odd = rapidhash_v3(follower.name.0.as_bytes()) & 1 == 1;
    if is_odd && order.len() > 1 {
        order.swap(0, 1);
    }
    order
}

/// Notes that a watcher failed to tell news: it is not asked for a time.
fn note_untold(gateway: &Gateway, upstream: &NodeId, why: Untelling) {
    let rest = match why {
        Untelling::Silent => FAILED_REST,
        Untelling::Uninformed => UNINFORMED_REST,
    };
    gateway.members.note_untold(gateway.now(), rest, upstream, why);
}

/// The news of whichever watcher has some first; nothing once all have failed.
async fn first_news(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    upstreams: &[NodeId],
) -> Option<News> {
    if upstreams.is_empty() {
        return None;
    }
    let failed = Cell::new(0);
    let mut first: Listening = Box::pin(futures_lite::future::pending());
    for upstream in upstreams {
        let failed = &failed;
        let one = async move {
            match listen(gateway, kind, since, upstream).await {
                Ok(news) => Some(news),
                Err(why) => {
                    note_untold(gateway, upstream, why);
                    failed.set(failed.get() + 1);
                    if failed.get() < upstreams.len() {
                        futures_lite::future::pending::<()>().await;
                    }
                    None
                }
            }
        };
        first = Box::pin(first.or(one));
    }
    first.await
}

/// Asks one watcher until it has news, or fails.
async fn listen(
    gateway: &Gateway,
    kind: &'static str,
    since: Revision,
    upstream: &NodeId,
) -> Result<News, Untelling> {
    loop {
        let wait_millis = u64::try_from(HOLD.as_millis()).unwrap_or(0);
        let request =
            PeerRequest::Follow { kind: kind.to_owned(), since, wait_millis, checks: true };
        let limit = if since == 0 { WHOLE_LIMIT } else { HOLD };
        let reply = client::call(gateway, upstream, &request, limit).await;
        let (packed, age_millis) = match reply {
            Some(PeerReply::News { packed, age_millis }) => (packed, age_millis),
            Some(PeerReply::Current { age_millis }) => {
                note_told(gateway, kind, age_millis);
                continue;
            }
            Some(PeerReply::NoNews) => {
                note_told(gateway, kind, 0);
                continue;
            }
            Some(PeerReply::Uninformed) => return Err(Untelling::Uninformed),
            _ => return Err(Untelling::Silent),
        };
        let news = compressed_update::unpack(&packed).map_err(|error| {
            log::warn!("event=news_malformed kind={kind} from={upstream} error=\"{error}\"");
            Untelling::Silent
        })?;
        note_told(gateway, kind, age_millis);
        if news.at > since {
            return Ok(news);
        }
    }
}

/// Notes that a daemon was told of a kind what was so old at its source.
fn note_told(gateway: &Gateway, kind: &'static str, age_millis: u64) {
    let (at, age) = (gateway.now(), Duration::from_millis(age_millis));
    gateway.told.borrow_mut().insert(kind, Telling { at, age });
    gateway.told_last.set(at);
    if kind == gateway.dialect.kinds().configuration {
        gateway.configuration_told.set(at.saturating_sub(age));
    }
}

/// How long ago what is known of a kind here was all that the store held; nothing where that is too long
/// for others to be told of it.
fn fresh_age(gateway: &Gateway, kind: &str) -> Option<Duration> {
    if way(gateway) == Way::Store {
        return is_fresh(gateway).then(|| gateway.store.silent_for());
    }
    let steps = gateway.tree().depth(&gateway.identity.node);
    let Telling { at, age } = gateway.told.borrow().get(kind).copied()?;
    let age = gateway.now().saturating_sub(at) + age;
    (age < FRESHNESS + FRESHNESS_A_STEP * steps).then_some(age)
}

/// Answers a daemon that follows this one. Whoever asks is told, whatever the own view of the tree: the
/// age of the news says what it is worth.
pub async fn answer(
    gateway: &Rc<Gateway>,
    kind: &str,
    since: Revision,
    limit: Duration,
    checking: Checking,
) -> PeerReply {
    let until = gateway.now() + limit.min(HOLD);
    loop {
        let changed = gateway.replica_changed.listen();
        let Some(age) = fresh_age(gateway, kind) else {
            return PeerReply::Uninformed;
        };
        let age_millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        match known_since(gateway, kind, since, checking) {
            Known::Later(packed) => {
                return PeerReply::News { packed: packed.to_vec(), age_millis };
            }
            Known::Unknown => return PeerReply::Uninformed,
            Known::Nothing => {}
        }
        let left = until.saturating_sub(gateway.now());
        if left.is_zero() {
            return match checking {
                Checking::ByDigest => PeerReply::Current { age_millis },
                Checking::Unchecked => PeerReply::NoNews,
            };
        }
        wait::at_most(left, changed).await;
    }
}

/// What is known of a kind beyond what a follower knows.
enum Known {
    /// What has changed.
    Later(Rc<[u8]>),
    /// Nothing.
    Nothing,
    /// The kind is not known here.
    Unknown,
}

/// What is known of a kind beyond `since`.
fn known_since(gateway: &Gateway, kind: &str, since: Revision, checking: Checking) -> Known {
    let replicas = gateway.replicas.borrow();
    let Some((kind, replica)) = replicas.get_key_value(kind) else {
        return Known::Unknown;
    };
    if since >= replica.at() {
        return Known::Nothing;
    }
    let pack = || match replica.since(since, checking) {
        Some(news) => compressed_update::pack(&news),
        None => Err(std::io::Error::other("there is no news")),
    };
    let span = Span { since, at: replica.at(), checking };
    match gateway.news_texts.get(kind, span, pack) {
        Ok(packed) => Known::Later(packed),
        Err(error) => {
            log::error!("event=news_not_packed kind={kind} error=\"{error}\"");
            Known::Unknown
        }
    }
}

/// Whether this daemon has heard from the store lately.
fn is_fresh(gateway: &Gateway) -> bool {
    gateway.store.is_reached() && gateway.store.silent_for() < FRESHNESS
}
