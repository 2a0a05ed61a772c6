//! The claim that a row of the store records, and its state.

use std::time::SystemTime;

use agate_model::id::{HostId, Incarnation};
use agate_model::key::Digest;

/// Random identity of one claim; the same request submitted again has another.
pub type Nonce = String;

/// Largest response that is kept for replay, in bytes of header fields and body.
/// Base64 makes 176 KiB of it, below the store's 256 KiB for a row.
pub const MAX_RESPONSE_BYTES: usize = 132 * 1024;

/// Time for which an ended claim is kept, in seconds since it was created.
pub const RETENTION_SECONDS: u64 = 24 * 60 * 60;

/// A header field of a response kept for replay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Header {
    /// Name of the field, as text.
    pub name: String,
    /// Value of the field, as text.
    pub value: String,
}

/// A complete response of an endpoint, kept to be replayed to later submissions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that are passed on to the caller.
    pub headers: Vec<Header>,
    /// Body, complete and not encoded.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns whether the response is small enough to be kept.
    pub fn is_kept(&self) -> bool {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len() <= MAX_RESPONSE_BYTES
    }
}

/// What the claim records about the execution of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Claimed by a process incarnation of a host; the request may be in flight.
    Running {
        /// Host that claimed the request and executes it.
        host: HostId,
        /// Process incarnation of the host's gate.
        incarnation: Incarnation,
    },
    /// Executed, and the response is kept.
    Done {
        /// Response of the endpoint, which later submissions receive.
        response: Response,
    },
    /// The request may have been executed, or its response was too large to be kept.
    Unknown,
}

/// A claim as recorded in the store: which request has it, and how far its execution is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Digest of the claimed request, by which another request under the same key is refused.
    pub request: Digest,
    /// Identity of the claim; stays the same in every state.
    pub nonce: Nonce,
    /// Time at which the claiming host created the claim.
    pub created: SystemTime,
    /// State of the execution; replaced when the claim ends or is abandoned.
    pub state: State,
}

impl Record {
    /// Returns a new claim by a process incarnation of a host.
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

    /// Returns the claim after its response arrived. A response that is too large to be kept
    /// leaves the outcome unknown to later submissions.
    pub fn done(&self, response: Response) -> Self {
        if !response.is_kept() {
            return self.unknown();
        }
        Self {
            state: State::Done { response },
            ..self.clone()
        }
    }

    /// Returns the claim once its outcome can no longer be learned.
    pub fn unknown(&self) -> Self {
        Self {
            state: State::Unknown,
            ..self.clone()
        }
    }

    /// Returns whether the claim may be deleted at `now`. A running claim never expires.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        if matches!(self.state, State::Running { .. }) {
            return false;
        }
        now.duration_since(self.created)
            .is_ok_and(|age| age.as_secs() >= RETENTION_SECONDS)
    }
}
