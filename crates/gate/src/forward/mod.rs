//! Forwarding of accepted requests to endpoints, and of responses to callers.

pub mod attempt;
pub mod cancel;
pub mod chunk;
pub mod claimed;
pub mod client;
pub mod completion;
pub mod headers;
pub mod hedged;
pub mod plain;
pub mod reader;
pub mod relay;
pub mod source;
mod upstream;

pub use completion::run as completion;
pub use plain::run as plain;
