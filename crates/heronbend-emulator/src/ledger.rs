//! Records of the requests that emulated backends executed.

use serde::{Deserialize, Serialize};

/// A request executed by an application server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Identifier of the attempt.
    pub attempt: String,
    /// Request identifier chosen by the caller.
    pub caller_request: String,
    /// Idempotency key of the request, if any.
    pub idempotency_key: Option<String>,
}

/// A generation executed by an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// Identifier of the attempt.
    pub attempt: String,
    /// Request identifier chosen by the caller.
    pub caller_request: String,
    /// Number of tokens that this engine generated.
    pub tokens: u32,
    /// Whether the generation reached the end of the text.
    pub finished: bool,
}

/// Response to `GET /ledger`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Executed application requests.
    #[serde(default)]
    pub executions: Vec<Execution>,
    /// Executed generations.
    #[serde(default)]
    pub runs: Vec<Run>,
    /// Number of requests received later than a grace period after the backend started leaving.
    #[serde(default)]
    pub new_work_while_leaving: u64,
}
