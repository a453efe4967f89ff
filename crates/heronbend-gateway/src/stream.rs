//! Forwarding of event streams, with resumption on another server.
//!
//! The response head is sent only once the first event has arrived, so that earlier failures can
//! still be reported with a status. A resumable stream whose connection breaks or stalls continues
//! on another server after the last event sent to the client. Only complete events are forwarded,
//! so that the continuation never repeats part of an event.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::stream;
use futures_lite::FutureExt;
use heronbend::placement::AttemptHistory;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Choice;
use heronbend::placement::Decision;
use heronbend::placement::Rejection;
use heronbend::placement::VersionStatus;
use heronbend::placement::WaitState;
use heronbend::Moment;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use smol::Timer;

use crate::attempt;
use crate::attempt::AttemptFailure;
use crate::attempt::AttemptGuard;
use crate::attempt::OutgoingRequest;
use crate::directory::Server;
use crate::events::Event;
use crate::events::Parser;
use crate::forward::ForwardError;
use crate::forward::RequestLimits;
use crate::forward::ATTEMPTS_EXHAUSTED;
use crate::gateway::Gateway;
use crate::headers;
use crate::http::client::Exchange;
use crate::http::client::FullResponse;
use crate::http::ResponseBody;
use crate::memory::Reservation;
use crate::permits;
use crate::quarantine;
use crate::quarantine::admitted_request;
use crate::quarantine::crash_detection;
use crate::quarantine::AdmittedRequest;
use crate::quarantine::Isolation;
use crate::route_parts::RouteParts;
use crate::wait;

/// Maximum time to the first event before a resumable stream moves to another server. It includes
/// queueing in the server.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time between events before a resumable stream moves to another server.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Reason for the end of a stream whose events don't fit into the memory budget.
const NO_MEMORY: &str = "no memory for the stream";

/// Response to a stream request.
pub enum StreamResponse {
    /// A stream of which the first events have arrived.
    Events {
        /// Status sent by the first server.
        status: StatusCode,
        /// Headers sent by the first server.
        headers: HeaderMap,
        /// Body with all events.
        body: ResponseBody,
    },
    /// A complete response that is not a stream.
    Complete(FullResponse),
}

/// Why a stream failed.
#[derive(Debug)]
enum StreamError {
    /// A server sent an error response.
    Response(Box<FullResponse>),
    /// The connection failed or no server was available.
    Failed(ForwardError),
}

/// The part of a stream that one server sends.
struct ServerStream {
    server: Rc<Server>,
    exchange: Exchange,
    guard: AttemptGuard,
    /// Keeps other requests off the server while this one may crash it.
    isolation: Option<Isolation>,
    parser: Parser,
    events: u32,
    /// Weight version announced in the response head; taken by the first event.
    version: Option<u64>,
}

