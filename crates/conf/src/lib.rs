//! Rules of configuration versions: hand-out, acceptance and proof that a copy is current.
//!
//! Everything here is a pure function of its arguments. The control process and
//! the model check in `tests/` call the same functions.

pub mod acceptance;
pub mod currency;
pub mod witness;
