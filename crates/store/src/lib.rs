//! Clients for the platform's tables, objects, endpoint orders, usage reports
//! and host list.
//!
//! The traits in [`interface`] separate the protocols from the network; [`http`] implements them.
//! Calls run on the single-threaded runtime of the caller, so their futures are not `Send`.

pub mod era;
pub mod error;
pub mod http;
pub mod interface;

pub use error::Error;
