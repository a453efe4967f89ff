//! One attempt of a request at one server, with its answer judged.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::ServerKey;
use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::Fingerprint;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;

use crate::directory::Server;
use crate::duties::billing::Billing;
use crate::gateway::Gateway;
use crate::headers;
use crate::http::client::{Exchange, ExchangeError, WholeAnswer};
use crate::memory::Hold;
use crate::ports::HeaderNames;
use crate::quarantine::evidence;

/// Largest whole answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request as it is sent to servers.
#[derive(Clone)]
pub struct Outgoing {
    /// Its identifier.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers, without those of one connection and those that an attempt sets.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// The memory that a client's body takes.
    pub hold: Option<Rc<Hold>>,
    /// Where the request is counted, if it is a tenant's.
    pub billing: Option<Rc<Billing>>,
    /// Found when it is first asked for: most requests never need it.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl Outgoing {
    /// What tells that the request has come before.
    pub fn fingerprint(&self, names: &HeaderNames) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            Fingerprint::of(&FingerprintInput {
                method: self.method.as_str(),
                host: headers::text(&self.headers, &http::header::HOST).unwrap_or_default(),
                target: self.target.path_and_query().map_or("", |target| target.as_str()),
                tenant: headers::text(&self.headers, &names.tenant),
                body: &self.body,
            })
        })
    }
}

/// Why a stream is left whose connection broke.
pub const BROKEN_OFF: &str = "broken off";
/// The same, where the connection ended in an orderly way and not between two events.
pub const CUT: &str = "cut within an event";

/// Whether a stream was left because its connection ended, and not for what it said or how slowly.
pub fn is_break(reason: &str) -> bool {
    [BROKEN_OFF, CUT].contains(&reason)
}

/// How an attempt failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The server has not run the request and will not.
    NotRun,
    /// It could not be reached, and nothing was sent.
    NotSent,
    /// Nothing was sent: the server is kept for another request that may end it.
    Held,
    /// The connection ended before the whole answer had come: the request may have run.
    BrokenOff,
    /// What became of the request is unknown for another reason.
    Unknown(&'static str),
}

/// Sends `outgoing` to `server`; returns once the head of its answer has come and been judged.
///
/// The caller has counted the attempt as begun and notes its end.
pub async fn begin(
    gateway: &Rc<Gateway>,
    server: &Server,
    outgoing: &Outgoing,
    time_left: Duration,
) -> Result<Exchange, AttemptFailure> {
    let names = gateway.dialect.headers();
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let headers = request.headers_mut();
    headers.insert(names.deadline_millis.clone(), headers::millis_value(time_left));
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        headers.insert(names.expected_server.clone(), id);
    }
    gateway.metrics.attempts.inc();
    let exchange = match gateway.servers.send(server.address, request).await {
        Ok(exchange) => exchange,
        Err(error) if error.is_not_sent() => {
            evidence::look_at(gateway, server);
            return Err(AttemptFailure::NotSent);
        }
        Err(_) => return Err(AttemptFailure::BrokenOff),
    };
    if is_another_server(gateway, outgoing, &exchange) {
        log::info!("event=server_replaced server={} id={}", server.id, outgoing.id);
        evidence::note_gone(gateway, &server.id);
    }
    judge_head(gateway, outgoing, exchange)
}

/// Whether an answer says that another server stands at the address: one that was asked for no version
/// misdirects a request for nothing else. Its entry may tell of the one that ended for seconds more.
fn is_another_server(gateway: &Gateway, outgoing: &Outgoing, exchange: &Exchange) -> bool {
    let names = gateway.dialect.headers();
    exchange.status == StatusCode::MISDIRECTED_REQUEST
        && exchange.header(&names.request_id) == Some(outgoing.id.as_str())
        && !outgoing.headers.contains_key(&names.expected_version)
}

