//! Deletes expired claims, and sets claims of hosts that are gone to unknown.
//!
//! Gates write the claims. Rendezvous hashing assigns each account to one live host, which sweeps
//! the claims of its accounts one page at a time.

use std::time::{Duration, SystemTime};

use agate_claim::digest::TABLE;
use agate_claim::{Record, abandon};
use agate_model::id::AccountId;
use agate_store::Error;
use agate_wire::claim;
use agate_wire::table::{Row, Transaction, Write};
use tokio::time::sleep;

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::mirror::rank;
use crate::duty::store;

/// Interval between two pages.
const INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of rows in a page.
const PAGE_ROWS: usize = 50;

/// Position of the sweep through the claims of this host's accounts.
#[derive(Clone, Debug, Default)]
pub struct Sweeper {
    /// Account that is swept now, or was swept last; empty before the first.
    account: AccountId,
    /// Last key of the page before; empty if the next page is the first one of an account.
    after: String,
}

/// Takes a step per interval until the task is aborted.
pub async fn run(context: Context) {
    let mut sweeper = Sweeper::default();
    loop {
        sleep(jittered(INTERVAL)).await;
        if let Err(err) = sweeper.step(&context, SystemTime::now()).await {
            tracing::debug!(event = "claims_not_swept", error = %err);
        }
    }
}

impl Sweeper {
    /// Reads the next page and commits its deletions and changes in one transaction. After the last
    /// account, one step does nothing and the sweep starts over.
    pub async fn step(&mut self, context: &Context, now: SystemTime) -> Result<(), Error> {
        if self.after.is_empty() {
            let Some(account) = next_account(context, &self.account) else {
                self.account.clear();
                return Ok(());
            };
            self.account = account;
        }
        let prefix = format!("{}/", self.account);
        let tables = &context.platform.tables;
        let page = tables.scan(TABLE, &prefix, &self.after, PAGE_ROWS).await?;
        let transaction = changes(context, &page.rows, now);
        if !transaction.writes.is_empty() {
            tables.commit(&transaction).await?;
        }
        self.after = match page.rows.last() {
            Some(last) if page.more => last.key.clone(),
            _ => String::new(),
        };
        Ok(())
    }
}

/// Returns the account after `last` among those assigned to this host.
fn next_account(context: &Context, last: &AccountId) -> Option<AccountId> {
    let snapshot = context.copy.snapshot();
    let mut later = snapshot
        .accounts()
        .map(|account| &account.id)
        .filter(|id| *id > last);
    later.find(|id| is_responsible(context, id)).cloned()
}

/// Returns whether rendezvous hashing over the live hosts assigns the account to this host.
fn is_responsible(context: &Context, account: &AccountId) -> bool {
    let live = context
        .members
        .live()
        .into_iter()
        .map(|member| member.host.id);
    let owner = live
        .chain([context.host.id.clone()])
        .max_by_key(|host| rank(&format!("{account}/{host}")));
    owner.as_ref() == Some(&context.host.id)
}

/// Collects the writes that a page of claims needs. Malformed rows are logged and left as they are.
fn changes(context: &Context, rows: &[Row], now: SystemTime) -> Transaction {
    let mut transaction = Transaction::default();
    for row in rows {
        let Ok(record) = claim::Record::from_row(&row.value) else {
            tracing::warn!(event = "claim_malformed", key = row.key);
            continue;
        };
        if let Some(write) = change(context, &row.key, &record, now) {
            let check = store::check(TABLE, &row.key, Some(row.revision));
            transaction.checks.push(check);
            transaction.writes.push(write);
        }
    }
    transaction
}

/// Returns the deletion of an expired claim, or the update of one whose host is gone.
fn change(context: &Context, key: &str, record: &Record, now: SystemTime) -> Option<Write> {
    if record.is_expired(now) {
        return Some(store::delete(TABLE, key));
    }
    let unknown = abandon(record, |host, _| context.members.is_terminated(host))?;
    Some(store::put(TABLE, key, &claim::Record::from(unknown)))
}
