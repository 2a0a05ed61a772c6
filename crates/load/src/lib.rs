//! Load generator and policy experiments.

pub mod bench;
pub mod experiment;
pub mod live;
pub mod report;
pub mod sim;
