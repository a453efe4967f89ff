//! Error responses, and the conversion of errors from the layers below.

use std::time::Duration;

use heronbend_http::http_types::{Response, StatusCode};
use heronbend_http::{error_response, Outcome};

use crate::dispatch::{retry_after, DispatchError};
use crate::tasks::register::RegisterError;

/// The error response to a rejected or failed request.
pub struct Rejection(Box<Response>);

impl From<Rejection> for Response {
    fn from(rejection: Rejection) -> Self {
        *rejection.0
    }
}

impl From<Response> for Rejection {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

/// Creates an error response without `retry-after`.
pub fn reject(status: StatusCode, code: &str, message: &str, outcome: Outcome) -> Rejection {
    error_response(status, code, message, outcome).into()
}

/// Creates an error response for a request that did not run, with a `retry-after` header.
pub fn reject_with_retry(
    status: StatusCode,
    code: &str,
    message: &str,
    after: Duration,
) -> Rejection {
    let mut response = error_response(status, code, message, Outcome::NotRun);
    set_retry_after(&mut response, after);
    response.into()
}

fn set_retry_after(response: &mut Response, after: Duration) {
    let seconds = after.as_secs().max(1);
    response.insert_header("retry-after", seconds.to_string());
}

impl From<DispatchError> for Rejection {
    fn from(error: DispatchError) -> Self {
        let (status, code) = match &error {
            DispatchError::NoBackend(_) => (StatusCode::ServiceUnavailable, "no_back_end"),
            DispatchError::Full(_) => (StatusCode::TooManyRequests, "pool_full"),
            DispatchError::NotRun(_) => (StatusCode::ServiceUnavailable, "not_run"),
            DispatchError::Quarantined(_) => (StatusCode::ServiceUnavailable, "quarantined"),
            DispatchError::Unknown(_) => (StatusCode::BadGateway, "outcome_unknown"),
        };
        let mut response = error_response(status, code, error.to_string(), error.outcome());
        set_retry_after(&mut response, retry_after(&error));
        response.into()
    }
}

impl From<RegisterError> for Rejection {
    fn from(error: RegisterError) -> Self {
        let message = error.to_string();
        reject_with_retry(
            StatusCode::ServiceUnavailable,
            "register_unavailable",
            &message,
            Duration::from_secs(1),
        )
    }
}
