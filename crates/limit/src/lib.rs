//! Limits that endpoints name in their responses: the requests a second that they take from all hosts
//! together.
//!
//! What endpoints have said is kept in a [`book::Book`] on each host, and hosts exchange it. A host sends to
//! such an endpoint only with a permit ([`permit::Wallet`]), which one of the endpoint's owners
//! ([`owner`]) grants by its [`schedule::Schedule`].

pub mod book;
pub mod mention;
pub mod owner;
pub mod permit;
pub mod schedule;

use std::time::Duration;

/// Requests a second that an endpoint takes from all hosts together.
pub type Rate = f64;

/// Time on a clock that all hosts share.
pub type Time = Duration;
