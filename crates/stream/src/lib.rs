//! Reassembly of streamed responses.
//!
//! [`sse`] splits a byte stream into events, [`assembler`] puts numbered chunks in order, and
//! [`replay`] compares a regenerated response with the text that was already sent to the caller.

pub mod assembler;
pub mod replay;
pub mod sse;