fn judge_head(
    gateway: &Gateway,
    outgoing: &Outgoing,
    exchange: Exchange,
) -> Result<Exchange, AttemptFailure> {
    let names = gateway.dialect.headers();
    if exchange.header(&names.request_id) != Some(outgoing.id.as_str()) {
        gateway.metrics.foreign_answers.inc();
        return Err(AttemptFailure::Unknown("foreign answer"));
    }
    let is_refusal = exchange.status == StatusCode::MISDIRECTED_REQUEST
        || exchange.headers.contains_key(&names.not_run);
    if is_refusal {
        gateway.servers.reuse(exchange);
        return Err(AttemptFailure::NotRun);
    }
    let is_unsigned = !exchange.headers.contains_key(&names.signature);
    let is_encoded = exchange.headers.contains_key(http::header::CONTENT_ENCODING);
    if exchange.status.is_success() && (is_unsigned || is_encoded) {
        gateway.metrics.foreign_answers.inc();
        return Err(AttemptFailure::Unknown("unsigned answer"));
    }
    Ok(exchange)
}

/// Counts an attempt at a server for as long as it lives.
pub struct CountedAttempt {
    gateway: Rc<Gateway>,
    /// The run of the server that was sent it; nothing where the server was no longer known.
    at: Option<ServerKey>,
    begun: heronbend::Moment,
    is_open: bool,
    /// Called if the attempt is dropped before it ended.
    on_drop: Option<Box<dyn FnOnce()>>,
}

impl CountedAttempt {
    /// Notes that an attempt begins.
    pub fn begin(gateway: &Rc<Gateway>, server: &Rc<Server>) -> Self {
        let begun = gateway.now();
        let at = gateway.directory.borrow_mut().placer.request_started(begun, &server.id);
        Self { gateway: gateway.clone(), at, begun, is_open: true, on_drop: None }
    }

    /// Has something done if the attempt is dropped before it ended.
    pub fn on_drop(&mut self, act: impl FnOnce() + 'static) {
        self.on_drop = Some(Box::new(act));
    }

    /// Has nothing done any more if the attempt is dropped before it ended.
    pub fn disarm(&mut self) {
        self.on_drop = None;
    }

    /// Time since the attempt began.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.begun)
    }

    /// Notes how the attempt ended.
    pub fn end(mut self, end: AttemptOutcome) {
        self.close(end);
    }

    /// Notes a failed attempt.
    pub fn fail(self, failure: &AttemptFailure) {
        let metrics = &self.gateway.metrics;
        let end = match failure {
            AttemptFailure::NotRun => {
                metrics.refusals.inc();
                AttemptOutcome::Rejected
            }
            AttemptFailure::NotSent => AttemptOutcome::Unreachable,
            AttemptFailure::Held => AttemptOutcome::Abandoned,
            AttemptFailure::BrokenOff | AttemptFailure::Unknown(_) => {
                metrics.failures.inc();
                AttemptOutcome::Failed
            }
        };
        self.end(end);
    }

    fn close(&mut self, end: AttemptOutcome) {
        if std::mem::take(&mut self.is_open) {
            let now = self.gateway.now();
            if let Some(key) = self.at {
                self.gateway.directory.borrow_mut().placer.request_finished(now, key, end);
            }
            self.gateway.places.changed.notify(usize::MAX);
        }
    }
}

impl Drop for CountedAttempt {
    fn drop(&mut self) {
        if let Some(act) = self.on_drop.take().filter(|_| self.is_open) {
            act();
        }
        self.close(AttemptOutcome::Abandoned);
    }
}

/// Reads a whole answer; one that is cut has an unknown outcome.
pub async fn read_whole(exchange: Exchange) -> Result<WholeAnswer, AttemptFailure> {
    exchange.read_whole(MAX_ANSWER_BYTES).await.map_err(|error| match error {
        ExchangeError::TooLarge(_) => AttemptFailure::Unknown("too large"),
        _ => AttemptFailure::BrokenOff,
    })
}
