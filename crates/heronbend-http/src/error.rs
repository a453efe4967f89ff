//! The JSON error body, and the outcome that every error states.

use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Response header that states whether the request was run, see [`Outcome`].
pub const OUTCOME_HEADER: &str = "heronbend-outcome";

/// What is known of whether a back end ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No back end started the request: sending it again is safe.
    NotRun,
    /// A back end ran the request.
    Ran,
    /// A back end may have run the request: only a repeatable request may be sent again.
    Unknown,
}

impl Outcome {
    /// The value of [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Reads a value of [`OUTCOME_HEADER`].
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

/// Body of every error answer: `{"error":{"code":..,"message":..,"outcome":..}}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// The content of an [`ErrorBody`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable machine-readable code, such as `unknown_model`.
    pub code: String,
    /// Explanation for people.
    pub message: String,
    /// Whether the request was run.
    pub outcome: Outcome,
}

/// Builds an error answer with its JSON body and outcome header.
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

/// Builds an answer with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("serialising a plain data type cannot fail");
    let mut response = Response::new(status);
    response.set_body(bytes);
    response.insert_header("content-type", "application/json");
    response
}
