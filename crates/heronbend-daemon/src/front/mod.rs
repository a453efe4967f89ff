//! The HTTP front: what callers and trainers talk to. Several threads, each with its own state.

mod application;
mod claims;
mod completions;
mod rejection;
mod rollouts;

use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use heronbend::admission::CallerLimits;
use heronbend::settings::policy::CallerPolicy;
use heronbend::settings::Policy;
use heronbend_http::http_types::{Method, Request, Response, StatusCode};
use heronbend_http::{Connections, Outcome, ServerLimits};
use smol::net::TcpListener;
use smol::Timer;

use crate::dispatch::Dispatcher;
use crate::shared::{SettingsInForce, Shared};
use crate::tasks::Executor;
use crate::telemetry::AnswerLabels;
use rejection::{refuse, refuse_with_retry, Refusal};

/// Largest body that any setting may allow, in bytes; the settings' own limit is checked later.
const MAX_BODY_BYTES: u64 = 256 << 20;
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
const DRAIN_RETRY: Duration = Duration::from_secs(1);

/// The state of one front thread.
pub struct Front {
    shared: Arc<Shared>,
    executor: Executor,
    dispatcher: Dispatcher,
    limits: CallerLimits,
}

/// A request that has passed the general checks.
struct Admitted {
    request: Request,
    settings: Arc<SettingsInForce>,
    caller: CallerPolicy,
}

impl Admitted {
    fn policy(&self) -> &Policy {
        &self.settings.policy
    }

    /// The caller's identifier of the request, within the caller's own name space.
    fn caller_request(&self) -> String {
        let identifier = self.request.header("x-request-id").map(|values| values.as_str());
        format!("{}:{}", self.caller.name, identifier.unwrap_or_default())
    }
}

/// Runs one front thread until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor, listener: TcpListener) {
    let front = Rc::new(Front {
        dispatcher: Dispatcher::new(shared.clone()),
        executor: executor.clone(),
        limits: CallerLimits::default(),
        shared: shared.clone(),
    });
    let connections = Connections::default();
    executor.spawn(keep_counting(shared, connections.clone())).detach();
    let limits = ServerLimits { max_body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
    let handler = move |request| {
        let front = front.clone();
        async move { front.handle(request).await }
    };
    if let Err(error) = connections.serve(executor, listener, limits, handler).await {
        log::error!("event=listener_failed error={error}");
    }
    // The listener is closed; connections that are open live on this thread's executor.
    std::future::pending::<()>().await;
}

/// Publishes this thread's share of the counts that draining waits for.
async fn keep_counting(shared: Arc<Shared>, connections: Connections) {
    let (mut exchanges, mut open, mut refused) = (0, 0, 0);
    loop {
        publish(&shared.exchanges, &mut exchanges, connections.exchanges());
        publish(&shared.connections, &mut open, connections.open());
        let heads = connections.refused_heads();
        shared.metrics.refused_heads.inc_by(heads - refused);
        refused = heads;
        if shared.is_draining() {
            connections.start_draining();
        }
        if shared.listeners_closed.load(Ordering::Acquire) {
            connections.stop_accepting();
        }
        Timer::after(COUNT_INTERVAL).await;
    }
}

/// Adds this thread's change of a count to the sum of all threads.
fn publish(sum: &AtomicU64, published: &mut u64, now: usize) {
    let now = now as u64;
    sum.fetch_add(now.wrapping_sub(*published), Ordering::AcqRel);
    *published = now;
}

impl Front {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let response = self.clone().answer(request).await;
        let status = u16::from(response.status());
        self.shared.metrics.answers.get_or_create(&AnswerLabels { status }).inc();
        response
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Get, "/healthz") => Response::new(StatusCode::NoContent),
            (Method::Get, "/readyz") => readiness(&self.shared),
            _ => match self.admit(request) {
                Ok(admitted) => self.dispatch(admitted).await.unwrap_or_else(Response::from),
                Err(refusal) => refusal.into(),
            },
        }
    }

    /// The checks that hold for every caller.
    fn admit(&self, request: Request) -> Result<Admitted, Refusal> {
        if self.shared.is_draining() {
            return Err(refuse_with_retry(
                StatusCode::ServiceUnavailable,
                "draining",
                "this daemon is stopping; ask another",
                DRAIN_RETRY,
            ));
        }
        let settings = self.shared.settings.load_full();
        let Some(settings) = settings.filter(|_| self.shared.serves()) else {
            return Err(refuse_with_retry(
                StatusCode::ServiceUnavailable,
                "settings_not_confirmed",
                "this daemon does not know the settings in force yet",
                DRAIN_RETRY,
            ));
        };
        let caller = authenticate(&request, &settings.policy)?;
        Ok(Admitted { request, caller, settings })
    }

    async fn dispatch(self: Rc<Self>, admitted: Admitted) -> Result<Response, Refusal> {
        let limit = admitted.caller.max_concurrent;
        let permit = self.limits.admit(&admitted.caller.name, limit).ok_or_else(|| {
            refuse_with_retry(
                StatusCode::TooManyRequests,
                "caller_limit",
                &format!("{limit} requests of this caller are under way"),
                DRAIN_RETRY,
            )
        })?;
        let path = admitted.request.url().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match segments.as_slice() {
            ["v1", "completions"] => self.complete(admitted, false, permit).await,
            ["v1", "chat", "completions"] => self.complete(admitted, true, permit).await,
            ["v1", "rollouts", trainer, rest @ ..] => {
                self.serve_trainer(admitted, trainer, rest).await
            }
            _ => self.serve_route(admitted).await,
        }
    }
}

fn authenticate(request: &Request, policy: &Policy) -> Result<CallerPolicy, Refusal> {
    let header = request.header("authorization").map(|values| values.as_str());
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    token.and_then(|token| policy.authenticate(token.trim())).cloned().ok_or_else(|| {
        refuse(
            StatusCode::Unauthorized,
            "unknown_caller",
            "a bearer token of a known caller is needed",
            Outcome::NotRun,
        )
    })
}

/// Answer of `/readyz`.
pub fn readiness(shared: &Shared) -> Response {
    let reason = if shared.is_draining() {
        Some("draining")
    } else if !shared.serves() {
        Some("settings_not_confirmed")
    } else if !shared.joined.load(Ordering::Acquire) {
        Some("replica_sets_not_whole")
    } else {
        None
    };
    match reason {
        None => Response::new(StatusCode::NoContent),
        Some(reason) => {
            refuse(StatusCode::ServiceUnavailable, reason, reason, Outcome::NotRun).into()
        }
    }
}
