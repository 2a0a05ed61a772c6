//! Resources as operators write them, in YAML or JSON.
//!
//! ```yaml
//! kind: class
//! id: chat
//! tier: 1
//! target: { first_token: 900ms, between_tokens: 28ms, deadline: 30s }
//! ```

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use agate_model::finding::Report;
use agate_model::id::TIER_COUNT;
use agate_model::resource::Spec;
use agate_model::{account, class, endpoint, key, operator, pool, route};
use serde::{Deserialize, Serialize};

/// Longest name, in bytes.
pub const NAME_BYTES: usize = 128;

const DEFAULT_CONCURRENT: u32 = 64;
const DEFAULT_QUEUE: u32 = 256;
const DEFAULT_RETRY_PERCENT: u32 = 10;
const DEFAULT_SLOTS: u32 = 8;

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn concurrent() -> u32 {
    DEFAULT_CONCURRENT
}

fn queue() -> u32 {
    DEFAULT_QUEUE
}

fn retry() -> u32 {
    DEFAULT_RETRY_PERCENT
}

fn slots() -> u32 {
    DEFAULT_SLOTS
}

/// One declared resource; `kind` selects the form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Manifest {
    /// A client account.
    Account(Account),
    /// A key of an account.
    Key(Key),
    /// A request class.
    Class(Class),
    /// A pool of endpoints.
    Pool(Pool),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A route.
    Route(Route),
    /// An operator credential.
    Operator(Operator),
}

/// See [`account::Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub id: String,
    /// Relative share, from 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests running or queued at once on one host.
    #[serde(default = "concurrent")]
    pub max_concurrent: u32,
    /// Requests per second on one host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Tokens per minute on one host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_minute: Option<u64>,
    /// Classes that callers may name.
    #[serde(default)]
    pub classes: Vec<String>,
}

/// See [`key::Key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public name.
    pub id: String,
    /// Owner.
    pub account: String,
    /// SHA-256 of the key, in 64 hexadecimal digits.
    pub digest: String,
    /// RFC 3339 time from which the key is refused.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub expires: Option<SystemTime>,
}

/// See [`class::Target`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// For example `900ms`.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// For example `28ms`.
    #[serde(with = "humantime_serde")]
    pub between_tokens: Duration,
    /// For example `30s`.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// See [`class::Class`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub id: String,
    /// 0 is the highest.
    pub tier: u8,
    /// Relative share of starts, from 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Latency targets.
    pub target: Target,
    /// Whether requests may be executed more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether slow requests may be hedged.
    #[serde(default)]
    pub hedge: bool,
    /// Whether the work may run on reclaimable endpoints.
    #[serde(default)]
    pub reclaimable: bool,
    /// Requests that may wait on one host.
    #[serde(default = "queue")]
    pub queue_limit: u32,
    /// Retries and hedges per hundred requests, 0 to 100.
    #[serde(default = "retry")]
    pub retry_percent: u32,
}

/// See [`pool::Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name.
    pub id: String,
    /// Model that its engines load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Endpoints kept even without demand.
    #[serde(default)]
    pub min_endpoints: u32,
    /// Endpoints never exceeded; 0 means that none are ordered.
    #[serde(default)]
    pub max_endpoints: u32,
    /// Whether reclaimable endpoints may be ordered.
    #[serde(default)]
    pub reclaimable: bool,
}

/// See [`endpoint::Kind`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Runs until released.
    #[default]
    Standard,
    /// May be taken back with its whole availability zone.
    Reclaimable,
}

/// See [`endpoint::Fencing`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Old fencing numbers are refused.
    Checked,
    /// Old fencing numbers are obeyed.
    #[default]
    Ignored,
}

/// See [`endpoint::Protocol`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Plain,
}

/// See [`endpoint::Endpoint`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name.
    pub id: String,
    /// Pool that it serves.
    pub pool: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// `standard` or `reclaimable`.
    #[serde(default, rename = "capacity")]
    pub kind: EndpointKind,
    /// `checked` or `ignored`.
    #[serde(default)]
    pub fencing: Fencing,
    /// `engine` or `plain`.
    #[serde(default)]
    pub protocol: Protocol,
    /// Requests served at once.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Credential shown to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credential: Option<String>,
    /// Takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// See [`route::Access`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// A key is needed.
    #[default]
    Keyed,
    /// Open to all.
    Open,
}

/// See [`route::Route`]. Exactly one of `model` and `prefix` is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub id: String,
    /// Model calls that name this model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Paths that begin with this prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// `keyed` or `open`.
    #[serde(default)]
    pub access: Access,
    /// Class of requests that name none.
    pub class: String,
    /// Pools in order of preference.
    pub pools: Vec<String>,
}

/// See [`operator::Role`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads.
    Viewer,
    /// Reads and changes.
    Editor,
    /// Also manages operators.
    Admin,
}

/// See [`operator::Operator`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name.
    pub id: String,
    /// SHA-256 of the credential, in hexadecimal digits.
    pub digest: String,
    /// Permissions.
    pub role: Role,
}

