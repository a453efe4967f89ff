//! Request forwarding with retries, backoff and hedging within a request's deadline.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::admission::call_queue::Refusal;
use heronbend::admission::RetryToken;
use heronbend::placement::wait_policy::DEFAULT_RETRY_AFTER;
use heronbend::placement::AttemptHistory;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Decision;
use heronbend::placement::Rejection;
use heronbend::placement::WaitState;
use heronbend::quarantine::Refused;
use heronbend::Moment;
use http::{HeaderValue, StatusCode};
use smol::channel::{bounded, Sender};
use smol::{Task, Timer};

use crate::attempt::{self, AttemptFailure, AttemptGuard, OutgoingRequest};
use crate::call_admission::AdmittedCall;
use crate::configuration::Route;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::http::client::FullResponse;
use crate::permits;
use crate::quarantine;
use crate::quarantine::admitted_request;
use crate::quarantine::crash_detection;
use crate::quarantine::AdmittedRequest;
use crate::route_parts::RouteParts;
use crate::wait;

/// Fraction of the target latency after which an idempotent request is hedged.
const HEDGE_DELAY_RATIO: f64 = 0.5;
/// Number of servers that may reject a call, whose service is limited, before it is refused.
const MAX_REJECTIONS: u32 = 3;
/// Retry tokens that each request adds to the shared retry budget.
const RETRY_RATIO: f64 = 0.5;

/// Why a request got no response from a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ForwardError {
    /// The request was not run.
    NotRun(Rejection),
    /// The request was not run: it was not admitted, or all servers it was sent to are full.
    Overloaded(Refusal),
    /// The request may have run, but no response arrived.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The request is quarantined because similar requests crashed servers.
    Quarantined(Refused),
}

impl ForwardError {
    /// HTTP status of the response to the client.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotRun(_) | Self::Overloaded(_) | Self::Quarantined(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Rejection of a request whose deadline passed or whose attempts were used up before a server
/// accepted it.
pub(crate) const ATTEMPTS_EXHAUSTED: Rejection =
    Rejection { reason: None, retry_after: DEFAULT_RETRY_AFTER };

/// Deadline, attempts and placement limits of a request.
#[derive(Debug, Clone)]
pub struct RequestLimits {
    /// Time at which the client stops waiting.
    pub deadline: Moment,
    /// Whether the request may run on more than one server.
    pub is_idempotent: bool,
    /// Maximum number of servers that may run the request.
    pub max_attempts: u32,
    /// Latency objective; determines when the request is hedged.
    pub target_latency: Duration,
    /// Regions in which the request may run; `None` allows all.
    pub allowed_regions: Option<BTreeSet<String>>,
}

impl RequestLimits {
    /// Returns the limits of a request that arrived at `arrived`. `client_timeout` can only shorten
    /// the timeout of the route.
    pub fn for_route(
        route: &Route,
        arrived: Moment,
        client_timeout: Option<Duration>,
        allowed_regions: Option<BTreeSet<String>>,
    ) -> Self {
        let timeout = client_timeout
            .map_or(route.timeout, |client_timeout| client_timeout.min(route.timeout));
        Self {
            deadline: arrived + timeout,
            is_idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts.max(1),
            target_latency: route.target_latency,
            allowed_regions,
        }
    }
}

enum Event {
    AttemptEnded(Result<FullResponse, AttemptFailure>),
    HedgeDue,
    DeadlinePassed,
}

/// State of a request that is being forwarded.
struct ForwardedRequest {
    gateway: Rc<Gateway>,
    outgoing: Rc<OutgoingRequest>,
    /// The parts of the route that may run the request.
    parts: RouteParts,
    limits: RequestLimits,
    /// Servers that were tried.
    history: AttemptHistory,
    /// When the request started to wait for a server.
    started_at: Moment,
    /// How the quarantine allows the request to be sent.
    admitted_request: AdmittedRequest,
    /// How the call was admitted to its service.
    admitted_call: AdmittedCall,
    /// Attempts that servers rejected without running the request.
    rejections: u32,
    /// Attempts that may have run the request.
    attempts_used: u32,
    /// Token of the next retry.
    retry_token: RetryToken,
    attempt_tasks: Vec<Task<()>>,
    /// Whether a response was refused. Another attempt would need as much memory.
    is_response_refused: bool,
    /// Whether a server has responded. Attempts dropped after that were not cancelled by the
    /// client.
    is_answered: Rc<Cell<bool>>,
    last_failure: Option<FullResponse>,
}

/// Why an attempt is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// No other attempt is in flight.
    Answer,
    /// The attempt in flight is slow.
    Hedge,
}

