//! Endpoints of one model engine, for tests of the choice among them.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::rc::Rc;
use std::time::Duration;

use agate_edge::balancer::{Balancer, Tuning};
use agate_edge::roster::{Change, Endpoint};

/// Service of the endpoints.
pub const SERVICE: &str = "model";

/// Returns an endpoint of zone `a`.
pub fn endpoint(n: usize, reclaimable: bool) -> Endpoint {
    Endpoint {
        id: format!("e{n:02}"),
        born: None,
        number: None,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 16,
        draining: false,
        reclaimable,
        cold: Duration::ZERO,
    }
}

/// Returns a balancer with `count` endpoints, of which those are reclaimable for which that is true.
pub fn balancer(count: usize, is_reclaimable: impl Fn(usize) -> bool) -> Balancer {
    let mut balancer = Balancer::new(Tuning::default());
    for n in 0..count {
        let endpoint = endpoint(n, is_reclaimable(n));
        balancer.apply(&Change::Joined(Rc::new(endpoint)));
    }
    balancer
}
