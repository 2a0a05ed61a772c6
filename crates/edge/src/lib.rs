//! Entry host: a proxy that routes opaque HTTP requests by host and path prefix to endpoints that
//! register themselves. All persistent state is kept in a table store.

pub mod balancer;
pub mod budget;
pub mod client;
pub mod clock;
pub mod config;
pub mod directory;
pub mod duty;
pub mod edge;
pub mod estimate;
pub mod event;
pub mod evidence;
pub mod follow;
pub mod forward;
pub mod handover;
pub mod headers;
pub mod heartbeat;
pub mod hosts;
pub mod interface;
pub mod ledger;
pub mod metrics;
pub mod outage;
pub mod peer;
pub mod queue;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod removal;
pub mod response;
pub mod roster;
pub mod run;
pub mod sabotage;
pub mod server;
pub mod settings;
pub mod subset;
pub mod usage;
