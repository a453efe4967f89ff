//! Quarantine of requests that crash the servers that run them.
//!
//! The decisions are in [`heronbend::quarantine`]; this module does the I/O. Observations are sent
//! to all daemons immediately. Quarantined requests are also recorded in the store, which restarted
//! or partitioned daemons read and which limits the probes of all daemons together.
//!
//! Requests of accepted jobs are exempt: they have to run in the end, whatever crashed under them.
//!
//! - [`crash_detection`]: detects crashes from broken connections.
//! - [`isolation`]: runs suspect requests isolated from others.
//! - [`gossip`]: exchanges reports between daemons.
//! - [`admitted_request`]: the quarantine state of a call or stream across its attempts.
//! - [`probe`]: a granted probe, which is returned if it ran nowhere.
//! - [`record`]: the records of quarantined requests in the store.

pub mod admitted_request;
pub mod crash_detection;
pub mod gossip;
pub mod isolation;
pub mod probe;
pub mod record;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use heronbend::placement::AttemptHistory;
use heronbend::quarantine::table::Change;
use heronbend::quarantine::Admission;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Limits;
use heronbend::quarantine::Refused;
use heronbend::quarantine::SendMode;
use heronbend::quarantine::Table;
use http::StatusCode;
use smol::Timer;

use self::isolation::Reservations;
use crate::attempt::OutgoingRequest;
use crate::gateway::Gateway;

pub use self::admitted_request::AdmittedRequest;
pub use self::isolation::Isolation;

/// Interval at which expired requests are removed and missing records are written.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(5);

/// Suspect and quarantined requests known to this daemon.
pub struct Quarantine {
    table: RefCell<Table>,
    /// Servers being probed.
    probing: RefCell<BTreeSet<String>>,
    /// Requests with reports that wait to be sent.
    unsent: RefCell<BTreeSet<Fingerprint>>,
    /// Servers to which an owed request lost its connection, while they are probed.
    owed_losses: RefCell<BTreeSet<String>>,
    /// Servers found gone under owed requests, which the other daemons are still to be told.
    unsent_exits: RefCell<BTreeSet<String>>,
    /// Requests whose records are being written.
    writing: RefCell<BTreeSet<Fingerprint>>,
    reservations: Reservations,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(limits: Limits) -> Self {
        Self {
            table: RefCell::new(Table::new(limits)),
            probing: RefCell::default(),
            unsent: RefCell::default(),
            owed_losses: RefCell::default(),
            unsent_exits: RefCell::default(),
            writing: RefCell::default(),
            reservations: Reservations::default(),
        }
    }

    /// Whether no request is suspect, so that lookups may be skipped.
    fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Changes the limits and keeps all requests.
    pub fn set_limits(&self, limits: Limits) {
        self.table.borrow_mut().set_limits(limits);
    }
}

/// Decides whether and how a request may be sent to servers. For a probe, waits until the store
/// grants it.
pub async fn admit(
    gateway: &Rc<Gateway>,
    request: impl Fn() -> Fingerprint,
) -> Result<AdmittedRequest, Refused> {
    let admitted = match admission(gateway, &request).send_mode() {
        Ok(SendMode::Probe) => {
            let granted = record::grant_probe(gateway, request()).await;
            granted.map(AdmittedRequest::as_probe)
        }
        Ok(mode) => Ok(AdmittedRequest::new(mode)),
        Err(refused) => Err(refused),
    };
    if admitted.is_err() {
        gateway.metrics.quarantine_refusals.inc();
    }
    admitted
}

/// Whether an admitted request may be sent to another server.
fn may_retry(gateway: &Gateway, request: impl FnOnce() -> Fingerprint) -> bool {
    matches!(admission(gateway, request), Admission::Allowed | Admission::Isolated)
}

/// Sets in `history` whether a request must run isolated, and whether it must spare the last
/// healthy server.
fn set_isolation(
    gateway: &Gateway,
    mode: SendMode,
    request: impl Fn() -> Fingerprint,
    history: &mut AttemptHistory,
) {
    let is_suspect = admission(gateway, &request) != Admission::Allowed;
    history.is_isolated = mode != SendMode::Normal || is_suspect;
    let table = gateway.quarantine.table.borrow();
    history.spares_last_healthy = is_suspect && table.is_one_crash_from_quarantine(request());
}

