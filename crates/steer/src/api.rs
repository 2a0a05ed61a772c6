//! HTTP API for operators: resources, changes, keys, status and usage.

pub mod auth;
pub mod change;
pub mod keys;
pub mod read;
pub mod request;
pub mod response;
pub mod router;
pub mod server;
pub mod status;
pub mod usage;
pub mod witnesses;
