//! Contents of a claim's row.

use std::time::SystemTime;

use agate_model::id::{HostId, Incarnation};
use agate_model::key::Digest;

/// Random identity of one claim; a resubmitted request has another.
pub type Nonce = String;

/// Largest answer that is kept for replay, in bytes of header fields and body.
/// Base64 makes 176 KiB of it, below the store's 256 KiB for a row.
pub const ANSWER_BYTES: usize = 132 * 1024;

/// How long a claim is kept after it was created, in seconds.
pub const RETENTION_SECONDS: u64 = 24 * 60 * 60;

/// A header field of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header fields that are passed on to the caller.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the answer is small enough to be kept.
    pub fn is_kept(&self) -> bool {
        let headers: usize = self
            .headers
            .iter()
            .map(|it| it.name.len() + it.value.len())
            .sum();
        headers + self.body.len() <= ANSWER_BYTES
    }
}

/// What is known of the execution.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Claimed by a run of a host; the request may be on its way.
    Running {
        /// Host.
        host: HostId,
        /// Run of its gate.
        incarnation: Incarnation,
    },
    /// Executed, with this answer.
    Done {
        /// The endpoint's answer.
        answer: Answer,
    },
    /// It may have been executed, or its answer was not kept.
    Unknown,
}

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Digest of the claimed request.
    pub request: Digest,
    /// Identity of the claim; stays the same in every state.
    pub nonce: Nonce,
    /// When it was claimed.
    pub created: SystemTime,
    /// State.
    pub state: State,
}

impl Record {
    /// A new claim by a run of a host.
    pub fn running(
        request: Digest,
        nonce: Nonce,
        created: SystemTime,
        host: HostId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            request,
            nonce,
            created,
            state: State::Running { host, incarnation },
        }
    }

    /// The claim after its answer arrived. An answer that is too large to be
    /// kept leaves the outcome unknown to later submissions.
    pub fn done(&self, answer: Answer) -> Self {
        if !answer.is_kept() {
            return self.unknown();
        }
        Self {
            state: State::Done { answer },
            ..self.clone()
        }
    }

    /// The claim after its outcome was lost.
    pub fn unknown(&self) -> Self {
        Self {
            state: State::Unknown,
            ..self.clone()
        }
    }

    /// Whether the claim may be deleted at `now`. A running claim is kept.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        if matches!(self.state, State::Running { .. }) {
            return false;
        }
        now.duration_since(self.created)
            .is_ok_and(|age| age.as_secs() >= RETENTION_SECONDS)
    }
}
