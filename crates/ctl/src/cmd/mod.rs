//! One module for each command.

pub mod apply;
pub mod delete;
pub mod describe;
pub mod diff;
pub mod explain;
pub mod get;
pub mod host;
pub mod key;
pub mod manifest;
pub mod status;
pub mod top;
pub mod usage;
pub mod watch;
