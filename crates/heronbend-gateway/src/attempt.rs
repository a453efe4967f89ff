//! A single attempt to send a request to a server, with validation of the response.

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
use crate::http::carried_requests::RequestKey;
use crate::http::client::{Exchange, ExchangeError, FullResponse};
use crate::memory::Reservation;
use crate::ports::HeaderNames;
use crate::quarantine::crash_detection;

/// Maximum size of a complete response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum size of a complete response that is not a success, in bytes. Hundreds of them fit into the
/// memory of a small machine.
const MAX_ERROR_RESPONSE_BYTES: usize = 256 * 1024;

/// A request as sent to servers.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// Request id.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers, without hop-by-hop headers and those set by each attempt.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Reservation of the memory budget for the body; `None` if the body isn't a client's.
    pub reservation: Option<Rc<Reservation>>,
    /// Usage record of the request, if a tenant is billed for it.
    pub billing: Option<Rc<Billing>>,
    /// Whether the request belongs to an accepted job, so that it has to run in the end. Crashes of
    /// servers are not held against it.
    pub is_owed: bool,
    /// Computed on first use, since most requests never need it.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl OutgoingRequest {
    /// Fingerprint that identifies repetitions of the request.
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

/// Failure reason of a stream whose connection broke.
pub const CONNECTION_BROKEN: &str = "broken off";
/// Failure reason of a stream whose connection was closed in the middle of an event.
pub const TRUNCATED: &str = "cut within an event";

/// Whether a stream failed because its connection ended.
pub fn is_connection_loss(reason: &str) -> bool {
    [CONNECTION_BROKEN, TRUNCATED].contains(&reason)
}

/// Why an attempt failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The server rejected the request without running it.
    NotRun,
    /// Another server uses the address, or the server lacks the expected version; the request was
    /// not run.
    Misdirected,
    /// The connection failed and nothing was sent.
    NotSent,
    /// Nothing was sent, because the server is reserved for an isolated request.
    Held,
    /// The connection ended before the complete response; the request may have run.
    BrokenOff,
    /// The server ran the request, but its response is too large or there is no memory for it.
    ResponseRefused,
    /// The outcome is unknown for another reason.
    Unknown(&'static str),
}

impl AttemptFailure {
    /// Whether the server did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun | Self::Misdirected | Self::NotSent | Self::Held)
    }
}

/// Sends `outgoing` to `server` and returns once the response head has arrived and been validated.
///
/// The caller tracks the attempt with an [`AttemptGuard`].
pub async fn send(
    gateway: &Rc<Gateway>,
    server: &Server,
    outgoing: &OutgoingRequest,
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
    let key = RequestKey::of(&outgoing.id);
    let exchange = match gateway.server_connections.send(server.address, request, Some(key)).await {
        Ok(exchange) => exchange,
        Err(error) if error.is_not_sent() => {
            crash_detection::probe_server(gateway, server);
            return Err(AttemptFailure::NotSent);
        }
        Err(ExchangeError::InvalidStatus(status)) => {
            gateway.metrics.invalid_responses.inc();
            log::warn!(
                "event=invalid_status id={} server={} status={status}",
                outgoing.id,
                server.id
            );
            return Err(AttemptFailure::Unknown("no final status"));
        }
        Err(_) => return Err(AttemptFailure::BrokenOff),
    };
    if is_replaced_server(gateway, outgoing, &exchange) {
        log::info!("event=server_replaced server={} id={}", server.id, outgoing.id);
        crash_detection::note_server_gone(gateway, &server.id);
    }
    let (connection, request) = (exchange.connection_number(), exchange.request_number());
    let validated = validate_head(gateway, outgoing, exchange);
    if let Err(failure @ (AttemptFailure::NotRun | AttemptFailure::Misdirected)) = &validated {
        log::info!(
            "event=attempt_rejected id={} server={} reason={failure:?} connection={connection} request={request}",
            outgoing.id,
            server.id
        );
    }
    validated
}

/// Whether a response shows that another server now uses the address: a server only misdirects a
/// request without an expected version if the server id does not match. The old registration may
/// stay in the store for some seconds.
fn is_replaced_server(gateway: &Gateway, outgoing: &OutgoingRequest, exchange: &Exchange) -> bool {
    let names = gateway.dialect.headers();
    exchange.status == StatusCode::MISDIRECTED_REQUEST
        && exchange.header(&names.request_id) == Some(outgoing.id.as_str())
        && !outgoing.headers.contains_key(&names.expected_version)
}

