//! Load generator and policy experiments.

pub mod experiment;
pub mod report;
pub mod sim;
