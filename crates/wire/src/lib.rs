//! Serialised forms of resources, of the calls between processes and of the
//! interfaces of the platform and the engines.
//!
//! Types convert to and from the domain types of `agate-model` with `From`
//! and `TryFrom`; the fallible direction reports all faults at once.

pub mod address;
pub mod api;
pub mod change;
pub mod claim;
pub mod demand;
pub mod engine;
pub mod fault;
pub mod lease;
pub mod manifest;
pub mod mirror;
pub mod order;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod refusal;
pub mod sync;
pub mod table;
pub mod usage;
