//! The fields of a streamed chat completion chunk that the gate reads.

use std::borrow::Cow;

use agate_wire::engine::Usage;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

/// Fields of one chunk; all are empty or false if the data is not a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Text that the chunk appends to the first choice.
    pub text: String,
    /// Whether a choice of the chunk has a finish reason.
    pub finished: bool,
    /// Token counts that the engine reports; `None` if the chunk carries none.
    pub usage: Option<Usage>,
    /// Whether the chunk has no choice but the first.
    pub single_choice: bool,
}

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u32,
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl Chunk {
    /// Parses a chunk. Data that does not parse gives an empty chunk and is forwarded unchanged.
    pub fn read(data: &[u8]) -> Self {
        let Ok(event) = serde_json::from_slice::<Event<'_>>(data) else {
            return Self::default();
        };
        let single_choice =
            event.choices.iter().all(|choice| choice.index == 0) && event.choices.len() <= 1;
        let first = event.choices.iter().find(|choice| choice.index == 0);
        let text = first.and_then(|choice| choice.delta.content.as_deref());
        Self {
            text: text.unwrap_or_default().to_owned(),
            finished: event
                .choices
                .iter()
                .any(|choice| choice.finish_reason.is_some()),
            usage: event.usage,
            single_choice,
        }
    }

    /// Returns whether the chunk has no text, finish reason or usage, so that a caller that has the
    /// start of the response does not need it.
    pub fn is_preamble(&self) -> bool {
        self.text.is_empty() && !self.finished && self.usage.is_none()
    }
}

/// Returns the chunk with its text replaced and all other fields unchanged.
pub fn with_text(data: &Bytes, text: &str) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<Value>(data) else {
        return data.clone();
    };
    if let Some(content) = value.pointer_mut("/choices/0/delta/content") {
        *content = Value::String(text.to_owned());
    }
    serde_json::to_vec(&value).map_or_else(|_| data.clone(), Bytes::from)
}
