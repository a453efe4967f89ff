//! Application requests: routing, authorization and forwarding.

use std::rc::Rc;

use heronbend::settings::policy::RoutePolicy;
use heronbend_http::http_types::{Request, Response, StatusCode};
use heronbend_http::{read_body, Outcome};

use super::rejection::{reject, Rejection};
use super::{AdmittedRequest, Front};
use crate::dispatch::{ApplicationRequest, ApplicationResponse};

/// Request headers that are not forwarded: hop-by-hop headers and those that this daemon sets
/// itself.
const EXCLUDED_HEADERS: [&str; 10] = [
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
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 255;

impl Front {
    pub(super) async fn serve_route(
        self: Rc<Self>,
        mut admitted: AdmittedRequest,
    ) -> Result<Response, Rejection> {
        let path = admitted.request.url().path().to_owned();
        let settings = admitted.settings.clone();
        let route = settings.policy.route(&path).ok_or_else(|| {
            let message = format!("no route leads to {path}");
            reject(StatusCode::NotFound, "unknown_route", &message, Outcome::NotRun)
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
            headers: end_to_end_headers(&admitted.request),
            body,
            caller_request: admitted.caller_request(),
            idempotent: route.repeatable && key.is_none(),
            is_owed: false,
        };
        let response = match key {
            Some(key) => {
                let retention = settings.policy.claim_retention;
                let caller = &admitted.caller.name;
                self.send_claimed(pool, &request, caller, &key, retention).await?
            }
            None => self.dispatcher.send_to_application(pool, &request).await?,
        };
        Ok(into_response(response))
    }
}

fn check_permission(route: &RoutePolicy, caller: &str) -> Result<(), Rejection> {
    if route.callers.contains(caller) {
        return Ok(());
    }
    let message = format!("caller {caller} may not use route {}", route.name);
    Err(reject(StatusCode::Forbidden, "forbidden", &message, Outcome::NotRun))
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Rejection> {
    let Some(values) = request.header(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = values.as_str();
    if key.is_empty() || key.len() > MAX_KEY_BYTES || values.iter().count() > 1 {
        let message = format!("an idempotency key has from 1 to {MAX_KEY_BYTES} bytes");
        return Err(reject(StatusCode::BadRequest, "bad_key", &message, Outcome::NotRun));
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

fn end_to_end_headers(request: &Request) -> Vec<(String, String)> {
    request
        .iter()
        .filter(|(name, _)| !EXCLUDED_HEADERS.contains(&name.as_str()))
        .map(|(name, values)| (name.as_str().to_owned(), values.as_str().to_owned()))
        .collect()
}

fn into_response(upstream: ApplicationResponse) -> Response {
    let mut response = Response::new(upstream.status);
    response.set_body(upstream.body);
    if !upstream.content_type.is_empty() {
        response.insert_header("content-type", upstream.content_type);
    }
    response
}
