//! Manifests of the resources that the tests declare.

use std::net::SocketAddr;
use std::time::Duration;

use agate_wire::manifest::{
    Access, Account, Class, Endpoint, EndpointKind, Fencing, Manifest, Pool, Protocol, Route,
    Target,
};

use crate::caller::MODEL;

/// Client account to which the keys of all callers belong.
pub const ACCOUNT: &str = "night-shift";
/// Id of the pool with the engines.
pub const ENGINE_POOL: &str = "prism";
/// Id of the pool with the plain services.
pub const SERVICE_POOL: &str = "floor";

/// Returns the classes, pools, routes and the account that every test needs, without endpoints.
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
        pool(ENGINE_POOL, Some(MODEL)),
        pool(SERVICE_POOL, None),
        route("prism", Some(MODEL), None, "chat", ENGINE_POOL),
        route("spindles", None, Some("/spindles"), "booking", SERVICE_POOL),
        open_route("catalogue", "/catalogue", "lookup", SERVICE_POOL),
    ]
}

/// Returns a class whose latency targets and deadline are long enough for a busy machine.
///
/// Requests of an `idempotent` class may use reclaimable endpoints.
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

/// Returns a pool whose endpoints are declared, none of them ordered.
pub fn pool(id: &str, model: Option<&str>) -> Manifest {
    Manifest::Pool(Pool {
        id: id.to_owned(),
        model: model.map(str::to_owned),
        min_endpoints: 0,
        max_endpoints: 0,
        reclaimable: false,
    })
}

/// Returns a route that requires a key.
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

/// Returns a route for a path prefix that requires no key.
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

/// Returns the pool of the engines with endpoints that the lease holder orders from the
/// platform, at least `min` and at most `max` of them.
pub fn ordered_pool(min: u32, max: u32, reclaimable: bool) -> Manifest {
    Manifest::Pool(Pool {
        id: ENGINE_POOL.to_owned(),
        model: Some(MODEL.to_owned()),
        min_endpoints: min,
        max_endpoints: max,
        reclaimable,
    })
}

/// Returns a declared engine endpoint, which checks fencing tokens.
pub fn engine(id: &str, address: SocketAddr, slots: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        pool: ENGINE_POOL.to_owned(),
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

/// Returns a declared endpoint of the plain protocol, which checks fencing tokens.
pub fn service(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        pool: SERVICE_POOL.to_owned(),
        protocol: Protocol::Plain,
        ..engine(id, address, 16)
    }
}
