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

use crate::configuration::Route;
use crate::directory::Server;
use crate::exchange::{self, AttemptFailure, CountedAttempt, Outgoing};
use crate::gateway::Gateway;
use crate::http::client::WholeAnswer;
use crate::permits;
use crate::places;
use crate::quarantine;
use crate::quarantine::evidence;
use crate::quarantine::passage;
use crate::quarantine::Passage;
use crate::quarantine::Refused;
use crate::wait;

/// Share of the target latency after which a repeatable request is also sent to a second server.
const HEDGE_SHARE: f64 = 0.5;
/// Retries after failures that each request pays for.
const RETRY_SHARE: f64 = 0.5;

/// Why a request has no answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// It has not run and never will.
    NotRun(Rejection),
    /// It may have run; no server's answer came.
    Unknown,
    /// Its time is over, and it may have run.
    TimedOut,
    /// It is not sent to servers, since requests like it ended those that ran them.
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
pub(crate) const SPENT: Rejection = Rejection { reason: None, retry_after: DEFAULT_RETRY_AFTER };

/// What a request may cost.
#[derive(Debug, Clone)]
pub struct Allowance {
    /// When the caller's time is over.
    pub deadline: Moment,
    /// Whether more than one server may run it.
    pub is_repeatable: bool,
    /// Most servers that may run it.
    pub max_attempts: u32,
    /// Time within which an answer is of full value.
    pub target_latency: Duration,
    /// The regions in which it may run; anywhere where there are none.
    pub homes: Option<BTreeSet<String>>,
}

impl Allowance {
    /// The allowance of a request that came at `arrived`, whose caller waits for `patience`, and that
    /// may run in `homes`.
    pub fn of_route(
        route: &Route,
        arrived: Moment,
        patience: Option<Duration>,
        homes: Option<BTreeSet<String>>,
    ) -> Self {
        let held = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        Self {
            deadline: arrived + held,
            is_repeatable: route.is_repeatable(),
            max_attempts: route.max_attempts.max(1),
            target_latency: route.target_latency,
            homes,
        }
    }
}

enum Event {
    Ended(Result<WholeAnswer, AttemptFailure>),
    HedgeDue,
    DeadlinePassed,
}

/// A request that is being passed on.
struct Forwarding {
    gateway: Rc<Gateway>,
    outgoing: Rc<Outgoing>,
    need: Requirements,
    allowance: Allowance,
    /// Servers that have been sent it.
    history: AttemptHistory,
    /// When its wait for a server began.
    begun: Moment,
    /// How it may be sent to servers, for what is known of requests like it.
    passage: Passage,
    /// Attempts that may have run it.
    spent: u32,
    open: Vec<Task<()>>,
    /// Whether a server has answered: attempts that are dropped then had a caller who did not leave.
    is_answered: Rc<Cell<bool>>,
    last_failure: Option<WholeAnswer>,
}

/// What became of the start of an attempt.
enum Start {
    /// It is under way.
    Begun,
    /// No server can be sent it for so long.
    Wait(Duration),
    /// None can be in time.
    Refused(Rejection),
}

/// Passes a request on to the servers of a service until one has answered.
///
/// Dropping the returned future closes the connections to the servers that work on it.
pub async fn forward(
    gateway: &Rc<Gateway>,
    service: &str,
    outgoing: Outgoing,
    allowance: Allowance,
) -> Result<WholeAnswer, ForwardError> {
    gateway.retries.borrow_mut().deposit(RETRY_SHARE);
    let admitted = Passage::begin(gateway, &outgoing).await;
    let passage = admitted.map_err(ForwardError::Quarantined)?;
    let forwarding = Forwarding {
        gateway: gateway.clone(),
        outgoing: Rc::new(outgoing),
        need: places::need(gateway, service, None, allowance.homes.as_ref()),
        allowance,
        history: AttemptHistory::default(),
        begun: gateway.now(),
        passage,
        spent: 0,
        open: Vec::new(),
        is_answered: Rc::default(),
        last_failure: None,
    };
    forwarding.run().await
}

