//! Resource API for operators.

pub mod answer;
pub mod auth;
pub mod change;
pub mod keys;
pub mod read;
pub mod request;
pub mod router;
pub mod server;
pub mod status;
pub mod usage;
pub mod witnesses;
