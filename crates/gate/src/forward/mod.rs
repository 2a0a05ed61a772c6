//! From an accepted request to an endpoint's answer.

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
pub mod transport;

pub use completion::run as completion;
pub use plain::run as plain;
