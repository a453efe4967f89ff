//! Keeps a copy of all objects of a kind, by a list and then watches.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use futures_lite::FutureExt;
use rand::Rng;
use smol::Timer;

use crate::dissemination;
use crate::encoded_object::EncodedObject;
use crate::gateway::Gateway;
use crate::ports::{Change, Changes, Object, ObjectStore, Revision, StoreError};
use crate::replica::Replica;
use crate::upstream::Way;
use crate::wait;

/// Longest wait of one watch. A dead path is noticed by probes on the connection and not by this.
const WATCH_WAIT: Duration = Duration::from_secs(29);
const BACKOFF_BASE: Duration = Duration::from_millis(80);
const BACKOFF_CAP: Duration = Duration::from_millis(640);
/// Longest time without an answer of the store after which it is probed.
const PROBE_PERIOD: Duration = Duration::from_millis(1000);
/// Time between two looks whether a probe is due.
const PROBE_LOOK: Duration = Duration::from_millis(500);
const PROBE_RETRY: Duration = Duration::from_millis(400);
/// The same at a daemon that follows others.
const FOLLOWER_PROBE_RETRY: Duration = Duration::from_millis(1200);
/// Rest of a daemon that follows others while these hear nothing from the store.
const OUTAGE_REST: Duration = Duration::from_millis(400);
/// Rest of a daemon that follows others after news.
const FOLLOWER_GATHERING: Duration = Duration::from_millis(60);
/// Longest wait for the probe before a call is tried all the same.
const OUTAGE_WAIT: Duration = Duration::from_secs(2);
/// Failures in a row after which the watches of other kinds are begun anew.
const FAILURES_TO_DOUBT: u32 = 2;
/// Failures in a row after which the loss of the store is logged.
const FAILURES_TO_LOG: u32 = 2;

/// Changes that are passed on before others get their turn.
const OBJECTS_A_TURN: usize = 200;

/// All objects of a kind, with the revision up to which they are known.
pub type KnownObjects = (Vec<Rc<EncodedObject>>, Revision);

/// Takes in what a reflector learns.
pub trait MirrorSink {
    /// All objects of the kind were listed, and those that are not named are gone. The others follow as
    /// changes.
    fn keep(&self, names: &BTreeSet<String>);
    /// An object was made or replaced.
    fn put(&self, object: &Object);
    /// The object of a name was removed.
    fn remove(&self, name: &str);
    /// Called once all objects of a list have followed.
    fn listed(&self) {}
    /// Called after each batch of changes.
    fn applied(&self) {}
}

/// Where a reflector hears of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store alone.
    Store,
    /// From the daemons that watch the store for others, where there are such.
    Watchers,
}

/// Follows a kind until the daemon ends. Changes that come within `gathering` of each other cost
/// one call together.
pub async fn follow(
    gateway: Rc<Gateway>,
    kind: &'static str,
    source: Source,
    gathering: Duration,
    sink: impl MirrorSink,
) {
    let mut failures = 0;
    let mut told = match source {
        Source::Store => None,
        Source::Watchers => gateway.members.introduction.take(kind).await,
    };
    loop {
        let listed = match told.take() {
            Some(told) => Ok(told),
            None => list(&gateway, kind, source).await,
        };
        match listed {
            Ok((objects, at)) => {
                if gateway.store.is_reached() {
                    note_success(&gateway, kind, &mut failures);
                }
                replicate(&gateway, kind, source, |replica| replica.reset(&objects, at));
                take_list(kind, objects, &sink).await;
                watch_from(&gateway, kind, source, at, gathering, &sink, &mut failures).await;
            }
            Err(error) => note_failure(&gateway, kind, &error, &mut failures).await,
        }
    }
}

/// Passes a list on.
async fn take_list(kind: &str, objects: Vec<Rc<EncodedObject>>, sink: &impl MirrorSink) {
    let names = objects.iter().map(|object| object.name.clone()).collect();
    sink.keep(&names);
    pass_on(kind, objects.into_iter().map(Change::Set), sink).await;
    // Other kinds that were told with this one, as evacuations, are taken in before it is used.
    future::yield_now().await;
    sink.listed();
    sink.applied();
}

