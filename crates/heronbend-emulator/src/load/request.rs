//! The kinds of requests in the mix.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use heronbend_http::http_types::{Method, Request, StatusCode};
use heronbend_http::{Client, ClientError, ErrorBody, Outcome};
use rand::Rng;

use super::verdict::Observations;
use crate::application::{ApplicationAnswer, NONCE_HEADER};
use crate::registration::url;

/// Longest wait for an answer; more than any timeout of the daemons.
pub const TIMEOUT: Duration = Duration::from_secs(40);
const MAX_ANSWER_BYTES: usize = 1 << 22;
const TOWN_TOKEN: &str = "municipality-token";
const FORECAST_TOKEN: &str = "forecast-token";

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A station reading, through a daemon and, for comparison, directly.
    Reading,
    /// A calibration lookup by the one caller that may.
    Calibration,
    /// A calibration lookup by a caller that may not.
    Forbidden,
    /// A flood alert, which must not run twice.
    Alert,
    /// The same flood alert sent to two daemons at once.
    AlertTwice,
    /// A completion, answered whole.
    Completion,
    /// A completion, streamed.
    Stream,
    /// A chat completion, streamed.
    ChatStream,
}

impl Kind {
    /// Draws from the mix.
    pub fn draw(random: &mut impl Rng) -> Self {
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

/// Sends requests and notes what came of them.
pub struct Sender {
    /// Connections.
    pub client: Client,
    /// All daemons.
    pub daemons: Vec<SocketAddr>,
    /// Model to generate with.
    pub model: String,
    /// Where to note.
    pub observations: Rc<RefCell<Observations>>,
}

/// An answer from a daemon, or the lack of one.
pub type Answer = Result<(StatusCode, Vec<u8>), ClientError>;

impl Sender {
    /// Sends one request of a kind.
    pub async fn send(
        &self,
        kind: Kind,
        identifier: &str,
        daemon: SocketAddr,
        other: SocketAddr,
        direct: Option<SocketAddr>,
    ) {
        match kind {
            Kind::Reading => {
                self.read_station(identifier, daemon).await;
                if let Some(direct) = direct {
                    self.read_directly(identifier, direct).await;
                }
            }
            Kind::Calibration => {
                let request = lookup("/calibration/lookup", FORECAST_TOKEN, identifier, daemon);
                self.exchange(identifier, daemon, request, "").await;
            }
            Kind::Forbidden => self.look_up_forbidden(identifier, daemon).await,
            Kind::Alert => self.send_alert(identifier, identifier, daemon).await,
            Kind::AlertTwice => {
                let twin = format!("{identifier}-twin");
                let first = self.send_alert(identifier, identifier, daemon);
                zip(first, self.send_alert(&twin, identifier, other)).await;
            }
            Kind::Completion => self.complete(identifier, daemon).await,
            Kind::Stream => self.stream(identifier, daemon, false).await,
            Kind::ChatStream => self.stream(identifier, daemon, true).await,
        }
    }

    /// Sends a request; one that found no connection was not sent, and goes to the next daemon, as
    /// it would with any client that knows several addresses.
    pub async fn fetch(&self, daemon: SocketAddr, request: &Request, body: &str) -> Answer {
        let position = self.daemons.iter().position(|known| *known == daemon).unwrap_or(0);
        let mut answer = Err(ClientError::Timeout);
        for offset in 0..self.daemons.len() {
            let next = self.daemons[(position + offset) % self.daemons.len()];
            let copy = copy_of(request, next, body);
            answer = self.client.fetch(next, copy, TIMEOUT, MAX_ANSWER_BYTES).await;
            if !matches!(&answer, Err(error) if error.is_not_sent()) {
                break;
            }
        }
        answer
    }

    async fn read_station(&self, identifier: &str, daemon: SocketAddr) {
        let request = lookup("/stations/12/reading", TOWN_TOKEN, identifier, daemon);
        let start = Instant::now();
        if self.exchange(identifier, daemon, request, "").await {
            let micros = start.elapsed().as_micros() as u64;
            self.observations.borrow_mut().through.saturating_record(micros);
        }
    }

    async fn read_directly(&self, identifier: &str, direct: SocketAddr) {
        let request = lookup("/stations/12/reading", TOWN_TOKEN, identifier, direct);
        let start = Instant::now();
        let answer = self.client.fetch(direct, request, TIMEOUT, MAX_ANSWER_BYTES).await;
        if answer.is_ok() {
            let micros = start.elapsed().as_micros() as u64;
            self.observations.borrow_mut().direct.saturating_record(micros);
        }
    }

    async fn look_up_forbidden(&self, identifier: &str, daemon: SocketAddr) {
        let request = lookup("/calibration/lookup", TOWN_TOKEN, identifier, daemon);
        let answer = self.fetch(daemon, &request, "").await;
        let mut seen = self.observations.borrow_mut();
        seen.requests += 1;
        match answer {
            Ok((StatusCode::Forbidden, _)) => {
                seen.refused_not_run.insert(caller_request("municipality", identifier));
            }
            Ok((status, _)) if status.is_success() => seen.forbidden_passed += 1,
            other => drop((note_failure(&mut seen, "municipality", identifier, &other), other)),
        }
    }

    /// The key is the nonce as well: two requests with one key get one answer.
    async fn send_alert(&self, identifier: &str, key: &str, daemon: SocketAddr) {
        let mut request = lookup("/alerts", TOWN_TOKEN, identifier, daemon);
        request.set_method(Method::Post);
        request.insert_header("idempotency-key", key);
        request.insert_header(NONCE_HEADER, key);
        let body = format!("{{\"alert\":\"{key}\"}}");
        self.exchange(identifier, daemon, request, &body).await;
    }

    /// Sends a request for an application answer and checks that it is the request's own.
    async fn exchange(
        &self,
        identifier: &str,
        daemon: SocketAddr,
        request: Request,
        body: &str,
    ) -> bool {
        let path = request.url().path().to_owned();
        let nonce = request.header(NONCE_HEADER).map(|values| values.as_str().to_owned());
        let nonce = nonce.unwrap_or_default();
        let answer = self.fetch(daemon, &request, body).await;
        let mut seen = self.observations.borrow_mut();
        seen.requests += 1;
        let (status, bytes) = match &answer {
            Ok((status, bytes)) if status.is_success() => (status, bytes),
            _ => {
                let caller =
                    if path.starts_with("/calibration") { "forecast" } else { "municipality" };
                note_failure(&mut seen, caller, identifier, &answer);
                return false;
            }
        };
        let own = serde_json::from_slice::<ApplicationAnswer>(bytes)
            .is_ok_and(|answer| answer.nonce == nonce && answer.path == path);
        if own {
            seen.whole += 1;
        } else {
            log::error!("event=wrong_answer request={identifier} status={status}");
            seen.wrong += 1;
        }
        own
    }
}

/// Notes a request that got no successful answer.
pub fn note_failure(seen: &mut Observations, caller: &str, identifier: &str, answer: &Answer) {
    let (status, bytes) = match answer {
        Ok(answer) => answer,
        Err(error) => {
            log::info!("event=answer_lost request={identifier} error={error:?}");
            seen.lost += 1;
            return;
        }
    };
    let Ok(ErrorBody { error }) = serde_json::from_slice(bytes) else {
        log::error!("event=unreadable_error request={identifier} status={status}");
        seen.wrong += 1;
        return;
    };
    *seen.codes.entry(error.code).or_default() += 1;
    match error.outcome {
        Outcome::NotRun => {
            seen.refused_not_run.insert(caller_request(caller, identifier));
        }
        Outcome::Ran | Outcome::Unknown => seen.unknown += 1,
    }
}

/// A request's identifier as back ends see it.
fn caller_request(caller: &str, identifier: &str) -> String {
    format!("{caller}:{identifier}")
}

fn lookup(path: &str, token: &str, identifier: &str, address: SocketAddr) -> Request {
    let target = url(address, path).expect("a socket address makes a valid URL");
    let mut request = Request::new(Method::Get, target);
    request.insert_header("authorization", format!("Bearer {token}"));
    request.insert_header("x-request-id", identifier);
    request.insert_header(NONCE_HEADER, identifier);
    request
}

/// The same request to another address. A clone of a request loses its body.
pub fn copy_of(request: &Request, address: SocketAddr, body: &str) -> Request {
    let mut copy = request.clone();
    if copy.url_mut().set_port(Some(address.port())).is_err() {
        log::error!("event=bad_address address={address}");
    }
    copy.set_body(body);
    copy
}
