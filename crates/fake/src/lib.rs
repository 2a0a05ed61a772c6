//! Stand-ins for the platform, model engines and plain services.
//!
//! Each stand-in listens on one address, records every request in a ledger
//! and injects faults that tests set over HTTP. Requests to paths below
//! `/admin` are neither recorded nor affected by faults:
//!
//! - `GET /admin/ledger` returns the list of [`ledger::Entry`];
//!   `GET /admin/ledger?contains=TEXT` returns [`ledger::Count`].
//! - `GET|PUT /admin/faults` reads and sets the [`agate_wire::fault::Faults`] of all
//!   paths; `PUT /admin/faults/{interface}` overrides them for the paths that start
//!   with `/{interface}`.
//!
//! Stand-ins run on the single-threaded runtime of the code that starts them.

pub mod engine;
pub mod faults;
pub mod http;
pub mod ledger;
pub mod memory;
pub mod platform;
pub mod server;
pub mod service;
pub mod table;