fn validate_head(
    gateway: &Gateway,
    outgoing: &OutgoingRequest,
    exchange: Exchange,
) -> Result<Exchange, AttemptFailure> {
    let names = gateway.dialect.headers();
    if exchange.header(&names.request_id) != Some(outgoing.id.as_str()) {
        gateway.metrics.invalid_responses.inc();
        return Err(AttemptFailure::Unknown("foreign answer"));
    }
    let is_misdirected = exchange.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected || exchange.headers.contains_key(&names.not_run) {
        gateway.server_connections.drain(exchange);
        let failure =
            if is_misdirected { AttemptFailure::Misdirected } else { AttemptFailure::NotRun };
        return Err(failure);
    }
    let is_unsigned = !exchange.headers.contains_key(&names.signature);
    let is_encoded = exchange.headers.contains_key(http::header::CONTENT_ENCODING);
    if exchange.status.is_success() && (is_unsigned || is_encoded) {
        gateway.metrics.invalid_responses.inc();
        return Err(AttemptFailure::Unknown("unsigned answer"));
    }
    Ok(exchange)
}

/// Counts an attempt as in flight until it ends or is dropped.
pub struct AttemptGuard {
    gateway: Rc<Gateway>,
    /// Placement key of the server, if it is still known.
    server_key: Option<ServerKey>,
    started_at: heronbend::Moment,
    is_open: bool,
    /// Called if the attempt is dropped before it ends.
    on_drop: Option<Box<dyn FnOnce()>>,
}

impl AttemptGuard {
    /// Records the start of an attempt.
    pub fn start(gateway: &Rc<Gateway>, server: &Rc<Server>) -> Self {
        let started_at = gateway.now();
        let server_key =
            gateway.directory.borrow_mut().placer.request_started(started_at, &server.id);
        Self { gateway: gateway.clone(), server_key, started_at, is_open: true, on_drop: None }
    }

    /// Sets the callback for an attempt that is dropped before it ends.
    pub fn on_drop(&mut self, callback: impl FnOnce() + 'static) {
        self.on_drop = Some(Box::new(callback));
    }

    /// Removes the drop callback.
    pub fn disarm(&mut self) {
        self.on_drop = None;
    }

    /// Time since the start of the attempt.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.started_at)
    }

    /// Records the outcome of the attempt.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.close(outcome);
    }

    /// Records the failure of the attempt.
    pub fn fail(self, failure: &AttemptFailure) {
        let metrics = &self.gateway.metrics;
        let outcome = match failure {
            AttemptFailure::NotRun | AttemptFailure::Misdirected => {
                metrics.rejected_attempts.inc();
                AttemptOutcome::Rejected
            }
            AttemptFailure::NotSent => AttemptOutcome::Unreachable,
            AttemptFailure::Held | AttemptFailure::ResponseRefused => AttemptOutcome::Abandoned,
            AttemptFailure::BrokenOff | AttemptFailure::Unknown(_) => {
                metrics.failed_attempts.inc();
                AttemptOutcome::Failed
            }
        };
        self.end(outcome);
    }

    fn close(&mut self, outcome: AttemptOutcome) {
        if std::mem::take(&mut self.is_open) {
            let now = self.gateway.now();
            if let Some(key) = self.server_key {
                self.gateway.directory.borrow_mut().placer.request_finished(now, key, outcome);
            }
            self.gateway.slot_queue.changed.notify(usize::MAX);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(callback) = self.on_drop.take().filter(|_| self.is_open) {
            callback();
        }
        self.close(AttemptOutcome::Abandoned);
    }
}

/// Reads the complete response to the request `id`, within the memory budget for responses.
pub async fn read_response(
    gateway: &Gateway,
    id: &str,
    exchange: Exchange,
) -> Result<FullResponse, AttemptFailure> {
    let budget = &gateway.response_memory;
    let limit =
        if exchange.status.is_success() { MAX_RESPONSE_BYTES } else { MAX_ERROR_RESPONSE_BYTES };
    let max_bytes = budget.max_reservation().min(limit);
    let read = exchange.read_reserved(max_bytes, budget.reserve()).await;
    read.map_err(|error| match error {
        ExchangeError::TooLarge(_) | ExchangeError::OutOfMemory => {
            log_refused_response(gateway, id, &error);
            AttemptFailure::ResponseRefused
        }
        _ => AttemptFailure::BrokenOff,
    })
}

/// Logs and counts a response that is not kept in memory.
pub fn log_refused_response(gateway: &Gateway, id: &str, reason: &dyn std::fmt::Display) {
    gateway.metrics.responses_refused.inc();
    log::warn!(
        "event=answer_refused id={id} reason=\"{reason}\" held_bytes={} limit_bytes={}",
        gateway.response_memory.reserved(),
        gateway.response_memory.limit()
    );
}
