//! Calls between gates and control processes, and among control processes.

pub mod client;
pub mod peer;
pub mod server;
