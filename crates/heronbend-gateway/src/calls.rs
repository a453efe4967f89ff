//! Calls of clients and trainers: requests by the routes, and the interface of batch jobs.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use heronbend::access::Caller;
use heronbend::placement::wait_policy::DEFAULT_RETRY_AFTER;
use heronbend::placement::Rejection as Unplaced;
use heronbend::Moment;
use http::request::Parts;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::access;
use crate::access::Refusal;
use crate::batch::hand_in::{self, EndError, HandInError};
use crate::batch::reading::{self, ReadError};
use crate::configuration::{Configuration, Route, RouteKind};
use crate::duties::billing::Billing;
use crate::exchange::Outgoing;
use crate::forward::{forward, retry_after, Allowance, ForwardError};
use crate::gateway::Gateway;
use crate::headers;
use crate::homes;
use crate::http::client::WholeAnswer;
use crate::http::server::{read_body, BodyError, BodyLimits};
use crate::http::{bytes_answer, text_answer, Answer, AnswerBody};
use crate::memory::Hold;
use crate::ports::Call;
use crate::quarantine::Refused;
use crate::stream::{self, Opened};

/// Longest time that a call of the batch interface tries to reach the store.
const STORE_PATIENCE: Duration = Duration::from_millis(2500);
/// Longest time that a reader of results may be held.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Answers a call.
pub async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Answer {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, &gateway.dialect.headers().request_id);
    let id = id.unwrap_or_default().to_owned();
    let call = gateway.dialect.call(&head.method, head.uri.path(), head.uri.query());
    let (name, mut answer) = match call {
        Call::Forward => answer_by_route(&gateway, &id, head, body, arrived).await,
        Call::Malformed(problem) => {
            ("malformed".to_owned(), text_answer(StatusCode::BAD_REQUEST, problem))
        }
        call => answer_job_call(&gateway, call, &head, arrived).await,
    };
    let names = gateway.dialect.headers();
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        if !id.is_empty() && !answer.headers().contains_key(&names.request_id) {
            answer.headers_mut().insert(names.request_id.clone(), value);
        }
    }
    let latency = gateway.now().saturating_sub(arrived);
    gateway.metrics.answered(&name, answer.status().as_u16(), latency);
    answer
}

/// Answers a call of the batch interface that concerns a job which was handed in before.
async fn answer_job_call(
    gateway: &Rc<Gateway>,
    call: Call,
    head: &Parts,
    arrived: Moment,
) -> (String, Answer) {
    let Some(configuration) = gateway.configuration() else {
        return ("unknown".to_owned(), not_run("no configuration yet"));
    };
    let identified = access::identify(&configuration, &head.headers, &gateway.key_hasher);
    let caller = match admit(gateway, identified) {
        Ok(caller) => caller,
        Err(denial) => {
            let path = head.uri.path();
            let answer = deny(gateway, denial, path, &format!("path={path}"));
            return (denial.name().to_owned(), answer);
        }
    };
    match call {
        Call::ReadResults { job, from } => {
            let wait = headers::millis(&head.headers, &gateway.dialect.headers().wait_millis);
            let wait = wait.unwrap_or_default().min(MAX_WAIT);
            let page = reading::results(gateway, &job, &caller, from, arrived + wait).await;
            ("read_results".to_owned(), read_answer(gateway, &job, from, page))
        }
        Call::ReadItem { job, item } => {
            let body = reading::item(gateway, &job, &caller, &item).await;
            ("read_item".to_owned(), item_answer(&job, &item, body))
        }
        Call::EndJob { job } => {
            let ended = hand_in::end(gateway, &job, &caller, arrived + STORE_PATIENCE).await;
            log::info!(
                "event=job_end_asked job={job} outcome={ended:?} ms={}",
                gateway.now().saturating_sub(arrived).as_millis()
            );
            ("end_job".to_owned(), end_answer(ended))
        }
        Call::Forward | Call::Malformed(_) => {
            ("malformed".to_owned(), text_answer(StatusCode::BAD_REQUEST, "not a call of a job"))
        }
    }
}

