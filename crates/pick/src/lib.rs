//! Choice of an endpoint for a request.
//!
//! A [`Picker`] knows the endpoints of all pools on one host. It compares two
//! random endpoints by expected time, from its own requests in flight and from
//! load reports corrected by their age, and prefers the endpoint whose prefix
//! cache probably holds the prompt as long as that one is not overloaded.

mod endpoint;
mod health;
mod picker;
mod pool;
mod popularity;
mod set;
mod table;
pub mod tuning;
pub mod wish;

pub use endpoint::Key;
pub use picker::Picker;
pub use tuning::Tuning;
pub use wish::{Choice, Flight, Latency, Outcome, Report, Room, Wish};