/// Decides whether a request may run. Skips computing the fingerprint if no request is suspect.
fn admission(gateway: &Gateway, request: impl FnOnce() -> Fingerprint) -> Admission {
    if gateway.quarantine.is_empty() {
        return Admission::Allowed;
    }
    gateway.quarantine.table.borrow().admission(gateway.now(), request())
}

/// Whether a response status shows that a server executed the request. Overloaded servers, and
/// those that fail every request, respond without executing it.
fn proves_execution(status: StatusCode) -> bool {
    let not_executed = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    !status.is_server_error() && !not_executed.contains(&status)
}

/// Records a complete response, which shows that the request did not cause the crashes.
pub fn note_response(gateway: &Rc<Gateway>, outgoing: &OutgoingRequest, status: StatusCode) {
    if gateway.quarantine.is_empty() || !proves_execution(status) {
        return;
    }
    let request = outgoing.fingerprint(gateway.dialect.headers());
    let has_record = gateway.quarantine.table.borrow().record(request).is_some();
    if !gateway.quarantine.table.borrow_mut().clear(request) {
        return;
    }
    on_change(gateway, request, Change::Cleared, Origin::Here);
    if has_record {
        record::remove(gateway, request);
    }
}

/// Where a change was learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// This daemon.
    Here,
    /// Another daemon.
    Peer,
    /// The store.
    Store,
}

/// Logs a change of a request's status and announces it if it was observed locally.
fn on_change(gateway: &Rc<Gateway>, request: Fingerprint, change: Change, origin: Origin) {
    match change {
        Change::None => return,
        Change::Suspected(crashes) => {
            log::info!("event=request_suspected request={request} endings={crashes} by={origin:?}");
        }
        Change::Quarantined(crashes) => {
            log::warn!(
                "event=request_quarantined request={request} endings={crashes} by={origin:?}"
            );
        }
        Change::Cleared => log::info!("event=request_cleared request={request} by={origin:?}"),
    }
    count_quarantined(gateway);
    let is_quarantined = matches!(change, Change::Quarantined(_));
    // A report may have been lost on its way to the daemon that sent the other one. Only daemons
    // that received both know that the request is quarantined; those that observed one of the
    // crashes announce it.
    let must_announce = origin == Origin::Peer
        && is_quarantined
        && gateway.quarantine.table.borrow().is_observed_locally(request);
    if origin == Origin::Here || must_announce {
        if is_quarantined {
            record::ensure_recorded(gateway, request);
        }
        gossip::announce(gateway, request);
    }
}

fn count_quarantined(gateway: &Gateway) {
    let quarantined = gateway.quarantine.table.borrow().quarantined().count();
    gateway.metrics.requests_quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
}

/// Runs periodic maintenance: removes expired requests and writes missing records. Work that any
/// daemon could do is spread at random over all of them.
pub async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        Timer::after(MAINTENANCE_PERIOD).await;
        if gateway.quarantine.is_empty() {
            continue;
        }
        let expired = gateway.quarantine.table.borrow_mut().expire(gateway.now());
        let (quarantined, stale): (Vec<Fingerprint>, Vec<Fingerprint>) = {
            let table = gateway.quarantine.table.borrow();
            (table.quarantined().collect(), table.stale_records().collect())
        };
        for request in stale {
            if record::is_randomly_chosen(&gateway) {
                log::info!("event=request_explained request={request}");
                record::remove(&gateway, request);
            }
        }
        for request in quarantined {
            if !record::is_randomly_chosen(&gateway) {
                continue;
            }
            if expired.contains(&request) {
                record::remove(&gateway, request);
            } else if gateway.quarantine.table.borrow().record(request).is_none() {
                record::ensure_recorded(&gateway, request);
            }
        }
        count_quarantined(&gateway);
    }
}