/// Result of one read from a server's stream.
enum ReadOutcome {
    Events(Vec<Event>),
    End,
    Broken(&'static str),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// State of a stream that is being forwarded.
struct StreamRelay {
    gateway: Rc<Gateway>,
    outgoing: OutgoingRequest,
    /// The parts of the route that may run the request.
    parts: RouteParts,
    limits: RequestLimits,
    is_resumable: bool,
    /// Number of the last event sent to the client.
    last_event: u64,
    /// Whether any event was sent to the client.
    has_started: bool,
    /// Weight version of the last event.
    version: Option<u64>,
    /// Servers that were tried.
    history: AttemptHistory,
    /// How the quarantine allows the request to be sent.
    admitted_request: AdmittedRequest,
    /// Attempts that may have run the request.
    attempts_used: u32,
    current: Option<ServerStream>,
    /// Status and headers of the first server, until they are sent to the client.
    response_head: Option<(StatusCode, HeaderMap)>,
    /// Since when the stream has been waiting for a server.
    waiting_since: Option<Moment>,
    /// Accounts for the events that were read last and the partial event after them.
    reservation: Reservation,
    /// Whether events have had to wait for memory.
    has_waited_for_memory: bool,
}

/// Opens a stream and returns once the first events have arrived.
pub async fn open(
    gateway: &Rc<Gateway>,
    services: Vec<String>,
    outgoing: OutgoingRequest,
    limits: RequestLimits,
    is_resumable: bool,
) -> Result<StreamResponse, ForwardError> {
    let names = gateway.dialect.headers();
    let admitted = AdmittedRequest::admit(gateway, &outgoing).await;
    let admitted_request = admitted.map_err(ForwardError::Quarantined)?;
    let last_event = headers::text(&outgoing.headers, &names.last_event);
    let model = headers::text(&outgoing.headers, &names.model).map(|model| (model, 0));
    let configuration = gateway.configuration();
    let is_engine = |service: &str| {
        let services = configuration.as_ref().map(|configuration| &configuration.services);
        services.and_then(|services| services.get(service)).is_some_and(|known| known.is_engine)
    };
    // Only engines have model versions.
    let model_at = |service: &str| model.filter(|_| is_engine(service));
    let regions = limits.allowed_regions.as_ref();
    let Some(parts) = RouteParts::with_models(gateway, services, model_at, regions) else {
        return Err(ForwardError::NotRun(ATTEMPTS_EXHAUSTED));
    };
    let mut relay = StreamRelay {
        gateway: gateway.clone(),
        last_event: last_event.and_then(|value| value.trim().parse().ok()).unwrap_or(0),
        outgoing,
        parts,
        limits,
        is_resumable,
        has_started: false,
        version: None,
        history: AttemptHistory::default(),
        admitted_request,
        attempts_used: 0,
        current: None,
        response_head: None,
        waiting_since: None,
        reservation: gateway.response_memory.reserve(),
        has_waited_for_memory: false,
    };
    let first = match relay.next().await {
        Ok(first) => first,
        Err(StreamError::Response(response)) => return Ok(StreamResponse::Complete(*response)),
        Err(StreamError::Failed(error)) => return Err(error),
    };
    let (status, headers) = relay.response_head.take().unwrap_or_default();
    let body = match first {
        Some(first) => body(first, relay),
        // The stream ended without any event.
        None => ResponseBody::full(Bytes::new()),
    };
    Ok(StreamResponse::Events { status, headers, body })
}

/// Builds the response body, which starts with the events in `first`.
fn body(first: Bytes, relay: StreamRelay) -> ResponseBody {
    let state = (Some(first), Some(relay));
    ResponseBody::stream(stream::unfold(state, |(first, relay)| async move {
        let mut relay = relay?;
        if let Some(first) = first {
            return Some((Ok(first), (None, Some(relay))));
        }
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), (None, Some(relay)))),
            Ok(None) => None,
            Err(_) => Some((Err(io::Error::other("the stream broke off")), (None, None))),
        }
    }))
}

