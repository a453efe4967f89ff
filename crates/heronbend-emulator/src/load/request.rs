//! Kinds of requests in the load and the checks of their responses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use heronbend_http::http_types::{Method, Request, StatusCode};
use heronbend_http::{Client, ClientError, ErrorBody, Outcome};
use rand::Rng;

use super::report::Observations;
use crate::application::{ApplicationResponse, NONCE_HEADER};
use crate::registration::url;

/// Timeout of a request; exceeds every timeout of the daemons.
pub const TIMEOUT: Duration = Duration::from_secs(40);
const MAX_RESPONSE_BYTES: usize = 1 << 22;
const MUNICIPALITY_TOKEN: &str = "municipality-token";
const FORECAST_TOKEN: &str = "forecast-token";

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Station reading through a daemon, then directly for latency comparison.
    Reading,
    /// Calibration lookup by an authorized caller.
    Calibration,
    /// Calibration lookup by an unauthorized caller.
    Forbidden,
    /// Flood alert, which must not execute twice.
    Alert,
    /// Flood alert sent concurrently to two daemons with the same idempotency key.
    AlertTwice,
    /// Non-streamed completion.
    Completion,
    /// Streamed completion.
    Stream,
    /// Streamed chat completion.
    ChatStream,
}

impl RequestKind {
    /// Returns a random kind, weighted by its share of the load.
    pub fn random(random: &mut impl Rng) -> Self {
        match random.random_range(0..100) {
            0..40 => Self::Reading,
            40..60 => Self::Calibration,
            60..65 => Self::Forbidden,
            65..75 => Self::Alert,
            75..80 => Self::AlertTwice,
            80..88 => Self::Completion,
            88..95 => Self::Stream,
            _ => Self::ChatStream,
        }
    }
}

/// Sends requests and records their outcomes.
pub struct Sender {
    /// HTTP client.
    pub client: Client,
    /// Addresses of all daemons.
    pub daemons: Vec<SocketAddr>,
    /// Model that generation requests name.
    pub model: String,
    /// Recorded outcomes.
    pub observations: Rc<RefCell<Observations>>,
}

/// Status and body of a response, or the reason why there is none.
pub type FetchResult = Result<(StatusCode, Vec<u8>), ClientError>;

impl Sender {
    /// Sends the request or requests of a kind and records the outcome.
    pub async fn send(
        &self,
        kind: RequestKind,
        identifier: &str,
        daemon: SocketAddr,
        other: SocketAddr,
        direct: Option<SocketAddr>,
    ) {
        match kind {
            RequestKind::Reading => {
                self.read_through_daemon(identifier, daemon).await;
                if let Some(direct) = direct {
                    self.read_directly(identifier, direct).await;
                }
            }
            RequestKind::Calibration => {
                let request =
                    build_request("/calibration/lookup", FORECAST_TOKEN, identifier, daemon);
                self.send_and_check(identifier, daemon, request, "").await;
            }
            RequestKind::Forbidden => self.send_forbidden(identifier, daemon).await,
            RequestKind::Alert => self.send_alert(identifier, identifier, daemon).await,
            RequestKind::AlertTwice => {
                let duplicate = format!("{identifier}-twin");
                let first = self.send_alert(identifier, identifier, daemon);
                zip(first, self.send_alert(&duplicate, identifier, other)).await;
            }
            RequestKind::Completion => self.complete(identifier, daemon).await,
            RequestKind::Stream => self.stream(identifier, daemon, false).await,
            RequestKind::ChatStream => self.stream(identifier, daemon, true).await,
        }
    }

    /// Sends a request, trying the next daemon while no connection can be opened.
    pub async fn fetch(&self, daemon: SocketAddr, request: &Request, body: &str) -> FetchResult {
        let position = self.daemons.iter().position(|known| *known == daemon).unwrap_or(0);
        let mut response = Err(ClientError::Timeout);
        for offset in 0..self.daemons.len() {
            let next = self.daemons[(position + offset) % self.daemons.len()];
            let copy = copy_request(request, next, body);
            response = self.client.fetch(next, copy, TIMEOUT, MAX_RESPONSE_BYTES).await;
            if !matches!(&response, Err(error) if error.is_not_sent()) {
                break;
            }
        }
        response
    }

    async fn read_through_daemon(&self, identifier: &str, daemon: SocketAddr) {
        let request = build_request("/stations/12/reading", MUNICIPALITY_TOKEN, identifier, daemon);
        let start = Instant::now();
        if self.send_and_check(identifier, daemon, request, "").await {
            let micros = start.elapsed().as_micros() as u64;
            self.observations.borrow_mut().daemon_latency.saturating_record(micros);
        }
    }

