//! Streams of events, passed on to a client event by event.
//!
//! Nothing is sent to the client before the first event is there: what fails until then is answered
//! with a status. A stream that may be resumed goes on at another server when its own breaks off or
//! falls silent, after the last event that the client was sent. Only whole events are passed on, so
//! that the continuation fits whatever the first server had begun.

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
use heronbend::placement::Requirements;
use heronbend::placement::VersionStatus;
use heronbend::placement::WaitState;
use heronbend::Moment;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use smol::Timer;

use crate::configuration::Configuration;
use crate::directory::Server;
use crate::events::Event;
use crate::events::Parser;
use crate::exchange;
use crate::exchange::AttemptFailure;
use crate::exchange::CountedAttempt;
use crate::exchange::Outgoing;
use crate::forward::Allowance;
use crate::forward::ForwardError;
use crate::forward::SPENT;
use crate::gateway::Gateway;
use crate::headers;
use crate::http::client::Exchange;
use crate::http::client::WholeAnswer;
use crate::http::AnswerBody;
use crate::permits;
use crate::places;
use crate::quarantine;
use crate::quarantine::evidence;
use crate::quarantine::passage;
use crate::quarantine::Isolation;
use crate::quarantine::Passage;
use crate::wait;

/// Silence before the first event after which a resumable stream is moved. A request may wait in
/// the server's queue.
const FIRST_SILENCE: Duration = Duration::from_millis(1500);
/// Silence between events after which it is moved; clients bear two seconds.
const SILENCE: Duration = Duration::from_millis(1200);

/// The answer to a request for a stream.
pub enum Opened {
    /// The first events are there, and others follow.
    Events {
        /// Status of the first server.
        status: StatusCode,
        /// Headers of the first server.
        headers: HeaderMap,
        /// The events.
        body: AnswerBody,
    },
    /// A server answered without a stream.
    Whole(WholeAnswer),
}

/// Why a stream ended before its end.
#[derive(Debug)]
enum Break {
    /// A server answered with a failure.
    Answered(Box<WholeAnswer>),
    /// It failed, or no server took it.
    Failed(ForwardError),
}

/// One server's part of a stream.
struct Run {
    server: Rc<Server>,
    exchange: Exchange,
    counted: CountedAttempt,
    /// Keeps others from the server where the request may end it.
    isolation: Option<Isolation>,
    parser: Parser,
    events: u32,
    /// Version of the weights that the answer starts under.
    version: Option<u64>,
}

