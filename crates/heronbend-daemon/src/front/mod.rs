//! HTTP front for callers and trainers. Runs on several threads, each with its own state.

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
use crate::shared::{ActiveSettings, Shared};
use crate::tasks::Executor;
use crate::telemetry::ResponseLabels;
use rejection::{reject, reject_with_retry, Rejection};

/// Upper bound of request bodies in bytes; the configured limit is checked when the body is read.
const MAX_BODY_BYTES: u64 = 256 << 20;
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of one front thread.
pub struct Front {
    shared: Arc<Shared>,
    executor: Executor,
    dispatcher: Dispatcher,
    limits: CallerLimits,
}

/// An authenticated request.
struct AdmittedRequest {
    request: Request,
    settings: Arc<ActiveSettings>,
    caller: CallerPolicy,
}

impl AdmittedRequest {
    fn policy(&self) -> &Policy {
        &self.settings.policy
    }

    /// Returns the caller's request id, prefixed with the caller's name.
    fn caller_request(&self) -> String {
        let identifier = self.request.header("x-request-id").map(|values| values.as_str());
        format!("{}:{}", self.caller.name, identifier.unwrap_or_default())
    }
}

/// Runs one front thread until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor, listener: TcpListener) {
    let front = Rc::new(Front {
        dispatcher: Dispatcher::new(shared.clone(), executor.clone()),
        executor: executor.clone(),
        limits: CallerLimits::default(),
        shared: shared.clone(),
    });
    let connections = Connections::default();
    executor.spawn(publish_counts(shared, connections.clone())).detach();
    let limits = ServerLimits { max_body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
    let handler = move |request| {
        let front = front.clone();
        async move { front.handle(request).await }
    };
    if let Err(error) = connections.serve(executor, listener, limits, handler).await {
        log::error!("event=listener_failed error={error}");
    }
    // Open connections are still served by this thread's executor.
    std::future::pending::<()>().await;
}

/// Adds this thread's request and connection counts to the shared totals, and applies draining to
/// its connections.
async fn publish_counts(shared: Arc<Shared>, connections: Connections) {
    let (mut in_flight, mut open, mut refused) = (0, 0, 0);
    loop {
        publish_change(&shared.in_flight, &mut in_flight, connections.in_flight());
        publish_change(&shared.connections, &mut open, connections.open());
        let rejected_heads = connections.rejected_heads();
        shared.metrics.refused_heads.inc_by(rejected_heads - refused);
        refused = rejected_heads;
        if shared.is_draining() {
            connections.start_draining();
        }
        if shared.listeners_closed.load(Ordering::Acquire) {
            connections.stop_accepting();
        }
        Timer::after(COUNT_INTERVAL).await;
    }
}

/// Adds the change of this thread's count since the last call to the total.
fn publish_change(sum: &AtomicU64, published: &mut u64, current: usize) {
    let current = current as u64;
    sum.fetch_add(current.wrapping_sub(*published), Ordering::AcqRel);
    *published = current;
}

impl Front {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let response = self.clone().respond(request).await;
        let status = u16::from(response.status());
        self.shared.metrics.answers.get_or_create(&ResponseLabels { status }).inc();
        response
    }

    async fn respond(self: Rc<Self>, request: Request) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Get, "/healthz") => Response::new(StatusCode::NoContent),
            (Method::Get, "/readyz") => readiness(&self.shared),
            _ => match self.admit(request) {
                Ok(admitted) => self.dispatch(admitted).await.unwrap_or_else(Response::from),
                Err(rejection) => rejection.into(),
            },
        }
    }

    /// Checks that this daemon can serve, and authenticates the caller.
    fn admit(&self, request: Request) -> Result<AdmittedRequest, Rejection> {
        if self.shared.is_draining() {
            return Err(reject_with_retry(
                StatusCode::ServiceUnavailable,
                "draining",
                "this daemon is stopping; ask another",
                RETRY_AFTER,
            ));
        }
        let settings = self.shared.settings.load_full();
        let Some(settings) = settings.filter(|_| self.shared.can_serve()) else {
            return Err(reject_with_retry(
                StatusCode::ServiceUnavailable,
                "settings_not_confirmed",
                "this daemon does not know the settings in force yet",
                RETRY_AFTER,
            ));
        };
        let caller = authenticate(&request, &settings.policy)?;
        Ok(AdmittedRequest { request, caller, settings })
    }

    async fn dispatch(self: Rc<Self>, admitted: AdmittedRequest) -> Result<Response, Rejection> {
        let limit = admitted.caller.max_concurrent;
        let permit = self.limits.admit(&admitted.caller.name, limit).ok_or_else(|| {
            reject_with_retry(
                StatusCode::TooManyRequests,
                "caller_limit",
                &format!("{limit} requests of this caller are under way"),
                RETRY_AFTER,
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

fn authenticate(request: &Request, policy: &Policy) -> Result<CallerPolicy, Rejection> {
    let header = request.header("authorization").map(|values| values.as_str());
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    token.and_then(|token| policy.authenticate(token.trim())).cloned().ok_or_else(|| {
        reject(
            StatusCode::Unauthorized,
            "unknown_caller",
            "a bearer token of a known caller is needed",
            Outcome::NotRun,
        )
    })
}

/// Returns the response of `/readyz`.
pub fn readiness(shared: &Shared) -> Response {
    let reason = if shared.is_draining() {
        Some("draining")
    } else if !shared.can_serve() {
        Some("settings_not_confirmed")
    } else if !shared.joined.load(Ordering::Acquire) {
        Some("replica_sets_not_whole")
    } else {
        None
    };
    match reason {
        None => Response::new(StatusCode::NoContent),
        Some(reason) => {
            reject(StatusCode::ServiceUnavailable, reason, reason, Outcome::NotRun).into()
        }
    }
}
