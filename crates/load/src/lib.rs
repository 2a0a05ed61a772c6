//! Load generator for entry hosts and endpoints, and simulation of policies.

pub mod bench;
pub mod experiment;
pub mod live;
pub mod report;
pub mod sim;
