//! Commands of `agatectl`, one module each, which share one client of the resource API.

pub mod client;
pub mod cmd;
pub mod config;
pub mod error;
pub mod render;
