//! Request states that track whether an endpoint may have executed the request.
//!
//! Each state is a type, so the compiler rejects a refusal as "not run" once a byte may have been
//! sent.
//!
//! ```
//! use agate_model::refusal::Reason;
//! use agate_retry::attempt::Unsent;
//!
//! let refusal = Unsent::new(false).refuse(Reason::NoEndpoint);
//! assert_eq!(refusal.reason(), Reason::NoEndpoint);
//! ```
//!
//! A sent attempt cannot be refused as "not run":
//!
//! ```compile_fail
//! use agate_model::refusal::Reason;
//! use agate_retry::attempt::Unsent;
//!
//! let sent = Unsent::new(false).open().send();
//! sent.refuse(Reason::NoEndpoint);
//! ```
//!
//! Nor can an attempt be refused after it was handed to a connection:
//!
//! ```compile_fail
//! use agate_model::refusal::Reason;
//! use agate_retry::attempt::Unsent;
//!
//! let unsent = Unsent::new(false);
//! let sent = unsent.open().send();
//! unsent.refuse(Reason::NoEndpoint);
//! ```

use std::io::ErrorKind;

use agate_model::refusal::{Execution, Reason};

/// Proof that an attempt failed before a connection existed, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconnected(ErrorKind);

impl Unconnected {
    /// Returns the proof if an I/O error of this kind shows that no connection was made, and `None`
    /// otherwise. Resets, timeouts and ends of file prove nothing.
    pub fn from_kind(kind: ErrorKind) -> Option<Self> {
        let proven = matches!(
            kind,
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        );
        proven.then_some(Self(kind))
    }

    /// Returns the kind of the I/O error.
    pub fn kind(self) -> ErrorKind {
        self.0
    }
}

/// A request of which no byte has been sent to any endpoint.
#[derive(Debug)]
#[must_use = "a request must be sent or refused"]
pub struct Unsent {
    idempotent: bool,
    connects: u32,
}

impl Unsent {
    /// Creates a request that was never handed to a connection. `idempotent` says whether it may be
    /// executed more than once.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            connects: 0,
        }
    }

    /// Returns whether the request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns the number of connection attempts so far.
    pub fn connects(&self) -> u32 {
        self.connects
    }

    /// Hands the request to a connection that is still to be made, and counts the attempt.
    pub fn open(self) -> Opening {
        Opening {
            idempotent: self.idempotent,
            connects: self.connects + 1,
        }
    }

    /// Ends the request with a refusal for `reason`. It was not executed.
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason }
    }
}

/// A request handed to a connection that is being made. It counts as sent unless the attempt
/// provably failed.
#[derive(Debug)]
#[must_use = "an opening must end in a failure to connect or in a sent request"]
pub struct Opening {
    idempotent: bool,
    connects: u32,
}

impl Opening {
    /// Returns the request as unsent, given the proof that no connection was made.
    pub fn fail(self, _proof: Unconnected) -> Unsent {
        Unsent {
            idempotent: self.idempotent,
            connects: self.connects,
        }
    }

    /// Returns the request as sent, because a byte of it may have been sent.
    pub fn send(self) -> Sent {
        Sent {
            idempotent: self.idempotent,
            sends: 1,
        }
    }
}

/// A request that may have been executed, because at least one byte of it may have been sent.
#[derive(Debug)]
#[must_use = "a sent request must end in a response or a failure"]
pub struct Sent {
    idempotent: bool,
    sends: u32,
}

impl Sent {
    /// Returns how often the request was sent, retries and hedges included.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the permission to send the request once more, as a retry or a hedge, and counts it;
    /// `None` unless the request is idempotent.
    pub fn resend(&mut self) -> Option<Resend> {
        if !self.idempotent {
            return None;
        }
        self.sends += 1;
        Some(Resend(()))
    }

    /// Ends the request without a response, for `reason`.
    pub fn fail(self, reason: Reason) -> Failed {
        Failed { reason }
    }
}

/// Permission to send an idempotent request once more.
#[derive(Debug)]
#[must_use = "the permission covers one send"]
pub struct Resend(());

/// Proof that a request was not executed, with the reason for its refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
}

impl NotRun {
    /// Returns the reason for the refusal.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns [`Execution::NotRun`]: no byte of the request was sent.
    pub fn execution(&self) -> Execution {
        Execution::NotRun
    }
}

/// A request that ended without a response and may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    reason: Reason,
}

impl Failed {
    /// Returns the reason for the failure.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns [`Execution::Unknown`]: nothing shows whether the request was executed.
    pub fn execution(&self) -> Execution {
        Execution::Unknown
    }
}
