//! What model engines speak.
//!
//! - `POST /v1/chat/completions`: the usual chat completion. With
//!   `stream: true` the answer is a server-sent event stream of [`Chunk`],
//!   ended by `data: [DONE]`. The request headers `x-request-id`,
//!   `x-agate-priority` (0 is the highest) and `x-agate-deadline-ms` are honoured.
//!   Each event's `id:` line is the chunk's offset, from 0.
//! - `GET /v1/streams/{request}?offset=N`: the stream again, from chunk N, for
//!   some seconds after it ended; 404 for an unknown request.
//! - `DELETE /v1/streams/{request}`: cancels; the engine frees its slot.
//! - `GET /load` answers [`Load`], which lags.
//! - `GET /cache/events?after=N` answers [`CacheEvents`], late and with gaps.
//! - `GET|POST /cache/blocks/{hash}`: exports and imports KV cache.
//! - `POST /orders` takes [`Order`]; 409 with [`Fenced`] if it checks fencing
//!   numbers and has seen a higher one.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// The fields of a chat completion request that the system reads; others pass through.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Model that the caller names.
    pub model: String,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Longest answer, in tokens.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub completion_tokens: u64,
    /// Their sum.
    pub total_tokens: u64,
}

/// Text added by a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Set in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One alternative of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Position among the alternatives.
    pub index: u32,
    /// Text added.
    pub delta: Delta,
    /// Why the answer ended, in the last chunk.
    pub finish_reason: Option<String>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identity of the answer.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Model.
    pub model: String,
    /// Alternatives.
    pub choices: Vec<Choice>,
    /// Token counts, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Load of an engine, as of some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub queued: u32,
    /// Tokens in the batch.
    pub batch_tokens: u64,
    /// Duration of a decoding step, in microseconds.
    pub step_us: u64,
    /// Models loaded, with their versions.
    pub models: Vec<LoadedModel>,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Age of these figures, in milliseconds.
    pub age_ms: u64,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event log; missing numbers are lost events.
    pub sequence: u64,
    /// Hash of the prompt prefix block, as 16 hexadecimal digits.
    pub block: String,
    /// Whether the block was stored or evicted.
    pub stored: bool,
}

/// Part of the cache event log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events.
    pub events: Vec<CacheEvent>,
    /// Next value of `after`.
    pub next: u64,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Load a version of a model.
    Load {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Unload a model.
    Unload {
        /// Model.
        model: String,
    },
    /// Change role.
    Role {
        /// `prefill`, `decode` or `both`.
        role: String,
    },
    /// Take no new work.
    Drain,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity; a repeated order has no further effect.
    pub id: String,
    /// Fencing number.
    pub epoch: u64,
    /// Sender, for the engine's records.
    pub sender: String,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// Refusal of an order with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest fencing number seen.
    pub epoch: u64,
}
