//! A property runner with a fixed seed.
