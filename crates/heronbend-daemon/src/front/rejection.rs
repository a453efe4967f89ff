//! Refusals, and how the errors of the layers below are answered.

use std::time::Duration;

use heronbend_http::http_types::{Response, StatusCode};
use heronbend_http::{error_response, Outcome};

use crate::dispatch::{retry_after, DispatchError};
use crate::tasks::register::RegisterError;

/// A request that is not served, with its answer.
pub struct Refusal(Box<Response>);

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        *refusal.0
    }
}

impl From<Response> for Refusal {
    fn from(response: Response) -> Self {
        Self(Box::new(response))
    }
}

/// A final refusal.
pub fn refuse(status: StatusCode, code: &str, message: &str, outcome: Outcome) -> Refusal {
    error_response(status, code, message, outcome).into()
}

/// A refusal of what was not run, which says when to come back.
pub fn refuse_with_retry(
    status: StatusCode,
    code: &str,
    message: &str,
    after: Duration,
) -> Refusal {
    let mut response = error_response(status, code, message, Outcome::NotRun);
    set_retry_after(&mut response, after);
    response.into()
}

fn set_retry_after(response: &mut Response, after: Duration) {
    let seconds = after.as_secs().max(1);
    response.insert_header("retry-after", seconds.to_string());
}

impl From<DispatchError> for Refusal {
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

impl From<RegisterError> for Refusal {
    fn from(error: RegisterError) -> Self {
        let message = error.to_string();
        refuse_with_retry(
            StatusCode::ServiceUnavailable,
            "register_unavailable",
            &message,
            Duration::from_secs(1),
        )
    }
}
