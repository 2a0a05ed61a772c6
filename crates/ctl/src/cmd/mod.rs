//! Arguments and execution of each command, one module each, and the manifests that they read.

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
