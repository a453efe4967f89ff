//! News of the store by way of peers.
//!
//! Each daemon has to know the servers and the configuration; a watch at each of them costs a call
//! for each daemon and change. So a few daemons of each zone watch the store, and the others follow
//! two of them: calls that are held until there is news, and whose regular ends are the heartbeat.
//! A daemon that no watcher answers watches for itself. So does every daemon of a small zone. A
//! daemon that the store refuses follows the watchers, of other zones as well. Where watchers say
//! that they hear nothing from the store, the others wait instead of asking it as well.
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
use rapidhash::v3::rapidhash_v3;

use crate::gateway::Gateway;
use crate::news_way::Way;
use crate::packed_news;
use crate::peers::client;
use crate::peers::messages::KindState;
use crate::peers::PeerReply;
use crate::peers::PeerRequest;
use crate::peers::Untelling;
use crate::ports::Changes;
use crate::ports::Object;
use crate::ports::Revision;
use crate::replica::News;
use crate::replica::Replica;
use crate::wait;

/// Watchers of a zone.
const WATCHERS: usize = 2;
/// Daemons of a zone that all watch for themselves: to follow would save little.
const SMALL_ZONE: usize = 3;
/// Watchers that a daemon follows at most.
const UPSTREAMS: usize = 3;
/// Longest time that a watcher holds a call without news.
const HOLD: Duration = Duration::from_millis(500);
/// Time after which a watcher that failed is followed again.
const FAILED_REST: Duration = Duration::from_millis(1500);
/// A watcher that has not heard from the store for so long tells nothing: it may have missed news.
const FRESHNESS: Duration = Duration::from_millis(1800);
/// Time after which a watcher that has not heard from the store is asked again.
const UNINFORMED_REST: Duration = Duration::from_millis(400);
/// Time that watchers are given to hear from a store that answers others again.
const WATCHERS_FIRST: Duration = Duration::from_millis(400);

/// A wait for news.
type Listening<'a> = Pin<Box<dyn Future<Output = Option<News>> + 'a>>;

/// Those of a zone's daemons that watch the store for the others, first choice first.
pub fn watchers(mut zone: Vec<NodeId>) -> Vec<NodeId> {
    let count = if zone.len() > SMALL_ZONE { WATCHERS } else { zone.len() };
    zone.sort_by_key(|node| rapidhash_v3(node.name.0.as_bytes()));
    zone.truncate(count);
    zone
}

/// By which way this daemon hears of the store now.
///
/// The watchers of its zone come first, then those of others. A daemon that none of them tells
/// anything goes by itself.
pub fn way(gateway: &Gateway) -> Way {
    let me = &gateway.identity;
    let line = zone_watchers(gateway);
    let is_served = gateway.store.is_reached();
    if is_served && line.contains(&me.node) {
        return Way::Store;
    }
    let now = gateway.now();
    let is_usable =
        |node: &NodeId| *node != me.node && !gateway.members.has_failed_to_tell(now, node);
    let mut line: Vec<NodeId> = line.into_iter().filter(is_usable).collect();
    if line.is_empty() || !is_served {
        let zones = gateway.members.zones().into_iter().filter(|zone| *zone != me.zone);
        let first = |zone: String| watchers(gateway.members.alive_in(&zone)).into_iter().next();
        line.extend(zones.filter_map(first).filter(is_usable));
    }
    line.truncate(UPSTREAMS);
    if !line.is_empty() {
        return Way::Watchers(line);
    }
    if gateway.members.is_outage_told(now) && !hears_by_itself(gateway) {
        return Way::Outage;
    }
    Way::Store
}

/// Whether the store has answered this daemon's own probes for a moment: those that watch it for
/// others hear of it again meanwhile, unless it refuses them alone.
fn hears_by_itself(gateway: &Gateway) -> bool {
    let is_heard = gateway.store.silent_for() < FRESHNESS;
    is_heard && gateway.now() >= gateway.store_reached_since.get() + WATCHERS_FIRST
}

/// Those of this daemon's zone that watch the store.
fn zone_watchers(gateway: &Gateway) -> Vec<NodeId> {
    let me = &gateway.identity;
    let mut zone = gateway.members.alive_in(&me.zone);
    zone.push(me.node.clone());
    watchers(zone)
}

