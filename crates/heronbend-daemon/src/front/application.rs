//! Application requests: route, permission, and passing on.

use std::rc::Rc;

use heronbend::settings::policy::RoutePolicy;
use heronbend_http::http_types::{Request, Response, StatusCode};
use heronbend_http::{read_body, Outcome};

use super::rejection::{refuse, Refusal};
use super::{Admitted, Front};
use crate::dispatch::{ApplicationAnswer, ApplicationRequest};

/// Headers that concern one connection, or that this daemon sets itself.
const NOT_PASSED_ON: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "x-seen",
    "host",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 255;

impl Front {
    pub(super) async fn serve_route(
        self: Rc<Self>,
        mut admitted: Admitted,
    ) -> Result<Response, Refusal> {
        let path = admitted.request.url().path().to_owned();
        let settings = admitted.settings.clone();
        let route = settings.policy.route(&path).ok_or_else(|| {
            let message = format!("no route leads to {path}");
            refuse(StatusCode::NotFound, "unknown_route", &message, Outcome::NotRun)
        })?;
        check_permission(route, &admitted.caller.name)?;
        let key = idempotency_key(&admitted.request)?;
        let body = read_body(
            &mut admitted.request,
            settings.policy.max_body,
            settings.policy.body_timeout,
        )
        .await
        .map_err(|error| error.response())?;
        let pool = &settings.policy.pools[&route.pool];
        let request = ApplicationRequest {
            method: admitted.request.method(),
            target: target(&admitted.request),
            headers: headers_to_pass_on(&admitted.request),
            body,
            caller_request: admitted.caller_request(),
            repeatable: route.repeatable && key.is_none(),
        };
        let answer = match key {
            Some(key) => {
                let retention = settings.policy.claim_retention;
                let caller = &admitted.caller.name;
                self.send_claimed(pool, &request, caller, &key, retention).await?
            }
            None => self.dispatcher.send_to_application(pool, &request).await?,
        };
        Ok(respond(answer))
    }
}

fn check_permission(route: &RoutePolicy, caller: &str) -> Result<(), Refusal> {
    if route.callers.contains(caller) {
        return Ok(());
    }
    let message = format!("caller {caller} may not use route {}", route.name);
    Err(refuse(StatusCode::Forbidden, "forbidden", &message, Outcome::NotRun))
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(values) = request.header(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = values.as_str();
    if key.is_empty() || key.len() > MAX_KEY_BYTES || values.iter().count() > 1 {
        let message = format!("an idempotency key has from 1 to {MAX_KEY_BYTES} bytes");
        return Err(refuse(StatusCode::BadRequest, "bad_key", &message, Outcome::NotRun));
    }
    Ok(Some(key.to_owned()))
}

fn target(request: &Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}

fn headers_to_pass_on(request: &Request) -> Vec<(String, String)> {
    request
        .iter()
        .filter(|(name, _)| !NOT_PASSED_ON.contains(&name.as_str()))
        .map(|(name, values)| (name.as_str().to_owned(), values.as_str().to_owned()))
        .collect()
}

fn respond(answer: ApplicationAnswer) -> Response {
    let mut response = Response::new(answer.status);
    response.set_body(answer.body);
    if !answer.content_type.is_empty() {
        response.insert_header("content-type", answer.content_type);
    }
    response
}
