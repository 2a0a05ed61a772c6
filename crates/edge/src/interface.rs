//! Borders of this crate: how callers and endpoints are spoken to, what the store's rows hold,
//! and where duties are reported. Nothing behind them decides.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use agate_model::id::{AccountId, EndpointId, Epoch, HostId, RequestId, Tier, ZoneId};
use agate_store::interface::Answer;
use bytes::Bytes;

use crate::config::{Config, ServiceId};
use crate::roster::Endpoint;

/// Why an input can't be read, with the place of the fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {fault}")]
pub struct Fault {
    /// Field or header.
    pub place: String,
    /// What is wrong.
    pub fault: String,
}

impl Fault {
    /// A fault at `place`.
    pub fn new(place: impl Into<String>, fault: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            fault: fault.into(),
        }
    }
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity.
    pub id: u64,
    /// Length.
    pub tokens: u64,
}

/// What a caller's request says beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Identity of this request.
    pub id: RequestId,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Key that was shown.
    pub key: Option<String>,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub prompt: Vec<Part>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// The caller's guess at the tokens of the answer.
    pub answer_guess: Option<u64>,
    /// Last event that the caller has; the answer goes on after it.
    pub last_event: Option<String>,
}

/// What the system adds to a request for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark<'a> {
    /// Time left.
    pub left: Duration,
    /// The only endpoint that may run it.
    pub endpoint: &'a str,
    /// Account of the key.
    pub account: Option<&'a AccountId>,
    /// Urgency among the requests of a model engine.
    pub tier: Option<Tier>,
    /// Event after which the answer goes on; replaces the caller's own.
    pub last_event: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Request that it answers, if it says so.
    pub request: Option<RequestId>,
    /// The endpoint states that it has not run the request.
    pub not_run: bool,
    /// The endpoint has signed the answer as its own.
    pub signed: bool,
}

/// A caller's question for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Availability zone of the caller, if it says so.
    pub zone: Option<ZoneId>,
}

/// How callers and endpoints are spoken to.
pub trait Dialect {
    /// Reads a caller's request.
    fn ask(&self, head: &RequestHead) -> Result<Ask, Fault>;

    /// Headers for an endpoint: those of the caller without what the system itself sets.
    fn outgoing(&self, headers: &HeaderMap, mark: &Mark<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn reply(&self, head: &ResponseHead) -> Reply;

    /// Reads a request to the directory; `None` if it is no question for addresses.
    fn question(&self, head: &RequestHead) -> Option<Question>;

    /// Media type and body of the answer to a question.
    fn addresses(&self, addresses: &[SocketAddr], validity: Duration) -> (&'static str, Bytes);
}

/// Reads the rows that operators and endpoints write to the store.
pub trait Decoder {
    /// Table and key of the configuration.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Table of the endpoints.
    fn endpoint_table(&self) -> &'static str;

    /// A whole configuration.
    fn config(&self, value: &[u8]) -> Result<Config, Fault>;

    /// The entry of one endpoint.
    fn endpoint(&self, id: &EndpointId, value: &[u8]) -> Result<Endpoint, Fault>;
}

/// Who acts, for the receiver of an order or report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seal {
    /// Host that holds the lease.
    pub host: HostId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Requests of each account that began to run in a window.
pub type Counts = BTreeMap<AccountId, u64>;

/// How many endpoints there are to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether reclaimable ones are meant; the kinds are counted apart.
    pub reclaimable: bool,
    /// Number of endpoints.
    pub count: u32,
}

/// Where the holder of the lease reports usage and orders endpoints. Each call goes over a new
/// connection; `may_send` is asked between connecting and the first byte, and `deadline` bounds
/// the whole call.
pub trait Duties {
    /// Reports a window.
    fn report<'a>(
        &'a self,
        seal: &'a Seal,
        window: u64,
        counts: &'a Counts,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> Answer<'a, ()>;

    /// Orders endpoints.
    fn order<'a>(
        &'a self,
        seal: &'a Seal,
        order: &'a Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> Answer<'a, ()>;
}
