//! HTTP servers for callers and operators.

pub mod address;
pub mod admin;
pub mod auth;
pub mod body;
pub mod completion;
pub mod plain;
pub mod reply;
pub mod route;
pub mod server;
pub mod timeout;
pub mod track;
