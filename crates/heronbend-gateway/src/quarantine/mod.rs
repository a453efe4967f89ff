//! Requests that end the servers that run them: what this daemon does about them.
//!
//! [`heronbend::quarantine`] decides. What is learnt here is told to all daemons at once, and what is
//! quarantined is recorded in the store as well: so daemons that were cut off or start anew know it,
//! and all of them together make no more probes than they may.
//!
//! - [`evidence`]: what an attempt that broke off says of its server.
//! - [`isolation`]: suspects kept apart from other requests.
//! - [`news`]: what daemons tell each other.
//! - [`passage`]: a call or a stream on its way to servers.
//! - [`record`]: what the store holds.

pub mod evidence;
pub mod isolation;
pub mod news;
pub mod passage;
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
use heronbend::quarantine::Table;
use http::StatusCode;
use smol::Timer;

use self::isolation::Keeper;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;

pub use self::isolation::Isolation;
pub use self::passage::Passage;

/// Time between two looks for what is to be forgotten, or not recorded yet.
const UPKEEP: Duration = Duration::from_secs(5);

/// What this daemon knows of requests that servers ended under.
pub struct Quarantine {
    table: RefCell<Table>,
    /// Servers whose addresses are being looked at.
    looking: RefCell<BTreeSet<String>>,
    /// Requests of which the others are told in a moment.
    untold: RefCell<BTreeSet<Fingerprint>>,
    /// Requests whose records are being written.
    recording: RefCell<BTreeSet<Fingerprint>>,
    keeper: Keeper,
}

impl Quarantine {
    /// A daemon that has just started.
    pub fn new(limits: Limits) -> Self {
        Self {
            table: RefCell::new(Table::new(limits)),
            looking: RefCell::default(),
            untold: RefCell::default(),
            recording: RefCell::default(),
            keeper: Keeper::default(),
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
pub enum Pass {
    /// Like any other.
    Free,
    /// To one server at a time, with nothing else there if that can be.
    Alone,
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
) -> Result<Pass, Refused> {
    let refused = match admission(gateway, &request) {
        Admission::Allowed => return Ok(Pass::Free),
        Admission::Isolated => return Ok(Pass::Alone),
        Admission::Probe => match record::grant_probe(gateway, request()).await {
            Ok(()) => return Ok(Pass::Probe),
            Err(refused) => refused,
        },
        Admission::Refused { retry_after } => Refused { retry_after },
    };
    gateway.metrics.quarantine_refusals.inc();
    Err(refused)
}

/// Whether a request that was admitted may be sent to one more server.
pub fn may_go_on(gateway: &Gateway, request: impl FnOnce() -> Fingerprint) -> bool {
    matches!(admission(gateway, request), Admission::Allowed | Admission::Isolated)
}

/// How a request is kept apart from others, and from the last server, for what is known of it.
pub fn keep_apart(
    gateway: &Gateway,
    pass: Pass,
    request: impl Fn() -> Fingerprint,
    history: &mut AttemptHistory,
) {
    let is_suspect = admission(gateway, &request) != Admission::Allowed;
    history.is_isolated = pass != Pass::Free || is_suspect;
    let table = gateway.quarantine.table.borrow();
    history.spares_last_healthy = is_suspect && table.is_one_crash_from_quarantine(request());
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
fn shows_run(status: StatusCode) -> bool {
    let promises_not_run = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    !status.is_server_error() && !promises_not_run.contains(&status)
}

/// Notes a whole answer to a request: whatever ended servers under it, it was not this.
pub fn note_answer(gateway: &Rc<Gateway>, outgoing: &Outgoing, status: StatusCode) {
    if gateway.quarantine.is_empty() || !shows_run(status) {
        return;
    }
    let request = outgoing.fingerprint(gateway.dialect.headers());
    let was_recorded = gateway.quarantine.table.borrow().record(request).is_some();
    if !gateway.quarantine.table.borrow_mut().clear(request) {
        return;
    }
    note(gateway, request, Change::Cleared, By::Here);
    if was_recorded {
        record::remove(gateway, request);
    }
}

/// Who has learnt something of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum By {
    /// This daemon.
    Here,
    /// Another one.
    Peer,
    /// The store tells it.
    Store,
}

/// Logs what has changed for a request, and tells others of what was learnt here.
fn note(gateway: &Rc<Gateway>, request: Fingerprint, change: Change, by: By) {
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
    let completes = by == By::Peer
        && is_quarantined
        && gateway.quarantine.table.borrow().is_observed_locally(request);
    if by == By::Here || completes {
        if is_quarantined {
            record::ensure(gateway, request);
        }
        news::tell(gateway, request);
    }
}

fn count_quarantined(gateway: &Gateway) {
    let quarantined = gateway.quarantine.table.borrow().quarantined().count();
    gateway.metrics.requests_quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
}

/// Forgets what is old, and records what is not recorded yet, until the daemon ends. Each daemon does
/// its part of what one of them has to do.
pub async fn keep_up(gateway: Rc<Gateway>) {
    loop {
        Timer::after(UPKEEP).await;
        if gateway.quarantine.is_empty() {
            continue;
        }
        let expired = gateway.quarantine.table.borrow_mut().expire(gateway.now());
        let (quarantined, in_vain): (Vec<Fingerprint>, Vec<Fingerprint>) = {
            let table = gateway.quarantine.table.borrow();
            (table.quarantined().collect(), table.stale_records().collect())
        };
        for request in in_vain {
            if record::falls_here(&gateway) {
                log::info!("event=request_explained request={request}");
                record::remove(&gateway, request);
            }
        }
        for request in quarantined {
            if !record::falls_here(&gateway) {
                continue;
            }
            if expired.contains(&request) {
                record::remove(&gateway, request);
            } else if gateway.quarantine.table.borrow().record(request).is_none() {
                record::ensure(&gateway, request);
            }
        }
        count_quarantined(&gateway);
    }
}
