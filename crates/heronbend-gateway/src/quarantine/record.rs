//! Records of quarantined requests in the store: one object each, named by the fingerprint.
//!
//! A record counts the probes of all daemons. A probe is granted by replacing the record at its
//! known revision, so only one of several concurrent attempts succeeds. Daemons that watch the
//! records refuse the requests, and release them when the records are deleted.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::quarantine::Crash;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Record;
use heronbend::quarantine::Refused;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::Timer;

use super::on_change;
use super::probe::Probe;
use super::Origin;
use crate::gateway::Gateway;
use crate::list_pages;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;
use crate::reflector;
use crate::reflector::ObjectHandler;
use crate::reflector::Source;

/// Kind of the records in the store.
pub const KIND: &str = "heronbend-quarantine";
/// How long to collect changes before reading them.
const BATCHING_WINDOW: Duration = Duration::from_millis(100);
/// Maximum time that a caller waits for the store to grant a probe.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay for callers whose probe was denied, usually because another one was granted.
const DENIED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Backoff after a failed write, doubled after each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Attempts to delete a record before giving up.
const MAX_REMOVE_ATTEMPTS: u32 = 8;
/// Attempts to return a probe before it counts as spent.
const MAX_RETURN_ATTEMPTS: u32 = 5;

/// Contents of a record in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RecordContent {
    endings: Vec<Crash>,
    probes: usize,
}

impl RecordContent {
    fn new(gateway: &Gateway, request: Fingerprint, probes: usize) -> Self {
        let endings = gateway.quarantine.table.borrow().report(request).endings;
        Self { endings, probes }
    }
}

/// Whether this daemon should do work that any daemon could do. True with a probability of one over
/// the number of live daemons.
pub(super) fn is_randomly_chosen(gateway: &Gateway) -> bool {
    let daemons = u32::try_from(gateway.members.alive_count() + 1).unwrap_or(u32::MAX);
    rand::rng().random_ratio(1, daemons)
}

fn backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF * 2_u32.pow(failures.min(MAX_BACKOFF_DOUBLINGS))
}

