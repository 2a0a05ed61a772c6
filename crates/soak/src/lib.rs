//! Randomized fault injection: schedules of faults, ledgers of observations and checks of promises.
//!
//! A schedule depends on its seed alone. A run executes it with real programs and records in a
//! [`ledger::Ledger`] what callers, endpoints, operators and the receiver of reports observed.
//! The checks read only the ledger.

pub mod check;
pub mod ledger;
pub mod report;
pub mod schedule;
