//! Membership of entry hosts and the gossip frames they exchange.
