//! JSON-RPC call that copies usage totals between control processes.
//!
//! A host sends the totals that changed to a peer in another availability zone, so that they
//! survive the loss of the host while the store cannot be written. The receiver merges totals by
//! maximum, so a retried call adds nothing.

use serde::{Deserialize, Serialize};

use crate::usage::Row;

/// JSON-RPC method that takes [`Push`] and returns [`Ack`].
pub const METHOD: &str = "agate_mirror";

/// Usage totals of one process incarnation of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Host of the gate.
    pub host: String,
    /// Process incarnation of the gate.
    pub incarnation: String,
    /// Totals by account and window of origin.
    pub totals: Row,
}

/// Totals that changed since the last acknowledged call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Totals of each gate incarnation. An empty list means that nothing changed and still shows
    /// that the sender is alive.
    pub gates: Vec<Totals>,
}

/// Response of a receiver that has merged the totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}
