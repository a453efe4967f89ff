//! What the store holds of quarantined requests: one object each, named by the fingerprint.
//!
//! The record keeps count of the probes of all daemons together. Each is granted by a replacement of
//! the record at the revision that is known, so that of several daemons one gets it. Whoever hears of
//! a record refuses the request; when it goes, the request is released.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::quarantine::Crash;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Record;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::Timer;

use super::note;
use super::By;
use super::Refused;
use crate::gateway::Gateway;
use crate::mirror;
use crate::mirror::MirrorSink;
use crate::mirror::Source;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;

/// Kind of the records.
pub const KIND: &str = "heronbend-quarantine";
/// Records that come within this time cost one call.
const GATHERING: Duration = Duration::from_millis(100);
/// Longest time that a caller waits for a probe to be granted.
const GRANT_LIMIT: Duration = Duration::from_millis(500);
/// When a caller is to come back whose probe was not granted: another one has been, most likely.
const NOT_GRANTED: Duration = Duration::from_secs(5);
/// Rest after a write that failed, doubled by each further one.
const FIRST_REST: Duration = Duration::from_millis(300);
const MAX_REST_DOUBLINGS: u32 = 4;
/// Tries to remove a record.
const REMOVALS: u32 = 8;

/// A record as it stands in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Content {
    endings: Vec<Crash>,
    probes: usize,
}

impl Content {
    fn of(gateway: &Gateway, request: Fingerprint, probes: usize) -> Self {
        let endings = gateway.quarantine.table.borrow().report(request).endings;
        Self { endings, probes }
    }
}

/// Whether something that one daemon has to do falls to this one now: by chance, to each as often.
pub(super) fn falls_here(gateway: &Gateway) -> bool {
    let daemons = u32::try_from(gateway.members.count_alive() + 1).unwrap_or(u32::MAX);
    rand::rng().random_ratio(1, daemons)
}

fn rest(failures: u32) -> Duration {
    FIRST_REST * 2_u32.pow(failures.min(MAX_REST_DOUBLINGS))
}

/// Takes in a record; an older one than is known tells nothing.
fn take(gateway: &Rc<Gateway>, object: &Object) -> Option<Fingerprint> {
    let request = match object.name.parse::<Fingerprint>() {
        Ok(request) => request,
        Err(error) => {
            log::warn!("event=quarantine_malformed name={} error=\"{error}\"", object.name);
            return None;
        }
    };
    let content = match Content::deserialize(&object.content) {
        Ok(content) => content,
        Err(error) => {
            log::warn!("event=quarantine_malformed name={request} error=\"{error}\"");
            return None;
        }
    };
    let now = gateway.now();
    let record = Record { revision: object.revision, probes: content.probes };
    let (change, is_newer) = {
        let mut table = gateway.quarantine.table.borrow_mut();
        let change = table.merge(now, request, &content.endings);
        (change, table.set_record(now, request, record))
    };
    note(gateway, request, change, By::Store);
    if is_newer {
        log::info!(
            "event=quarantine_recorded request={request} revision={} probes={}",
            record.revision,
            record.probes
        );
        super::count_quarantined(gateway);
    }
    Some(request)
}

/// Has a quarantined request recorded, however long that takes.
pub(super) fn ensure(gateway: &Rc<Gateway>, request: Fingerprint) {
    if !gateway.quarantine.recording.borrow_mut().insert(request) {
        return;
    }
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let recording = async move {
        write(&gateway, request).await;
        gateway.quarantine.recording.borrow_mut().remove(&request);
    };
    executor.spawn(recording).detach();
}