/// What one look at a server's stream gave.
enum Piece {
    Events(Vec<Event>),
    End,
    Broken(&'static str),
    /// The time of the request is over.
    TimeOver,
}

/// A stream that is being passed on.
struct Relay {
    gateway: Rc<Gateway>,
    outgoing: Outgoing,
    need: Requirements,
    allowance: Allowance,
    is_resumable: bool,
    /// Number of the last event that was passed on.
    last_event: u64,
    /// Whether an event was passed on.
    has_begun: bool,
    /// Version of the weights that made the last event.
    version: Option<u64>,
    /// Servers that were sent the request.
    history: AttemptHistory,
    /// How it may be sent to servers, for what is known of requests like it.
    passage: Passage,
    /// Servers that may have run it.
    spent: u32,
    run: Option<Run>,
    /// Head of the first server.
    head: Option<(StatusCode, HeaderMap)>,
    /// Since when no server could be found.
    unplaced_since: Option<Moment>,
}

/// Opens a stream; returns once its first events are there.
pub async fn open(
    gateway: &Rc<Gateway>,
    service: &str,
    outgoing: Outgoing,
    allowance: Allowance,
    is_resumable: bool,
) -> Result<Opened, ForwardError> {
    let names = gateway.dialect.headers();
    let admitted = Passage::begin(gateway, &outgoing).await;
    let passage = admitted.map_err(ForwardError::Quarantined)?;
    let last_event = headers::text(&outgoing.headers, &names.last_event);
    let model = headers::text(&outgoing.headers, &names.model).map(|model| (model, 0));
    let is_engine = |configuration: &Configuration| {
        configuration.services.get(service).is_some_and(|service| service.is_engine)
    };
    // Only servers that run models have versions of them.
    let model = model.filter(|_| gateway.configuration().as_deref().is_some_and(is_engine));
    let need = places::need(gateway, service, model, allowance.homes.as_ref());
    let mut relay = Relay {
        gateway: gateway.clone(),
        last_event: last_event.and_then(|value| value.trim().parse().ok()).unwrap_or(0),
        outgoing,
        need,
        allowance,
        is_resumable,
        has_begun: false,
        version: None,
        history: AttemptHistory::default(),
        passage,
        spent: 0,
        run: None,
        head: None,
        unplaced_since: None,
    };
    let first = match relay.next().await {
        Ok(first) => first,
        Err(Break::Answered(answer)) => return Ok(Opened::Whole(*answer)),
        Err(Break::Failed(error)) => return Err(error),
    };
    let (status, headers) = relay.head.take().unwrap_or_default();
    let body = match first {
        Some(first) => body(first, relay),
        // It ended without an event.
        None => AnswerBody::whole(Bytes::new()),
    };
    Ok(Opened::Events { status, headers, body })
}

/// The body of a stream whose first events are `first`.
fn body(first: Bytes, relay: Relay) -> AnswerBody {
    let state = (Some(first), Some(relay));
    AnswerBody::pieces(stream::unfold(state, |(first, relay)| async move {
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

impl Relay {
    /// The next events; nothing at the stream's proper end.
    async fn next(&mut self) -> Result<Option<Bytes>, Break> {
        loop {
            let mut run = match self.run.take() {
                Some(run) => run,
                None => self.start().await?,
            };
            match self.read(&mut run).await {
                Piece::Events(events) => match self.take(&mut run, events) {
                    Ok(bytes) if bytes.is_empty() => self.run = Some(run),
                    Ok(bytes) => {
                        self.note_head(&run);
                        self.run = Some(run);
                        return Ok(Some(bytes));
                    }
                    Err(reason) => self.leave(run, reason)?,
                },
                Piece::End => {
                    self.note_head(&run);
                    self.finish(run);
                    return Ok(None);
                }
                Piece::Broken(reason) => self.leave(run, reason)?,
                Piece::TimeOver => {
                    run.counted.end(AttemptOutcome::Abandoned);
                    self.log_end("time over");
                    return Err(Break::Failed(ForwardError::TimedOut));
                }
            }
        }
    }

    /// Waits for what a server sends next.
    async fn read(&self, run: &mut Run) -> Piece {
        let now = self.gateway.now();
        let left = self.allowance.deadline.saturating_sub(now);
        let silence = if run.events == 0 { FIRST_SILENCE } else { SILENCE };
        let may_move = self.may_run_again() && self.has_other(&run.server);
        let limit = if may_move { silence.min(left) } else { left };
        let bytes = async { Some(run.exchange.next_bytes().await) };
        let silent = async {
            wait::until(&self.gateway, now + limit).await;
            None
        };
        match bytes.or(silent).await {
            None if limit >= left => Piece::TimeOver,
            None => Piece::Broken("silent"),
            Some(Ok(Some(bytes))) => match run.parser.push(&bytes) {
                Ok(events) => Piece::Events(events),
                Err(_) => Piece::Broken("malformed"),
            },
            Some(Ok(None)) if run.parser.is_between_events() => Piece::End,
            Some(Ok(None)) => Piece::Broken(exchange::CUT),
            Some(Err(_)) => Piece::Broken(exchange::BROKEN_OFF),
        }
    }

    /// Takes events in; the bytes that go to the client. Of events that are not in turn none counts:
    /// the next server is asked for all of them.
    fn take(&mut self, run: &mut Run, events: Vec<Event>) -> Result<Bytes, &'static str> {
        let numbers = events.iter().filter_map(|event| event.id);
        if numbers.zip(self.last_event + 1..).any(|(number, due)| number != due) {
            return Err("an event is missing or out of turn");
        }
        if let Some(billing) = self.outgoing.billing.as_ref().filter(|_| !events.is_empty()) {
            billing.began(self.gateway.now());
        }
        let mut bytes = BytesMut::new();
        for event in events {
            self.last_event = event.id.unwrap_or(self.last_event);
            if event.version.is_none() && self.continues_under_another(run) {
                bytes.extend_from_slice(self.version_line(run).as_bytes());
            }
            self.version = event.version.or(run.version.take()).or(self.version);
            self.has_begun = true;
            run.events += 1;
            // It has begun and its server lives: others need not wait for its end.
            run.isolation = None;
            run.counted.disarm();
            bytes.extend_from_slice(&event.raw);
        }
        Ok(bytes.freeze())
    }

    /// Whether the next event is the first of a server whose weights differ from those before.
    fn continues_under_another(&self, run: &Run) -> bool {
        self.has_begun && run.version.is_some() && run.version != self.version
    }

    /// The line by which an event tells of other weights than the one before.
    fn version_line(&self, run: &Run) -> String {
        let field = &self.gateway.dialect.headers().weight_version;
        format!("{field}: {}\n", run.version.unwrap_or_default())
    }

    /// The first server's head is that of the whole answer.
    fn note_head(&mut self, run: &Run) {
        if self.head.is_none() {
            self.head = Some((run.exchange.status, headers::passed_on(&run.exchange.headers)));
        }
    }

    fn finish(&mut self, run: Run) {
        let per_event = run.counted.elapsed() / run.events.max(1);
        run.counted.end(AttemptOutcome::Succeeded(per_event));
        quarantine::note_answer(&self.gateway, &self.outgoing, run.exchange.status);
        run.exchange.keep();
        self.log_end("whole");
    }

    /// Leaves a server whose stream broke; an error when the stream cannot go on.
    fn leave(&mut self, run: Run, reason: &'static str) -> Result<(), Break> {
        log::info!(
            "event=stream_left id={} server={} reason=\"{reason}\" last_event={} spent={}",
            self.outgoing.id,
            run.server.id,
            self.last_event,
            self.spent
        );
        if exchange::is_break(reason) {
            let events = u64::from(run.events);
            evidence::note_break(&self.gateway, &run.server, &self.outgoing, events);
        }
        run.counted.fail(&AttemptFailure::Unknown(reason));
        if self.may_run_again() {
            self.gateway.metrics.streams_resumed.inc();
            return Ok(());
        }
        self.log_end(reason);
        Err(Break::Failed(ForwardError::Unknown))
    }

    fn log_end(&self, outcome: &str) {
        log::info!(
            "event=stream_ended id={} outcome=\"{outcome}\" last_event={} servers={}",
            self.outgoing.id,
            self.last_event,
            self.spent
        );
    }

    /// Whether another server may run it.
    fn may_run_again(&self) -> bool {
        let within_budget = self.spent < self.allowance.max_attempts;
        within_budget
            && (self.spent == 0 || self.is_resumable)
            && self.passage.is_open(&self.gateway, &self.outgoing)
            && self.gateway.now() < self.allowance.deadline
    }

    /// Sends the request to a server, until one has begun to answer.
    async fn start(&mut self) -> Result<Run, Break> {
        loop {
            if !self.may_run_again() {
                let is_late = self.gateway.now() >= self.allowance.deadline;
                return Err(Break::Failed(self.reason_to_give_up(is_late, SPENT)));
            }
            self.passage.keep_apart(&self.gateway, &self.outgoing, &mut self.history);
            let Choice { server: key, version_status } = match self.decide() {
                Decision::Place(choice) => choice,
                Decision::Wait(rest) => {
                    self.wait_for_server(rest).await;
                    continue;
                }
                Decision::Reject(rejection) => {
                    let is_late = self.gateway.now() >= self.allowance.deadline;
                    return Err(Break::Failed(self.reason_to_give_up(is_late, rejection)));
                }
            };
            let Some(server) = self.gateway.directory.borrow().chosen(key) else {
                log::error!("event=chosen_server_unknown server={key:?}");
                return Err(Break::Failed(self.reason_to_give_up(false, SPENT)));
            };
            self.history.tried.push(key);
            self.spent += 1;
            let mut counted = CountedAttempt::begin(&self.gateway, &server);
            let is_alone = self.history.is_isolated;
            let isolated = passage::isolate(&self.gateway, &server, &self.outgoing, is_alone).await;
            let Ok(isolation) = isolated else {
                self.take_attempt(AttemptFailure::Held, counted)?;
                continue;
            };
            counted.on_drop({
                let (gateway, server) = (self.gateway.clone(), server.clone());
                let outgoing = self.outgoing.clone();
                move || evidence::note_left(&gateway, &server, &outgoing)
            });
            let sent = self.send(&server, version_status).await;
            self.passage.note_attempt(sent.as_ref().err());
            match sent {
                Ok(exchange) if exchange.status == StatusCode::OK => {
                    self.unplaced_since = None;
                    let field = &self.gateway.dialect.headers().weight_version;
                    let parser = Parser::new(field.as_str());
                    let version = exchange.header(field).and_then(|value| value.parse().ok());
                    let events = 0;
                    return Ok(Run {
                        server,
                        exchange,
                        counted,
                        isolation,
                        parser,
                        events,
                        version,
                    });
                }
                Ok(exchange) => self.take_failure(exchange, counted).await?,
                Err(failure) => {
                    if matches!(failure, AttemptFailure::BrokenOff) {
                        evidence::note_break(&self.gateway, &server, &self.outgoing, 0);
                    }
                    self.take_attempt(failure, counted)?;
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
        let left = self.allowance.deadline.saturating_sub(self.gateway.now());
        let limit = if self.is_resumable { left.min(FIRST_SILENCE) } else { left };
        let until = self.gateway.now() + limit;
        let late = async {
            wait::until(&self.gateway, until).await;
            Err(AttemptFailure::Unknown("no head in time"))
        };
        exchange::begin(&self.gateway, server, &outgoing, left).or(late).await
    }

    /// Takes an answer that is not a stream.
    async fn take_failure(
        &mut self,
        exchange: Exchange,
        counted: CountedAttempt,
    ) -> Result<(), Break> {
        let is_retried = exchange.status.is_server_error();
        let answer = match exchange::read_whole(exchange).await {
            Ok(answer) => answer,
            Err(failure) => return self.take_attempt(failure, counted),
        };
        quarantine::note_answer(&self.gateway, &self.outgoing, answer.status);
        counted.end(AttemptOutcome::Abandoned);
        if is_retried && self.may_run_again() {
            return Ok(());
        }
        Err(Break::Answered(Box::new(answer)))
    }

    /// Takes an attempt that gave no answer.
    fn take_attempt(
        &mut self,
        failure: AttemptFailure,
        counted: CountedAttempt,
    ) -> Result<(), Break> {
        counted.fail(&failure);
        match failure {
            AttemptFailure::NotRun | AttemptFailure::NotSent | AttemptFailure::Held => {
                self.spent -= 1;
                Ok(())
            }
            _ if self.may_run_again() => Ok(()),
            AttemptFailure::BrokenOff | AttemptFailure::Unknown(_) => {
                let is_late = self.gateway.now() >= self.allowance.deadline;
                Err(Break::Failed(self.reason_to_give_up(is_late, SPENT)))
            }
        }
    }

    fn reason_to_give_up(&self, is_late: bool, rejection: Rejection) -> ForwardError {
        if self.spent == 0 && !self.has_begun {
            ForwardError::NotRun(rejection)
        } else if is_late {
            ForwardError::TimedOut
        } else {
            ForwardError::Unknown
        }
    }

    /// Waits before servers are looked at again.
    async fn wait_for_server(&mut self, rest: Duration) {
        self.unplaced_since.get_or_insert(self.gateway.now());
        // Servers that refused, or broke off a stream that goes on, may be asked again.
        self.history.tried.clear();
        Timer::after(rest).await;
    }

    fn has_other(&self, server: &Server) -> bool {
        let placer = &self.gateway.directory.borrow().placer;
        placer.has_alternative(self.gateway.now(), &self.need, &server.id)
    }

    /// What becomes of the request now.
    fn decide(&self) -> Decision {
        let gateway = &self.gateway;
        let now = gateway.now();
        let wait = WaitState {
            since: self.unplaced_since.unwrap_or(now),
            deadline: self.allowance.deadline,
            target: self.allowance.target_latency,
            was_sent: true,
        };
        let answer = {
            let placer = &mut gateway.directory.borrow_mut().placer;
            placer.place_stream(now, &self.need, &self.history, &wait)
        };
        permits::ask(gateway);
        answer
    }
}
