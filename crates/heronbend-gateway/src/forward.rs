//! Passing requests on to servers: attempts, retries and hedges within a request's time.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::placement::wait_policy::DEFAULT_RETRY_AFTER;
use heronbend::placement::AttemptHistory;
use heronbend::placement::AttemptOutcome;
use heronbend::placement::Decision;
use heronbend::placement::Rejection;
use heronbend::placement::Requirements;
use heronbend::placement::WaitState;
use heronbend::Moment;
use http::{HeaderValue, StatusCode};
use smol::channel::{bounded, Sender};
use smol::{Task, Timer};

use crate::attempt::{self, AttemptFailure, AttemptGuard, OutgoingRequest};
use crate::configuration::Route;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::http::client::WholeAnswer;
use crate::permits;
use crate::quarantine;
use crate::quarantine::evidence;
use crate::quarantine::passage;
use crate::quarantine::Passage;
use crate::quarantine::Refused;
use crate::slot_queue;
use crate::wait;

/// Share of the target latency after which a repeatable request is also sent to a second server.
const HEDGE_DELAY_RATIO: f64 = 0.5;
/// Retries after failures that each request pays for.
const RETRY_RATIO: f64 = 0.5;

/// Why a request has no response of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// It has not run and never will.
    NotRun(Rejection),
    /// It may have run; no server's response came.
    Unknown,
    /// Its time is over, and it may have run.
    TimedOut,
    /// It is not sent to servers, since requests like it results those that ran them.
    Quarantined(Refused),
}

impl ForwardError {
    /// The status that tells a caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotRun(_) | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The refusal of a request for which time or attempts ran out before a server took it.
pub(crate) const ATTEMPTS_EXHAUSTED: Rejection =
    Rejection { reason: None, retry_after: DEFAULT_RETRY_AFTER };

/// What a request may cost.
#[derive(Debug, Clone)]
pub struct RequestLimits {
    /// When the caller's time is over.
    pub deadline: Moment,
    /// Whether more than one server may run it.
    pub is_idempotent: bool,
    /// Most servers that may run it.
    pub max_attempts: u32,
    /// Time within which an response is of full value.
    pub target_latency: Duration,
    /// The regions in which it may run; anywhere where there are none.
    pub allowed_regions: Option<BTreeSet<String>>,
}

impl RequestLimits {
    /// The limits of a request that came at `arrived`, whose caller waits for `client_timeout`, and that
    /// may run in `allowed_regions`.
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
            is_idempotent: route.is_repeatable(),
            max_attempts: route.max_attempts.max(1),
            target_latency: route.target_latency,
            allowed_regions,
        }
    }
}

enum Event {
    AttemptEnded(Result<WholeAnswer, AttemptFailure>),
    HedgeDue,
    DeadlinePassed,
}

/// A request that is being passed on.
struct ForwardedRequest {
    gateway: Rc<Gateway>,
    outgoing: Rc<OutgoingRequest>,
    requirements: Requirements,
    limits: RequestLimits,
    /// Servers that have been sent it.
    history: AttemptHistory,
    /// When its wait for a server began.
    started_at: Moment,
    /// How it may be sent to servers, for what is known of requests like it.
    passage: Passage,
    /// Attempts that may have run it.
    attempts_used: u32,
    attempt_tasks: Vec<Task<()>>,
    /// Whether a server has answered: attempts that are dropped then had a caller who did not leave.
    is_answered: Rc<Cell<bool>>,
    last_failure: Option<WholeAnswer>,
}

/// What became of the start of an attempt.
enum StartOutcome {
    /// It is under way.
    Started,
    /// No server can be sent it for so long.
    Wait(Duration),
    /// None can be in time.
    Rejected(Rejection),
}

/// Passes a request on to the servers of a service until one has answered.
///
/// Dropping the returned future closes the connections to the servers that work on it.
pub async fn forward(
    gateway: &Rc<Gateway>,
    service: &str,
    outgoing: OutgoingRequest,
    limits: RequestLimits,
) -> Result<WholeAnswer, ForwardError> {
    gateway.retries.borrow_mut().deposit(RETRY_RATIO);
    let admitted = Passage::begin(gateway, &outgoing).await;
    let passage = admitted.map_err(ForwardError::Quarantined)?;
    let request = ForwardedRequest {
        gateway: gateway.clone(),
        outgoing: Rc::new(outgoing),
        requirements: slot_queue::requirements(
            gateway,
            service,
            None,
            limits.allowed_regions.as_ref(),
        ),
        limits,
        history: AttemptHistory::default(),
        started_at: gateway.now(),
        passage,
        attempts_used: 0,
        attempt_tasks: Vec::new(),
        is_answered: Rc::default(),
        last_failure: None,
    };
    request.run().await
}

