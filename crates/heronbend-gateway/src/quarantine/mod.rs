//! Requests that end the servers that run them: what this daemon does about them.
//!
//! [`heronbend::quarantine`] decides. What is learnt here is told to all daemons at once, and what is
//! quarantined is recorded in the store as well: so daemons that were cut off or start anew know it,
//! and all of them together make no more probes than they may.
//!
//! - [`crash_detection`]: what an attempt that broke off says of its server.
//! - [`isolation`]: suspects kept apart from other requests.
//! - [`gossip`]: what daemons tell each other.
//! - [`admitted_request`]: a call or a stream on its way to servers.
//! - [`record`]: what the store holds.

pub mod admitted_request;
pub mod crash_detection;
pub mod gossip;
pub mod isolation;
pub mod record;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use heronbend::placement::History;
use heronbend::quarantine::table::Change;
use heronbend::quarantine::Admission;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Limits;
use heronbend::quarantine::Table;
use http::StatusCode;
use smol::Timer;

use self::isolation::Reservations;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;

pub use self::admitted_request::AdmittedRequest;
pub use self::isolation::Isolation;

/// Time between two looks for what is to be forgotten, or not recorded yet.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(5);

/// What this daemon knows of requests that servers ended under.
pub struct Quarantine {
    table: RefCell<Table>,
    /// Servers whose addresses are being looked at.
    probing: RefCell<BTreeSet<String>>,
    /// Requests of which the others are told in a moment.
    unsent: RefCell<BTreeSet<Fingerprint>>,
    /// Requests whose records are being written.
    writing: RefCell<BTreeSet<Fingerprint>>,
    reservations: Reservations,
}

impl Quarantine {
    /// A daemon that has just started.
    pub fn new(limits: Limits) -> Self {
        Self {
            table: RefCell::new(Table::new(limits)),
            probing: RefCell::default(),
            unsent: RefCell::default(),
            writing: RefCell::default(),
            reservations: Reservations::default(),
        }
    }

    /// Whether nothing is held against any request.
    fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Changes the limits; what is known is kept.
    pub fn set_limits(&self, limits: Limits) {
        self.table.borrow_mut().set_limits(limits);
    }
}

/// How a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendMode {
    /// Like any other.
    Normal,
    /// To one server at a time, with nothing else there if that can be.
    Isolated,
    /// The same, and only once.
    Probe,
}

/// A request that may not be sent to servers now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which it may.
    pub retry_after: Duration,
}

/// Whether a request may be sent to servers. A probe is granted by the store before this returns.
pub async fn admit(
    gateway: &Rc<Gateway>,
    request: impl Fn() -> Fingerprint,
) -> Result<SendMode, Refused> {
    let refused = match admission(gateway, &request) {
        Admission::Allowed => return Ok(SendMode::Normal),
        Admission::Isolated => return Ok(SendMode::Isolated),
        Admission::Probe => match record::grant_probe(gateway, request()).await {
            Ok(()) => return Ok(SendMode::Probe),
            Err(refused) => refused,
        },
        Admission::Refused { retry_after } => Refused { retry_after },
    };
    gateway.metrics.quarantine_refusals.inc();
    Err(refused)
}

/// Whether a request that was admitted may be sent to one more server.
pub fn may_retry(gateway: &Gateway, request: impl FnOnce() -> Fingerprint) -> bool {
    matches!(admission(gateway, request), Admission::Allowed | Admission::Isolated)
}

/// How a request is kept apart from others, and from the last server, for what is known of it.
pub fn set_isolation(
    gateway: &Gateway,
    mode: SendMode,
    request: impl Fn() -> Fingerprint,
    history: &mut History,
) {
    let is_suspect = admission(gateway, &request) != Admission::Allowed;
    history.is_alone = mode != SendMode::Normal || is_suspect;
    let table = gateway.quarantine.table.borrow();
    history.spares_last = is_suspect && table.is_one_crash_from_quarantine(request());
}

/// What may become of a request. Most of the time nothing is known of any, and none is looked at.
fn admission(gateway: &Gateway, request: impl FnOnce() -> Fingerprint) -> Admission {
    if gateway.quarantine.is_empty() {
        return Admission::Allowed;
    }
    gateway.quarantine.table.borrow().admission(gateway.now(), request())
}

/// Whether an answer shows that a server ran the request. One that fails at all it gets, or sheds load,
/// answers without.
fn proves_execution(status: StatusCode) -> bool {
    let not_executed = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    !status.is_server_error() && !not_executed.contains(&status)
}

/// Notes a whole answer to a request: whatever ended servers under it, it was not this.
pub fn note_response(gateway: &Rc<Gateway>, outgoing: &Outgoing, status: StatusCode) {
    if gateway.quarantine.is_empty() || !proves_execution(status) {
        return;
    }
    let request = outgoing.fingerprint(gateway.dialect.headers());
    let was_recorded = gateway.quarantine.table.borrow().record(request).is_some();
    if !gateway.quarantine.table.borrow_mut().clear(request) {
        return;
    }
    on_change(gateway, request, Change::Cleared, Origin::Here);
    if was_recorded {
        record::remove(gateway, request);
    }
}

/// Who has learnt something of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// This daemon.
    Here,
    /// Another one.
    Peer,
    /// The store tells it.
    Store,
}

/// Logs what has changed for a request, and tells others of what was learnt here.
fn on_change(gateway: &Rc<Gateway>, request: Fingerprint, change: Change, by: Origin) {
    match change {
        Change::None => return,
        Change::Suspected(endings) => {
            log::info!("event=request_suspected request={request} endings={endings} by={by:?}");
        }
        Change::Quarantined(endings) => {
            log::warn!("event=request_quarantined request={request} endings={endings} by={by:?}");
        }
        Change::Cleared => log::info!("event=request_cleared request={request} by={by:?}"),
    }
    count_quarantined(gateway);
    let is_quarantined = matches!(change, Change::Quarantined(_));
    // News may have been lost on its way to whoever told the rest: only those who know both parts know
    // that it is quarantined, and the few who saw one of the endings make that known.
    let completed_here = by == Origin::Peer
        && is_quarantined
        && gateway.quarantine.table.borrow().is_observed_locally(request);
    if by == Origin::Here || completed_here {
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

/// Forgets what is old, and records what is not recorded yet, until the daemon ends. Each daemon does
/// its part of what one of them has to do.
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