/// Result of starting an attempt.
enum StartOutcome {
    /// The attempt is in flight.
    Started,
    /// No server is available; retry after this delay.
    Wait(Duration),
    /// No server can run the request before its deadline.
    Rejected(Rejection),
}

/// Forwards a request to the servers of its route until one responds. Servers of another part than
/// its own are used only if that one cannot serve it.
///
/// Dropping the returned future closes the connections of all attempts in flight.
pub async fn forward(
    gateway: &Rc<Gateway>,
    parts: RouteParts,
    outgoing: OutgoingRequest,
    limits: RequestLimits,
    admitted_call: AdmittedCall,
) -> Result<FullResponse, ForwardError> {
    gateway.retries.borrow_mut().deposit(RETRY_RATIO);
    let admitted = AdmittedRequest::admit(gateway, &outgoing).await;
    let admitted_request = admitted.map_err(ForwardError::Quarantined)?;
    let request = ForwardedRequest {
        gateway: gateway.clone(),
        outgoing: Rc::new(outgoing),
        parts,
        limits,
        history: AttemptHistory::default(),
        started_at: gateway.now(),
        admitted_request,
        admitted_call,
        rejections: 0,
        attempts_used: 0,
        retry_token: RetryToken::default(),
        attempt_tasks: Vec::new(),
        is_response_refused: false,
        is_answered: Rc::default(),
        last_failure: None,
    };
    request.run().await
}

impl ForwardedRequest {
    async fn run(mut self) -> Result<FullResponse, ForwardError> {
        let (sender, results) = bounded(16);
        let mut hedge_at = self.started_at + self.limits.target_latency.mul_f64(HEDGE_DELAY_RATIO);
        let mut in_flight = 0_usize;
        loop {
            if in_flight == 0 {
                if let Some(refusal) = self.refuse_if_full(self.rejections >= MAX_REJECTIONS) {
                    return Err(ForwardError::Overloaded(refusal));
                }
                if !self.may_attempt() || !self.take_retry_token() {
                    return self.give_up(ATTEMPTS_EXHAUSTED);
                }
                match self.start_attempt(&sender, Purpose::Answer) {
                    StartOutcome::Started => {
                        self.retry_token.spend();
                        in_flight += 1;
                    }
                    StartOutcome::Rejected(rejection) => return self.give_up(rejection),
                    StartOutcome::Wait(delay) => {
                        if let Some(refusal) = self.refuse_if_full(self.rejections > 0) {
                            return Err(ForwardError::Overloaded(refusal));
                        }
                        self.wait_for_server(delay).await;
                        continue;
                    }
                }
            }
            match self.next_event(&results, hedge_at).await {
                Event::DeadlinePassed => return self.deadline_result(),
                Event::HedgeDue => {
                    hedge_at = self.limits.deadline;
                    if self.admitted_call.may_hedge() && self.start_hedge(&sender) {
                        self.gateway.metrics.hedges.inc();
                        in_flight += 1;
                    }
                }
                Event::AttemptEnded(result) => {
                    in_flight -= 1;
                    if let Some(response) = self.process_result(result) {
                        self.is_answered.set(true);
                        return Ok(response);
                    }
                }
            }
        }
    }

    async fn next_event(
        &self,
        results: &smol::channel::Receiver<Result<FullResponse, AttemptFailure>>,
        hedge_at: Moment,
    ) -> Event {
        let may_hedge =
            self.limits.is_idempotent && !self.history.is_isolated && self.may_attempt();
        let hedge_pending = may_hedge && hedge_at < self.limits.deadline;
        let wake_at = if hedge_pending { hedge_at } else { self.limits.deadline };
        let response = async {
            match results.recv().await {
                Ok(result) => Event::AttemptEnded(result),
                Err(_) => Event::DeadlinePassed,
            }
        };
        let wake = async {
            wait::until(&self.gateway, wake_at).await;
            if hedge_pending {
                Event::HedgeDue
            } else {
                Event::DeadlinePassed
            }
        };
        response.or(wake).await
    }

    /// Whether another attempt may be started.
    fn may_attempt(&self) -> bool {
        let within_budget = self.attempts_used < self.limits.max_attempts;
        let may_repeat = self.attempts_used == 0 || self.limits.is_idempotent;
        within_budget
            && may_repeat
            && !self.is_response_refused
            && self.admitted_request.may_send(&self.gateway, &self.outgoing)
            && self.gateway.now() < self.limits.deadline
    }

