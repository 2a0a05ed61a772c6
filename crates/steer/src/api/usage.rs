//! Usage by client account.

use std::collections::BTreeMap;
use std::time::SystemTime;

use actix_http::StatusCode;
use agate_model::id::{AccountId, Window};
use agate_store::Error;
use agate_wire::api::{AccountUsage, Usage};
use agate_wire::platform::Counters;
use futures_util::future::LocalBoxFuture;

use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::context::Context;
use crate::sync::open_window;

/// Source of the usage that all hosts have recorded.
pub trait Source {
    /// Returns the usage of one window; fails if the store is unavailable.
    fn read(&self, window: Window) -> LocalBoxFuture<'_, Result<Usage, Error>>;
}

/// Returns the usage of the window in the query, by default the open one. Without a source it
/// returns what this host received.
pub async fn get(context: &Context, request: &Request) -> Result<Response, Failure> {
    let open = open_window(context, SystemTime::now());
    let window = request.number("window")?.unwrap_or(open);
    let source = context.usage.borrow().clone();
    let usage = match source {
        Some(source) => source.read(window).await.map_err(|err| unavailable(&err))?,
        None => received(context, window),
    };
    Ok(Response::json(&usage))
}

fn unavailable(err: &Error) -> Failure {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::new(status, "store_unavailable", err.to_string())
}

/// Sums the totals received from the gates that call this host.
fn received(context: &Context, window: Window) -> Usage {
    let mut accounts: BTreeMap<AccountId, Counters> = BTreeMap::new();
    for (counter, figures) in context.inbox.totals() {
        if counter.window == window {
            let total = accounts.entry(counter.account).or_default();
            total.requests += figures.requests;
            total.prompt_tokens += figures.prompt_tokens;
            total.answer_tokens += figures.answer_tokens;
            total.late_requests += figures.late_requests;
        }
    }
    let account_usage = |(account, figures)| AccountUsage { account, figures };
    Usage {
        window,
        closed: false,
        accounts: accounts.into_iter().map(account_usage).collect(),
    }
}
