//! Command line for operators.
