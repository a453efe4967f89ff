//! Protocol of model engines: streamed generation, status and fenced commands.

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::lifecycle::Phase;
use crate::rollout::FinishReason;

/// Header with the identifier of an attempt, which the engine echoes.
pub const ATTEMPT_HEADER: &str = "x-request-id";
/// Header that forwards the caller's request identifier.
pub const CALLER_REQUEST_HEADER: &str = "x-caller-request-id";

/// A generation request to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens, including those already generated.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Whether to respond with server-sent events.
    pub stream: bool,
    /// Scheduling priority; lower values run first.
    pub priority: i32,
    /// State of a generation that another engine started and this one continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// State from which a generation is resumed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resume {
    /// Number of tokens already generated.
    pub tokens: u32,
    /// Text of these tokens.
    pub text: String,
    /// Handle of an exported KV cache, to avoid recomputing it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// A server-sent event of a generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateChunk {
    /// Identifier of the attempt, from the request.
    pub id: String,
    /// The generated text; always one choice.
    pub choices: [ChunkChoice; 1],
    /// Origin of the tokens.
    pub stamp: ChunkStamp,
}

/// The text of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Text added by this chunk.
    pub text: String,
    /// Reason why the generation finished; set on the last chunk only.
    pub finish_reason: Option<FinishReason>,
}

/// Origin of the tokens of a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkStamp {
    /// Weight version that generated the tokens.
    pub version: u64,
    /// Index of the first token in the generation.
    pub offset: u32,
    /// Number of tokens.
    pub tokens: u32,
    /// Name of the engine.
    pub engine: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
}

/// Status report of an engine or application server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Number of sequences being generated.
    pub running: u32,
    /// Number of queued sequences.
    pub waiting: u32,
    /// Name of the model; empty for an application server.
    pub model: String,
    /// Loaded weight version; `None` while no version is fully loaded.
    pub version: Option<u64>,
}

/// A command to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Fencing token. Engines reject a token lower than the highest they have seen.
    pub fence: u64,
    /// Action to perform.
    pub action: CommandAction,
}

/// Action of an [`EngineCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum CommandAction {
    /// Load a weight version of its model.
    LoadVersion {
        /// Version to load.
        version: u64,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Switch to another serving role, such as `prefill` or `decode`.
    ChangeRole {
        /// Name of the role.
        role: String,
    },
}

/// Response to a completed command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandResponse {
    /// Loaded weight version after the command.
    pub version: Option<u64>,
}

/// Request to export the KV cache of a running generation and stop it on this engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Identifier of the attempt to export.
    pub id: String,
}

/// An exported KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportResponse {
    /// Handle for [`Resume::kv_handle`].
    pub kv_handle: String,
    /// Number of tokens in the cache.
    pub tokens: u32,
}

/// Error code of a request rejected because the backend is leaving.
pub const CODE_LEAVING: &str = "leaving";
/// Error code of a request rejected because the backend is at capacity.
pub const CODE_FULL: &str = "full";
/// Error code of a command rejected because a higher fencing token was seen.
pub const CODE_FENCED: &str = "fenced";
