//! Attempts to run a request, by what is known of their execution.
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

/// A failure that happened before a connection existed, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconnected(ErrorKind);

impl Unconnected {
    /// The failure, if an I/O error of this kind proves that no connection
    /// was made. Resets, timeouts and ends of file prove nothing.
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

    /// Kind of the I/O error.
    pub fn kind(self) -> ErrorKind {
        self.0
    }
}

/// A request of which no byte has been sent to any endpoint.
#[derive(Debug)]
#[must_use = "a request is sent or refused"]
pub struct Unsent {
    idempotent: bool,
    connects: u32,
}

impl Unsent {
    /// A new request.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            connects: 0,
        }
    }

    /// Whether the request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Connections tried so far.
    pub fn connects(&self) -> u32 {
        self.connects
    }

    /// Hands the request to a connection that is still to be made.
    pub fn open(self) -> Opening {
        Opening {
            idempotent: self.idempotent,
            connects: self.connects + 1,
        }
    }

    /// Ends the request without having run it.
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason }
    }
}

/// A request handed to a connection. Unless the connection provably failed,
/// it counts as sent.
#[derive(Debug)]
#[must_use = "an opening ends in a failure to connect or in a sent request"]
pub struct Opening {
    idempotent: bool,
    connects: u32,
}

impl Opening {
    /// No connection was made, so the request is still unsent.
    pub fn fail(self, _proof: Unconnected) -> Unsent {
        Unsent {
            idempotent: self.idempotent,
            connects: self.connects,
        }
    }

    /// A byte may have been sent.
    pub fn send(self) -> Sent {
        Sent {
            idempotent: self.idempotent,
            sends: 1,
        }
    }
}

/// A request that may have been executed.
#[derive(Debug)]
#[must_use = "the caller is told the outcome of a sent request"]
pub struct Sent {
    idempotent: bool,
    sends: u32,
}

impl Sent {
    /// Times that the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Another sending of the request, as a retry or a hedge; `None` unless it is idempotent.
    pub fn again(&mut self) -> Option<Again> {
        if !self.idempotent {
            return None;
        }
        self.sends += 1;
        Some(Again(()))
    }

    /// Ends the request without an answer.
    pub fn fail(self, reason: Reason) -> Failed {
        Failed { reason }
    }
}

/// Permission to send an idempotent request once more.
#[derive(Debug)]
#[must_use = "the permission stands for one sending"]
pub struct Again(());

/// Proof that a request was not run, with the reason for its refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
}

impl NotRun {
    /// Reason for the refusal.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Always [`Execution::NotRun`].
    pub fn execution(&self) -> Execution {
        Execution::NotRun
    }
}

/// A request without an answer that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    reason: Reason,
}

impl Failed {
    /// Reason for the failure.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Always [`Execution::Unknown`].
    pub fn execution(&self) -> Execution {
        Execution::Unknown
    }
}
