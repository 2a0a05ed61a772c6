//! Usage counters, and the closing and reporting of windows.
//!
//! A gate counts totals for each account in the window in which a request ended, its *origin*. The
//! totals of one incarnation of a gate only grow, so they are merged by maximum and a message that
//! arrives twice adds nothing.
//!
//! The totals are kept in rows of the store, for each window and incarnation. Rows of a closed
//! window never change, since every write checks the row that says which windows are closed
//! ([`window::Head`]). Usage that an incarnation has counted and that its closed rows don't hold
//! goes into the row of the first open window, under its origin, and counts as late there. The
//! totals of a closed window are a function of its rows ([`report::totals`]).
//!
//! The crate does no I/O and reads no clock.

pub mod counters;
pub mod ledger;
pub mod report;
pub mod row;
pub mod window;

pub use counters::Counters;
pub use ledger::Ledger;
pub use row::{Bucket, Row};
