//! Addresses for callers, and readiness.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use agate_wire::address::{Addresses, Entry};

use super::reply;
use crate::activity::Phase;
use crate::gate::Gate;

/// Whether this host should be used: it is not leaving and can prove its configuration.
pub fn readiness(gate: &Gate) -> Response<BoxBody> {
    if gate.activity.phase() != Phase::Serving {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if !gate.is_current() {
        return reply::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "configuration not current\n",
        );
    }
    reply::text(StatusCode::OK, "ready\n")
}

/// Entry hosts in the order in which this caller should try them.
pub fn addresses(gate: &Gate) -> Response<BoxBody> {
    let answer = Addresses {
        hosts: order(gate),
        keep_seconds: gate.settings.keep_addresses.as_secs(),
    };
    reply::json(StatusCode::OK, &answer)
}

fn order(gate: &Gate) -> Vec<Entry> {
    let leaving = gate.activity.phase() != Phase::Serving;
    let own = &gate.settings.host;
    let mut hosts: Vec<Entry> = gate.config.borrow().hosts().to_vec();
    hosts.retain(|entry| !(leaving && entry.host == *own));
    if hosts.is_empty() && !leaving {
        hosts.push(Entry {
            host: own.clone(),
            zone: gate.settings.zone.clone(),
            address: gate.settings.listen,
        });
    }
    shuffle(&mut hosts);
    // The caller reached this zone, so its hosts are near; the order among them spreads callers.
    hosts.sort_by_key(|entry| entry.zone != gate.settings.zone);
    hosts
}

fn shuffle(hosts: &mut [Entry]) {
    use rand::seq::SliceRandom as _;
    hosts.shuffle(&mut rand::rng());
}