impl Forwarding {
    async fn run(mut self) -> Result<WholeAnswer, ForwardError> {
        let (sender, ended) = bounded(16);
        let mut hedge_at = self.begun + self.allowance.target_latency.mul_f64(HEDGE_SHARE);
        let mut open = 0_usize;
        loop {
            if open == 0 {
                if !self.may_try_again() || !self.may_retry() {
                    return self.give_up(SPENT);
                }
                match self.start_one(&sender) {
                    Start::Begun => open += 1,
                    Start::Refused(rejection) => return self.give_up(rejection),
                    Start::Wait(rest) => {
                        self.wait_for_server(rest).await;
                        continue;
                    }
                }
            }
            match self.next_event(&ended, hedge_at).await {
                Event::DeadlinePassed => return self.time_out(),
                Event::HedgeDue => {
                    hedge_at = self.allowance.deadline;
                    if matches!(self.start_one(&sender), Start::Begun) {
                        self.gateway.metrics.hedges.inc();
                        open += 1;
                    }
                }
                Event::Ended(result) => {
                    open -= 1;
                    if let Some(answer) = self.take(result) {
                        self.is_answered.set(true);
                        return Ok(answer);
                    }
                }
            }
        }
    }

    async fn next_event(
        &self,
        ended: &smol::channel::Receiver<Result<WholeAnswer, AttemptFailure>>,
        hedge_at: Moment,
    ) -> Event {
        let may_hedge =
            self.allowance.is_repeatable && !self.history.is_isolated && self.may_try_again();
        let hedges = may_hedge && hedge_at < self.allowance.deadline;
        let wake_at = if hedges { hedge_at } else { self.allowance.deadline };
        let answer = async {
            match ended.recv().await {
                Ok(result) => Event::Ended(result),
                Err(_) => Event::DeadlinePassed,
            }
        };
        let wake = async {
            wait::until(&self.gateway, wake_at).await;
            if hedges {
                Event::HedgeDue
            } else {
                Event::DeadlinePassed
            }
        };
        answer.or(wake).await
    }

    /// Whether another server may be sent the request.
    fn may_try_again(&self) -> bool {
        let within_budget = self.spent < self.allowance.max_attempts;
        let may_repeat = self.spent == 0 || self.allowance.is_repeatable;
        within_budget
            && may_repeat
            && self.passage.is_open(&self.gateway, &self.outgoing)
            && self.gateway.now() < self.allowance.deadline
    }

    /// Whether the retries that failures cause are still within their budget.
    fn may_retry(&self) -> bool {
        let within_budget = self.spent == 0 || self.gateway.retries.borrow_mut().withdraw();
        if !within_budget {
            self.gateway.metrics.retries_withheld.inc();
        }
        within_budget
    }

    /// Starts an attempt at the best server that has not been tried.
    fn start_one(&mut self, sender: &Sender<Result<WholeAnswer, AttemptFailure>>) -> Start {
        self.passage.keep_apart(&self.gateway, &self.outgoing, &mut self.history);
        let choice = match self.decide() {
            Decision::Place(choice) => choice,
            Decision::Wait(rest) => return Start::Wait(rest),
            Decision::Reject(rejection) => return Start::Refused(rejection),
        };
        let Some(server) = self.gateway.directory.borrow().chosen(choice.server) else {
            log::error!("event=chosen_server_unknown server={:?}", choice.server);
            return Start::Refused(SPENT);
        };
        self.history.tried.push(choice.server);
        self.spent += 1;
        // Counted from now on: requests that are chosen for before the task has run must see it.
        let counted = CountedAttempt::begin(&self.gateway, &server);
        let attempt = Attempt {
            gateway: self.gateway.clone(),
            server,
            outgoing: self.outgoing.clone(),
            deadline: self.allowance.deadline,
            is_alone: self.history.is_isolated,
            is_answered: self.is_answered.clone(),
        };
        let sender = sender.clone();
        let task = self.gateway.executor.spawn(async move {
            let result = attempt.run(counted).await;
            let _ = sender.send(result).await;
        });
        self.open.push(task);
        Start::Begun
    }

    /// What becomes of the request now.
    fn decide(&self) -> Decision {
        let gateway = &self.gateway;
        let wait = WaitState {
            since: self.begun,
            deadline: self.allowance.deadline,
            target: self.allowance.target_latency,
            was_sent: !self.history.tried.is_empty(),
        };
        let answer = {
            let mut directory = gateway.directory.borrow_mut();
            let pool = &gateway.servers;
            directory.place_call(gateway.now(), pool, &self.need, &self.history, &wait)
        };
        permits::ask(gateway);
        answer
    }

