//! Claims that limit a non-idempotent request to one execution.
//!
//! A request with an idempotency key is recorded in the store before its first
//! byte is sent. The row is written by a transaction that requires its absence,
//! so only one of several hosts that receive the same request claims it. The rules
//! here decide what a host does with the row that it finds; they do no I/O.
//!
//! A host that executes a claimed request takes these steps:
//!
//! 1. Commit [`Record::running`] with a check that the row is absent. After a
//!    lost response, read the row and call [`settle`].
//! 2. Send the request.
//! 3. Commit the end: [`Record::done`], [`Record::unknown`], or deletion of the
//!    row if the attempt is proven not sent. Each checks the revision of the
//!    row. After a conflict or a lost response, read the row and call [`end`].

pub mod digest;
pub mod record;
pub mod rule;

pub use record::{Header, Record, Response, State};
pub use rule::{Decision, Ending, Settlement, abandon, decide, end, execution, settle};
