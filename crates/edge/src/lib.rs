//! Entry host: a proxy that routes opaque HTTP requests by host and path prefix to endpoints that
//! register themselves. All persistent state is kept in a table store.

pub mod budget;
pub mod channel;
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
pub mod front;
pub mod handover;
pub mod headers;
pub mod heartbeat;
pub mod hosts;
pub mod interface;
pub mod lane;
pub mod lapse;
pub mod ledger;
pub mod line;
pub mod link;
pub mod metrics;
pub mod outage;
pub mod page;
pub mod place;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod roster;
pub mod run;
pub mod sabotage;
pub mod settings;
pub mod usage;
