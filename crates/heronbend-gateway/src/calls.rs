//! Handlers for requests of clients and trainers: routed requests and the batch job API.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use heronbend::access::Caller;
use heronbend::placement::wait_policy::DEFAULT_RETRY_AFTER;
use heronbend::placement::Rejection as Unplaced;
use heronbend::quarantine::Refused;
use heronbend::shutdown::Repetition;
use heronbend::Moment;
use http::request::Parts;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::access;
use crate::access::AuthError;
use crate::attempt;
use crate::attempt::OutgoingRequest;
use crate::batch::results_reader::{self, ReadError};
use crate::batch::submission::{self, EndError, SubmitError};
use crate::call_admission;
use crate::call_admission::CallRequest;
use crate::configuration::{Configuration, Route, RouteKind};
use crate::duties::billing::Billing;
use crate::forward::{forward, retry_after, ForwardError, RequestLimits};
use crate::gateway::Gateway;
use crate::headers;
use crate::http::client::FullResponse;
use crate::http::server::{read_body, BodyError, BodyLimits};
use crate::http::{bytes_response, text_response, HttpResponse, RequestId, ResponseBody};
use crate::memory::Reservation;
use crate::memory::SMALL_RESERVATION_BYTES;
use crate::ports::Call;
use crate::region_policy;
use crate::route_parts::RouteParts;
use crate::stream::{self, StreamResponse};

/// Timeout for store operations of the batch job API.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);
const NO_RESPONSE_MEMORY: &str = "no memory for the answer";
/// Maximum duration of a long poll for results.
const MAX_LONG_POLL: Duration = Duration::from_secs(1);

/// Handles a call and adds the request id to its response.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> HttpResponse {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, &gateway.dialect.headers().request_id);
    let id = id.unwrap_or_default().to_owned();
    let served = dispatch(&gateway, &id, head, body, arrived);
    let (name, mut response) = served.or(answer_at_cutoff(&gateway, &id, arrived)).await;
    let names = gateway.dialect.headers();
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        if !id.is_empty() && !response.headers().contains_key(&names.request_id) {
            response.headers_mut().insert(names.request_id.clone(), value);
        }
    }
    response.extensions_mut().insert(RequestId(id));
    let latency = gateway.now().saturating_sub(arrived);
    gateway.metrics.record_response(&name, response.status().as_u16(), latency);
    response
}

