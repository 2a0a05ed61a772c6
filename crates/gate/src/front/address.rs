//! Readiness of this host and the list of entry hosts that callers keep.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use agate_wire::address::{Addresses, Entry};

use super::reply;
use crate::activity::Phase;
use crate::gate::Gate;

/// Returns 200 while callers should use this host, that is while it isn't leaving and the
/// evidence for its configuration is fresh, and 503 otherwise.
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

/// Returns the entry hosts in the order in which this caller should try them, and how long it
/// may keep the list.
pub fn addresses(gate: &Gate) -> Response<BoxBody> {
    let addresses = Addresses {
        hosts: ordered_hosts(gate),
        keep_seconds: gate.settings.keep_addresses.as_secs(),
    };
    reply::json(StatusCode::OK, &addresses)
}

/// Returns the known entry hosts in random order, those of this zone first. A leaving host leaves
/// itself out; one that knows no hosts yet names itself.
fn ordered_hosts(gate: &Gate) -> Vec<Entry> {
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
    // The caller reached this zone, so its hosts are the nearest. The random order within a zone
    // spreads callers over its hosts.
    hosts.sort_by_key(|entry| entry.zone != gate.settings.zone);
    hosts
}

fn shuffle(hosts: &mut [Entry]) {
    use rand::seq::SliceRandom as _;
    hosts.shuffle(&mut rand::rng());
}
