//! Stand-ins for the platform, model engines and plain services.
//!
//! Each stand-in listens on one address, records every request in a ledger
//! and shows faults on request. The paths below `/admin` are never affected
//! by faults and are not recorded:
//!
//! - `GET /admin/ledger` answers the list of [`ledger::Entry`];
//!   `GET /admin/ledger?contains=TEXT` answers [`ledger::Count`].
//! - `GET|PUT /admin/faults` reads and sets [`agate_wire::fault::Faults`] of the whole
//!   stand-in, `PUT /admin/faults/{interface}` those of the paths that begin
//!   with `/{interface}`.
//!
//! Stand-ins run on the single-threaded runtime of their caller.

pub mod engine;
pub mod faults;
pub mod http;
pub mod ledger;
pub mod memory;
pub mod platform;
pub mod server;
pub mod service;
pub mod table;