async fn answer_by_route(
    gateway: &Rc<Gateway>,
    id: &str,
    head: Parts,
    body: Incoming,
    arrived: Moment,
) -> (String, Answer) {
    let Some(configuration) = gateway.configuration() else {
        log::warn!("event=refused id={id} reason=\"no configuration yet\"");
        return ("unknown".to_owned(), not_run("no configuration yet"));
    };
    let host = headers::text(&head.headers, &http::header::HOST).unwrap_or_default();
    let Some(route) = configuration.route(host, head.uri.path()).cloned() else {
        if gateway.is_configuration_behind() {
            return ("none".to_owned(), refuse_behind(gateway, id));
        }
        log::info!(
            "event=no_route id={id} host={host} path={} configuration={}",
            head.uri.path(),
            configuration.version
        );
        return ("none".to_owned(), text_answer(StatusCode::NOT_FOUND, "no such route"));
    };
    let name = route.name.clone();
    let identified = route_caller(gateway, &configuration, &route, &head);
    let caller = match admit(gateway, identified) {
        Ok(caller) => caller,
        Err(denial) => {
            let answer = deny(gateway, denial, id, &format!("id={id} route={name}"));
            return (name, answer);
        }
    };
    let limits = BodyLimits {
        max_bytes: configuration.limits.max_body_bytes,
        idle: configuration.limits.idle_timeout.min(route.timeout),
    };
    let mut hold = gateway.memory.hold();
    let bytes = match read_body(body, limits, &mut hold).await {
        Ok(bytes) => bytes,
        Err(error) => {
            log::info!("event=body_refused id={id} route={name} reason=\"{error}\"");
            return (name, body_refusal(&error));
        }
    };
    let answer = if route.kind == RouteKind::Rollout {
        hand_in_job(gateway, id, &caller, &head, &bytes, arrived).await
    } else {
        let request = Accepted { head, body: bytes, hold, caller, arrived };
        pass_on(gateway, id, request, &route, &configuration).await
    };
    (name, answer)
}

/// Why a call ends before anything of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Denial {
    /// The caller's key may have been taken away unheard.
    Closed,
    /// A newer configuration, of which a peer has told, may allow the call.
    Behind,
    /// The caller shows no key that is held.
    Unauthorized(Refusal),
}

impl Denial {
    /// Its name among the calls that metrics count.
    fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Behind => "behind",
            Self::Unauthorized(_) => "unauthorized",
        }
    }
}

/// Whether a caller is served by what is known here of keys.
fn admit(gateway: &Gateway, identified: Result<Caller, Refusal>) -> Result<Caller, Denial> {
    match identified {
        Ok(Caller::Tenant(_)) if gateway.is_closed() => Err(Denial::Closed),
        Ok(caller) => Ok(caller),
        Err(_) if gateway.is_configuration_behind() => Err(Denial::Behind),
        Err(refusal) => Err(Denial::Unauthorized(refusal)),
    }
}

/// The answer to a call that is denied; `id` and `place` tell which it was.
fn deny(gateway: &Gateway, denial: Denial, id: &str, place: &str) -> Answer {
    match denial {
        Denial::Closed => refuse_closed(gateway, id),
        Denial::Behind => refuse_behind(gateway, id),
        Denial::Unauthorized(refusal) => {
            log::info!(
                "event=unauthorized {place} reason=\"{refusal}\" configuration={}",
                gateway.configuration_version()
            );
            unauthorized(refusal)
        }
    }
}

/// Refuses what a newer configuration, of which a peer has told, may allow.
fn refuse_behind(gateway: &Gateway, id: &str) -> Answer {
    log::info!(
        "event=refused id={id} reason=\"the configuration is behind\" version={} peer_version={}",
        gateway.configuration_version(),
        gateway.behind.get()
    );
    not_run("the configuration is behind")
}

/// Refuses a caller whose key may have been taken away unheard.
fn refuse_closed(gateway: &Gateway, id: &str) -> Answer {
    log::info!(
        "event=refused id={id} reason=\"no news of keys\" configuration={} age_ms={}",
        gateway.configuration_version(),
        gateway.configuration_age().as_millis()
    );
    not_run("it cannot be told whether the key is still held")
}

/// Who makes a request of a route.
fn route_caller(
    gateway: &Gateway,
    configuration: &Configuration,
    route: &Route,
    head: &Parts,
) -> Result<Caller, Refusal> {
    let (headers, hasher) = (&head.headers, &gateway.key_hasher);
    if route.is_public {
        return Ok(access::identify_public(configuration, headers, hasher));
    }
    access::identify(configuration, headers, hasher)
}

