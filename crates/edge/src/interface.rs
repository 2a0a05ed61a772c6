//! Interfaces that a platform implements: the protocols of callers and endpoints, the format of the
//! store's rows, and the receiver of duties. Implementations translate and make no decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use agate_limit::mention::Mention;
use agate_model::id::{AccountId, EndpointId, Epoch, HostId, RequestId, Tier, ZoneId};
use agate_store::interface::ResponseFuture;
use bytes::Bytes;

use crate::config::{Config, ServiceId};
use crate::roster::Endpoint;

/// Why an input can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {fault}")]
pub struct Fault {
    /// Field or header that is missing or malformed.
    pub field: String,
    /// Description of what is wrong with it.
    pub fault: String,
}

impl Fault {
    /// Creates a fault in the given field or header.
    pub fn new(field: impl Into<String>, fault: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            fault: fault.into(),
        }
    }
}

/// Part of a prompt that several requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity; equal for the same content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Data of a caller's request besides method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identity of the request.
    pub id: RequestId,
    /// How long the caller waits for the response; `None` if the caller does not tell.
    pub timeout: Option<Duration>,
    /// Key of an account; `None` without one.
    pub key: Option<String>,
    /// Parts of the prompt in order; the last one belongs to this request or its session alone.
    pub prompt: Vec<Part>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the response in tokens.
    pub max_tokens: u64,
    /// Length of the response that the caller expects, in tokens.
    pub expected_tokens: Option<u64>,
    /// Id of the last event that the caller received; the response continues after it.
    pub last_event: Option<String>,
}

/// Context that this host adds to a request for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Context<'a> {
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Id of the only endpoint that may run the request.
    pub endpoint: &'a str,
    /// Account of the request's key; `None` on routes without keys.
    pub account: Option<&'a AccountId>,
    /// Urgency among the requests of a model engine; `None` for other services.
    pub tier: Option<Tier>,
    /// Id of the event after which the response continues; replaces the caller's own.
    pub last_event: Option<&'a str>,
}

/// Data of the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to; `None` if it names none.
    pub request: Option<RequestId>,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether the endpoint has signed the response as its own.
    pub signed: bool,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// How long the endpoint asks to be left alone; `None` if it does not ask.
    pub retry_after: Option<Duration>,
    /// What it says of the requests that the endpoint takes from all hosts together.
    pub limit: Mention,
    /// Headers of these kinds that are malformed, and so count as absent.
    pub faults: Vec<Fault>,
}

/// Lookup of host addresses by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// Availability zone of the caller; `None` if it does not tell.
    pub zone: Option<ZoneId>,
}

/// Encodes and decodes the headers of callers and endpoints.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    fn request(&self, head: &RequestHead) -> Result<RequestInfo, Fault>;

    /// Returns the headers for an endpoint: those of the caller, with the headers that this host
    /// sets replaced according to `context`.
    fn endpoint_headers(&self, headers: &HeaderMap, context: &Context<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's response.
    fn response(&self, head: &ResponseHead) -> ResponseInfo;

    /// Decodes a request to the directory; `None` if it is not a lookup of addresses.
    fn lookup(&self, head: &RequestHead) -> Option<Lookup>;

    /// Returns the media type and body of the response to a lookup. Callers may keep the addresses
    /// for `validity`.
    fn addresses(&self, addresses: &[SocketAddr], validity: Duration) -> (&'static str, Bytes);
}

/// Decodes the rows that operators and endpoints write to the store.
pub trait Decoder {
    /// Returns the table and key of the configuration's row.
    fn config_row(&self) -> (&'static str, &'static str);

    /// Returns the key of the row, in the configuration's table, that exists while a zone is evacuated.
    fn evacuation_row(&self, zone: &str) -> String;

    /// Returns the zone that a row of the configuration's table evacuates; `None` for other rows.
    fn evacuated_zone(&self, key: &str) -> Option<ZoneId>;

    /// Returns the table of the endpoints.
    fn endpoint_table(&self) -> &'static str;

    /// Decodes a configuration.
    fn config(&self, value: &[u8]) -> Result<Config, Fault>;

    /// Decodes the row of one endpoint.
    fn endpoint(&self, id: &EndpointId, value: &[u8]) -> Result<Endpoint, Fault>;
}

/// Fencing token of a lease holder, by which the receiver of an order or report rejects calls of
/// earlier holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// Host that holds the lease.
    pub host: HostId,
    /// Epoch of the lease; grows with every new holder.
    pub epoch: Epoch,
}

/// Number of requests that started to run in a window, by account.
pub type Counts = BTreeMap<AccountId, u64>;

/// Order for a number of endpoints of one service, zone and kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service for which the endpoints are ordered.
    pub service: ServiceId,
    /// Availability zone in which they are to run.
    pub zone: ZoneId,
    /// Whether the order is for reclaimable endpoints; each kind is counted separately.
    pub reclaimable: bool,
    /// Total number of endpoints wanted, including those that already run.
    pub count: u32,
}

/// Receiver of the lease holder's usage reports and orders. Each call uses a new connection;
/// `may_send` is called after connecting and before the first byte is sent, and `deadline` is the
/// timeout of the whole call.
pub trait Duties {
    /// Reports the counts of a usage window.
    fn report<'a>(
        &'a self,
        fencing_token: &'a FencingToken,
        window: u64,
        counts: &'a Counts,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()>;

    /// Sends an order for endpoints.
    fn order<'a>(
        &'a self,
        fencing_token: &'a FencingToken,
        order: &'a Order,
        deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()>;
}