/// Applies a record unless a newer revision is known. Returns the request, or `None` if the record
/// is malformed.
fn apply_record(gateway: &Rc<Gateway>, object: &Object) -> Option<Fingerprint> {
    let request = match object.name.parse::<Fingerprint>() {
        Ok(request) => request,
        Err(error) => {
            log::warn!("event=quarantine_malformed name={} error=\"{error}\"", object.name);
            return None;
        }
    };
    let content = match RecordContent::deserialize(&object.content) {
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
    on_change(gateway, request, change, Origin::Store);
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

/// Writes the record of a quarantined request in the background, retrying until it succeeds.
pub(super) fn ensure_recorded(gateway: &Rc<Gateway>, request: Fingerprint) {
    if !gateway.quarantine.writing.borrow_mut().insert(request) {
        return;
    }
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let writing = async move {
        write_record(&gateway, request).await;
        gateway.quarantine.writing.borrow_mut().remove(&request);
    };
    executor.spawn(writing).detach();
}

async fn write_record(gateway: &Rc<Gateway>, request: Fingerprint) {
    let is_quarantined = || gateway.quarantine.table.borrow().is_quarantined(request);
    let is_recorded = || gateway.quarantine.table.borrow().record(request).is_some();
    let mut failures = 0;
    while is_quarantined() && !is_recorded() {
        let content = json!(RecordContent::new(gateway, request, 0));
        match gateway.store.create(KIND, &request.to_string(), content).await {
            // The request was cleared while the record was written. A known record does not mean
            // that it is still quarantined, since the watch may deliver it before the write
            // returns.
            Ok(_) if !is_quarantined() => remove(gateway, request),
            Ok(object) => {
                apply_record(gateway, &object);
            }
            Err(StoreError::Conflict(Some(object))) => {
                apply_record(gateway, &object);
            }
            Err(StoreError::Conflict(None)) => fetch_record(gateway, request).await,
            Err(error) => {
                log::warn!("event=quarantine_not_recorded request={request} error=\"{error}\"");
                Timer::after(backoff(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Reads and applies a record written by another daemon.
async fn fetch_record(gateway: &Rc<Gateway>, request: Fingerprint) {
    match gateway.store.get(KIND, &request.to_string()).await {
        Ok(Some(object)) => {
            apply_record(gateway, &object);
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!("event=quarantine_not_read request={request} error=\"{error}\"");
            Timer::after(INITIAL_BACKOFF).await;
        }
    }
}

/// Requests the next probe of a request from the store.
pub(super) async fn grant_probe(
    gateway: &Rc<Gateway>,
    request: Fingerprint,
) -> Result<Probe, Refused> {
    let refused = Refused { retry_after: DENIED_RETRY_AFTER };
    let record = gateway.quarantine.table.borrow().record(request).ok_or(refused)?;
    let content = json!(RecordContent::new(gateway, request, record.probes + 1));
    let name = request.to_string();
    let condition = Condition::At(record.revision);
    let written = gateway.store.replace(KIND, &name, content, condition);
    let timeout = async {
        Timer::after(GRANT_TIMEOUT).await;
        Err(StoreError::Unknown("no answer in time".to_owned()))
    };
    let granted = written.or(timeout).await;
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
            apply_record(gateway, &object);
            let granted = Record { revision: object.revision, probes: record.probes + 1 };
            Ok(Probe::new(gateway, request, granted))
        }
        Err(StoreError::Conflict(Some(object))) => {
            apply_record(gateway, &object);
            Err(refused)
        }
        Err(_) => Err(refused),
    }
}

/// Takes a granted probe back in the background. Without effect if the record has changed since
/// `granted`.
pub(super) fn return_probe(gateway: &Rc<Gateway>, request: Fingerprint, granted: Record) {
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let returning = async move {
        for failures in 0..MAX_RETURN_ATTEMPTS {
            let content = json!(RecordContent::new(&gateway, request, granted.probes - 1));
            let condition = Condition::At(granted.revision);
            match gateway.store.replace(KIND, &request.to_string(), content, condition).await {
                Ok(object) => {
                    log::info!(
                        "event=quarantine_probe_returned request={request} probe={}",
                        granted.probes
                    );
                    apply_record(&gateway, &object);
                    return;
                }
                Err(error) => {
                    log::info!(
                        "event=quarantine_probe_not_returned request={request} error=\"{error}\""
                    );
                    if matches!(error, StoreError::Conflict(_) | StoreError::NotFound) {
                        return;
                    }
                }
            }
            Timer::after(backoff(failures)).await;
        }
    };
    executor.spawn(returning).detach();
}

/// Deletes a record, which releases the request at all daemons.
pub(super) fn remove(gateway: &Rc<Gateway>, request: Fingerprint) {
    let gateway = gateway.clone();
    let executor = gateway.executor.clone();
    let removal = async move {
        for failures in 0..MAX_REMOVE_ATTEMPTS {
            match gateway.store.remove(KIND, &request.to_string()).await {
                Ok(()) => {
                    log::info!("event=quarantine_record_removed request={request}");
                    return;
                }
                Err(error) => {
                    log::warn!("event=quarantine_not_removed request={request} error=\"{error}\"");
                }
            }
            Timer::after(backoff(failures)).await;
        }
    };
    executor.spawn(removal).detach();
}

/// A quarantined request, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Servers that crashed while running it.
    pub servers: Vec<String>,
    /// Number of probes granted.
    pub probes: usize,
}

/// Lists all quarantined requests, for operators. Malformed records are logged and skipped.
pub async fn list(store: &dyn ObjectStore) -> Result<Vec<QuarantinedRequest>, StoreError> {
    let mut quarantined = Vec::new();
    let collect = |page: Vec<Object>| {
        quarantined.extend(page.iter().filter_map(ok_or_log));
        Ok(())
    };
    list_pages::read(store, KIND, None, collect).await?;
    Ok(quarantined)
}

fn ok_or_log(object: &Object) -> Option<QuarantinedRequest> {
    parse_record(object)
        .inspect_err(|error| {
            log::warn!("event=quarantine_malformed name={} error=\"{error}\"", object.name);
        })
        .ok()
}

fn parse_record(object: &Object) -> Result<QuarantinedRequest, StoreError> {
    let malformed = |error: &dyn ToString| StoreError::Malformed(error.to_string());
    let request = object.name.parse::<Fingerprint>().map_err(|error| malformed(&error))?;
    let content = RecordContent::deserialize(&object.content).map_err(|error| malformed(&error))?;
    let servers = content.endings.into_iter().map(|crash| crash.server).collect();
    Ok(QuarantinedRequest { request, servers, probes: content.probes })
}

/// Releases a request at all daemons, for operators.
pub async fn release(store: &dyn ObjectStore, request: Fingerprint) -> Result<(), StoreError> {
    store.remove(KIND, &request.to_string()).await
}

/// Watches the records until the daemon stops.
pub async fn follow(gateway: Rc<Gateway>) {
    let sink = RecordSink { gateway: gateway.clone(), seen: RefCell::default() };
    reflector::run(gateway, KIND, Source::Peers, BATCHING_WINDOW, sink).await;
}

struct RecordSink {
    gateway: Rc<Gateway>,
    /// Requests whose records were delivered by the watch. A listing may be older than a record
    /// that this daemon wrote itself, so only these are released when missing from it.
    seen: RefCell<BTreeSet<Fingerprint>>,
}

impl RecordSink {
    fn release(&self, request: Fingerprint) {
        self.seen.borrow_mut().remove(&request);
        let was_quarantined = self.gateway.quarantine.table.borrow_mut().release(request);
        if was_quarantined {
            log::info!("event=request_released request={request}");
        }
        super::count_quarantined(&self.gateway);
    }
}

impl ObjectHandler for RecordSink {
    fn retain(&self, names: &BTreeSet<String>) {
        let named: BTreeSet<Fingerprint> =
            names.iter().filter_map(|name| name.parse().ok()).collect();
        let known = self.seen.borrow().clone();
        known.difference(&named).for_each(|request| self.release(*request));
    }

    fn upsert(&self, object: &Object) {
        if let Some(request) = apply_record(&self.gateway, object) {
            self.seen.borrow_mut().insert(request);
        }
    }

    fn remove(&self, name: &str) {
        if let Ok(request) = name.parse() {
            self.release(request);
        }
    }
}