impl StreamRelay {
    /// Returns the next events, or `None` at the regular end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let mut current = match self.current.take() {
                Some(current) => current,
                None => self.start().await?,
            };
            match self.read(&mut current).await {
                ReadOutcome::Events(events) if !self.reserve(&current, &events).await => {
                    current.guard.fail(&AttemptFailure::ResponseRefused);
                    attempt::log_refused_response(&self.gateway, &self.outgoing.id, &NO_MEMORY);
                    self.log_stream_end(NO_MEMORY);
                    let deadline_passed = self.gateway.now() >= self.limits.deadline;
                    let error = self.final_error(deadline_passed, ATTEMPTS_EXHAUSTED);
                    return Err(StreamError::Failed(error));
                }
                ReadOutcome::Events(events) => match self.accept_events(&mut current, events) {
                    Ok(bytes) if bytes.is_empty() => self.current = Some(current),
                    Ok(bytes) => {
                        self.record_head(&current);
                        self.current = Some(current);
                        return Ok(Some(bytes));
                    }
                    Err(reason) => self.leave_server(current, reason)?,
                },
                ReadOutcome::End => {
                    self.record_head(&current);
                    self.finish(current);
                    return Ok(None);
                }
                ReadOutcome::Broken(reason) => self.leave_server(current, reason)?,
                ReadOutcome::DeadlineExceeded => {
                    current.guard.end(AttemptOutcome::Abandoned);
                    self.log_stream_end("time over");
                    return Err(StreamError::Failed(ForwardError::TimedOut));
                }
            }
        }
    }

    /// Reads the next events from the server.
    async fn read(&self, current: &mut ServerStream) -> ReadOutcome {
        let now = self.gateway.now();
        let time_left = self.limits.deadline.saturating_sub(now);
        let stall_timeout = if current.events == 0 { FIRST_EVENT_TIMEOUT } else { IDLE_TIMEOUT };
        let may_resume = self.may_attempt() && self.has_alternative(&current.server);
        let limit = if may_resume { stall_timeout.min(time_left) } else { time_left };
        let bytes = async { Some(current.exchange.next_bytes().await) };
        let stalled = async {
            wait::until(&self.gateway, now + limit).await;
            None
        };
        match bytes.or(stalled).await {
            None if limit >= time_left => ReadOutcome::DeadlineExceeded,
            None => ReadOutcome::Broken("silent"),
            Some(Ok(Some(bytes))) => match current.parser.push(&bytes) {
                Ok(events) => ReadOutcome::Events(events),
                Err(_) => ReadOutcome::Broken("malformed"),
            },
            Some(Ok(None)) if current.parser.is_between_events() => ReadOutcome::End,
            Some(Ok(None)) => ReadOutcome::Broken(attempt::TRUNCATED),
            Some(Err(_)) => ReadOutcome::Broken(attempt::CONNECTION_BROKEN),
        }
    }

    /// Accounts for the memory of events that were read. Waits for it until the deadline, without
    /// reading on; returns `false` if there is none by then, or there can't be.
    async fn reserve(&mut self, current: &ServerStream, events: &[Event]) -> bool {
        let bytes: usize = events.iter().map(|event| event.raw.len()).sum();
        let bytes = bytes + current.parser.buffered_bytes();
        if self.reservation.resize(bytes) {
            return true;
        }
        let gateway = self.gateway.clone();
        if bytes > gateway.response_memory.max_reservation() {
            return false;
        }
        self.log_memory_wait(bytes);
        let deadline = self.limits.deadline;
        let reserved = async {
            self.reservation.resize_when_released(bytes).await;
            true
        };
        let late = async {
            wait::until(&gateway, deadline).await;
            false
        };
        reserved.or(late).await
    }

    /// Logs the first wait for memory of the stream.
    fn log_memory_wait(&mut self, bytes: usize) {
        if std::mem::replace(&mut self.has_waited_for_memory, true) {
            return;
        }
        log::info!(
            "event=stream_waits_for_memory id={} bytes={bytes} held_bytes={} limit_bytes={}",
            self.outgoing.id,
            self.gateway.response_memory.reserved(),
            self.gateway.response_memory.limit()
        );
    }

    /// Checks the event numbers and returns the bytes to send to the client. If any event is out of
    /// sequence, the whole batch is discarded and requested again from the next server.
    fn accept_events(
        &mut self,
        current: &mut ServerStream,
        events: Vec<Event>,
    ) -> Result<Bytes, &'static str> {
        let numbers = events.iter().filter_map(|event| event.id);
        if numbers.zip(self.last_event + 1..).any(|(number, expected)| number != expected) {
            return Err("an event is missing or out of turn");
        }
        if let Some(billing) = self.outgoing.billing.as_ref().filter(|_| !events.is_empty()) {
            billing.mark_started(self.gateway.now());
        }
        let mut bytes = BytesMut::new();
        for event in events {
            self.last_event = event.id.unwrap_or(self.last_event);
            if event.version.is_none() && self.version_changed_on_resume(current) {
                bytes.extend_from_slice(self.version_line(current).as_bytes());
            }
            self.version = event.version.or(current.version.take()).or(self.version);
            self.has_started = true;
            current.events += 1;
            // The server has survived the start of the request; other requests may use it again.
            current.isolation = None;
            current.guard.disarm();
            bytes.extend_from_slice(&event.raw);
        }
        Ok(bytes.freeze())
    }

    /// Whether the next event comes from a resumed stream with a different weight version.
    fn version_changed_on_resume(&self, current: &ServerStream) -> bool {
        self.has_started && current.version.is_some() && current.version != self.version
    }

    /// Event field that announces the weight version of the current server.
    fn version_line(&self, current: &ServerStream) -> String {
        let field = &self.gateway.dialect.headers().weight_version;
        format!("{field}: {}\n", current.version.unwrap_or_default())
    }

    /// Keeps the head of the first server as the head of the whole response.
    fn record_head(&mut self, current: &ServerStream) {
        if self.response_head.is_none() {
            self.response_head =
                Some((current.exchange.status, headers::end_to_end(&current.exchange.headers)));
        }
    }

    fn finish(&mut self, current: ServerStream) {
        let per_event = current.guard.elapsed() / current.events.max(1);
        current.guard.end(AttemptOutcome::Succeeded(per_event));
        quarantine::note_response(&self.gateway, &self.outgoing, current.exchange.status);
        current.exchange.return_to_pool();
        self.log_stream_end("whole");
    }

    /// Records the failure of a server's stream; returns an error if the stream can't be resumed.
    fn leave_server(
        &mut self,
        current: ServerStream,
        reason: &'static str,
    ) -> Result<(), StreamError> {
        log::info!(
            "event=stream_left id={} server={} reason=\"{reason}\" last_event={} spent={}",
            self.outgoing.id,
            current.server.id,
            self.last_event,
            self.attempts_used
        );
        if attempt::is_connection_loss(reason) {
            let events = u64::from(current.events);
            crash_detection::note_broken_connection(
                &self.gateway,
                &current.server,
                &self.outgoing,
                events,
            );
        }
        current.guard.fail(&AttemptFailure::Unknown(reason));
        if self.may_attempt() {
            self.gateway.metrics.streams_resumed.inc();
            return Ok(());
        }
        self.log_stream_end(reason);
        Err(StreamError::Failed(ForwardError::Unknown))
    }

    fn log_stream_end(&self, outcome: &str) {
        log::info!(
            "event=stream_ended id={} outcome=\"{outcome}\" last_event={} servers={}",
            self.outgoing.id,
            self.last_event,
            self.attempts_used
        );
    }

    /// Whether another attempt may be started.
    fn may_attempt(&self) -> bool {
        let within_budget = self.attempts_used < self.limits.max_attempts;
        within_budget
            && (self.attempts_used == 0 || self.is_resumable)
            && self.admitted_request.may_send(&self.gateway, &self.outgoing)
            && self.gateway.now() < self.limits.deadline
    }

    /// Sends the request to servers until one starts a stream.
    async fn start(&mut self) -> Result<ServerStream, StreamError> {
        loop {
            if !self.may_attempt() {
                let deadline_passed = self.gateway.now() >= self.limits.deadline;
                return Err(StreamError::Failed(
                    self.final_error(deadline_passed, ATTEMPTS_EXHAUSTED),
                ));
            }
            self.admitted_request.set_isolation(&self.gateway, &self.outgoing, &mut self.history);
            let Choice { server: key, version_status } = match self.decide() {
                Decision::Place(choice) => choice,
                Decision::Wait(delay) => {
                    self.wait_for_server(delay).await;
                    continue;
                }
                Decision::Reject(rejection) => {
                    let deadline_passed = self.gateway.now() >= self.limits.deadline;
                    return Err(StreamError::Failed(self.final_error(deadline_passed, rejection)));
                }
            };
            let Some(server) = self.gateway.directory.borrow().by_key(key) else {
                log::error!("event=chosen_server_unknown server={key:?}");
                return Err(StreamError::Failed(self.final_error(false, ATTEMPTS_EXHAUSTED)));
            };
            self.parts.note_server(&self.gateway, &self.outgoing.id, &server);
            self.history.tried.push(key);
            self.attempts_used += 1;
            let mut guard = AttemptGuard::start(&self.gateway, &server);
            let is_isolated = self.history.is_isolated;
            let isolated =
                admitted_request::isolate(&self.gateway, &server, &self.outgoing, is_isolated)
                    .await;
            let Ok(isolation) = isolated else {
                self.handle_failed_attempt(AttemptFailure::Held, guard)?;
                continue;
            };
            guard.on_drop(crash_detection::disconnect_handler(
                &self.gateway,
                &server,
                self.outgoing.clone(),
                || false,
            ));
            self.admitted_request.note_start();
            let sent = self.send(&server, version_status).await;
            self.admitted_request.note_attempt(sent.as_ref().err());
            match sent {
                Ok(exchange) if exchange.status == StatusCode::OK => {
                    self.waiting_since = None;
                    let field = &self.gateway.dialect.headers().weight_version;
                    let parser = Parser::new(field.as_str());
                    let version = exchange.header(field).and_then(|value| value.parse().ok());
                    let events = 0;
                    return Ok(ServerStream {
                        server,
                        exchange,
                        guard,
                        isolation,
                        parser,
                        events,
                        version,
                    });
                }
                Ok(exchange) => self.handle_error_response(exchange, guard).await?,
                Err(failure) => {
                    if matches!(failure, AttemptFailure::BrokenOff) {
                        crash_detection::note_broken_connection(
                            &self.gateway,
                            &server,
                            &self.outgoing,
                            0,
                        );
                    }
                    self.handle_failed_attempt(failure, guard)?;
                }
            }
        }
    }

    async fn send(
        &self,
        server: &Server,
        version_status: VersionStatus,
    ) -> Result<Exchange, AttemptFailure> {
        let mut outgoing = self.outgoing.clone();
        let names = self.gateway.dialect.headers();
        if self.last_event > 0 {
            let last_event = HeaderValue::from(self.last_event);
            outgoing.headers.insert(names.last_event.clone(), last_event);
        }
        if let VersionStatus::Expected(version) = version_status {
            outgoing.headers.insert(names.expected_version.clone(), HeaderValue::from(version));
        }
        let time_left = self.limits.deadline.saturating_sub(self.gateway.now());
        let limit = if self.is_resumable { time_left.min(FIRST_EVENT_TIMEOUT) } else { time_left };
        let until = self.gateway.now() + limit;
        let late = async {
            wait::until(&self.gateway, until).await;
            Err(AttemptFailure::Unknown("no head in time"))
        };
        attempt::send(&self.gateway, server, &outgoing, time_left).or(late).await
    }

    /// Handles a response that is not a stream.
    async fn handle_error_response(
        &mut self,
        exchange: Exchange,
        guard: AttemptGuard,
    ) -> Result<(), StreamError> {
        let is_retried = exchange.status.is_server_error();
        let response =
            match attempt::read_response(&self.gateway, &self.outgoing.id, exchange).await {
                Ok(response) => response,
                Err(failure) => return self.handle_failed_attempt(failure, guard),
            };
        quarantine::note_response(&self.gateway, &self.outgoing, response.status);
        guard.end(AttemptOutcome::Abandoned);
        if is_retried && self.may_attempt() {
            return Ok(());
        }
        Err(StreamError::Response(Box::new(response)))
    }

    /// Handles an attempt that got no response.
    fn handle_failed_attempt(
        &mut self,
        failure: AttemptFailure,
        guard: AttemptGuard,
    ) -> Result<(), StreamError> {
        guard.fail(&failure);
        match failure {
            AttemptFailure::NotRun
            | AttemptFailure::Misdirected
            | AttemptFailure::NotSent
            | AttemptFailure::Held => {
                self.attempts_used -= 1;
                Ok(())
            }
            AttemptFailure::BrokenOff | AttemptFailure::Unknown(_) if self.may_attempt() => Ok(()),
            AttemptFailure::BrokenOff
            | AttemptFailure::ResponseRefused
            | AttemptFailure::Unknown(_) => {
                let deadline_passed = self.gateway.now() >= self.limits.deadline;
                Err(StreamError::Failed(self.final_error(deadline_passed, ATTEMPTS_EXHAUSTED)))
            }
        }
    }

    fn final_error(&self, deadline_passed: bool, rejection: Rejection) -> ForwardError {
        if self.attempts_used == 0 && !self.has_started {
            ForwardError::NotRun(rejection)
        } else if deadline_passed {
            ForwardError::TimedOut
        } else {
            ForwardError::Unknown
        }
    }

    /// Waits before the next attempt to find a server.
    async fn wait_for_server(&mut self, delay: Duration) {
        self.waiting_since.get_or_insert(self.gateway.now());
        // Servers that rejected the request or broke the stream may be tried again.
        self.history.tried.clear();
        Timer::after(delay).await;
    }

    fn has_alternative(&self, server: &Server) -> bool {
        let placer = &self.gateway.directory.borrow().placer;
        let now = self.gateway.now();
        self.parts.all().iter().any(|part| placer.has_alternative(now, part, &server.id))
    }

    /// Asks the placement for the next step of the request.
    fn decide(&self) -> Decision {
        let gateway = &self.gateway;
        let now = gateway.now();
        let wait = WaitState {
            since: self.waiting_since.unwrap_or(now),
            deadline: self.limits.deadline,
            target: self.limits.target_latency,
            was_sent: true,
        };
        let decision = {
            let placer = &mut gateway.directory.borrow_mut().placer;
            placer.place_split_stream(now, self.parts.all(), &self.history, &wait)
        };
        permits::request_permits(gateway);
        decision
    }
}
