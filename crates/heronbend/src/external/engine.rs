//! Model engines: generation with stamped chunks, status, and fenced orders.

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::lifecycle::Phase;
use crate::rollout::FinishReason;

/// Header that names one attempt; the engine echoes it.
pub const ATTEMPT_HEADER: &str = "x-request-id";
/// Header that passes on the caller's own request identifier.
pub const CALLER_REQUEST_HEADER: &str = "x-caller-request-id";

/// A generation request to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate, those already generated included.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Answer as server-sent events.
    pub stream: bool,
    /// Lower runs first.
    pub priority: i32,
    /// Continues a text that another engine began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// What is known of a text that is to be continued.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resume {
    /// Tokens that exist already.
    pub tokens: u32,
    /// Their text.
    pub text: String,
    /// Handle of an exported KV cache, which saves computing it anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// One server-sent event of a generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateChunk {
    /// Identifier of the attempt, as sent.
    pub id: String,
    /// Exactly one choice.
    pub choices: [ChunkChoice; 1],
    /// What drew the tokens.
    pub stamp: ChunkStamp,
}

/// The text of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// New text.
    pub text: String,
    /// Set on the last chunk.
    pub finish_reason: Option<FinishReason>,
}

/// What drew the tokens of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkStamp {
    /// The loaded weight version.
    pub version: u64,
    /// Position of the first token.
    pub offset: u32,
    /// Number of tokens.
    pub tokens: u32,
    /// The engine's name.
    pub engine: String,
    /// The run of the engine.
    pub incarnation: Incarnation,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub phase: Phase,
    /// Sequences being generated.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// The model; empty for an application server.
    pub model: String,
    /// The loaded version; `None` while the engine cannot vouch for one.
    pub version: Option<u64>,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Fencing token: an engine refuses one lower than it has seen.
    pub fence: u64,
    /// What to do.
    pub action: CommandAction,
}

/// What an engine can be ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum CommandAction {
    /// Load a weight version of its model.
    LoadVersion {
        /// The version.
        version: u64,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Serve another role, such as `prefill` or `decode`.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// The answer to an order that was carried out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The version loaded now.
    pub version: Option<u64>,
}

/// Asks for the KV cache of a running generation, which ends at this engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Identifier of the attempt.
    pub id: String,
}

/// An exported KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Exported {
    /// Handle for [`Resume`].
    pub kv_handle: String,
    /// Tokens that it covers.
    pub tokens: u32,
}

/// Code of an engine's or server's refusal because it is leaving.
pub const CODE_LEAVING: &str = "leaving";
/// Code of a refusal because it is full.
pub const CODE_FULL: &str = "full";
/// Code of a refused order because a newer fencing token was seen.
pub const CODE_FENCED: &str = "fenced";