/// A request that is to be passed on.
struct Accepted {
    head: Parts,
    body: Bytes,
    hold: Hold,
    caller: Caller,
    arrived: Moment,
}

async fn pass_on(
    gateway: &Rc<Gateway>,
    id: &str,
    request: Accepted,
    route: &Route,
    configuration: &Configuration,
) -> Answer {
    let Accepted { head, body, hold, caller, arrived } = request;
    let service = gateway.splitter.borrow_mut().next(route).map(str::to_owned);
    let Some(service) = service else {
        return not_run("the route has no service");
    };
    let names = gateway.dialect.headers();
    let patience = headers::millis(&head.headers, &names.deadline_millis);
    let homes = homes::of(configuration, route, &caller);
    let allowance = Allowance::of_route(route, arrived, patience, homes);
    let tenant = caller.tenant().map(str::to_owned);
    let mut headers = headers::passed_on(&head.headers);
    access::set_tenant(&mut headers, &names.tenant, &caller);
    let outgoing = Outgoing {
        id: id.to_owned(),
        method: head.method,
        target: head.uri,
        headers,
        body,
        hold: Some(Rc::new(hold)),
        billing: billing(gateway, &caller).map(Rc::new),
        fingerprint: OnceCell::new(),
    };
    if route.kind == RouteKind::Stream {
        return pass_on_stream(gateway, &service, outgoing, allowance, route).await;
    }
    let result = forward(gateway, &service, outgoing, allowance).await;
    let millis = gateway.now().saturating_sub(arrived).as_millis();
    let outcome = match &result {
        Ok(answer) => answer.status.as_str().to_owned(),
        Err(error) => format!("{error:?}"),
    };
    log::info!(
        "event=forwarded id={id} route={} tenant={} service={service} configuration={} outcome={outcome} ms={millis}",
        route.name,
        tenant.as_deref().unwrap_or("none"),
        configuration.version
    );
    match result {
        Ok(answer) => server_answer(answer, route),
        Err(ForwardError::NotRun(refusal)) => unplaced(gateway, &refusal),
        Err(ForwardError::Quarantined(refused)) => quarantined(refused),
        Err(error) => text_answer(error.status(), "no answer of a server"),
    }
}

/// Where a caller's request is counted, if it is.
fn billing(gateway: &Rc<Gateway>, caller: &Caller) -> Option<Billing> {
    let (book, tenant) = (gateway.usage.clone()?, caller.tenant()?);
    let clock = gateway.clone();
    Some(Billing::new(book, tenant, move || clock.now()))
}

async fn pass_on_stream(
    gateway: &Rc<Gateway>,
    service: &str,
    outgoing: Outgoing,
    allowance: Allowance,
    route: &Route,
) -> Answer {
    let (id, begun) = (outgoing.id.clone(), gateway.now());
    let opened = stream::open(gateway, service, outgoing, allowance, route.resumable).await;
    let outcome = match &opened {
        Ok(Opened::Events { status, .. }) => status.as_str().to_owned(),
        Ok(Opened::Whole(answer)) => answer.status.as_str().to_owned(),
        Err(error) => format!("{error:?}"),
    };
    log::info!(
        "event=stream_opened id={id} route={} service={service} outcome={outcome} first_event_ms={}",
        route.name,
        gateway.now().saturating_sub(begun).as_millis()
    );
    match opened {
        Ok(Opened::Events { status, headers, body }) => {
            let mut answer = Answer::new(body);
            *answer.status_mut() = status;
            *answer.headers_mut() = headers;
            answer
        }
        Ok(Opened::Whole(answer)) => server_answer(answer, route),
        Err(ForwardError::NotRun(refusal)) => unplaced(gateway, &refusal),
        Err(ForwardError::Quarantined(refused)) => quarantined(refused),
        Err(error) => text_answer(error.status(), "no answer of a server"),
    }
}

/// A server's answer as it is passed on. A status that promises that nothing has run is passed on
/// only where that does not matter.
fn server_answer(answer: WholeAnswer, route: &Route) -> Answer {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if !route.is_repeatable() && promises.contains(&answer.status) {
        return text_answer(StatusCode::BAD_GATEWAY, "the outcome is unknown");
    }
    let mut passed = Answer::new(AnswerBody::whole(answer.body));
    *passed.status_mut() = answer.status;
    *passed.headers_mut() = headers::passed_on(&answer.headers);
    passed
}