async fn write(gateway: &Rc<Gateway>, request: Fingerprint) {
    let is_quarantined = || gateway.quarantine.table.borrow().is_quarantined(request);
    let is_recorded = || gateway.quarantine.table.borrow().record(request).is_some();
    let mut failures = 0;
    while is_quarantined() && !is_recorded() {
        let content = json!(Content::of(gateway, request, 0));
        match gateway.store.create(KIND, &request.to_string(), content).await {
            // An answer to it came meanwhile. That the record is known already says nothing: the watch
            // may tell of it before the store answers here.
            Ok(_) if !is_quarantined() => remove(gateway, request),
            Ok(object) => {
                take(gateway, &object);
            }
            Err(StoreError::Conflict(Some(object))) => {
                take(gateway, &object);
            }
            Err(StoreError::Conflict(None)) => read(gateway, request).await,
            Err(error) => {
                log::warn!("event=quarantine_not_recorded request={request} error=\"{error}\"");
                Timer::after(rest(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Takes in the record that another daemon has written.
async fn read(gateway: &Rc<Gateway>, request: Fingerprint) {
    match gateway.store.get(KIND, &request.to_string()).await {
        Ok(Some(object)) => {
            take(gateway, &object);
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!("event=quarantine_not_read request={request} error=\"{error}\"");
            Timer::after(FIRST_REST).await;
        }
    }
}

/// Asks the store for the next probe of a request.
pub(super) async fn grant_probe(
    gateway: &Rc<Gateway>,
    request: Fingerprint,
) -> Result<(), Refused> {
    let refused = Refused { retry_after: NOT_GRANTED };
    let record = gateway.quarantine.table.borrow().record(request).ok_or(refused)?;
    let content = json!(Content::of(gateway, request, record.probes + 1));
    let name = request.to_string();
    let condition = Condition::At(record.revision);
    let written = gateway.store.replace(KIND, &name, content, condition);
    let late = async {
        Timer::after(GRANT_LIMIT).await;
        Err(StoreError::Unknown("no answer in time".to_owned()))
    };
    let granted = written.or(late).await;
    let outcome = match &granted {
        Ok(_) => "granted".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(
        "event=quarantine_probe request={request} probe={} outcome=\"{outcome}\"",
        record.probes + 1
    );
    match granted {
        Ok(object) => {
            take(gateway, &object);
            Ok(())
        }
        Err(StoreError::Conflict(Some(object))) => {
            take(gateway, &object);
            Err(refused)
        }
        Err(_) => Err(refused),
    }
}

/// Removes a record, which releases the request everywhere.
pub(super) fn remove(gateway: &Rc<Gateway>, request: Fingerprint) {
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let removal = async move {
        for failures in 0..REMOVALS {
            match gateway.store.remove(KIND, &request.to_string()).await {
                Ok(()) => {
                    log::info!("event=quarantine_record_removed request={request}");
                    return;
                }
                Err(error) => {
                    log::warn!("event=quarantine_not_removed request={request} error=\"{error}\"");
                }
            }
            Timer::after(rest(failures)).await;
        }
    };
    executor.spawn(removal).detach();
}

/// A request that is quarantined, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Servers that ended while they ran it.
    pub servers: Vec<String>,
    /// Probes that have been granted.
    pub probes: usize,
}

/// All requests that the store holds quarantined, for an operator.
pub async fn list(store: &dyn ObjectStore) -> Result<Vec<Quarantined>, StoreError> {
    let mut quarantined = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = store.list(KIND, after.as_deref()).await?;
        for object in &page.objects {
            quarantined.push(read_record(object)?);
        }
        after = page.objects.last().map(|object| object.name.clone());
        if !page.more || after.is_none() {
            return Ok(quarantined);
        }
    }
}

fn read_record(object: &Object) -> Result<Quarantined, StoreError> {
    let malformed = |error: &dyn ToString| StoreError::Malformed(error.to_string());
    let request = object.name.parse::<Fingerprint>().map_err(|error| malformed(&error))?;
    let content = Content::deserialize(&object.content).map_err(|error| malformed(&error))?;
    let servers = content.endings.into_iter().map(|ending| ending.server).collect();
    Ok(Quarantined { request, servers, probes: content.probes })
}

/// Releases a request at all daemons, for an operator.
pub async fn release(store: &dyn ObjectStore, request: Fingerprint) -> Result<(), StoreError> {
    store.remove(KIND, &request.to_string()).await
}

/// Follows the records until the daemon ends.
pub async fn follow(gateway: Rc<Gateway>) {
    let sink = Sink { gateway: gateway.clone(), listed: RefCell::default() };
    mirror::follow(gateway, KIND, Source::Watchers, GATHERING, sink).await;
}

struct Sink {
    gateway: Rc<Gateway>,
    /// Requests whose records were heard of by this way. A list may be older than a record that this
    /// daemon wrote itself.
    listed: RefCell<BTreeSet<Fingerprint>>,
}

impl Sink {
    fn release(&self, request: Fingerprint) {
        self.listed.borrow_mut().remove(&request);
        let was_held = self.gateway.quarantine.table.borrow_mut().release(request);
        if was_held {
            log::info!("event=request_released request={request}");
        }
        super::count_quarantined(&self.gateway);
    }
}

impl MirrorSink for Sink {
    fn keep(&self, names: &BTreeSet<String>) {
        let named: BTreeSet<Fingerprint> =
            names.iter().filter_map(|name| name.parse().ok()).collect();
        let known = self.listed.borrow().clone();
        known.difference(&named).for_each(|request| self.release(*request));
    }

    fn put(&self, object: &Object) {
        if let Some(request) = take(&self.gateway, object) {
            self.listed.borrow_mut().insert(request);
        }
    }

    fn remove(&self, name: &str) {
        if let Ok(request) = name.parse() {
            self.release(request);
        }
    }
}
