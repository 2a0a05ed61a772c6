//! Data path: checks keys, admits, queues and forwards requests.
//!
//! A gate runs on one thread. It fetches its configuration from control processes ([`sync`]),
//! accepts requests from callers ([`front`]) and forwards them to endpoints ([`forward`]). The
//! policies for queueing and for the choice of endpoints are behind the traits of [`admission`] and
//! [`choice`].

pub mod activity;
pub mod admission;
pub mod budget;
pub mod choice;
pub mod claim;
pub mod config;
pub mod estimate;
pub mod explain;
pub mod forward;
pub mod front;
pub mod gate;
pub mod hedge;
pub mod limits;
pub mod load;
pub mod metrics;
pub mod permits;
pub mod prefix;
pub mod program;
pub mod refusal;
pub mod settings;
pub mod sync;
pub mod tls;
pub mod usage;
pub mod work;