/// The answer to a request whose body was not read whole; nothing of it has run.
fn body_refusal(error: &BodyError) -> Answer {
    match error {
        BodyError::TooLarge(_) => {
            text_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        BodyError::NoRoom => not_run("no memory for the body"),
        BodyError::Slow => text_answer(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        BodyError::Cut(_) => text_answer(StatusCode::BAD_REQUEST, "the body was cut"),
    }
}

/// The answer to a call that needs a key which it does not present; it has not run.
fn unauthorized(refusal: Refusal) -> Answer {
    let mut answer = text_answer(StatusCode::UNAUTHORIZED, refusal.text());
    let scheme = http::HeaderValue::from_static("Bearer");
    answer.headers_mut().insert(http::header::WWW_AUTHENTICATE, scheme);
    answer
}

/// The answer to a request that has not run and never will.
fn not_run(reason: &'static str) -> Answer {
    not_run_until(reason, DEFAULT_RETRY_AFTER)
}

fn not_run_until(reason: &'static str, come_back: Duration) -> Answer {
    let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    answer.headers_mut().insert(http::header::RETRY_AFTER, retry_after(come_back));
    answer
}

/// The answer to a request that no server could be sent.
fn unplaced(gateway: &Gateway, refusal: &Unplaced) -> Answer {
    gateway.metrics.unplaced(refusal.reason);
    not_run_until("no server took it", refusal.retry_after)
}

/// The answer to a request that is kept from servers since others like it ended theirs.
fn quarantined(refused: Refused) -> Answer {
    not_run_until("requests like this one ended the servers that ran them", refused.retry_after)
}

async fn hand_in_job(
    gateway: &Rc<Gateway>,
    id: &str,
    caller: &Caller,
    head: &Parts,
    body: &[u8],
    arrived: Moment,
) -> Answer {
    let mut specification = match gateway.dialect.job(id, body) {
        Ok(specification) => specification,
        Err(error) => {
            log::warn!("event=job_malformed job={id} error=\"{error}\"");
            return text_answer(StatusCode::BAD_REQUEST, "the batch job is malformed");
        }
    };
    let host = headers::text(&head.headers, &http::header::HOST).unwrap_or_default();
    specification.host = host.to_owned();
    specification.path = head.uri.path().to_owned();
    specification.tenant = caller.tenant().map(str::to_owned);
    let (items, step) = (specification.items.len(), specification.step.clone());
    let taken = hand_in::hand_in(gateway, specification, arrived + STORE_PATIENCE).await;
    log::info!(
        "event=job_handed_in job={id} tenant={} items={items} step={} outcome={taken:?} ms={}",
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
    match taken {
        Ok(()) => text_answer(StatusCode::ACCEPTED, "accepted"),
        Err(HandInError::NotTaken) => not_run("not taken"),
        Err(error) => text_answer(error.status(), "not accepted"),
    }
}

fn read_answer(
    gateway: &Gateway,
    job: &str,
    from: usize,
    page: Result<crate::batch::ResultsPage, ReadError>,
) -> Answer {
    match page {
        Ok(page) => {
            bytes_answer(StatusCode::OK, "application/json", gateway.dialect.results(&page))
        }
        Err(error) => {
            log::info!("event=results_refused job={job} from={from} reason={error:?}");
            read_error(error)
        }
    }
}

fn item_answer(job: &str, item: &str, body: Result<Bytes, ReadError>) -> Answer {
    match body {
        Ok(body) => bytes_answer(StatusCode::OK, "application/octet-stream", body),
        Err(error) => {
            log::info!("event=item_refused job={job} item={item} reason={error:?}");
            read_error(error)
        }
    }
}

fn read_error(error: ReadError) -> Answer {
    match error {
        ReadError::NotFound => text_answer(StatusCode::NOT_FOUND, "there is no such thing"),
        ReadError::Unavailable => not_run("it cannot be told now"),
    }
}

fn end_answer(ended: Result<(), EndError>) -> Answer {
    match ended {
        Ok(()) => text_answer(StatusCode::OK, "ended"),
        Err(EndError::NoSuchJob) => text_answer(StatusCode::NOT_FOUND, "there is no such job"),
        Err(EndError::Unavailable) => not_run("the end could not be recorded"),
    }
}
