//! What a holder of the lease leaves to the next one about the work that is offered.

use std::collections::HashMap;
use std::time::Duration;

use agate_store::Error;
use agate_wire::table::{Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::config::ServiceId;
use crate::edge::Edge;

/// Table and key of the row.
const TABLE: &str = "usage";
const KEY: &str = "demand";

/// Work of the highest second of late, by service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Memo {
    /// The store's clock at which it was written, in milliseconds.
    at: u64,
    /// Endpoints that the work kept wholly busy.
    loads: HashMap<ServiceId, f64>,
}

impl Memo {
    /// What the holder before this one knew, and how long ago; empty if there was none.
    pub async fn read(edge: &Edge) -> Result<(HashMap<ServiceId, f64>, Duration), Error> {
        let Some(row) = edge.remote.tables.get(TABLE, KEY).await? else {
            return Ok(Default::default());
        };
        let memo: Self = serde_json::from_str(&row.value)
            .map_err(|err| Error::Unknown(format!("row {KEY}: {err}")))?;
        let age = store_clock(edge).saturating_sub(memo.at);
        Ok((memo.loads, Duration::from_millis(age)))
    }

    /// Leaves `loads` to the next holder.
    pub async fn write(edge: &Edge, loads: HashMap<ServiceId, f64>) -> Result<(), Error> {
        let at = store_clock(edge);
        let value = serde_json::to_string(&Self { at, loads })
            .map_err(|err| Error::Unreached(format!("row {KEY}: {err}")))?;
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

fn store_clock(edge: &Edge) -> u64 {
    let now = edge.store_clock.get().now(clock::boot());
    now.map_or(0, |it| u64::try_from(it).unwrap_or(0))
}
