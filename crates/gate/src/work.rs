//! A request on its way from a caller to an endpoint.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use agate_model::class::Class;
use agate_model::id::{AccountId, KeyId, ModelId, RequestId};
use agate_model::key::Digest;
use agate_model::route::Route;
use bytes::Bytes;
use tokio::time::Instant;

use crate::admission::Cost;

/// The key that came with a request, and the account that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Public name of the key.
    pub key: KeyId,
    /// Digest of the key, to look it up again before each attempt.
    pub digest: Digest,
    /// Account for which the request runs.
    pub account: AccountId,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model answer.
    Completion {
        /// Model that the caller names.
        model: ModelId,
        /// Whether the answer is streamed.
        stream: bool,
        /// Longest answer, in tokens, if the caller names one.
        max_tokens: Option<u32>,
    },
    /// A call of a plain service.
    Plain,
}

/// An accepted request.
#[derive(Clone, Debug)]
pub struct Work {
    /// Identity.
    pub id: RequestId,
    /// What is asked for.
    pub kind: Kind,
    /// Route.
    pub route: Rc<Route>,
    /// Class.
    pub class: Rc<Class>,
    /// Key and account; `None` on routes open to all.
    pub caller: Option<Caller>,
    /// When the request head was received.
    pub arrival: Instant,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers that the endpoint may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// Expected cost.
    pub estimate: Cost,
    /// Idempotency key of the caller, scoped by account.
    pub idempotency: Option<String>,
}

impl Work {
    /// Time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Account, if the route is keyed.
    pub fn account(&self) -> Option<&AccountId> {
        self.caller.as_ref().map(|caller| &caller.account)
    }
}
