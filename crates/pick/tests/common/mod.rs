//! Builders for endpoints and selection criteria.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};
use agate_model::id::{EndpointId, PoolId, Tier, ZoneId};
use agate_pick::Criteria;

/// Returns an engine `e<n>` of the pool `pool` with 8 slots, in one of three zones.
pub(crate) fn endpoint(n: usize, kind: Kind) -> Endpoint {
    Endpoint {
        id: format!("e{n}"),
        pool: "pool".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: format!("z{}", n % 3),
        kind,
        fencing: Fencing::Checked,
        protocol: Protocol::Engine,
        slots: 8,
        credential: None,
        leaving: false,
    }
}

/// Owns the values that a [`Criteria`] borrows.
pub(crate) struct Request {
    pub(crate) pools: Vec<PoolId>,
    pub(crate) zone: ZoneId,
    pub(crate) prefix: Vec<u64>,
    pub(crate) excluded: Vec<EndpointId>,
    pub(crate) reclaimable: bool,
    pub(crate) tier: Tier,
}

impl Request {
    /// Returns a request of tier 3 from the zone `z0` for standard endpoints, without a prompt.
    pub(crate) fn new() -> Self {
        Self {
            pools: vec!["pool".to_owned()],
            zone: "z0".to_owned(),
            prefix: Vec::new(),
            excluded: Vec::new(),
            reclaimable: false,
            tier: 3,
        }
    }

    /// Returns criteria for 100 tokens of work that borrow from this request.
    pub(crate) fn criteria(&self) -> Criteria<'_> {
        Criteria {
            pools: &self.pools,
            prefix: &self.prefix,
            zone: &self.zone,
            tier: self.tier,
            reclaimable: self.reclaimable,
            excluded: &self.excluded,
            tokens: 100,
        }
    }
}
