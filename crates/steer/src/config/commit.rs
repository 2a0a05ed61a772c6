//! Commits changes of the configuration, each in one transaction that checks the head row.

use std::time::Duration;

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_model::operator::Role;
use agate_model::resource::{Change, Edit};
use agate_model::snapshot::Snapshot;
use agate_store::Error;
use agate_wire::peer::{Entry, Witness};
use agate_wire::table::{Check, Conflict, Transaction, Write};
use agate_wire::{api, change};
use tokio::time::{Instant, sleep};

use crate::config::{reader, row};
use crate::context::Context;
use crate::metrics::Label;

/// Largest change, in bytes of JSON. It leaves room below the store's row limit of 256 KiB.
const CHANGE_BYTES: usize = 240 << 10;

/// Timeout of a commit, over all its attempts.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Mean pause before a retry, after a conflict or a lost response of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// A requested change whose edits are computed anew for each attempt.
pub struct Proposal<'a> {
    /// Operator who requests the change, or host id for changes of the witness set.
    pub author: &'a str,
    /// Identity of the request: a retried request with the same nonce makes no second change.
    pub nonce: String,
    /// Digest of the request, which tells a retry from another request with the same nonce.
    pub digest: String,
    /// Computes the edits from the newest snapshot, once per attempt.
    pub edits: &'a dyn Fn(&Snapshot) -> Result<Plan, Failure>,
}

/// Contents of a change: edits of resources and of the witness set.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Resources to be stored or deleted; empty for a change of witnesses alone.
    pub edits: Vec<Edit>,
    /// Members of the new witness set; `None` if the set stays as it is.
    pub witnesses: Option<Vec<Witness>>,
    /// Process incarnations that have ended for good and no longer count as witnesses.
    pub ended: Vec<Witness>,
}

/// A change that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Configuration version that the change created.
    pub version: Version,
    /// Whether an earlier request with the same nonce made the change.
    pub repeated: bool,
}

/// Reason why [`commit`] returns no version.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Failure {
    /// The resulting configuration is invalid, or the change is too large for a row.
    #[error("{0}")]
    Invalid(Report),
    /// Resources whose expected versions no longer match.
    #[error("{} resources have changed", .0.len())]
    Conflict(Vec<api::Conflict>),
    /// The nonce was used for another request.
    #[error("the idempotency key was used for another request")]
    NonceReused,
    /// The operator lacks this role.
    #[error("needs the role {0:?}")]
    Forbidden(Role),
    /// The configuration already is as requested.
    #[error("nothing to change")]
    Unchanged,
    /// The named resource does not exist.
    #[error("{0} does not exist")]
    NotFound(String),
    /// The store cannot be reached; nothing was changed. Holds the cause.
    #[error("the store cannot be reached: {0}")]
    Unavailable(String),
    /// The store's response was lost; the change may have been made.
    #[error("outcome unknown: {0}")]
    Unknown(Error),
}

/// Result of one attempt. `Retry` holds an error if the attempt's outcome is unknown, and `None`
/// if it certainly changed nothing.
enum Attempt {
    Done(Committed),
    Retry(Option<Error>),
}

/// Commits the change, with retries until `COMMIT_TIMEOUT`.
///
/// A lost response is resolved by the nonce: the next attempt finds the nonce's row, or the check
/// that the row is absent keeps the change from being made twice.
pub async fn commit(context: &Context, proposal: &Proposal<'_>) -> Result<Committed, Failure> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut unknown = None;
    loop {
        match attempt(context, proposal).await {
            Ok(Attempt::Done(committed)) => {
                count(
                    context,
                    if committed.repeated {
                        "repeated"
                    } else {
                        "made"
                    },
                );
                return Ok(committed);
            }
            Ok(Attempt::Retry(lost)) => unknown = lost.or(unknown),
            Err(Failure::Unavailable(_)) if unknown.is_some() && Instant::now() < deadline => {}
            Err(Failure::Unavailable(err)) => {
                return Err(match unknown {
                    Some(lost) => Failure::Unknown(lost),
                    None => Failure::Unavailable(err),
                });
            }
            Err(failure) => {
                count(context, "refused");
                return Err(failure);
            }
        }
        if Instant::now() >= deadline {
            count(context, "timeout");
            let timeout = Error::Refused {
                status: 409,
                message: "too many concurrent changes".to_owned(),
            };
            let unavailable = Failure::Unavailable(timeout.to_string());
            return Err(unknown.map_or(unavailable, Failure::Unknown));
        }
        sleep(reader::jittered(RETRY_PAUSE)).await;
    }
}

fn count(context: &Context, code: &str) {
    let counter = context.metrics.changes.get_or_create(&Label::new(code));
    counter.inc();
}

