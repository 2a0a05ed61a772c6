//! Control process: resource API, membership, configuration, endpoint orders and usage reports.

pub mod api;
pub mod config;
pub mod context;
pub mod directory;
pub mod duty;
pub mod endpoints;
pub mod gossip;
pub mod inbox;
pub mod limits;
pub mod member;
pub mod metrics;
pub mod platform;
pub mod pressure;
pub mod roster;
pub mod rpc;
pub mod run;
pub mod settings;
pub mod sync;