impl ForwardedRequest {
    async fn run(mut self) -> Result<WholeAnswer, ForwardError> {
        let (sender, results) = bounded(16);
        let mut hedge_at = self.started_at + self.limits.target_latency.mul_f64(HEDGE_DELAY_RATIO);
        let mut in_flight = 0_usize;
        loop {
            if in_flight == 0 {
                if !self.may_attempt() || !self.take_retry_token() {
                    return self.give_up(ATTEMPTS_EXHAUSTED);
                }
                match self.start_attempt(&sender) {
                    StartOutcome::Started => in_flight += 1,
                    StartOutcome::Rejected(rejection) => return self.give_up(rejection),
                    StartOutcome::Wait(delay) => {
                        self.wait_for_server(delay).await;
                        continue;
                    }
                }
            }
            match self.next_event(&results, hedge_at).await {
                Event::DeadlinePassed => return self.deadline_result(),
                Event::HedgeDue => {
                    hedge_at = self.limits.deadline;
                    if matches!(self.start_attempt(&sender), StartOutcome::Started) {
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
        results: &smol::channel::Receiver<Result<WholeAnswer, AttemptFailure>>,
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

    /// Whether another server may be sent the request.
    fn may_attempt(&self) -> bool {
        let within_budget = self.attempts_used < self.limits.max_attempts;
        let may_repeat = self.attempts_used == 0 || self.limits.is_idempotent;
        within_budget
            && may_repeat
            && self.passage.is_open(&self.gateway, &self.outgoing)
            && self.gateway.now() < self.limits.deadline
    }

    /// Whether the retries that failures cause are still within their budget.
    fn take_retry_token(&self) -> bool {
        let within_budget = self.attempts_used == 0 || self.gateway.retries.borrow_mut().withdraw();
        if !within_budget {
            self.gateway.metrics.retries_withheld.inc();
        }
        within_budget
    }

    /// Starts an attempt at the best server that has not been tried.
    fn start_attempt(
        &mut self,
        sender: &Sender<Result<WholeAnswer, AttemptFailure>>,
    ) -> StartOutcome {
        self.passage.keep_apart(&self.gateway, &self.outgoing, &mut self.history);
        let choice = match self.decide() {
            Decision::Place(choice) => choice,
            Decision::Wait(delay) => return StartOutcome::Wait(delay),
            Decision::Reject(rejection) => return StartOutcome::Rejected(rejection),
        };
        let Some(server) = self.gateway.directory.borrow().by_key(choice.server) else {
            log::error!("event=chosen_server_unknown server={:?}", choice.server);
            return StartOutcome::Rejected(ATTEMPTS_EXHAUSTED);
        };
        self.history.tried.push(choice.server);
        self.attempts_used += 1;
        // Counted from now on: requests that are chosen for before the task has run must see it.
        let guard = AttemptGuard::start(&self.gateway, &server);
        let attempt = Attempt {
            gateway: self.gateway.clone(),
            server,
            outgoing: self.outgoing.clone(),
            deadline: self.limits.deadline,
            is_isolated: self.history.is_isolated,
            is_answered: self.is_answered.clone(),
        };
        let sender = sender.clone();
        let task = self.gateway.executor.spawn(async move {
            let result = attempt.run(guard).await;
            let _ = sender.send(result).await;
        });
        self.attempt_tasks.push(task);
        StartOutcome::Started
    }

    /// What becomes of the request now.
    fn decide(&self) -> Decision {
        let gateway = &self.gateway;
        let wait = WaitState {
            since: self.started_at,
            deadline: self.limits.deadline,
            target: self.limits.target_latency,
            was_sent: !self.history.tried.is_empty(),
        };
        let decision = {
            let mut directory = gateway.directory.borrow_mut();
            let pool = &gateway.server_connections;
            directory.place_call(gateway.now(), pool, &self.requirements, &self.history, &wait)
        };
        permits::request_permits(gateway);
        decision
    }

    /// Takes an attempt's end in; the response if it is to be passed on.
    fn process_result(
        &mut self,
        result: Result<WholeAnswer, AttemptFailure>,
    ) -> Option<WholeAnswer> {
        self.passage.note_attempt(result.as_ref().err());
        match result {
            Ok(response) if response.status.is_server_error() && self.limits.is_idempotent => {
                self.last_failure = Some(response);
                None
            }
            Ok(response) => Some(response),
            Err(
                AttemptFailure::Rejected
                | AttemptFailure::Unreachable
                | AttemptFailure::ServerReserved,
            ) => {
                self.attempts_used -= 1;
                None
            }
            Err(AttemptFailure::ConnectionBroken | AttemptFailure::Unknown(_)) => None,
        }
    }

    /// Waits until it is worth looking for a server again.
    async fn wait_for_server(&mut self, delay: Duration) {
        if self.attempts_used == 0 || self.limits.is_idempotent {
            // Servers that refused may be asked again; those that may have run it, only when all did.
            self.history.tried.clear();
        }
        Timer::after(delay).await;
    }

    fn give_up(self, rejection: Rejection) -> Result<WholeAnswer, ForwardError> {
        match self.last_failure {
            Some(response) => Ok(response),
            None if self.attempts_used == 0 => Err(ForwardError::NotRun(rejection)),
            None if self.gateway.now() >= self.limits.deadline => Err(ForwardError::TimedOut),
            None => Err(ForwardError::Unknown),
        }
    }

    fn deadline_result(self) -> Result<WholeAnswer, ForwardError> {
        self.last_failure.ok_or(ForwardError::TimedOut)
    }
}

/// One attempt of a request at one server.
struct Attempt {
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    outgoing: Rc<OutgoingRequest>,
    deadline: Moment,
    /// Whether the request is kept apart from others.
    is_isolated: bool,
    /// Whether some attempt of the request has been answered.
    is_answered: Rc<Cell<bool>>,
}

impl Attempt {
    /// Sends the request and notes what its end says of the server and of the request.
    async fn run(self, mut guard: AttemptGuard) -> Result<WholeAnswer, AttemptFailure> {
        let (gateway, server) = (&self.gateway, &self.server);
        let isolated = passage::isolate(gateway, server, &self.outgoing, self.is_isolated).await;
        let Ok(isolation) = isolated else {
            guard.fail(&AttemptFailure::ServerReserved);
            return Err(AttemptFailure::ServerReserved);
        };
        guard.on_drop(self.disconnect_handler());
        let started_at = gateway.now();
        if let Some(billing) = self.outgoing.billing.as_deref() {
            billing.sent(started_at);
        }
        let result = self.send_and_read().await;
        drop(isolation);
        self.record_outcome(&result);
        self.bill(started_at, &result);
        match &result {
            // A server that fails at all it gets is fast, and would get ever more.
            Ok(response) if response.status.is_server_error() => guard.end(AttemptOutcome::Failed),
            Ok(_) => {
                let latency = guard.elapsed();
                guard.end(AttemptOutcome::Succeeded(latency));
            }
            Err(failure) => guard.fail(failure),
        }
        result
    }

    async fn send_and_read(&self) -> Result<WholeAnswer, AttemptFailure> {
        let time_left = self.deadline.saturating_sub(self.gateway.now());
        let exchange = attempt::send(&self.gateway, &self.server, &self.outgoing, time_left);
        attempt::read_response(exchange.await?).await
    }

    /// What is done if the attempt is dropped before it has results.
    fn disconnect_handler(&self) -> impl FnOnce() + 'static {
        let (gateway, server) = (self.gateway.clone(), self.server.clone());
        let (outgoing, is_answered) = (self.outgoing.clone(), self.is_answered.clone());
        move || {
            if !is_answered.get() {
                evidence::note_left(&gateway, &server, &outgoing);
            }
        }
    }

    fn record_outcome(&self, result: &Result<WholeAnswer, AttemptFailure>) {
        match result {
            Ok(response) => quarantine::note_answer(&self.gateway, &self.outgoing, response.status),
            Err(AttemptFailure::ConnectionBroken) => {
                evidence::note_break(&self.gateway, &self.server, &self.outgoing, 0);
            }
            Err(_) => {}
        }
    }

    fn bill(&self, started_at: Moment, result: &Result<WholeAnswer, AttemptFailure>) {
        let Some(billing) = self.outgoing.billing.as_deref() else {
            return;
        };
        match result {
            Ok(_) => billing.began(started_at),
            Err(
                AttemptFailure::Rejected
                | AttemptFailure::Unreachable
                | AttemptFailure::ServerReserved,
            ) => {
                billing.not_run(started_at);
            }
            // It may be answered by another server, which counts as the same request.
            Err(AttemptFailure::ConnectionBroken | AttemptFailure::Unknown(_)) => {}
        }
    }
}

/// The value of a `Retry-After` header, in seconds.
pub fn retry_after(duration: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{:.1}", duration.as_secs_f64()))
        .unwrap_or(HeaderValue::from_static("1"))
}