    /// Takes an attempt's end in; the answer if it is to be passed on.
    fn take(&mut self, result: Result<WholeAnswer, AttemptFailure>) -> Option<WholeAnswer> {
        self.passage.note_attempt(result.as_ref().err());
        match result {
            Ok(answer) if answer.status.is_server_error() && self.allowance.is_repeatable => {
                self.last_failure = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(AttemptFailure::NotRun | AttemptFailure::NotSent | AttemptFailure::Held) => {
                self.spent -= 1;
                None
            }
            Err(AttemptFailure::BrokenOff | AttemptFailure::Unknown(_)) => None,
        }
    }

    /// Waits until it is worth looking for a server again.
    async fn wait_for_server(&mut self, rest: Duration) {
        if self.spent == 0 || self.allowance.is_repeatable {
            // Servers that refused may be asked again; those that may have run it, only when all did.
            self.history.tried.clear();
        }
        Timer::after(rest).await;
    }

    fn give_up(self, rejection: Rejection) -> Result<WholeAnswer, ForwardError> {
        match self.last_failure {
            Some(answer) => Ok(answer),
            None if self.spent == 0 => Err(ForwardError::NotRun(rejection)),
            None if self.gateway.now() >= self.allowance.deadline => Err(ForwardError::TimedOut),
            None => Err(ForwardError::Unknown),
        }
    }

    fn time_out(self) -> Result<WholeAnswer, ForwardError> {
        self.last_failure.ok_or(ForwardError::TimedOut)
    }
}

/// One attempt of a request at one server.
struct Attempt {
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    outgoing: Rc<Outgoing>,
    deadline: Moment,
    /// Whether the request is kept apart from others.
    is_alone: bool,
    /// Whether some attempt of the request has been answered.
    is_answered: Rc<Cell<bool>>,
}

impl Attempt {
    /// Sends the request and notes what its end says of the server and of the request.
    async fn run(self, mut counted: CountedAttempt) -> Result<WholeAnswer, AttemptFailure> {
        let (gateway, server) = (&self.gateway, &self.server);
        let isolated = passage::isolate(gateway, server, &self.outgoing, self.is_alone).await;
        let Ok(isolation) = isolated else {
            counted.fail(&AttemptFailure::Held);
            return Err(AttemptFailure::Held);
        };
        counted.on_drop(self.leaving());
        let begun = gateway.now();
        if let Some(billing) = self.outgoing.billing.as_deref() {
            billing.sent(begun);
        }
        let result = self.exchange().await;
        drop(isolation);
        self.note_evidence(&result);
        self.bill(begun, &result);
        match &result {
            // A server that fails at all it gets is fast, and would get ever more.
            Ok(answer) if answer.status.is_server_error() => counted.end(AttemptOutcome::Failed),
            Ok(_) => {
                let latency = counted.elapsed();
                counted.end(AttemptOutcome::Succeeded(latency));
            }
            Err(failure) => counted.fail(failure),
        }
        result
    }

    async fn exchange(&self) -> Result<WholeAnswer, AttemptFailure> {
        let time_left = self.deadline.saturating_sub(self.gateway.now());
        let begun = exchange::begin(&self.gateway, &self.server, &self.outgoing, time_left);
        exchange::read_whole(begun.await?).await
    }

    /// What is done if the attempt is dropped before it has ended.
    fn leaving(&self) -> impl FnOnce() + 'static {
        let (gateway, server) = (self.gateway.clone(), self.server.clone());
        let (outgoing, is_answered) = (self.outgoing.clone(), self.is_answered.clone());
        move || {
            if !is_answered.get() {
                evidence::note_left(&gateway, &server, &outgoing);
            }
        }
    }

    fn note_evidence(&self, result: &Result<WholeAnswer, AttemptFailure>) {
        match result {
            Ok(answer) => quarantine::note_answer(&self.gateway, &self.outgoing, answer.status),
            Err(AttemptFailure::BrokenOff) => {
                evidence::note_break(&self.gateway, &self.server, &self.outgoing, 0);
            }
            Err(_) => {}
        }
    }

    fn bill(&self, begun: Moment, result: &Result<WholeAnswer, AttemptFailure>) {
        let Some(billing) = self.outgoing.billing.as_deref() else {
            return;
        };
        match result {
            Ok(_) => billing.began(begun),
            Err(AttemptFailure::NotRun | AttemptFailure::NotSent | AttemptFailure::Held) => {
                billing.not_run(begun);
            }
            // It may be answered by another server, which counts as the same request.
            Err(AttemptFailure::BrokenOff | AttemptFailure::Unknown(_)) => {}
        }
    }
}

/// The value of a `Retry-After` header, in seconds.
pub fn retry_after(duration: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{:.1}", duration.as_secs_f64()))
        .unwrap_or(HeaderValue::from_static("1"))
}
