//! Background tasks of the lease holder, on an in-memory platform with the Tokio clock paused.

mod demand;
mod faults;
mod fleet;
mod lease;
mod sweep;
mod usage;
mod world;
