//! Limits that endpoints name in their responses: the requests a second that they take from all hosts
//! together.
//!
//! What endpoints have said is kept in a [`book::Book`] on each host, and hosts exchange it.

pub mod book;
pub mod mention;

use std::time::Duration;

/// Requests a second that an endpoint takes from all hosts together.
pub type Rate = f64;

/// Time on a clock that all hosts share.
pub type Time = Duration;
