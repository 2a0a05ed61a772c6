//! Randomized runs with faults: what is to happen, what was seen, and whether promises held.
//!
//! A schedule follows from its seed alone. A run carries it out with real programs and fills a
//! [`ledger::Ledger`] with what callers, endpoints, operators and the receiver of reports saw.
//! The checks read nothing else.

pub mod check;
pub mod ledger;
pub mod report;
pub mod schedule;
