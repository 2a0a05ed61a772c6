//! Resources, configuration snapshots and refusal reasons shared by all programs.
//!
//! The types here carry no serialisation; `agate-wire` holds their serialised
//! forms and the conversions, which check every value.

pub mod account;
pub mod class;
pub mod endpoint;
pub mod finding;
pub mod host;
pub mod id;
pub mod key;
pub mod operator;
pub mod pool;
pub mod refusal;
pub mod resource;
pub mod revision;
pub mod route;
pub mod snapshot;
pub mod version;
