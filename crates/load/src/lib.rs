//! Load generator and policy experiments.
