//! Choice of an endpoint for a request.
//!
//! Each host has one [`Picker`] with the endpoints of all pools. It draws two endpoints at
//! random and takes the one with the lower expected response time, which it computes from the
//! requests that this host has in flight and from load reports weighted by their age. The
//! endpoint whose prefix cache probably holds the prompt is preferred to both unless it is
//! overloaded. [`capacity`] holds what is learned of the speed of endpoints.

pub mod capacity;
mod endpoint;
mod health;
mod picker;
mod pool;
mod popularity;
pub mod selection;
mod set;
mod table;
pub mod tuning;

pub use endpoint::Key;
pub use picker::Picker;
pub use selection::{Choice, Criteria, InFlight, Latency, Outcome, Report, Room};
pub use tuning::Tuning;
