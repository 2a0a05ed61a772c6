//! Deletes expired claims, and ends those of hosts that are gone.
//!
//! Claims are written by gates. Every host looks after the claims of some of the
//! accounts, a page at a time.

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

/// Between two pages.
const INTERVAL: Duration = Duration::from_secs(60);
/// Rows in a page.
const PAGE_ROWS: usize = 50;

/// Where the walk through the claims stands.
#[derive(Clone, Debug, Default)]
pub struct Sweeper {
    account: AccountId,
    after: String,
}

/// Walks until the task is aborted.
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
    /// Works on the next page.
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

/// The account after `last` among those that this host looks after.
fn next_account(context: &Context, last: &AccountId) -> Option<AccountId> {
    let snapshot = context.copy.snapshot();
    let mut later = snapshot.accounts().map(|it| &it.id).filter(|it| *it > last);
    later.find(|it| is_own(context, it)).cloned()
}

/// Rendezvous hashing over the live hosts.
fn is_own(context: &Context, account: &AccountId) -> bool {
    let live = context.members.live().into_iter().map(|it| it.host.id);
    let owner = live
        .chain([context.host.id.clone()])
        .max_by_key(|host| rank(&format!("{account}/{host}")));
    owner.as_ref() == Some(&context.host.id)
}

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

fn change(context: &Context, key: &str, record: &Record, now: SystemTime) -> Option<Write> {
    if record.is_expired(now) {
        return Some(store::delete(TABLE, key));
    }
    let unknown = abandon(record, |host, _| context.members.is_terminated(host))?;
    Some(store::put(TABLE, key, &claim::Record::from(unknown)))
}
