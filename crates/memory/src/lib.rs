//! One bound on the bytes that a process holds for its callers, and on their connections.
//!
//! Each connection has a [`budget::Share`] and takes from it what it holds. A connection whose request is
//! incomplete is asked to yield when the process is short; one whose request may have been sent never is.

pub mod budget;
pub mod size;
mod state;

pub use budget::{Budget, Share, Shortage};
pub use size::Size;
pub use state::{Purpose, Standing};