/// Whether this daemon is one of those that watch the store.
pub fn is_watcher(gateway: &Gateway) -> bool {
    zone_watchers(gateway).contains(&gateway.identity.node)
}

/// All objects that are known here for certain, for a daemon that starts.
pub fn states(gateway: &Gateway) -> Vec<KindState> {
    if !is_fresh(gateway) || way(gateway) != Way::Store {
        return Vec::new();
    }
    let replicas = gateway.replicas.borrow();
    let state = |(kind, replica): (&&'static str, &Replica)| KindState {
        kind: (*kind).to_owned(),
        objects: replica.objects().map(Into::into).collect(),
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
    // A whole state can't be told as changes: the caller lists.
    let news = next_news(gateway, kind, since, upstreams).await?;
    (!news.is_whole).then(|| news.into_changes())
}

/// All objects of a kind, from a watcher that this daemon follows; nothing from one that knows less
/// than this daemon does.
pub async fn whole(
    gateway: &Gateway,
    kind: &'static str,
    upstreams: &[NodeId],
) -> Option<(Vec<Object>, Revision)> {
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

/// Watchers in the order in which a follower asks them. Followers of the same watchers are shared out
/// among the first two.
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
        let request = PeerRequest::Follow { kind: kind.to_owned(), since, wait_millis };
        let reply = client::call(gateway, upstream, &request, HOLD).await;
        let packed = match reply {
            Some(PeerReply::News { packed }) => packed,
            Some(PeerReply::NoNews) => continue,
            Some(PeerReply::Uninformed) => return Err(Untelling::Uninformed),
            _ => return Err(Untelling::Silent),
        };
        let news = packed_news::unpack(&packed).map_err(|error| {
            log::warn!("event=news_malformed kind={kind} from={upstream} error=\"{error}\"");
            Untelling::Silent
        })?;
        if news.at > since {
            return Ok(news);
        }
    }
}

/// Answers a daemon that follows this one.
pub async fn answer(
    gateway: &Rc<Gateway>,
    kind: &str,
    since: Revision,
    limit: Duration,
) -> PeerReply {
    let until = gateway.now() + limit.min(HOLD);
    loop {
        let changed = gateway.replica_changed.listen();
        if !is_watcher(gateway) {
            return PeerReply::NotOwner;
        }
        // A watcher that the store reaches goes by no other way.
        if !is_fresh(gateway) {
            return PeerReply::Uninformed;
        }
        match told(gateway, kind, since) {
            Telling::News(packed) => return PeerReply::News { packed: packed.to_vec() },
            Telling::Unknown => return PeerReply::Uninformed,
            Telling::Nothing => {}
        }
        let left = until.saturating_sub(gateway.now());
        if left.is_zero() {
            return PeerReply::NoNews;
        }
        wait::at_most(left, changed).await;
    }
}

/// What a follower can be told of a kind.
enum Telling {
    /// What has changed.
    News(Rc<[u8]>),
    /// That nothing has.
    Nothing,
    /// Nothing: the kind is not known here.
    Unknown,
}

/// What a follower that knows a kind up to `since` can be told.
fn told(gateway: &Gateway, kind: &str, since: Revision) -> Telling {
    let replicas = gateway.replicas.borrow();
    let Some((kind, replica)) = replicas.get_key_value(kind) else {
        return Telling::Unknown;
    };
    if since >= replica.at() {
        return Telling::Nothing;
    }
    let pack = || match replica.since(since) {
        Some(news) => packed_news::pack(&news),
        None => Err(std::io::Error::other("there is no news")),
    };
    match gateway.news_texts.get(kind, (since, replica.at()), pack) {
        Ok(packed) => Telling::News(packed),
        Err(error) => {
            log::error!("event=news_not_packed kind={kind} error=\"{error}\"");
            Telling::Unknown
        }
    }
}

/// Whether this daemon has heard from the store lately.
fn is_fresh(gateway: &Gateway) -> bool {
    gateway.store.is_reached() && gateway.store.silent_for() < FRESHNESS
}
