//! Admission, tiers and fair shares between client accounts.
//!
//! A [`scheduler::Scheduler`] queues the requests of one lane, that is of one
//! list of pools. A [`limit::Limiter`] holds the limits of the client accounts
//! on one host, for all lanes together.

mod class;
mod flow;
pub mod item;
pub mod limit;
pub mod patience;
mod rate;
pub mod scheduler;
mod share;
pub mod snapshot;

pub use item::{Charge, Item, Offer, Room, Start, Ticket};
pub use scheduler::Scheduler;
