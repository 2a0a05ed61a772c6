//! Errors of calls to the platform, classified by whether the call may have had an effect.

use agate_wire::table::Conflict;

/// Error of a call to the platform. The variant tells whether the call may have had an effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was sent, so the call had no effect. Holds the cause.
    #[error("platform not reached: {0}")]
    Unreached(String),
    /// The request may have been sent, and the call may or may not have had an effect. Holds the
    /// cause.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The platform responded that the call had no effect.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// Status code of the HTTP response.
        status: u16,
        /// Body of the response, truncated to 512 bytes.
        message: String,
    },
    /// A check of the transaction failed, and nothing was written. Holds the check and the row
    /// found.
    #[error("row {}/{} has changed", .0.check.table, .0.check.key)]
    Conflict(Box<Conflict>),
}
