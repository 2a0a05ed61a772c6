//! Rows of the `claim` table.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_claim::record;
use agate_model::key::Digest;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// See [`record::Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// SHA-256 of the request, in hexadecimal digits.
    pub request: String,
    /// Identity of the claim.
    pub nonce: String,
    /// When it was claimed, in seconds since the Unix epoch.
    pub created: u64,
    /// State.
    #[serde(flatten)]
    pub state: State,
}

/// See [`record::State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// Claimed.
    Running {
        /// Host.
        host: String,
        /// Run of its gate.
        incarnation: String,
    },
    /// Executed.
    Done {
        /// Answer.
        answer: Answer,
    },
    /// It may have been executed.
    Unknown,
}

/// See [`record::Response`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<Header>,
    /// Body, in base64.
    pub body: String,
}

/// See [`record::Header`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A row that is no claim.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Not 64 hexadecimal digits.
    #[error("claim with a malformed request digest")]
    Digest,
    /// Not base64.
    #[error("claim with a malformed body: {0}")]
    Body(#[from] base64::DecodeError),
    /// Not the expected JSON.
    #[error("claim with malformed JSON: {0}")]
    Json(String),
}

impl Record {
    /// Contents of the row.
    pub fn to_row(&self) -> String {
        serde_json::to_string(self).expect("a claim has only string keys")
    }

    /// Claim from the contents of a row.
    pub fn from_row(value: &str) -> Result<record::Record, Malformed> {
        let wire: Self =
            serde_json::from_str(value).map_err(|err| Malformed::Json(err.to_string()))?;
        wire.try_into()
    }
}

impl From<record::Record> for Record {
    fn from(it: record::Record) -> Self {
        let created = it.created.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            request: hex::encode(it.request.0),
            nonce: it.nonce,
            created: created.as_secs(),
            state: it.state.into(),
        }
    }
}

impl TryFrom<Record> for record::Record {
    type Error = Malformed;

    fn try_from(it: Record) -> Result<Self, Malformed> {
        let mut request = Digest([0; 32]);
        hex::decode_to_slice(&it.request, &mut request.0).map_err(|_| Malformed::Digest)?;
        Ok(Self {
            request,
            nonce: it.nonce,
            created: SystemTime::UNIX_EPOCH + Duration::from_secs(it.created),
            state: it.state.try_into()?,
        })
    }
}

impl From<record::State> for State {
    fn from(it: record::State) -> Self {
        match it {
            record::State::Running { host, incarnation } => Self::Running { host, incarnation },
            record::State::Done { response } => Self::Done {
                answer: response.into(),
            },
            record::State::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<State> for record::State {
    type Error = Malformed;

    fn try_from(it: State) -> Result<Self, Malformed> {
        Ok(match it {
            State::Running { host, incarnation } => Self::Running { host, incarnation },
            State::Done { answer } => Self::Done {
                response: answer.try_into()?,
            },
            State::Unknown => Self::Unknown,
        })
    }
}

impl From<record::Response> for Answer {
    fn from(it: record::Response) -> Self {
        let headers = it.headers.into_iter().map(|header| Header {
            name: header.name,
            value: header.value,
        });
        Self {
            status: it.status,
            headers: headers.collect(),
            body: STANDARD.encode(it.body),
        }
    }
}

impl TryFrom<Answer> for record::Response {
    type Error = Malformed;

    fn try_from(it: Answer) -> Result<Self, Malformed> {
        let headers = it.headers.into_iter().map(|header| record::Header {
            name: header.name,
            value: header.value,
        });
        Ok(Self {
            status: it.status,
            headers: headers.collect(),
            body: STANDARD.decode(it.body)?,
        })
    }
}
