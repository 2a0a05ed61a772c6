//! Checksums of configurations, which change by what a patch changes.

use agate_model::key::Digest;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Account, Config, Route, Service};

/// Returns the sum of the hashes of all services, keys and routes.
pub(super) fn of_parts(config: &Config) -> u64 {
    let services = config.services.values().map(of_service);
    let keys = config.keys.iter().flatten();
    let keys = keys.map(|(digest, account)| of_key(digest, account));
    let routes = config.routes.values().flatten();
    let routes = routes.map(|route| of_route(route));
    services
        .chain(keys)
        .chain(routes)
        .fold(0, u64::wrapping_add)
}

/// Returns the checksum of a configuration from the sum of its parts.
pub(super) fn of_whole(config: &Config) -> u64 {
    let rest = (config.version, config.limits, config.needs_key());
    hash("config", &rest).wrapping_add(config.parts)
}

pub(super) fn of_service(service: &Service) -> u64 {
    hash("service", service)
}

pub(super) fn of_key(digest: &Digest, account: &Account) -> u64 {
    hash("key", &(digest.0, account))
}

pub(super) fn of_route(route: &Route) -> u64 {
    hash("route", route)
}

/// Returns a hash of a part of the configuration, seeded by the kind of the part.
fn hash<T: Serialize>(kind: &str, part: &T) -> u64 {
    let seed = kind
        .bytes()
        .fold(0, |seed, byte| (seed << 8) | u64::from(byte));
    // A part without a serialised form can't be handed on, so its hash is never compared.
    let json = serde_json::to_vec(part).unwrap_or_default();
    xxh3_64_with_seed(&json, seed)
}