macro_rules! mirror {
    ($wire:ty, $domain:ty, $($variant:ident),+) => {
        impl From<$domain> for $wire {
            fn from(it: $domain) -> Self {
                match it { $(<$domain>::$variant => Self::$variant,)+ }
            }
        }
        impl From<$wire> for $domain {
            fn from(it: $wire) -> Self {
                match it { $(<$wire>::$variant => Self::$variant,)+ }
            }
        }
    };
}

mirror!(EndpointKind, endpoint::Kind, Standard, Reclaimable);
mirror!(Fencing, endpoint::Fencing, Checked, Ignored);
mirror!(Protocol, endpoint::Protocol, Engine, Plain);
mirror!(Access, route::Access, Keyed, Open);
mirror!(Role, operator::Role, Viewer, Editor, Admin);

impl From<Spec> for Manifest {
    fn from(spec: Spec) -> Self {
        match spec {
            Spec::Account(it) => Manifest::Account(it.into()),
            Spec::Key(it) => Manifest::Key(it.into()),
            Spec::Class(it) => Manifest::Class(it.into()),
            Spec::Pool(it) => Manifest::Pool(it.into()),
            Spec::Endpoint(it) => Manifest::Endpoint(it.into()),
            Spec::Route(it) => Manifest::Route(it.into()),
            Spec::Operator(it) => Manifest::Operator(it.into()),
        }
    }
}

impl TryFrom<Manifest> for Spec {
    type Error = Report;

    fn try_from(manifest: Manifest) -> Result<Self, Report> {
        let mut report = Report::default();
        let spec = match manifest {
            Manifest::Account(it) => Spec::Account(it.convert(&mut report)),
            Manifest::Key(it) => Spec::Key(it.convert(&mut report)),
            Manifest::Class(it) => Spec::Class(it.convert(&mut report)),
            Manifest::Pool(it) => Spec::Pool(it.convert(&mut report)),
            Manifest::Endpoint(it) => Spec::Endpoint(it.convert(&mut report)),
            Manifest::Route(it) => Spec::Route(it.convert(&mut report)),
            Manifest::Operator(it) => Spec::Operator(it.convert(&mut report)),
        };
        check_name(&spec.name().id, &spec.name().to_string(), &mut report);
        report.into_result(spec)
    }
}

fn check_name(id: &str, place: &str, report: &mut Report) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if id.is_empty() || id.len() > NAME_BYTES || !id.chars().all(is_plain) {
        let fault = format!("id needs 1 to {NAME_BYTES} letters, digits or any of -_.:/");
        report.push(place, fault);
    }
}

fn at_least_one(value: u32, place: String, report: &mut Report) {
    if value == 0 {
        report.push(place, "needs to be 1 or more");
    }
}

fn parse_digest(text: &str, place: String, report: &mut Report) -> key::Digest {
    let mut digest = [0; key::DIGEST_BYTES];
    if hex::decode_to_slice(text, &mut digest).is_err() {
        report.push(place, "needs 64 hexadecimal digits (SHA-256)");
    }
    key::Digest(digest)
}

impl From<account::Account> for Account {
    fn from(it: account::Account) -> Self {
        Self {
            id: it.id,
            weight: it.weight,
            max_concurrent: it.max_concurrent,
            requests_per_second: it.requests_per_second,
            tokens_per_minute: it.tokens_per_minute,
            classes: it.classes,
        }
    }
}

impl Account {
    fn convert(self, report: &mut Report) -> account::Account {
        at_least_one(self.weight, format!("account/{}.weight", self.id), report);
        at_least_one(
            self.max_concurrent,
            format!("account/{}.max_concurrent", self.id),
            report,
        );
        account::Account {
            id: self.id,
            weight: self.weight,
            max_concurrent: self.max_concurrent,
            requests_per_second: self.requests_per_second,
            tokens_per_minute: self.tokens_per_minute,
            classes: self.classes,
        }
    }
}

impl From<key::Key> for Key {
    fn from(it: key::Key) -> Self {
        Self {
            id: it.id,
            account: it.account,
            digest: hex::encode(it.digest.0),
            expires: it.expires,
        }
    }
}

impl Key {
    fn convert(self, report: &mut Report) -> key::Key {
        let digest = parse_digest(&self.digest, format!("key/{}.digest", self.id), report);
        key::Key {
            id: self.id,
            account: self.account,
            digest,
            expires: self.expires,
        }
    }
}

impl From<class::Class> for Class {
    fn from(it: class::Class) -> Self {
        Self {
            id: it.id,
            tier: it.tier,
            weight: it.weight,
            target: Target {
                first_token: it.target.first_token,
                between_tokens: it.target.between_tokens,
                deadline: it.target.deadline,
            },
            idempotent: it.idempotent,
            hedge: it.hedge,
            reclaimable: it.reclaimable,
            queue_limit: it.queue_limit,
            retry_percent: it.retry_percent,
        }
    }
}

