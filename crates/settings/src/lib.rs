//! Settings files, log output and signals shared by the programs.

pub mod file;
pub mod log;
pub mod place;
pub mod signal;
pub mod size;
pub mod watch;
