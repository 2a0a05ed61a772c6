//! HTTP interface of the model engines.
//!
//! - `POST /v1/chat/completions` is the usual chat completion. With `stream: true` the response is
//!   a server-sent event stream of [`Chunk`], ended by `data: [DONE]`. The engine follows the
//!   request headers `x-request-id`, `x-agate-priority` (0 is the highest) and
//!   `x-agate-deadline-ms`. The `id:` line of each event is the chunk's offset, from 0.
//! - `GET /v1/streams/{request}?offset=N` returns the stream again, from chunk N, for some seconds
//!   after it ended; 404 for an unknown request.
//! - `DELETE /v1/streams/{request}` cancels the request; the engine frees its slot.
//! - `GET /load` returns [`Load`], which lags.
//! - `GET /cache/events?after=N` returns [`CacheEvents`], late and with gaps.
//! - `GET|POST /cache/blocks/{hash}` exports and imports blocks of the KV cache.
//! - `POST /orders` takes [`Order`]; returns 409 with [`Fenced`] if the engine checks fencing
//!   tokens and has seen a higher one.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// The fields of a chat completion request that the system reads; other fields pass through.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model that the caller requests.
    pub model: String,
    /// Messages of the conversation, the oldest first.
    pub messages: Vec<Message>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum length of the response, in tokens; `None` if the caller sets no limit.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u32>,
}

/// Token counts of a request and its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the response.
    pub completion_tokens: u64,
    /// Sum of prompt and response tokens.
    pub total_tokens: u64,
}

/// Text that a chunk adds to one choice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Author of the response; set only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text to append; `None` if the chunk adds none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Part of one alternative of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Position of the alternative in the response, from 0.
    pub index: u32,
    /// Text that this chunk adds to the alternative.
    pub delta: Delta,
    /// Reason for which the response ended; set only in the last chunk.
    pub finish_reason: Option<String>,
}

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identity of the response, the same in all its chunks.
    pub id: String,
    /// Type of the object, always `chat.completion.chunk`.
    pub object: String,
    /// Creation time of the response, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model that produces the response.
    pub model: String,
    /// Alternatives to which this chunk adds text.
    pub choices: Vec<Choice>,
    /// Token counts of the whole response; set only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Load of an engine, measured some time before the response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait to enter the batch.
    pub queued: u32,
    /// Number of tokens in the batch.
    pub batch_tokens: u64,
    /// Duration of a decoding step, in microseconds.
    pub step_us: u64,
    /// Models that the engine has loaded, with their versions.
    pub models: Vec<LoadedModel>,
    /// Whether the engine takes no new requests.
    pub draining: bool,
    /// Time since the load was measured, in milliseconds.
    pub age_ms: u64,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Version of the model that is loaded.
    pub version: String,
}

/// Storage or eviction of one block in an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event log; a missing number is a lost event.
    pub sequence: u64,
    /// Hash of the prompt prefix block, as 16 hexadecimal digits.
    pub block: String,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Consecutive part of an engine's cache event log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in the order of their sequence numbers; events may be missing.
    pub events: Vec<CacheEvent>,
    /// Value of `after` for the next request.
    pub next: u64,
}

/// Operation that an order tells an engine to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Loads a version of a model.
    Load {
        /// Name of the model to load.
        model: String,
        /// Version of the model to load.
        version: String,
    },
    /// Unloads a model.
    Unload {
        /// Name of the model to unload.
        model: String,
    },
    /// Changes the role of the engine.
    Role {
        /// New role: `prefill`, `decode` or `both`.
        role: String,
    },
    /// Stops taking new requests.
    Drain,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity of the order; an order with a known identity has no further effect.
    pub id: String,
    /// Lease epoch of the sender, used as the fencing token.
    pub epoch: u64,
    /// Name of the sender, which the engine records.
    pub sender: String,
    /// Operation to carry out.
    #[serde(flatten)]
    pub action: Action,
}

/// Refusal of an order whose fencing token is older than one that the engine has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest fencing token that the engine has seen.
    pub epoch: u64,
}
