//! Accepted requests, with everything needed to queue and forward them.

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

/// The key that a request presented and the account that the key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// ID of the key, which is not secret.
    pub key: KeyId,
    /// Digest of the key, by which it is checked again before each attempt.
    pub digest: Digest,
    /// Account that the request is charged to.
    pub account: AccountId,
}

/// Type of a request, with the parameters that only this type has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A chat completion, forwarded to an engine.
    Completion {
        /// Model named in the request.
        model: ModelId,
        /// Whether the caller requests a streamed response.
        stream: bool,
        /// Bound of the response in tokens; `None` if the caller sets none.
        max_tokens: Option<u32>,
    },
    /// A call of a plain service.
    Plain,
}

/// An accepted request. It does not change while it is queued and forwarded.
#[derive(Clone, Debug)]
pub struct Work {
    /// Request ID, sent to the endpoint and returned to the caller.
    pub id: RequestId,
    /// Whether the request is a chat completion or a plain call.
    pub kind: Kind,
    /// Route that the request matched; it lists the pools.
    pub route: Rc<Route>,
    /// Class that sets tier, targets, queue limit and retry rules.
    pub class: Rc<Class>,
    /// Key and account; `None` on routes that need no key.
    pub caller: Option<Caller>,
    /// When the request head was received.
    pub arrival: Instant,
    /// When the complete response is due.
    pub deadline: Instant,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub target: String,
    /// Headers of the caller that are forwarded to the endpoint.
    pub headers: HeaderMap,
    /// Complete request body, read before the request is queued.
    pub body: Bytes,
    /// Hashes of the prompt's prefix blocks; empty for plain calls and short prompts.
    pub prefix: Vec<u64>,
    /// Cost that is expected before the request has run.
    pub estimate: Cost,
    /// Idempotency key as the caller sent it; it is scoped to the account where it is used.
    pub idempotency: Option<String>,
}

impl Work {
    /// Returns the time left until the deadline, zero after it.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the account of the caller; `None` on routes that need no key.
    pub fn account(&self) -> Option<&AccountId> {
        self.caller.as_ref().map(|caller| &caller.account)
    }
}
