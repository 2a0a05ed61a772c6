//! The configuration: this host's copy, the store and the peers.

pub mod archive;
pub mod commit;
pub mod copy;
pub mod handout;
pub mod reader;
pub mod row;
pub mod witness;