/// Returns the name of a call in metrics, and its response.
async fn dispatch(
    gateway: &Rc<Gateway>,
    id: &str,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> (String, HttpResponse) {
    match gateway.dialect.call(&head.method, head.uri.path(), head.uri.query()) {
        Call::Forward => handle_routed_request(gateway, id, head, body, arrived).await,
        Call::Malformed(problem) => {
            ("malformed".to_owned(), text_response(StatusCode::BAD_REQUEST, problem))
        }
        call => handle_job_call(gateway, call, &head, arrived).await,
    }
}

/// Waits until a stopping daemon no longer serves requests, and answers a call that has no response
/// by then. It may have run.
async fn answer_at_cutoff(gateway: &Gateway, id: &str, arrived: Moment) -> (String, HttpResponse) {
    gateway.shutdown.cutoff().await;
    let millis = gateway.now().saturating_sub(arrived).as_millis();
    log::warn!("event=call_outlasts_stop id={id} ms={millis}");
    let response = text_response(StatusCode::BAD_GATEWAY, "the daemon stops");
    ("outlasts_stop".to_owned(), response)
}

/// Handles a batch API call for an existing job.
async fn handle_job_call(
    gateway: &Rc<Gateway>,
    call: Call,
    head: &Parts,
    arrived: Moment,
) -> (String, HttpResponse) {
    let Some(configuration) = gateway.configuration() else {
        return ("unknown".to_owned(), not_run("no configuration yet"));
    };
    let identified = access::identify(&configuration, &head.headers, &gateway.key_hasher);
    let caller = match authorize(gateway, identified) {
        Ok(caller) => caller,
        Err(denial) => {
            let path = head.uri.path();
            let response = denial_response(gateway, denial, path, &format!("path={path}"));
            return (denial.name().to_owned(), response);
        }
    };
    match call {
        Call::ReadResults { job, from } => {
            let wait = headers::millis(&head.headers, &gateway.dialect.headers().wait_millis);
            let wait = wait.unwrap_or_default().min(MAX_LONG_POLL);
            let page = results_reader::results(gateway, &job, &caller, from, arrived + wait).await;
            ("read_results".to_owned(), results_response(gateway, &job, from, page))
        }
        Call::ReadItem { job, item } => {
            let body = results_reader::item(gateway, &job, &caller, &item).await;
            ("read_item".to_owned(), item_response(gateway, &job, &item, body))
        }
        Call::EndJob { job } => {
            let ended = submission::end(gateway, &job, &caller, arrived + STORE_TIMEOUT).await;
            log::info!(
                "event=job_end_asked job={job} outcome={ended:?} ms={}",
                gateway.now().saturating_sub(arrived).as_millis()
            );
            ("end_job".to_owned(), end_job_response(ended))
        }
        Call::Forward | Call::Malformed(_) => {
            ("malformed".to_owned(), text_response(StatusCode::BAD_REQUEST, "not a call of a job"))
        }
    }
}

async fn handle_routed_request(
    gateway: &Rc<Gateway>,
    id: &str,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> (String, HttpResponse) {
    let Some(configuration) = gateway.configuration() else {
        log::warn!("event=refused id={id} reason=\"no configuration yet\"");
        return ("unknown".to_owned(), not_run("no configuration yet"));
    };
    let host = headers::text(&head.headers, &http::header::HOST).unwrap_or_default();
    let Some(route) = configuration.match_route(host, head.uri.path()).cloned() else {
        if gateway.is_configuration_behind() {
            return ("none".to_owned(), reject_outdated(gateway, id));
        }
        log::info!(
            "event=no_route id={id} host={host} path={} configuration={}",
            head.uri.path(),
            configuration.version
        );
        return ("none".to_owned(), text_response(StatusCode::NOT_FOUND, "no such route"));
    };
    let name = route.name.clone();
    let identified = route_caller(gateway, &configuration, &route, &head);
    let caller = match authorize(gateway, identified) {
        Ok(caller) => caller,
        Err(denial) => {
            let response = denial_response(gateway, denial, id, &format!("id={id} route={name}"));
            return (name, response);
        }
    };
    let limits = BodyLimits {
        max_bytes: configuration.limits.max_body_bytes,
        idle_timeout: configuration.limits.idle_timeout.min(route.timeout),
    };
    let mut reservation = gateway.memory.reserve();
    let bytes = match read_body(body, limits, &mut reservation).await {
        Ok(bytes) => bytes,
        Err(error) => {
            log::info!("event=body_refused id={id} route={name} reason=\"{error}\"");
            return (name, body_error_response(&error));
        }
    };
    let response = if route.kind == RouteKind::Rollout {
        let call = JobCall { id, route: &name, caller: &caller, arrived };
        submit_job(gateway, call, &head, &bytes).await
    } else {
        let request = AcceptedRequest { head, body: bytes, reservation, caller, arrived };
        forward_request(gateway, id, request, &route, &configuration).await
    };
    (name, response)
}

/// Why a call is denied before it is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Denial {
    /// The configuration is too old to tell whether the caller's key is still valid.
    StaleKeys,
    /// A peer has announced a newer configuration, which may allow the call.
    OutdatedConfiguration,
    /// The caller presents no valid key.
    Unauthorized(AuthError),
}

impl Denial {
    /// Route label of the denial in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::StaleKeys => "closed",
            Self::OutdatedConfiguration => "behind",
            Self::Unauthorized(_) => "unauthorized",
        }
    }
}

/// Checks whether the local configuration suffices to serve the caller.
fn authorize(gateway: &Gateway, identified: Result<Caller, AuthError>) -> Result<Caller, Denial> {
    match identified {
        Ok(Caller::Tenant(_)) if gateway.rejects_keys() => Err(Denial::StaleKeys),
        Ok(caller) => Ok(caller),
        Err(_) if gateway.is_configuration_behind() => Err(Denial::OutdatedConfiguration),
        Err(error) => Err(Denial::Unauthorized(error)),
    }
}

/// Response to a denied call. `id` identifies the call in the log and `context` describes it.
fn denial_response(gateway: &Gateway, denial: Denial, id: &str, context: &str) -> HttpResponse {
    match denial {
        Denial::StaleKeys => reject_stale_keys(gateway, id),
        Denial::OutdatedConfiguration => reject_outdated(gateway, id),
        Denial::Unauthorized(error) => {
            log::info!(
                "event=unauthorized {context} reason=\"{error}\" configuration={}",
                gateway.configuration_version()
            );
            unauthorized_response(error)
        }
    }
}

