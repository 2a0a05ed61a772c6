//! Storage of configuration snapshots and of the highest accepted version.

use agate_model::id::Version;
use agate_store::Error;
use agate_wire::peer::{Entry, SnapshotRow};
use agate_wire::table::{Check, Transaction, Write};
use bytes::Bytes;

use crate::config::commit::{json, write};
use crate::config::{reader, row};
use crate::context::Context;

/// Number of versions from one stored snapshot to the next.
const SNAPSHOT_EVERY: Version = 64;

/// Number of change rows kept below a stored snapshot; older rows are deleted.
const KEPT_CHANGES: Version = 512;

/// Records in the store that `version` was accepted, for processes that start later.
///
/// Does nothing if this host doesn't know `version` as accepted. A failed write is only logged,
/// as the row is a lower bound.
pub async fn store_accepted(context: &Context, version: Version) {
    if context.copy.accepted() < version {
        return;
    }
    let transaction = Transaction {
        checks: Vec::new(),
        writes: vec![write(row::ACCEPTED, Some(version.to_string()))],
    };
    if let Err(err) = context.platform.tables.commit(&transaction).await {
        tracing::debug!(event = "acceptance_not_stored", error = %err);
    }
}

/// Stores a snapshot after every 64th change and deletes changes more than `KEPT_CHANGES`
/// versions below it. A failure is only logged.
pub async fn store_snapshot(context: &Context, version: Version) {
    if !version.is_multiple_of(SNAPSHOT_EVERY) {
        return;
    }
    if let Err(err) = try_store_snapshot(context).await {
        tracing::warn!(event = "snapshot_not_stored", error = %err);
    }
}

async fn try_store_snapshot(context: &Context) -> Result<(), Error> {
    let copy = context.copy.export();
    let version = copy.snapshot.version;
    let object = row::object(version);
    let contents = Bytes::from(json(&copy));
    context.platform.objects.put(&object, contents).await?;
    let found = context
        .platform
        .tables
        .get(row::TABLE, row::SNAPSHOT)
        .await?;
    let revision = found.as_ref().map(|row| row.revision);
    if let Some(found) = &found {
        let stored: SnapshotRow = reader::parse(found)?;
        if stored.version >= version {
            return Ok(());
        }
    }
    let snapshot_row = SnapshotRow { version, object };
    let mut transaction = Transaction {
        checks: vec![Check {
            table: row::TABLE.to_owned(),
            key: row::SNAPSHOT.to_owned(),
            revision,
        }],
        writes: vec![write(row::SNAPSHOT, Some(json(&snapshot_row)))],
    };
    let deletions = delete_old_changes(context, version).await?;
    transaction.writes.extend(deletions);
    context.platform.tables.commit(&transaction).await?;
    tracing::info!(event = "snapshot_stored", version);
    Ok(())
}

/// Returns writes that delete the rows of changes that no host needs any more, and of their
/// nonces. Considers at most two snapshot intervals of rows at a time.
async fn delete_old_changes(context: &Context, version: Version) -> Result<Vec<Write>, Error> {
    let last_deleted = version.saturating_sub(KEPT_CHANGES);
    let limit = 2 * SNAPSHOT_EVERY as usize;
    let page = context
        .platform
        .tables
        .scan(row::TABLE, row::CHANGE_PREFIX, "", limit)
        .await?;
    let mut writes = Vec::new();
    for found in &page.rows {
        let entry: Entry = reader::parse(found)?;
        if entry.change.version <= last_deleted {
            writes.push(write(&found.key, None));
            writes.push(write(&row::nonce(&entry.nonce), None));
        }
    }
    Ok(writes)
}
