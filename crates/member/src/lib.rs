//! Gossip frames and rumours that hosts exchange, and the sealing of calls between processes.

pub mod frame;
pub mod rumour;
pub mod seal;
pub mod secret;