/// Rejects a call that a newer configuration, announced by a peer, may allow.
fn reject_outdated(gateway: &Gateway, id: &str) -> HttpResponse {
    log::info!(
        "event=refused id={id} reason=\"the configuration is behind\" version={} peer_version={}",
        gateway.configuration_version(),
        gateway.newest_peer_configuration.get()
    );
    not_run("the configuration is behind")
}

/// Rejects a caller whose key may have been revoked.
fn reject_stale_keys(gateway: &Gateway, id: &str) -> HttpResponse {
    log::info!(
        "event=refused id={id} reason=\"no news of keys\" configuration={} age_ms={}",
        gateway.configuration_version(),
        gateway.configuration_age().as_millis()
    );
    not_run("it cannot be told whether the key is still held")
}

/// Identifies the caller of a routed request.
fn route_caller(
    gateway: &Gateway,
    configuration: &Configuration,
    route: &Route,
    head: &Parts,
) -> Result<Caller, AuthError> {
    let (headers, hasher) = (&head.headers, &gateway.key_hasher);
    if route.is_public {
        return Ok(access::identify_public(configuration, headers, hasher));
    }
    access::identify(configuration, headers, hasher)
}

/// A request whose body has been read and whose caller is known.
struct AcceptedRequest {
    head: Parts,
    body: Bytes,
    reservation: Reservation,
    caller: Caller,
    arrived: Moment,
}

async fn forward_request(
    gateway: &Rc<Gateway>,
    id: &str,
    request: AcceptedRequest,
    route: &Route,
    configuration: &Configuration,
) -> HttpResponse {
    let AcceptedRequest { head, body, reservation, caller, arrived } = request;
    let services = gateway.splitter.borrow_mut().pick(route);
    if services.is_empty() {
        return not_run("the route has no service");
    }
    if gateway.response_memory.available() < SMALL_RESERVATION_BYTES {
        attempt::log_refused_response(gateway, id, &NO_RESPONSE_MEMORY);
        return not_run(NO_RESPONSE_MEMORY);
    }
    let names = gateway.dialect.headers();
    let client_timeout = headers::millis(&head.headers, &names.deadline_millis);
    let allowed_regions = region_policy::allowed_regions(configuration, route, &caller);
    let limits = RequestLimits::for_route(route, arrived, client_timeout, allowed_regions);
    let repetition = match route.kind {
        RouteKind::Safe => Repetition::Allowed,
        _ => Repetition::Forbidden,
    };
    if !gateway.shutdown.admits(gateway.now(), limits.deadline, repetition) {
        let millis = limits.deadline.saturating_sub(gateway.now()).as_millis();
        log::info!("event=refused id={id} reason=\"may outlast the stop\" deadline_ms={millis}");
        return not_run("the daemon stops");
    }
    let tenant = caller.tenant().map(str::to_owned);
    let priority = access::priority(configuration, &caller, route);
    let mut headers = headers::end_to_end(&head.headers);
    access::set_tenant_header(&mut headers, &names.tenant, &caller);
    let outgoing = OutgoingRequest {
        id: id.to_owned(),
        method: head.method,
        target: head.uri,
        headers,
        body,
        reservation: Some(Rc::new(reservation)),
        billing: billing(gateway, &caller).map(Rc::new),
        is_owed: false,
        fingerprint: OnceCell::new(),
    };
    if route.kind == RouteKind::Stream {
        return forward_stream(gateway, services, outgoing, limits, route).await;
    }
    let call = CallRequest {
        id: id.to_owned(),
        route: route.name.clone(),
        tenant: tenant.clone(),
        priority,
        objective: route.target_latency,
        remaining: limits.deadline.saturating_sub(arrived),
        deadline: limits.deadline,
    };
    let Some(parts) = RouteParts::new(gateway, services, limits.allowed_regions.as_ref()) else {
        return not_run("the route has no service");
    };
    let admitting = parts.served_first(gateway);
    let service = admitting.service().to_owned();
    let admitted = call_admission::admit(gateway, &service, &call).await;
    let waited = admitted.as_ref().map_or(Duration::ZERO, |admitted| admitted.waited);
    let result = match admitted {
        Ok(admitted) => {
            // The limit of a service counts the calls that it admits, so they stay there.
            let parts = if admitted.is_limited() { admitting.without_others() } else { parts };
            forward(gateway, parts, outgoing, limits, admitted).await
        }
        Err(refusal) => Err(ForwardError::Overloaded(refusal)),
    };
    let millis = gateway.now().saturating_sub(arrived).as_millis();
    let outcome = match &result {
        Ok(response) => response.status.as_str().to_owned(),
        Err(ForwardError::Overloaded(_)) => "overloaded".to_owned(),
        Err(error) => format!("{error:?}"),
    };
    log::info!(
        "event=forwarded id={id} route={} tenant={} priority={priority} service={service} configuration={} outcome={outcome} waited_ms={} ms={millis} objective_ms={}",
        route.name,
        tenant.as_deref().unwrap_or("none"),
        configuration.version,
        waited.as_millis(),
        route.target_latency.as_millis()
    );
    match result {
        Ok(response) => server_response(response, route),
        Err(ForwardError::Overloaded(refusal)) => {
            call_admission::note_refused(gateway, &service, &call, &refusal);
            not_run_retry_after("the servers are full", refusal.retry_after)
        }
        Err(ForwardError::NotRun(rejection)) => unplaced_response(gateway, &rejection),
        Err(ForwardError::Quarantined(refused)) => quarantined_response(refused),
        Err(error) => text_response(error.status(), "no answer of a server"),
    }
}

