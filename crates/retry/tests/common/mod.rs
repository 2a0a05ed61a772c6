//! Support shared by the tests of this crate; holds nothing at present.