/// Passes changes on, each of which is parsed when its turn comes: a parsed entry of a server takes ten
/// times as much memory as its text. After each few of them others get their turn: of ten thousand servers a
/// small daemon has some tenths of a second to do, and has to answer its peers meanwhile.
async fn pass_on(kind: &str, changes: impl IntoIterator<Item = Change>, sink: &impl MirrorSink) {
    for (number, change) in changes.into_iter().enumerate() {
        if number > 0 && number % OBJECTS_A_TURN == 0 {
            future::yield_now().await;
        }
        match change {
            Change::Removed(name) => sink.remove(&name),
            Change::Set(object) => match object.decode() {
                Ok(object) => sink.put(&object),
                Err(error) => {
                    let name = &object.name;
                    log::warn!("event=object_malformed kind={kind} name={name} error=\"{error}\"");
                }
            },
        }
    }
}

/// Keeps what peers may follow here.
fn replicate(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    change: impl FnOnce(&mut Replica),
) {
    if source == Source::Watchers {
        change(gateway.replicas.borrow_mut().entry(kind).or_default());
        gateway.replica_changed.notify(usize::MAX);
    }
}

/// Why there is no list, or no change.
#[derive(Debug)]
enum Unheard {
    /// The store failed.
    Store(StoreError),
    /// None of the daemons that this one follows told anything.
    Untold,
    /// Those that watch the store say that they hear nothing from it.
    Outage,
}

impl From<StoreError> for Unheard {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

fn way(gateway: &Gateway, source: Source) -> Way {
    match source {
        Source::Store => Way::Store,
        Source::Watchers => dissemination::way(gateway),
    }
}

/// All objects of a kind, from a watcher if this daemon follows some, else from the store.
async fn list(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
) -> Result<KnownObjects, Unheard> {
    let way = way(gateway, source);
    dissemination::note_way(gateway, kind, &way);
    match way {
        Way::Store => Ok(list_encoded(gateway, kind).await?),
        Way::Watchers(watchers) => {
            dissemination::whole(gateway, kind, &watchers).await.ok_or(Unheard::Untold)
        }
        Way::Outage => Err(Unheard::Outage),
    }
}

/// Waits for changes, by the same way.
async fn watch(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    at: Revision,
) -> Result<Changes, Unheard> {
    let way = way(gateway, source);
    dissemination::note_way(gateway, kind, &way);
    match way {
        Way::Store => Ok(gateway.store.watch(kind, at, WATCH_WAIT).await?),
        Way::Watchers(watchers) => {
            dissemination::changes(gateway, kind, at, &watchers).await.ok_or(Unheard::Untold)
        }
        Way::Outage => Err(Unheard::Outage),
    }
}

/// Watches until a list is needed: the history is gone, the watch was cut, or there is reason to
/// believe that it hears nothing.
///
/// A watch that was cut is not begun again from the same revision. What was missed may be dropped
/// from the history while the new watch already waits, and then nothing tells of it.
async fn watch_from(
    gateway: &Gateway,
    kind: &'static str,
    source: Source,
    mut at: Revision,
    gathering: Duration,
    sink: &impl MirrorSink,
    failures: &mut u32,
) {
    loop {
        let doubted = gateway.watches_doubted.listen();
        let watched = async { Some(watch(gateway, kind, source, at).await) };
        let interrupted = async {
            doubted.await;
            None
        };
        match watched.or(interrupted).await {
            Some(Ok(changes)) => {
                note_success(gateway, kind, failures);
                at = changes.at.max(at);
                replicate(gateway, kind, source, |replica| replica.apply(&changes.changes, at));
                if changes.changes.is_empty() {
                    continue;
                }
                pass_on(kind, changes.changes, sink).await;
                sink.applied();
                Timer::after(rest_after_news(gateway, source, gathering)).await;
            }
            Some(Err(Unheard::Store(StoreError::HistoryGone))) => {
                log::info!("event=history_gone kind={kind} at={at}");
                return;
            }
            Some(Err(error)) => {
                note_failure(gateway, kind, &error, failures).await;
                return;
            }
            None => {
                log::info!("event=watch_doubted kind={kind} at={at}");
                return;
            }
        }
    }
}

/// Rest after news, so that further changes come with the next. Only calls to the store have a price:
/// a daemon that follows others, which gather already, would merely learn later of servers that leave.
fn rest_after_news(gateway: &Gateway, source: Source, gathering: Duration) -> Duration {
    match way(gateway, source) {
        Way::Store => gathering,
        Way::Watchers(_) | Way::Outage => gathering.min(FOLLOWER_GATHERING),
    }
}

/// Looks whether the store answers, whenever nothing else has shown it for a while.
///
/// A watch that was begun while the store, or the way to it, was silent may never be answered, and
/// one on a way that has gone silent hears nothing. Neither shows by itself for a long time.
pub async fn probe_store(gateway: Rc<Gateway>) {
    let mut failures = 0;
    loop {
        let rest = match failures {
            0 => PROBE_LOOK,
            _ if dissemination::is_watcher(&gateway) => PROBE_RETRY,
            _ => FOLLOWER_PROBE_RETRY,
        };
        Timer::after(rest).await;
        let silent_for = gateway.store.silent_for();
        let is_told_by_others = matches!(dissemination::way(&gateway), Way::Watchers(_));
        if failures == 0 && (silent_for < PROBE_PERIOD || is_told_by_others) {
            continue;
        }
        match gateway.store.probe().await {
            Ok(()) => {
                if failures > 0 {
                    log::info!("event=store_answers_again probes_failed={failures}");
                    gateway.store_reached_since.set(gateway.now());
                    gateway.watches_doubted.notify(usize::MAX);
                }
                failures = 0;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!(
                        "event=store_silent silent_ms={} error=\"{error}\"",
                        silent_for.as_millis()
                    );
                }
            }
        }
    }
}

