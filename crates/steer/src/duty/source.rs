//! Usage of all hosts as stored, for the resource API.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, Window};
use agate_store::Error;
use agate_usage::{report, row, window};
use agate_wire::api::{AccountUsage, Usage};
use agate_wire::platform::Counters;
use agate_wire::usage::{self, State};
use futures_util::future::LocalBoxFuture;

use crate::api::usage::Source;
use crate::context::Context;
use crate::duty::store::{self, Found};
use crate::duty::window::{key, read_rows};

/// Usage source that reads the store's rows on every request.
pub struct Store {
    context: Context,
}

impl Store {
    /// Creates a source over the store of `context`.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    /// Reads the usage of a window: the frozen counters if there are any, else the sum of the usage
    /// rows, which may still grow.
    async fn usage(&self, window: Window) -> Result<Usage, Error> {
        let tables = &*self.context.platform.tables;
        let found: Option<Found<usage::Window>> =
            store::read(tables, window::TABLE, &key(window)).await?;
        let state = found.map(|row| row.value.state);
        let accounts = match state {
            Some(State::Frozen | State::Sent) => self.frozen(window).await?,
            Some(State::Closed) | None => self.unfrozen(window).await?,
        };
        let usage = |(account, figures)| AccountUsage { account, figures };
        Ok(Usage {
            window,
            closed: state.is_some(),
            accounts: accounts.into_iter().map(usage).collect(),
        })
    }

    /// Reads the frozen counters of a window from its report rows.
    async fn frozen(&self, window: Window) -> Result<BTreeMap<AccountId, Counters>, Error> {
        let prefix = row::window_prefix(window);
        let tables = &*self.context.platform.tables;
        let rows = store::scan(tables, report::TABLE, &prefix, "").await?;
        let mut accounts = BTreeMap::new();
        for found in &rows {
            let found: Found<usage::Report> = store::parse(found)?;
            let account = found
                .key
                .strip_prefix(&prefix)
                .unwrap_or(&found.key)
                .to_owned();
            accounts.insert(account, found.value.figures);
        }
        Ok(accounts)
    }

    /// Sums the usage rows of a window.
    async fn unfrozen(&self, window: Window) -> Result<BTreeMap<AccountId, Counters>, Error> {
        let rows = read_rows(&self.context, window).await?;
        let totals = report::totals(window, &rows);
        let pair = |(account, total): (AccountId, report::Total)| (account, total.into());
        Ok(totals.into_iter().map(pair).collect())
    }
}

impl Source for Store {
    fn read(&self, window: Window) -> LocalBoxFuture<'_, Result<Usage, Error>> {
        Box::pin(self.usage(window))
    }
}
