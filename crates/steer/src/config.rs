//! Configuration: this host's copy, the rows and objects in the store, commits, distribution to
//! peers, and witness membership.

pub mod archive;
pub mod commit;
pub mod copy;
pub mod distribution;
pub mod reader;
pub mod row;
pub mod witness;