impl Class {
    fn convert(self, report: &mut Report) -> class::Class {
        let place = |field: &str| format!("class/{}.{field}", self.id);
        if usize::from(self.tier) >= TIER_COUNT {
            report.push(place("tier"), format!("needs to be below {TIER_COUNT}"));
        }
        at_least_one(self.weight, place("weight"), report);
        if self.target.deadline.is_zero() {
            report.push(place("target.deadline"), "needs to be longer than 0s");
        }
        if self.target.first_token > self.target.deadline {
            report.push(place("target.first_token"), "is longer than the deadline");
        }
        if self.hedge && !self.idempotent {
            report.push(place("hedge"), "needs an idempotent class");
        }
        if self.reclaimable && !self.idempotent {
            report.push(place("reclaimable"), "needs an idempotent class");
        }
        if self.retry_percent > 100 {
            report.push(place("retry_percent"), "needs to be 100 or less");
        }
        class::Class {
            id: self.id,
            tier: self.tier,
            weight: self.weight,
            target: class::Target {
                first_token: self.target.first_token,
                between_tokens: self.target.between_tokens,
                deadline: self.target.deadline,
            },
            idempotent: self.idempotent,
            hedge: self.hedge,
            reclaimable: self.reclaimable,
            queue_limit: self.queue_limit,
            retry_percent: self.retry_percent,
        }
    }
}

impl From<pool::Pool> for Pool {
    fn from(it: pool::Pool) -> Self {
        Self {
            id: it.id,
            model: it.model,
            min_endpoints: it.min_endpoints,
            max_endpoints: it.max_endpoints,
            reclaimable: it.reclaimable,
        }
    }
}

impl Pool {
    fn convert(self, report: &mut Report) -> pool::Pool {
        if self.max_endpoints < self.min_endpoints {
            let place = format!("pool/{}.max_endpoints", self.id);
            report.push(place, "is below min_endpoints");
        }
        pool::Pool {
            id: self.id,
            model: self.model,
            min_endpoints: self.min_endpoints,
            max_endpoints: self.max_endpoints,
            reclaimable: self.reclaimable,
        }
    }
}

impl From<endpoint::Endpoint> for Endpoint {
    fn from(it: endpoint::Endpoint) -> Self {
        Self {
            id: it.id,
            pool: it.pool,
            address: it.address,
            zone: it.zone,
            kind: it.kind.into(),
            fencing: it.fencing.into(),
            protocol: it.protocol.into(),
            slots: it.slots,
            credential: it.credential,
            leaving: it.leaving,
        }
    }
}

impl Endpoint {
    fn convert(self, report: &mut Report) -> endpoint::Endpoint {
        at_least_one(self.slots, format!("endpoint/{}.slots", self.id), report);
        if self.address.port() == 0 {
            report.push(format!("endpoint/{}.address", self.id), "needs a port");
        }
        endpoint::Endpoint {
            id: self.id,
            pool: self.pool,
            address: self.address,
            zone: self.zone,
            kind: self.kind.into(),
            fencing: self.fencing.into(),
            protocol: self.protocol.into(),
            slots: self.slots,
            credential: self.credential,
            leaving: self.leaving,
        }
    }
}

impl From<route::Route> for Route {
    fn from(it: route::Route) -> Self {
        let (model, prefix) = match it.matches {
            route::Match::Model(id) => (Some(id), None),
            route::Match::Prefix(prefix) => (None, Some(prefix)),
        };
        Self {
            id: it.id,
            model,
            prefix,
            access: it.access.into(),
            class: it.class,
            pools: it.pools,
        }
    }
}

impl Route {
    fn convert(self, report: &mut Report) -> route::Route {
        let place = format!("route/{}", self.id);
        if self.pools.is_empty() {
            report.push(format!("{place}.pools"), "needs at least one pool");
        }
        let matches = match (self.model, self.prefix) {
            (Some(id), None) => route::Match::Model(id),
            (None, Some(prefix)) => {
                if !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/') {
                    report.push(format!("{place}.prefix"), "needs the form /name");
                }
                if prefix == "/v1" || prefix.starts_with("/v1/") {
                    report.push(format!("{place}.prefix"), "/v1 is kept for model calls");
                }
                route::Match::Prefix(prefix)
            }
            _ => {
                report.push(place, "needs either model or prefix");
                route::Match::Prefix(String::new())
            }
        };
        route::Route {
            id: self.id,
            matches,
            access: self.access.into(),
            class: self.class,
            pools: self.pools,
        }
    }
}

impl From<operator::Operator> for Operator {
    fn from(it: operator::Operator) -> Self {
        Self {
            id: it.id,
            digest: hex::encode(it.digest.0),
            role: it.role.into(),
        }
    }
}

impl Operator {
    fn convert(self, report: &mut Report) -> operator::Operator {
        let place = format!("operator/{}.digest", self.id);
        let digest = parse_digest(&self.digest, place, report);
        operator::Operator {
            id: self.id,
            digest,
            role: self.role.into(),
        }
    }
}
