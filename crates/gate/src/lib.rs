//! Data path: checks keys, admits, queues and forwards requests.
//!
//! A gate runs on one thread. It learns its configuration from control
//! processes ([`sync`]), answers callers ([`front`]) and forwards their work to
//! endpoints ([`forward`]). Decisions that vary stand behind the traits of
//! [`admission`] and [`choice`].

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
pub mod load;
pub mod metrics;
pub mod prefix;
pub mod program;
pub mod refusal;
pub mod settings;
pub mod sync;
pub mod tls;
pub mod usage;
pub mod work;
