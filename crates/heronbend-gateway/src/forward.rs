//! Passing requests on to servers: attempts, retries and hedges within a request's time.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::Moment;
use http::{HeaderValue, StatusCode};
use smol::channel::{bounded, Sender};
use smol::{Task, Timer};

use crate::balancer::AttemptEnd;
use crate::configuration::Route;
use crate::directory::Server;
use crate::exchange::{self, AttemptFailure, CountedAttempt, Outgoing};
use crate::gateway::Gateway;
use crate::http::client::WholeAnswer;

/// Pause before a request is offered again after every server refused it.
pub(crate) const REFUSED_PAUSE: Duration = Duration::from_millis(15);
/// Share of the target latency after which a repeatable request is also sent to a second server.
const HEDGE_SHARE: f64 = 0.5;
/// Share of the target latency that a request waits for a server to be listed.
const NO_SERVER_SHARE: f64 = 0.2;
/// Retries after failures that each request pays for.
const RETRY_SHARE: f64 = 0.5;
/// When a refused caller is to come back.
pub const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Why a request has no answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// It has not run and never will.
    NotRun,
    /// It may have run; no server's answer came.
    Unknown,
    /// Its time is over, and it may have run.
    TimedOut,
}

impl ForwardError {
    /// The status that tells a caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// What a request may cost.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// When the caller's time is over.
    pub deadline: Moment,
    /// Whether more than one server may run it.
    pub is_repeatable: bool,
    /// Most servers that may run it.
    pub max_attempts: u32,
    /// Time within which an answer is of full value.
    pub target_latency: Duration,
}

