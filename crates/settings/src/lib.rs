//! Settings files, log output and signal handling that the programs share.

pub mod file;
pub mod log;
pub mod position;
pub mod signal;
pub mod size;
pub mod watch;
