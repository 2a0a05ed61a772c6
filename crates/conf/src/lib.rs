//! Rules of configuration versions: take-up, acceptance and proof that a copy is current.
//!
//! Nothing here does I/O or reads a clock. The control process and the model check in `tests/` call
//! the same functions.

pub mod acceptance;
pub mod freshness;
pub mod witness;
