//! Reads the store: the head version, which proves that a copy is current, and missing entries.

use std::time::Duration;

use agate_model::id::Version;
use agate_store::Error;
use agate_wire::peer::{self, Entry, SnapshotRow};
use agate_wire::table::Row;
use tokio::time::{Instant, sleep};

use crate::config::row;
use crate::context::Context;
use crate::metrics::Label;

/// Number of change rows read per scan.
const PAGE_ROWS: usize = 64;

/// Number of missing versions up to which changes are read singly; above it a snapshot is loaded.
const SINGLE_CHANGE_LIMIT: Version = 256;

/// Age of the newest proof at which the store is read again, as a fraction of the store interval.
pub const READ_AT: f64 = 0.8;

/// Head row of the configuration as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Newest version; 0 before the first change.
    pub version: Version,
    /// Store revision of the row; `None` before the row exists.
    pub revision: Option<u64>,
}

/// Keeps this host's copy current until the task is aborted. Checks four times per store interval
/// whether a read is due.
pub async fn run(context: Context) {
    let mut read_acceptance = false;
    loop {
        if is_due(&context) {
            refresh(&context).await;
        }
        if !read_acceptance && context.copy.version() > 0 {
            read_acceptance = read_accepted(&context).await.is_ok();
        }
        sleep(jittered(context.settings.intervals.store) / 4).await;
    }
}

/// Returns whether the store has to be read: this copy is behind, or its newest store proof is too
/// old. A recent proof relayed by a peer avoids the read.
fn is_due(context: &Context) -> bool {
    let is_behind = context.copy.head() > context.copy.version();
    let limit = context.settings.intervals.store.mul_f64(READ_AT);
    let proof = context.copy.store_proof();
    is_behind || proof.is_none_or(|proof| proof.age >= limit)
}

/// Returns a random duration between 0.5 and 1.5 times `interval`, so that hosts don't act in
/// step.
pub fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.5..1.5))
}

async fn refresh(context: &Context) {
    let outcome = match read_head(context).await {
        Ok(head) => catch_up(context, head.version).await,
        Err(err) => Err(err),
    };
    let code = match outcome {
        Ok(()) => "ok",
        Err(err) => {
            tracing::debug!(event = "store_read_failed", error = %err);
            "failed"
        }
    };
    let counter = context.metrics.store_reads.get_or_create(&Label::new(code));
    counter.inc();
}

/// Reads the head row and records it as a proof that no newer version existed when the read
/// started. The proof is valid on every host.
pub async fn read_head(context: &Context) -> Result<Head, Error> {
    let started = Instant::now();
    let found = context.platform.tables.get(row::TABLE, row::HEAD).await?;
    let head = match found {
        None => Head {
            version: 0,
            revision: None,
        },
        Some(found) => Head {
            version: parse(&found)?,
            revision: Some(found.revision),
        },
    };
    context.copy.observe(head.version, started);
    context.members.record_store_response(started);
    Ok(head)
}

/// Reads from the store which version was accepted before this process started.
async fn read_accepted(context: &Context) -> Result<(), Error> {
    let found = context
        .platform
        .tables
        .get(row::TABLE, row::ACCEPTED)
        .await?;
    if let Some(found) = found {
        context.copy.accept(parse(&found)?);
    }
    Ok(())
}

/// Reads and applies changes until this copy has version `head`.
///
/// Returns an error if the store has neither the next change nor a newer snapshot.
pub async fn catch_up(context: &Context, head: Version) -> Result<(), Error> {
    if head.saturating_sub(context.copy.version()) > SINGLE_CHANGE_LIMIT {
        load_snapshot(context).await?;
    }
    while context.copy.version() < head {
        let before = context.copy.version();
        let entries = read_entries(context, before).await?;
        let outcome = context.copy.extend(entries);
        if context.copy.version() == before {
            if let Err(err) = outcome {
                tracing::warn!(event = "change_not_taken_up", error = %err);
            }
            load_snapshot(context).await?;
        }
        if context.copy.version() == before {
            return Err(Error::Unknown(format!("no change above {before} found")));
        }
    }
    Ok(())
}

async fn read_entries(context: &Context, above: Version) -> Result<Vec<Entry>, Error> {
    let after = row::change(above);
    let page = context
        .platform
        .tables
        .scan(row::TABLE, row::CHANGE_PREFIX, &after, PAGE_ROWS)
        .await?;
    page.rows.iter().map(parse).collect()
}

async fn load_snapshot(context: &Context) -> Result<(), Error> {
    let found = context
        .platform
        .tables
        .get(row::TABLE, row::SNAPSHOT)
        .await?;
    let Some(found) = found else {
        return Ok(());
    };
    let stored: SnapshotRow = parse(&found)?;
    if stored.version <= context.copy.version() {
        return Ok(());
    }
    let Some(bytes) = context.platform.objects.get(&stored.object).await? else {
        return Err(Error::Unknown(format!("no object {}", stored.object)));
    };
    let copy: peer::Configuration = serde_json::from_slice(&bytes)
        .map_err(|err| Error::Unknown(format!("malformed snapshot: {err}")))?;
    if let Err(err) = context.copy.replace(copy) {
        tracing::warn!(event = "snapshot_not_taken_up", error = %err);
    }
    Ok(())
}

/// Parses a row's JSON value. The error names the row's key.
pub fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_str(&row.value)
        .map_err(|err| Error::Unknown(format!("malformed row {}: {err}", row.key)))
}
