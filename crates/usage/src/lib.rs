//! Usage counters, reporting windows and their closing.
//!
//! A gate counts totals for each account in the window in which a request ended,
//! its *origin*. The totals of one run of a gate only grow, so they are merged by
//! maximum and a repeated message adds nothing.
//!
//! The totals are kept in rows of the store, one for each window and run. Rows of
//! a closed window never change: every write checks the row that says which
//! windows are closed ([`window::Head`]). What a run has counted and its closed
//! rows do not show goes into the row of the first open window, under its
//! origin, and is late there. The figures of a closed window are a function of
//! its rows ([`report::figures`]).
//!
//! The crate does no I/O and reads no clock.

pub mod figures;
pub mod ledger;
pub mod report;
pub mod row;
pub mod window;

pub use figures::Figures;
pub use ledger::Ledger;
pub use row::{Part, Row};