/// Usage record of the request, if the caller is a tenant and usage is reported.
fn billing(gateway: &Rc<Gateway>, caller: &Caller) -> Option<Billing> {
    let (usage, tenant) = (gateway.usage.clone()?, caller.tenant()?);
    let clock = gateway.clone();
    Some(Billing::new(usage, tenant, move || clock.now()))
}

async fn forward_stream(
    gateway: &Rc<Gateway>,
    services: Vec<String>,
    outgoing: OutgoingRequest,
    limits: RequestLimits,
    route: &Route,
) -> HttpResponse {
    let (id, started_at) = (outgoing.id.clone(), gateway.now());
    let service = services.first().cloned().unwrap_or_default();
    let opened = stream::open(gateway, services, outgoing, limits, route.resumable).await;
    let outcome = match &opened {
        Ok(StreamResponse::Events { status, .. }) => status.as_str().to_owned(),
        Ok(StreamResponse::Complete(response)) => response.status.as_str().to_owned(),
        Err(error) => format!("{error:?}"),
    };
    log::info!(
        "event=stream_opened id={id} route={} service={service} outcome={outcome} first_event_ms={}",
        route.name,
        gateway.now().saturating_sub(started_at).as_millis()
    );
    match opened {
        Ok(StreamResponse::Events { status, headers, body }) => {
            let mut response = HttpResponse::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Ok(StreamResponse::Complete(response)) => server_response(response, route),
        Err(ForwardError::NotRun(rejection)) => unplaced_response(gateway, &rejection),
        Err(ForwardError::Quarantined(refused)) => quarantined_response(refused),
        Err(error) => text_response(error.status(), "no answer of a server"),
    }
}

/// Converts a server's response for the client. For requests that are not idempotent, statuses that
/// imply that nothing was run are replaced, since another attempt may have run the request.
fn server_response(upstream: FullResponse, route: &Route) -> HttpResponse {
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if !route.is_idempotent() && not_run_statuses.contains(&upstream.status) {
        return text_response(StatusCode::BAD_GATEWAY, "the outcome is unknown");
    }
    let body = ResponseBody::reserved(upstream.body, upstream.reservation);
    let mut response = HttpResponse::new(body);
    *response.status_mut() = upstream.status;
    *response.headers_mut() = headers::end_to_end(&upstream.headers);
    response
}

/// Response to a request whose body could not be read.
fn body_error_response(error: &BodyError) -> HttpResponse {
    match error {
        BodyError::TooLarge(_) => {
            text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        BodyError::OutOfMemory => not_run("no memory for the body"),
        BodyError::Timeout => text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        BodyError::Aborted(_) => text_response(StatusCode::BAD_REQUEST, "the body was cut"),
    }
}

/// Response to a call without a valid key.
fn unauthorized_response(error: AuthError) -> HttpResponse {
    let mut response = text_response(StatusCode::UNAUTHORIZED, error.message());
    let scheme = http::HeaderValue::from_static("Bearer");
    response.headers_mut().insert(http::header::WWW_AUTHENTICATE, scheme);
    response
}

/// Response to a request that was not run and may be retried.
fn not_run(reason: &'static str) -> HttpResponse {
    not_run_retry_after(reason, DEFAULT_RETRY_AFTER)
}

fn not_run_retry_after(reason: &'static str, delay: Duration) -> HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(http::header::RETRY_AFTER, retry_after(delay));
    response
}

/// Response to a request for which no server was available.
fn unplaced_response(gateway: &Gateway, rejection: &Unplaced) -> HttpResponse {
    gateway.metrics.record_unplaced(rejection.reason);
    not_run_retry_after("no server took it", rejection.retry_after)
}

/// Response to a quarantined request.
fn quarantined_response(refused: Refused) -> HttpResponse {
    not_run_retry_after(
        "requests like this one ended the servers that ran them",
        refused.retry_after,
    )
}

/// A call that submits a batch job.
struct JobCall<'a> {
    id: &'a str,
    route: &'a str,
    caller: &'a Caller,
    arrived: Moment,
}

async fn submit_job(
    gateway: &Rc<Gateway>,
    call: JobCall<'_>,
    head: &Parts,
    body: &[u8],
) -> HttpResponse {
    let JobCall { id, route, caller, arrived } = call;
    let mut specification = match gateway.dialect.job(id, body) {
        Ok(specification) => specification,
        Err(error) => {
            log::warn!("event=job_malformed job={id} error=\"{error}\"");
            return text_response(StatusCode::BAD_REQUEST, "the batch job is malformed");
        }
    };
    let host = headers::text(&head.headers, &http::header::HOST).unwrap_or_default();
    specification.host = host.to_owned();
    specification.path = head.uri.path().to_owned();
    specification.tenant = caller.tenant().map(str::to_owned);
    specification.configuration = gateway.configuration().map_or(0, |known| known.version);
    let (items, step) = (specification.items.len(), specification.step.clone());
    let submitted = submission::submit(gateway, specification, arrived + STORE_TIMEOUT).await;
    log::info!(
        "event=job_handed_in job={id} route={route} tenant={} items={items} step={} outcome={submitted:?} ms={}",
        caller.tenant().unwrap_or("none"),
        step.map_or_else(
            || "none".to_owned(),
            |step| format!(
                "{} model={} min_version={} desired={}",
                step.number, step.model, step.min_version, step.desired_groups
            )
        ),
        gateway.now().saturating_sub(arrived).as_millis()
    );
    match submitted {
        Ok(()) => text_response(StatusCode::ACCEPTED, "accepted"),
        Err(SubmitError::Unavailable) => not_run("not taken"),
        Err(SubmitError::Malformed(problems)) => {
            bytes_response(StatusCode::BAD_REQUEST, "text/plain", problems.into())
        }
        Err(error) => text_response(error.status(), "not accepted"),
    }
}

fn results_response(
    gateway: &Gateway,
    job: &str,
    from: usize,
    page: Result<crate::batch::ResultsPage, ReadError>,
) -> HttpResponse {
    match page {
        Ok(page) => {
            let page = gateway.dialect.results(&page);
            reserved_response(gateway, job, "application/json", page)
        }
        Err(error) => {
            log::info!("event=results_refused job={job} from={from} reason={error:?}");
            read_error_response(error)
        }
    }
}

/// Response whose body counts against the memory budget for responses. Reading may be repeated.
fn reserved_response(
    gateway: &Gateway,
    id: &str,
    content_type: &'static str,
    bytes: Bytes,
) -> HttpResponse {
    let mut reservation = gateway.response_memory.reserve();
    if !reservation.grow(bytes.len()) {
        attempt::log_refused_response(gateway, id, &NO_RESPONSE_MEMORY);
        return not_run(NO_RESPONSE_MEMORY);
    }
    let mut response = bytes_response(StatusCode::OK, content_type, Bytes::new());
    *response.body_mut() = ResponseBody::reserved(bytes, Some(Rc::new(reservation)));
    response
}

fn item_response(
    gateway: &Gateway,
    job: &str,
    item: &str,
    body: Result<Bytes, ReadError>,
) -> HttpResponse {
    match body {
        Ok(body) => reserved_response(gateway, job, "application/octet-stream", body),
        Err(error) => {
            log::info!("event=item_refused job={job} item={item} reason={error:?}");
            read_error_response(error)
        }
    }
}

fn read_error_response(error: ReadError) -> HttpResponse {
    match error {
        ReadError::NotFound => text_response(StatusCode::NOT_FOUND, "there is no such thing"),
        ReadError::Unavailable => not_run("it cannot be told now"),
    }
}

fn end_job_response(ended: Result<(), EndError>) -> HttpResponse {
    match ended {
        Ok(()) => text_response(StatusCode::OK, "ended"),
        Err(EndError::NoSuchJob) => text_response(StatusCode::NOT_FOUND, "there is no such job"),
        Err(EndError::Unavailable) => not_run("the end could not be recorded"),
    }
}
