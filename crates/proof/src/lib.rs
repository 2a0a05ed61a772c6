//! Failure tests that run the real programs.