    /// Takes a token from the retry budget unless one is held; the first attempt needs none.
    fn take_retry_token(&mut self) -> bool {
        let within_budget = self.attempts_used == 0
            || self.retry_token.take(&mut self.gateway.retries.borrow_mut());
        if !within_budget {
            self.gateway.metrics.retries_suppressed.inc();
        }
        within_budget
    }

    /// Starts a second attempt beside the first; returns whether a server was available.
    fn start_hedge(&mut self, sender: &Sender<Result<FullResponse, AttemptFailure>>) -> bool {
        matches!(self.start_attempt(sender, Purpose::Hedge), StartOutcome::Started)
    }

    /// Starts an attempt on the best server that has not been tried yet.
    fn start_attempt(
        &mut self,
        sender: &Sender<Result<FullResponse, AttemptFailure>>,
        purpose: Purpose,
    ) -> StartOutcome {
        self.admitted_request.set_isolation(&self.gateway, &self.outgoing, &mut self.history);
        let choice = match self.decide(purpose) {
            Decision::Place(choice) => choice,
            Decision::Wait(delay) => return StartOutcome::Wait(delay),
            Decision::Reject(rejection) => return StartOutcome::Rejected(rejection),
        };
        let Some(server) = self.gateway.directory.borrow().by_key(choice.server) else {
            log::error!("event=chosen_server_unknown server={:?}", choice.server);
            return StartOutcome::Rejected(ATTEMPTS_EXHAUSTED);
        };
        self.parts.note_server(&self.gateway, &self.outgoing.id, &server);
        self.history.tried.push(choice.server);
        self.attempts_used += 1;
        self.admitted_request.note_start();
        // Counted before the task is spawned, so that the next placement decision includes this
        // attempt.
        let guard = AttemptGuard::start(&self.gateway, &server);
        let attempt = Attempt {
            gateway: self.gateway.clone(),
            server,
            outgoing: self.outgoing.clone(),
            deadline: self.limits.deadline,
            is_isolated: self.history.is_isolated,
            is_answered: self.is_answered.clone(),
            admitted_call: self.admitted_call.clone(),
        };
        let sender = sender.clone();
        let task = self.gateway.executor.spawn(async move {
            let result = attempt.run(guard).await;
            let _ = sender.send(result).await;
        });
        self.attempt_tasks.push(task);
        StartOutcome::Started
    }

    /// Asks the placement for the next step of the request.
    fn decide(&self, purpose: Purpose) -> Decision {
        let gateway = &self.gateway;
        let parts = match purpose {
            Purpose::Answer => self.parts.all(),
            // A second attempt elsewhere would shift the shares of the parts.
            Purpose::Hedge => self.parts.own(),
        };
        let wait = WaitState {
            since: self.started_at,
            deadline: self.limits.deadline,
            target: self.limits.target_latency,
            was_sent: !self.history.tried.is_empty(),
        };
        let decision = {
            let mut directory = gateway.directory.borrow_mut();
            let pool = &gateway.server_connections;
            directory.place_call(gateway.now(), pool, parts, &self.history, &wait)
        };
        permits::request_permits(gateway);
        decision
    }

    /// Processes the result of an attempt; returns the response to send to the client, if there is
    /// one.
    fn process_result(
        &mut self,
        result: Result<FullResponse, AttemptFailure>,
    ) -> Option<FullResponse> {
        self.admitted_request.note_attempt(result.as_ref().err());
        match result {
            Ok(response) if response.status.is_server_error() && self.limits.is_idempotent => {
                self.last_failure = Some(response);
                None
            }
            Ok(response) => Some(response),
            Err(failure) if failure.is_not_run() => {
                self.attempts_used -= 1;
                if matches!(failure, AttemptFailure::NotRun) {
                    self.rejections += 1;
                    self.admitted_call.record_rejection();
                }
                None
            }
            Err(AttemptFailure::ResponseRefused) => {
                self.is_response_refused = true;
                None
            }
            Err(_) => None,
        }
    }

    /// Returns the refusal of a call that found all servers full, if its service is limited and
    /// no server may have run it.
    fn refuse_if_full(&self, found_full: bool) -> Option<Refusal> {
        let has_run = self.attempts_used > 0 || self.last_failure.is_some();
        if !found_full || has_run {
            return None;
        }
        self.admitted_call.refuse_found_full()
    }

