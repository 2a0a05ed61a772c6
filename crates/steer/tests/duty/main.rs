//! Work of the lease holder, over a platform in memory and a paused clock.

mod demand;
mod fleet;
mod lease;
mod sweep;
mod usage;
mod world;
