//! JSON-RPC calls from gates and among control processes: client, server and methods.

pub mod client;
pub mod peer;
pub mod server;
