//! What back ends note of everything they ran.

use serde::{Deserialize, Serialize};

/// One execution at an application server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Identifier of the attempt.
    pub attempt: String,
    /// The caller's own identifier of the request.
    pub caller_request: String,
    /// The idempotency key, where the request had one.
    pub idempotency_key: Option<String>,
}

/// One generation at an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// Identifier of the attempt.
    pub attempt: String,
    /// The caller's own identifier of the request.
    pub caller_request: String,
    /// Tokens that this engine drew.
    pub tokens: u32,
    /// Whether it reached the end of the text.
    pub finished: bool,
}

/// Answer of `GET /ledger`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Executions of application requests.
    #[serde(default)]
    pub executions: Vec<Execution>,
    /// Generations.
    #[serde(default)]
    pub runs: Vec<Run>,
    /// Requests that came in more than a grace period after the back end had begun to leave.
    #[serde(default)]
    pub new_work_while_leaving: u64,
}
