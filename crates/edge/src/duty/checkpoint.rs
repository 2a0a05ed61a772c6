//! Checkpoint of the demand that a lease holder stores for its successor.

use std::collections::HashMap;
use std::time::Duration;

use agate_store::Error;
use agate_wire::table::{Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::config::ServiceId;
use crate::edge::Edge;

/// Table of the checkpoint row.
const TABLE: &str = "usage";
/// Key of the checkpoint row.
const KEY: &str = "demand";

/// Recent peak load by service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The store's clock at which the checkpoint was written, in milliseconds.
    at: u64,
    /// Number of endpoints that the work kept fully busy.
    loads: HashMap<ServiceId, f64>,
}

impl Checkpoint {
    /// Reads the previous holder's checkpoint and its age; empty if there is none.
    pub async fn read(edge: &Edge) -> Result<(HashMap<ServiceId, f64>, Duration), Error> {
        let Some(row) = edge.remote.tables.get(TABLE, KEY).await? else {
            return Ok(Default::default());
        };
        let checkpoint: Self = serde_json::from_str(&row.value).map_err(|err| {
            Error::Unknown(format!("malformed row {KEY} in table {TABLE}: {err}"))
        })?;
        let age = store_clock(edge).saturating_sub(checkpoint.at);
        Ok((checkpoint.loads, Duration::from_millis(age)))
    }

    /// Writes `loads` as the checkpoint for the next holder, replacing the last one.
    pub async fn write(edge: &Edge, loads: HashMap<ServiceId, f64>) -> Result<(), Error> {
        let at = store_clock(edge);
        let value = serde_json::to_string(&Self { at, loads }).map_err(|err| {
            Error::Unreached(format!("cannot encode row {KEY} of table {TABLE}: {err}"))
        })?;
        let transaction = Transaction {
            checks: Vec::new(),
            writes: vec![Write {
                table: TABLE.to_owned(),
                key: KEY.to_owned(),
                value: Some(value),
            }],
        };
        edge.remote.tables.commit(&transaction).await.map(drop)
    }
}

/// Returns the store's clock in milliseconds; 0 if it is not known.
fn store_clock(edge: &Edge) -> u64 {
    let now = edge.store_clock.get().now(clock::boot());
    now.map_or(0, |millis| u64::try_from(millis).unwrap_or(0))
}
