//! Gossip: questions to random peers, answers, and what is taken from both.

pub mod exchange;
pub mod rumours;
pub mod statements;