/// All objects of a kind, with the revision to watch from.
pub async fn list_all(
    gateway: &Gateway,
    kind: &str,
) -> Result<(Vec<Object>, Revision), StoreError> {
    let mut objects = Vec::new();
    let at = list_pages(gateway, kind, |page| objects.extend(page)).await?;
    Ok((objects, at))
}

/// The same, as texts: no more than a page is held in another form.
async fn list_encoded(gateway: &Gateway, kind: &str) -> Result<KnownObjects, StoreError> {
    let mut objects = Vec::new();
    let encode = |page: Vec<Object>| {
        objects.extend(page.iter().map(|object| Rc::new(EncodedObject::from(object))));
    };
    let at = list_pages(gateway, kind, encode).await?;
    Ok((objects, at))
}

/// Passes each page of a kind on; the revision to watch from.
async fn list_pages(
    gateway: &Gateway,
    kind: &str,
    mut take: impl FnMut(Vec<Object>),
) -> Result<Revision, StoreError> {
    let mut after: Option<String> = None;
    let mut at = None;
    loop {
        let page = gateway.store.list(kind, after.as_deref()).await?;
        after = page.objects.last().map(|object| object.name.clone());
        let more = page.more && after.is_some();
        take(page.objects);
        // Pages are read at different revisions: watching from the first one misses nothing.
        let at = *at.get_or_insert(page.at);
        if !more {
            return Ok(at);
        }
    }
}

fn note_success(gateway: &Gateway, kind: &str, failures: &mut u32) {
    if *failures > 0 {
        gateway.store_reached_since.set(gateway.now());
    }
    if *failures >= FAILURES_TO_DOUBT {
        // Watches that were begun while the store was out of reach may never be answered.
        gateway.watches_doubted.notify(usize::MAX);
    }
    if *failures >= FAILURES_TO_LOG {
        log::info!("event=store_regained kind={kind} failures={failures}");
    }
    *failures = 0;
}

/// Counts a failure, and waits until the store may answer again: the probe, which costs little, looks
/// for all kinds together.
async fn note_failure(gateway: &Gateway, kind: &str, why: &Unheard, failures: &mut u32) {
    let error = match why {
        Unheard::Store(error) => error,
        Unheard::Untold => {
            Timer::after(backoff(1)).await;
            return;
        }
        Unheard::Outage => {
            Timer::after(OUTAGE_REST).await;
            return;
        }
    };
    *failures += 1;
    if *failures == FAILURES_TO_LOG {
        log::warn!("event=store_lost kind={kind} error=\"{error}\"");
    }
    if *failures == 1 {
        Timer::after(backoff(*failures)).await;
    } else {
        wait_for_store(gateway, *failures).await;
    }
}

/// Waits until the probe finds that the store answers, or for a while; not all daemons at once.
///
/// Where it answers already, a call that was begun before has failed after it, and there is no
/// further news to wait for: `failures` in a row say how long to rest.
pub async fn wait_for_store(gateway: &Gateway, failures: u32) {
    if gateway.store.is_reached() && gateway.store.silent_for() < PROBE_PERIOD {
        Timer::after(backoff(failures)).await;
        return;
    }
    let answers = gateway.watches_doubted.listen();
    wait::at_most(OUTAGE_WAIT, answers).await;
    Timer::after(backoff(1)).await;
}

/// Capped exponential backoff with jitter, for failure number `failures`, counted from 1.
pub fn backoff(failures: u32) -> Duration {
    let doubled = BACKOFF_BASE * 2_u32.pow(failures.saturating_sub(1).min(8));
    doubled.min(BACKOFF_CAP).mul_f64(0.5 + rand::rng().random::<f64>() / 2.0)
}