impl Allowance {
    /// The allowance of a request that came at `arrived` and whose caller waits for `patience`.
    pub fn of_route(route: &Route, arrived: Moment, patience: Option<Duration>) -> Self {
        let held = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        Self {
            deadline: arrived + held,
            is_repeatable: route.is_repeatable(),
            max_attempts: route.max_attempts.max(1),
            target_latency: route.target_latency,
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
    service: String,
    allowance: Allowance,
    /// Servers that have been sent it.
    tried: Vec<String>,
    /// Attempts that may have run it.
    spent: u32,
    open: Vec<Task<()>>,
    last_failure: Option<WholeAnswer>,
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
    let forwarding = Forwarding {
        gateway: gateway.clone(),
        outgoing: Rc::new(outgoing),
        service: service.to_owned(),
        allowance,
        tried: Vec::new(),
        spent: 0,
        open: Vec::new(),
        last_failure: None,
    };
    forwarding.run().await
}

impl Forwarding {
    async fn run(mut self) -> Result<WholeAnswer, ForwardError> {
        let (sender, ended) = bounded(16);
        let begun = self.gateway.now();
        let mut hedge_at = begun + self.allowance.target_latency.mul_f64(HEDGE_SHARE);
        let mut open = 0_usize;
        loop {
            if open == 0 {
                if !self.may_try_again() || !self.may_retry() {
                    return self.give_up();
                }
                if self.start_one(&sender) {
                    open += 1;
                } else if !self.wait_for_server(begun).await {
                    return self.give_up();
                } else {
                    continue;
                }
            }
            match self.next_event(&ended, hedge_at).await {
                Event::DeadlinePassed => return self.time_out(),
                Event::HedgeDue => {
                    hedge_at = self.allowance.deadline;
                    if self.start_one(&sender) {
                        self.gateway.metrics.hedges.inc();
                        open += 1;
                    }
                }
                Event::Ended(result) => {
                    open -= 1;
                    if let Some(answer) = self.take(result) {
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
        let now = self.gateway.now();
        let may_hedge = self.allowance.is_repeatable && self.may_try_again();
        let hedges = may_hedge && hedge_at < self.allowance.deadline;
        let wake_at = if hedges { hedge_at } else { self.allowance.deadline };
        let answer = async {
            match ended.recv().await {
                Ok(result) => Event::Ended(result),
                Err(_) => Event::DeadlinePassed,
            }
        };
        let wake = async {
            Timer::after(wake_at.saturating_sub(now)).await;
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
        within_budget && may_repeat && self.gateway.now() < self.allowance.deadline
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
    fn start_one(&mut self, sender: &Sender<Result<WholeAnswer, AttemptFailure>>) -> bool {
        let Some(server) = self.choose() else {
            return false;
        };
        self.tried.push(server.id.clone());
        self.spent += 1;
        let (gateway, outgoing) = (self.gateway.clone(), self.outgoing.clone());
        let (sender, deadline) = (sender.clone(), self.allowance.deadline);
        // Counted from now on: requests that are chosen for before the task has run must see it.
        let counted = CountedAttempt::begin(&gateway, &server);
        let task = self.gateway.executor.spawn(async move {
            let time_left = deadline.saturating_sub(gateway.now());
            let answered = async {
                let exchange = exchange::begin(&gateway, &server, &outgoing, time_left).await?;
                exchange::read_whole(exchange).await
            };
            let billing = outgoing.billing.as_deref();
            let begun = gateway.now();
            if let Some(billing) = billing {
                billing.sent(begun);
            }
            let result = answered.await;
            if let Some(billing) = billing {
                match &result {
                    Ok(_) => billing.began(begun),
                    Err(AttemptFailure::NotRun | AttemptFailure::NotSent) => billing.not_run(begun),
                    // It may be answered by another server, which counts as the same request.
                    Err(AttemptFailure::Unknown(_)) => {}
                }
            }
            match &result {
                // A server that fails at all it gets is fast, and would get ever more.
                Ok(answer) if answer.status.is_server_error() => {
                    counted.end(AttemptEnd::Failed);
                }
                Ok(_) => {
                    let latency = counted.elapsed();
                    counted.end(AttemptEnd::Answered(latency));
                }
                Err(failure) => counted.fail(failure),
            }
            let _ = sender.send(result).await;
        });
        self.open.push(task);
        true
    }

    fn choose(&self) -> Option<Rc<Server>> {
        let candidates = self.gateway.usable_servers(&self.service);
        let balancer = self.gateway.balancer.borrow();
        let gateway = &self.gateway;
        let is_connected = |server: &Server| gateway.servers.has_idle(server.address);
        let (now, zone) = (gateway.now(), &gateway.identity.zone);
        balancer.choose_connected(now, &candidates, &self.tried, zone, is_connected)
    }

    /// Takes an attempt's end in; the answer if it is to be passed on.
    fn take(&mut self, result: Result<WholeAnswer, AttemptFailure>) -> Option<WholeAnswer> {
        match result {
            Ok(answer) if answer.status.is_server_error() && self.allowance.is_repeatable => {
                self.last_failure = Some(answer);
                None
            }
            Ok(answer) => Some(answer),
            Err(AttemptFailure::NotRun | AttemptFailure::NotSent) => {
                self.spent -= 1;
                None
            }
            Err(AttemptFailure::Unknown(_)) => None,
        }
    }

    /// Waits until it is worth looking for a server again; false when the request is to be refused.
    async fn wait_for_server(&mut self, begun: Moment) -> bool {
        let was_offered = !self.tried.is_empty();
        // After the objective an answer is worth little: the caller had better come back.
        let share = if was_offered { 1.0 } else { NO_SERVER_SHARE };
        let give_up_at = begun + self.allowance.target_latency.mul_f64(share);
        if self.gateway.now() >= give_up_at.min(self.allowance.deadline) {
            return false;
        }
        if self.spent == 0 || self.allowance.is_repeatable {
            // Servers that refused may be asked again; those that may have run it, only when all did.
            self.tried.clear();
        }
        Timer::after(REFUSED_PAUSE).await;
        true
    }

    fn give_up(self) -> Result<WholeAnswer, ForwardError> {
        match self.last_failure {
            Some(answer) => Ok(answer),
            None if self.spent == 0 => Err(ForwardError::NotRun),
            None if self.gateway.now() >= self.allowance.deadline => Err(ForwardError::TimedOut),
            None => Err(ForwardError::Unknown),
        }
    }

    fn time_out(self) -> Result<WholeAnswer, ForwardError> {
        self.last_failure.ok_or(ForwardError::TimedOut)
    }
}

/// The value of a `Retry-After` header, in seconds.
pub fn retry_after(duration: Duration) -> HeaderValue {
    HeaderValue::from_str(&format!("{:.1}", duration.as_secs_f64()))
        .unwrap_or(HeaderValue::from_static("1"))
}
