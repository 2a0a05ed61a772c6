//! Copies of usage totals between control processes, by JSON-RPC.
//!
//! A host sends the totals that changed to a peer in another availability zone,
//! so that they outlive the host while the store cannot be written. Totals are
//! merged by maximum; a repeated call adds nothing.

use serde::{Deserialize, Serialize};

use crate::usage::Row;

/// JSON-RPC method: [`Push`], answered by [`Ack`].
pub const METHOD: &str = "agate_mirror";

/// Totals of one run of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Host of the gate.
    pub host: String,
    /// Run of the gate.
    pub incarnation: String,
    /// Totals by account and window.
    pub totals: Row,
}

/// Totals that changed since the last acknowledged call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Totals by run; empty if nothing changed, which shows that the sender lives.
    pub gates: Vec<Totals>,
}

/// The totals were taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}
