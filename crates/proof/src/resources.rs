//! Resources that the tests declare.

use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::manifest::{
    Access, Account, Class, Endpoint, EndpointKind, Fencing, Manifest, Pool, Protocol, Route,
    Target,
};

use crate::caller::MODEL;

/// Account of the callers.
pub const ACCOUNT: &str = "night-shift";
/// Pool of the engines.
pub const ENGINES: &str = "prism";
/// Pool of the plain services.
pub const FLOOR: &str = "floor";

/// Classes, pools, routes and the account, without endpoints.
pub fn base() -> Vec<Manifest> {
    vec![
        class("chat", 1, true),
        class("dossier", 3, true),
        class("booking", 0, false),
        class("lookup", 2, true),
        Manifest::Account(Account {
            id: ACCOUNT.to_owned(),
            weight: 1,
            max_concurrent: 64,
            requests_per_second: None,
            tokens_per_minute: None,
            classes: vec!["chat".to_owned(), "dossier".to_owned()],
        }),
        pool(ENGINES, Some(MODEL)),
        pool(FLOOR, None),
        route("prism", Some(MODEL), None, "chat", ENGINES),
        route("spindles", None, Some("/spindles"), "booking", FLOOR),
        open_route("catalogue", "/catalogue", "lookup", FLOOR),
    ]
}

/// A class with generous targets.
pub fn class(id: &str, tier: u8, idempotent: bool) -> Manifest {
    Manifest::Class(Class {
        id: id.to_owned(),
        tier,
        weight: 1,
        target: Target {
            first_token: Duration::from_secs(5),
            between_tokens: Duration::from_secs(1),
            deadline: Duration::from_secs(30),
        },
        idempotent,
        hedge: false,
        reclaimable: idempotent,
        queue_limit: 64,
        retry_percent: 100,
    })
}

/// A pool of declared endpoints.
pub fn pool(id: &str, model: Option<&str>) -> Manifest {
    Manifest::Pool(Pool {
        id: id.to_owned(),
        model: model.map(str::to_owned),
        min_endpoints: 0,
        max_endpoints: 0,
        reclaimable: false,
    })
}

/// A keyed route.
pub fn route(
    id: &str,
    model: Option<&str>,
    prefix: Option<&str>,
    class: &str,
    pool: &str,
) -> Manifest {
    Manifest::Route(Route {
        id: id.to_owned(),
        model: model.map(str::to_owned),
        prefix: prefix.map(str::to_owned),
        access: Access::Keyed,
        class: class.to_owned(),
        pools: vec![pool.to_owned()],
    })
}

/// A route that is open to all.
pub fn open_route(id: &str, prefix: &str, class: &str, pool: &str) -> Manifest {
    Manifest::Route(Route {
        id: id.to_owned(),
        model: None,
        prefix: Some(prefix.to_owned()),
        access: Access::Open,
        class: class.to_owned(),
        pools: vec![pool.to_owned()],
    })
}

/// The pool of the engines, for endpoints that are ordered.
pub fn ordered_pool(min: u32, max: u32, reclaimable: bool) -> Manifest {
    Manifest::Pool(Pool {
        id: ENGINES.to_owned(),
        model: Some(MODEL.to_owned()),
        min_endpoints: min,
        max_endpoints: max,
        reclaimable,
    })
}

/// An engine.
pub fn engine(id: &str, address: SocketAddr, slots: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        pool: ENGINES.to_owned(),
        address,
        zone: "hal-noord".to_owned(),
        kind: EndpointKind::Standard,
        fencing: Fencing::Checked,
        protocol: Protocol::Engine,
        slots,
        credential: None,
        leaving: false,
    }
}

/// A plain service.
pub fn service(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        pool: FLOOR.to_owned(),
        protocol: Protocol::Plain,
        ..engine(id, address, 16)
    }
}
