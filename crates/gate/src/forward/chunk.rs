//! The parts of a streamed chunk that the gate reads.

use std::borrow::Cow;

use agate_wire::engine::Usage;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

/// What a chunk says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Text that the first alternative gains.
    pub text: String,
    /// Whether it ends the answer.
    pub finished: bool,
    /// Token counts, if it has them.
    pub usage: Option<Usage>,
    /// Whether it belongs to an answer with one alternative.
    pub single: bool,
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
    /// Reads a chunk. Data that is no chunk is passed on unread.
    pub fn read(data: &[u8]) -> Self {
        let Ok(event) = serde_json::from_slice::<Event<'_>>(data) else {
            return Self::default();
        };
        let single = event.choices.iter().all(|it| it.index == 0) && event.choices.len() <= 1;
        let first = event.choices.iter().find(|it| it.index == 0);
        let text = first.and_then(|it| it.delta.content.as_deref());
        Self {
            text: text.unwrap_or_default().to_owned(),
            finished: event.choices.iter().any(|it| it.finish_reason.is_some()),
            usage: event.usage,
            single,
        }
    }

    /// Whether it carries nothing that a caller who has the beginning needs.
    pub fn is_preamble(&self) -> bool {
        self.text.is_empty() && !self.finished && self.usage.is_none()
    }
}

/// The chunk with another text; all other fields stay.
pub fn with_text(data: &Bytes, text: &str) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<Value>(data) else {
        return data.clone();
    };
    if let Some(content) = value.pointer_mut("/choices/0/delta/content") {
        *content = Value::String(text.to_owned());
    }
    serde_json::to_vec(&value).map_or_else(|_| data.clone(), Bytes::from)
}
