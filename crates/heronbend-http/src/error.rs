//! JSON error responses, which state whether the request was run.

use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Response header that carries an [`Outcome`].
pub const OUTCOME_HEADER: &str = "heronbend-outcome";

/// Whether a backend ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend started the request, so a retry is safe.
    NotRun,
    /// A backend ran the request.
    Ran,
    /// A backend may have run the request, so only idempotent requests may be retried.
    Unknown,
}

impl Outcome {
    /// Returns the value for [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a value of [`OUTCOME_HEADER`]; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

/// Body of every error response: `{"error":{"code":..,"message":..,"outcome":..}}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error in an [`ErrorBody`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable machine-readable code, such as `unknown_model`.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the request was run.
    pub outcome: Outcome,
}

/// Builds an error response with a JSON body and an outcome header.
pub fn error_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
    outcome: Outcome,
) -> Response {
    let body = ErrorBody {
        error: ErrorDetail { code: code.to_owned(), message: message.into(), outcome },
    };
    let mut response = json_response(status, &body);
    response.insert_header(OUTCOME_HEADER, outcome.as_str());
    response
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("serialising a plain data type cannot fail");
    let mut response = Response::new(status);
    response.set_body(bytes);
    response.insert_header("content-type", "application/json");
    response
}
