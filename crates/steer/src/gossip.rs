//! Gossip: requests to random peers, their responses, and the state taken from both.

pub mod exchange;
pub mod rumours;
pub mod statements;
