//! Usage of all hosts, for the resource API.

use std::collections::BTreeMap;

use agate_model::id::{AccountId, Window};
use agate_store::Error;
use agate_usage::{report, row, window};
use agate_wire::api::{AccountUsage, Usage};
use agate_wire::platform::Figures;
use agate_wire::usage::{self, State};
use futures_util::future::LocalBoxFuture;

use crate::api::usage::Source;
use crate::context::Context;
use crate::duty::store::{self, Found};
use crate::duty::window::{key, read_rows};

/// Reads the store.
pub struct Store {
    context: Context,
}

impl Store {
    /// A reader.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    async fn usage(&self, window: Window) -> Result<Usage, Error> {
        let tables = &*self.context.platform.tables;
        let found: Option<Found<usage::Window>> =
            store::read(tables, window::TABLE, &key(window)).await?;
        let state = found.map(|it| it.value.state);
        let accounts = match state {
            Some(State::Frozen | State::Sent) => self.frozen(window).await?,
            Some(State::Closed) | None => self.running(window).await?,
        };
        let pair = |(account, figures)| AccountUsage { account, figures };
        Ok(Usage {
            window,
            closed: state.is_some(),
            accounts: accounts.into_iter().map(pair).collect(),
        })
    }

    async fn frozen(&self, window: Window) -> Result<BTreeMap<AccountId, Figures>, Error> {
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

    async fn running(&self, window: Window) -> Result<BTreeMap<AccountId, Figures>, Error> {
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
