//! Failure tests that run the real programs.
//!
//! A [`deployment::Deployment`] starts `agate-steer` and `agate-gate` on several
//! entry hosts, each with a loopback address of its own, and the stand-ins of
//! `agate-fake` for the platform and the endpoints. Tests kill, stop or disconnect
//! these processes and compare the responses to callers with the requests that the
//! stand-ins recorded.
//!
//! The programs are taken from the target directory of the test binary; build them
//! with `cargo build --workspace --bins`. A lock on a file in that directory lets one
//! deployment run at a time, across all test binaries.

pub mod caller;
pub mod deployment;
pub mod http;
pub mod network;
pub mod operator;
pub mod program;
pub mod relay;
pub mod resources;
pub mod standin;
pub mod wait;