async fn attempt(context: &Context, proposal: &Proposal<'_>) -> Result<Attempt, Failure> {
    let head = reader::read_head(context).await.map_err(unavailable)?;
    reader::catch_up(context, head.version)
        .await
        .map_err(unavailable)?;
    if let Some(committed) = find_nonce(context, proposal).await? {
        return Ok(Attempt::Done(committed));
    }
    let snapshot = context.copy.snapshot();
    if snapshot.version() != head.version {
        return Ok(Attempt::Retry(None));
    }
    let entry = entry(proposal, &snapshot)?;
    let transaction = transaction(proposal, &entry, &head)?;
    let started = Instant::now();
    match context.platform.tables.commit(&transaction).await {
        Ok(_) => {
            let version = entry.change.version;
            context.copy.observe(version, started);
            if let Err(err) = context.copy.extend(vec![entry]) {
                tracing::warn!(event = "change_not_taken_up", error = %err);
            }
            Ok(Attempt::Done(Committed {
                version,
                repeated: false,
            }))
        }
        Err(Error::Conflict(conflict)) => Ok(retry_after(&conflict)),
        Err(Error::Unknown(text)) => Ok(Attempt::Retry(Some(Error::Unknown(text)))),
        Err(err) => Err(Failure::Unavailable(err.to_string())),
    }
}

fn retry_after(conflict: &Conflict) -> Attempt {
    tracing::debug!(event = "change_raced", row = conflict.check.key);
    Attempt::Retry(None)
}

/// Maps the error of a read, which can't have changed anything, so that no outcome is unknown.
fn unavailable(err: Error) -> Failure {
    let cause = match err {
        Error::Unknown(cause) => cause,
        err => err.to_string(),
    };
    Failure::Unavailable(cause)
}

async fn find_nonce(
    context: &Context,
    proposal: &Proposal<'_>,
) -> Result<Option<Committed>, Failure> {
    let key = row::nonce(&proposal.nonce);
    let found = context.platform.tables.get(row::TABLE, &key).await;
    let Some(found) = found.map_err(unavailable)? else {
        return Ok(None);
    };
    let nonce: row::Nonce = reader::parse(&found).map_err(unavailable)?;
    if nonce.digest != proposal.digest {
        return Err(Failure::NonceReused);
    }
    Ok(Some(Committed {
        version: nonce.version,
        repeated: true,
    }))
}

fn entry(proposal: &Proposal<'_>, snapshot: &Snapshot) -> Result<Entry, Failure> {
    let plan = (proposal.edits)(snapshot)?;
    let change = Change {
        version: snapshot.version() + 1,
        edits: plan.edits,
    };
    check(snapshot, &change)?;
    Ok(Entry {
        change: change::Change::from(change),
        nonce: proposal.nonce.clone(),
        author: proposal.author.to_owned(),
        witnesses: plan.witnesses,
        ended: plan.ended,
    })
}

/// Validates the configuration that results from applying `change` to `snapshot`.
pub fn check(snapshot: &Snapshot, change: &Change) -> Result<(), Failure> {
    let mut changed = snapshot.clone();
    changed
        .apply(change.clone())
        .expect("the change's version follows the snapshot's");
    let report = changed.check();
    report.into_result(()).map_err(Failure::Invalid)
}

fn transaction(
    proposal: &Proposal<'_>,
    entry: &Entry,
    head: &reader::Head,
) -> Result<Transaction, Failure> {
    let version = entry.change.version;
    let nonce = row::Nonce {
        version,
        digest: proposal.digest.clone(),
    };
    let value = json(entry);
    if value.len() > CHANGE_BYTES {
        let mut report = Report::default();
        let fault = format!("is larger than {CHANGE_BYTES} bytes; apply it in parts");
        report.push("change", fault);
        return Err(Failure::Invalid(report));
    }
    let nonce_key = row::nonce(&proposal.nonce);
    let check = |key: &str, revision| Check {
        table: row::TABLE.to_owned(),
        key: key.to_owned(),
        revision,
    };
    Ok(Transaction {
        checks: vec![check(row::HEAD, head.revision), check(&nonce_key, None)],
        writes: vec![
            write(row::HEAD, Some(version.to_string())),
            write(&row::change(version), Some(value)),
            write(&nonce_key, Some(json(&nonce))),
        ],
    })
}

/// Returns a write of one row of the `config` table; `None` deletes the row.
pub(super) fn write(key: &str, value: Option<String>) -> Write {
    Write {
        table: row::TABLE.to_owned(),
        key: key.to_owned(),
        value,
    }
}

/// Serializes the value of a row or object.
pub(super) fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("configuration rows serialize to JSON")
}
