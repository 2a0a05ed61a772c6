//! Manifest of an endpoint.

use std::net::SocketAddr;

use agate_model::endpoint;
use agate_model::finding::Report;
use serde::{Deserialize, Serialize};

use super::at_least_one;

const DEFAULT_SLOTS: u32 = 8;

fn slots() -> u32 {
    DEFAULT_SLOTS
}

/// Serialised form of [`endpoint::Kind`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// The endpoint runs until it is released.
    #[default]
    Standard,
    /// The endpoint may be reclaimed, together with its whole availability zone.
    Reclaimable,
}

/// Serialised form of [`endpoint::Fencing`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint refuses orders with old fencing tokens.
    Checked,
    /// The endpoint carries out orders with old fencing tokens.
    #[default]
    Ignored,
}

/// Serialised form of [`endpoint::Protocol`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// The endpoint is a model engine.
    #[default]
    Engine,
    /// The endpoint is a plain HTTP service.
    Plain,
}

/// Serialised form of [`endpoint::Endpoint`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: String,
    /// Name of the pool that the endpoint serves.
    pub pool: String,
    /// IP address and port on which the endpoint listens; the port is not 0.
    pub address: SocketAddr,
    /// Availability zone in which the endpoint runs.
    pub zone: String,
    /// Kind of capacity, written `standard` or `reclaimable`.
    #[serde(default, rename = "capacity")]
    pub kind: EndpointKind,
    /// Handling of old fencing tokens, written `checked` or `ignored`.
    #[serde(default)]
    pub fencing: Fencing,
    /// Protocol of the endpoint, written `engine` or `plain`.
    #[serde(default)]
    pub protocol: Protocol,
    /// Number of requests that the endpoint serves at once, at least 1.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Credential that the system sends to the endpoint; `None` if it needs none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credential: Option<String>,
    /// Whether the endpoint takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}

convert_enum!(EndpointKind, endpoint::Kind, Standard, Reclaimable);
convert_enum!(Fencing, endpoint::Fencing, Checked, Ignored);
convert_enum!(Protocol, endpoint::Protocol, Engine, Plain);

impl From<endpoint::Endpoint> for Endpoint {
    fn from(endpoint: endpoint::Endpoint) -> Self {
        Self {
            id: endpoint.id,
            pool: endpoint.pool,
            address: endpoint.address,
            zone: endpoint.zone,
            kind: endpoint.kind.into(),
            fencing: endpoint.fencing.into(),
            protocol: endpoint.protocol.into(),
            slots: endpoint.slots,
            credential: endpoint.credential,
            leaving: endpoint.leaving,
        }
    }
}

impl Endpoint {
    pub(super) fn convert(self, report: &mut Report) -> endpoint::Endpoint {
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
