//! Serialised rows of the `claim` table.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_claim::record;
use agate_model::key::Digest;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Serialised form of [`record::Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// SHA-256 digest of the request, as 64 hexadecimal digits.
    pub request: String,
    /// Identity of the claim; stays the same in every state.
    pub nonce: String,
    /// Time at which the claim was made, in seconds since the Unix epoch.
    pub created: u64,
    /// Progress of the claimed request.
    #[serde(flatten)]
    pub state: State,
}

/// Serialised form of [`record::State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The request is claimed and may be executing.
    Running {
        /// Host of the gate that made the claim.
        host: String,
        /// Process incarnation of that gate.
        incarnation: String,
    },
    /// The request was executed and its response is recorded.
    Done {
        /// Response that a retry of the request gets.
        answer: Response,
    },
    /// The request may have been executed; its response is not known.
    Unknown,
}

/// Serialised form of [`record::Response`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code of the response.
    pub status: u16,
    /// Header fields of the response, in order.
    pub headers: Vec<Header>,
    /// Body of the response, in base64.
    pub body: String,
}

/// Serialised form of [`record::Header`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header field.
    pub name: String,
    /// Value of the header field.
    pub value: String,
}

/// Reasons for which the contents of a row are not a valid claim.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The request digest is not 64 hexadecimal digits.
    #[error("claim: the request digest is not 64 hexadecimal digits")]
    Digest,
    /// The response body is not valid base64.
    #[error("claim: the response body is not base64: {0}")]
    Body(#[from] base64::DecodeError),
    /// The row is not JSON of the expected form; holds the parser's message.
    #[error("claim: the row is not JSON of the expected form: {0}")]
    Json(String),
}

impl Record {
    /// Returns the claim as the JSON contents of a row.
    pub fn to_row(&self) -> String {
        serde_json::to_string(self)
            .expect("a claim serialises to JSON, since all its map keys are strings")
    }

    /// Parses the contents of a row; fails if they are not a valid claim.
    pub fn from_row(value: &str) -> Result<record::Record, Malformed> {
        let record: Self =
            serde_json::from_str(value).map_err(|err| Malformed::Json(err.to_string()))?;
        record.try_into()
    }
}

impl From<record::Record> for Record {
    fn from(record: record::Record) -> Self {
        let created = record
            .created
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            request: hex::encode(record.request.0),
            nonce: record.nonce,
            created: created.as_secs(),
            state: record.state.into(),
        }
    }
}

impl TryFrom<Record> for record::Record {
    type Error = Malformed;

    fn try_from(record: Record) -> Result<Self, Malformed> {
        let mut request = Digest([0; 32]);
        hex::decode_to_slice(&record.request, &mut request.0).map_err(|_| Malformed::Digest)?;
        Ok(Self {
            request,
            nonce: record.nonce,
            created: SystemTime::UNIX_EPOCH + Duration::from_secs(record.created),
            state: record.state.try_into()?,
        })
    }
}

impl From<record::State> for State {
    fn from(state: record::State) -> Self {
        match state {
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

    fn try_from(state: State) -> Result<Self, Malformed> {
        Ok(match state {
            State::Running { host, incarnation } => Self::Running { host, incarnation },
            State::Done { answer } => Self::Done {
                response: answer.try_into()?,
            },
            State::Unknown => Self::Unknown,
        })
    }
}

impl From<record::Response> for Response {
    fn from(response: record::Response) -> Self {
        let headers = response.headers.into_iter().map(|header| Header {
            name: header.name,
            value: header.value,
        });
        Self {
            status: response.status,
            headers: headers.collect(),
            body: STANDARD.encode(response.body),
        }
    }
}

impl TryFrom<Response> for record::Response {
    type Error = Malformed;

    fn try_from(response: Response) -> Result<Self, Malformed> {
        let headers = response.headers.into_iter().map(|header| record::Header {
            name: header.name,
            value: header.value,
        });
        Ok(Self {
            status: response.status,
            headers: headers.collect(),
            body: STANDARD.decode(response.body)?,
        })
    }
}