    /// Waits before the next attempt to find a server.
    async fn wait_for_server(&mut self, delay: Duration) {
        if self.attempts_used == 0 || self.limits.is_idempotent {
            // Servers that rejected the request may be tried again. Servers that may have run it
            // are only tried again if it is idempotent.
            self.history.tried.clear();
        }
        Timer::after(delay).await;
    }

    fn give_up(self, rejection: Rejection) -> Result<FullResponse, ForwardError> {
        match self.last_failure {
            Some(response) => Ok(response),
            None if self.attempts_used == 0 => Err(ForwardError::NotRun(rejection)),
            None if self.gateway.now() >= self.limits.deadline => Err(ForwardError::TimedOut),
            None => Err(ForwardError::Unknown),
        }
    }

    fn deadline_result(self) -> Result<FullResponse, ForwardError> {
        self.last_failure.ok_or(ForwardError::TimedOut)
    }
}

/// One attempt of a request on one server.
struct Attempt {
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    outgoing: Rc<OutgoingRequest>,
    deadline: Moment,
    /// Whether the request must run on a server without other requests.
    is_isolated: bool,
    /// Whether any attempt of the request has been answered.
    is_answered: Rc<Cell<bool>>,
    /// How the call was admitted to its service.
    admitted_call: AdmittedCall,
}

impl Attempt {
    /// Sends the request and records the outcome for the server, the quarantine and billing.
    async fn run(self, mut guard: AttemptGuard) -> Result<FullResponse, AttemptFailure> {
        let (gateway, server) = (&self.gateway, &self.server);
        let isolated =
            admitted_request::isolate(gateway, server, &self.outgoing, self.is_isolated).await;
        let Ok(isolation) = isolated else {
            guard.fail(&AttemptFailure::Held);
            return Err(AttemptFailure::Held);
        };
        let is_answered = self.is_answered.clone();
        guard.on_drop(crash_detection::disconnect_handler(
            gateway,
            server,
            self.outgoing.clone(),
            move || is_answered.get(),
        ));
        let started_at = gateway.now();
        if let Some(billing) = self.outgoing.billing.as_deref() {
            billing.mark_sent(started_at);
        }
        let result = self.send_and_read().await;
        drop(isolation);
        self.record_outcome(&result);
        self.bill(started_at, &result);
        match &result {
            // Error responses must not count as fast successes, or a failing server would attract
            // more requests.
            Ok(response) if response.status.is_server_error() => guard.end(AttemptOutcome::Failed),
            Ok(_) => {
                let latency = guard.elapsed();
                self.admitted_call.record_answer(latency);
                guard.end(AttemptOutcome::Succeeded(latency));
            }
            Err(failure) => guard.fail(failure),
        }
        result
    }

    async fn send_and_read(&self) -> Result<FullResponse, AttemptFailure> {
        let time_left = self.deadline.saturating_sub(self.gateway.now());
        let exchange = attempt::send(&self.gateway, &self.server, &self.outgoing, time_left);
        attempt::read_response(&self.gateway, &self.outgoing.id, exchange.await?).await
    }

    fn record_outcome(&self, result: &Result<FullResponse, AttemptFailure>) {
        match result {
            Ok(response) => {
                quarantine::note_response(&self.gateway, &self.outgoing, response.status)
            }
            Err(AttemptFailure::BrokenOff) => {
                crash_detection::note_broken_connection(
                    &self.gateway,
                    &self.server,
                    &self.outgoing,
                    0,
                );
            }
            Err(_) => {}
        }
    }

    fn bill(&self, started_at: Moment, result: &Result<FullResponse, AttemptFailure>) {
        let Some(billing) = self.outgoing.billing.as_deref() else {
            return;
        };
        match result {
            Ok(_) => billing.mark_started(started_at),
            Err(failure) if failure.is_not_run() => billing.mark_not_run(started_at),
            // Another attempt may succeed, which bills the request once.
            Err(_) => {}
        }
    }
}

/// Formats a duration as the value of a `Retry-After` header, in seconds with at least one decimal.
/// Coarser values would bring callers back together that were told different times.
pub fn retry_after(duration: Duration) -> HeaderValue {
    let millis = duration.as_secs_f64() * 1e3;
    HeaderValue::from_str(&format!("{:?}", millis.ceil() / 1e3))
        .unwrap_or(HeaderValue::from_static("1"))
}
