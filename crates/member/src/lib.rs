//! Membership of entry hosts, the gossip frames they exchange, and the seal on their calls.

pub mod frame;
pub mod rumour;
pub mod secret;
pub mod token;
