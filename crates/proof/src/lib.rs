//! Failure tests that run the real programs.
//!
//! A [`deployment::Deployment`] starts `agate-steer` and `agate-gate` on several
//! entry hosts, each with a loopback address of its own, together with the
//! stand-ins of `agate-fake`. Tests kill, stop and cut these processes and
//! compare what callers were told with the ledgers of the stand-ins.
//!
//! The programs are taken from the target directory of the test itself; build them
//! with `cargo build --workspace --bins`. Deployments of all test binaries run one
//! at a time, by a lock on a file in that directory.

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
