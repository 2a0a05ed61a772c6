//! Admission, tiers and fair shares between client accounts.
//!
//! A [`scheduler::Scheduler`] queues the requests of one lane: all requests that use the same
//! list of pools. A [`limit::Limiter`] enforces the limits of the client accounts on one host,
//! for all lanes together.

mod class;
mod flow;
pub mod item;
pub mod limit;
mod ranking;
mod rate;
pub mod scheduler;
pub mod snapshot;
pub mod wait_budget;

pub use item::{Charge, Item, Offer, Room, Start, Ticket};
pub use scheduler::Scheduler;
