//! Reassembly of streamed answers.
//!
//! [`sse`] splits a byte stream into events, [`assembler`] puts numbered chunks
//! in order, and [`replay`] matches a regenerated answer with what the caller
//! already has.

pub mod assembler;
pub mod replay;
pub mod sse;