    async fn read_directly(&self, identifier: &str, direct: SocketAddr) {
        let request = build_request("/stations/12/reading", MUNICIPALITY_TOKEN, identifier, direct);
        let start = Instant::now();
        let response = self.client.fetch(direct, request, TIMEOUT, MAX_RESPONSE_BYTES).await;
        if response.is_ok() {
            let micros = start.elapsed().as_micros() as u64;
            self.observations.borrow_mut().direct_latency.saturating_record(micros);
        }
    }

    async fn send_forbidden(&self, identifier: &str, daemon: SocketAddr) {
        let request = build_request("/calibration/lookup", MUNICIPALITY_TOKEN, identifier, daemon);
        let response = self.fetch(daemon, &request, "").await;
        let mut observations = self.observations.borrow_mut();
        observations.requests += 1;
        match response {
            Ok((StatusCode::Forbidden, _)) => {
                observations.rejected_not_run.insert(caller_request("municipality", identifier));
            }
            Ok((status, _)) if status.is_success() => observations.forbidden_accepted += 1,
            other => {
                drop((record_failure(&mut observations, "municipality", identifier, &other), other))
            }
        }
    }

    /// Sends an alert. Its nonce is its idempotency key, since requests with the same key share a response.
    async fn send_alert(&self, identifier: &str, key: &str, daemon: SocketAddr) {
        let mut request = build_request("/alerts", MUNICIPALITY_TOKEN, identifier, daemon);
        request.set_method(Method::Post);
        request.insert_header("idempotency-key", key);
        request.insert_header(NONCE_HEADER, key);
        let body = format!("{{\"alert\":\"{key}\"}}");
        self.send_and_check(identifier, daemon, request, &body).await;
    }

    /// Sends an application request and checks that the response echoes its path and nonce.
    async fn send_and_check(
        &self,
        identifier: &str,
        daemon: SocketAddr,
        request: Request,
        body: &str,
    ) -> bool {
        let path = request.url().path().to_owned();
        let nonce = request.header(NONCE_HEADER).map(|values| values.as_str().to_owned());
        let nonce = nonce.unwrap_or_default();
        let response = self.fetch(daemon, &request, body).await;
        let mut observations = self.observations.borrow_mut();
        observations.requests += 1;
        let (status, bytes) = match &response {
            Ok((status, bytes)) if status.is_success() => (status, bytes),
            _ => {
                let caller =
                    if path.starts_with("/calibration") { "forecast" } else { "municipality" };
                record_failure(&mut observations, caller, identifier, &response);
                return false;
            }
        };
        let matches_request = serde_json::from_slice::<ApplicationResponse>(bytes)
            .is_ok_and(|response| response.nonce == nonce && response.path == path);
        if matches_request {
            observations.complete += 1;
        } else {
            log::error!("event=wrong_answer request={identifier} status={status}");
            observations.invalid += 1;
        }
        matches_request
    }
}

/// Records a request without a successful response.
pub fn record_failure(
    observations: &mut Observations,
    caller: &str,
    identifier: &str,
    response: &FetchResult,
) {
    let (status, bytes) = match response {
        Ok(response) => response,
        Err(error) => {
            log::info!("event=answer_lost request={identifier} error={error:?}");
            observations.lost += 1;
            return;
        }
    };
    let Ok(ErrorBody { error }) = serde_json::from_slice(bytes) else {
        log::error!("event=unreadable_error request={identifier} status={status}");
        observations.invalid += 1;
        return;
    };
    *observations.error_codes.entry(error.code).or_default() += 1;
    match error.outcome {
        Outcome::NotRun => {
            observations.rejected_not_run.insert(caller_request(caller, identifier));
        }
        Outcome::Ran | Outcome::Unknown => observations.unknown += 1,
    }
}

/// Request identifier as recorded in the ledgers.
fn caller_request(caller: &str, identifier: &str) -> String {
    format!("{caller}:{identifier}")
}

fn build_request(path: &str, token: &str, identifier: &str, address: SocketAddr) -> Request {
    let target = url(address, path).expect("a socket address makes a valid URL");
    let mut request = Request::new(Method::Get, target);
    request.insert_header("authorization", format!("Bearer {token}"));
    request.insert_header("x-request-id", identifier);
    request.insert_header(NONCE_HEADER, identifier);
    request
}

/// Copies a request for another address; the body is set again, since `Request::clone` drops it.
pub fn copy_request(request: &Request, address: SocketAddr, body: &str) -> Request {
    let mut copy = request.clone();
    if copy.url_mut().set_port(Some(address.port())).is_err() {
        log::error!("event=bad_address address={address}");
    }
    copy.set_body(body);
    copy
}
