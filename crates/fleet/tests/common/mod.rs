//! Holds nothing; the property runner with a fixed seed is `agate_check::runner`.
