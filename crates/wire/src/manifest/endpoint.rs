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

mirror!(EndpointKind, endpoint::Kind, Standard, Reclaimable);
mirror!(Fencing, endpoint::Fencing, Checked, Ignored);
mirror!(Protocol, endpoint::Protocol, Engine, Plain);

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
