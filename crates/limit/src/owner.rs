//! Owners of an endpoint: the hosts that divide among themselves what all hosts together may send to it.
//!
//! Every host finds them by itself, by rendezvous hashing over the live hosts that it knows.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Rate;

/// Hosts that own one endpoint. With one, nothing could be sent there after its loss.
const OWNERS: usize = 2;
/// Part of a limit that owners grant. The rest is for hosts whose tables are outdated and that take
/// themselves for owners beside them.
const USED_PART: f64 = 0.9;
/// Part that an owner whose table may be outdated grants of its own part.
const OUTDATED_PART: f64 = 0.5;
/// Least limit that is heeded, in requests a second: only a response tells whether a limit still holds.
const MIN_RATE: Rate = 1.0 / 60.0;

/// Returns the owners of an endpoint, the first in rank first.
#[must_use]
pub fn owners<'a>(endpoint: &str, live: &[&'a str]) -> Vec<&'a str> {
    let mut ranked = live.to_vec();
    ranked.sort_by_cached_key(|host| std::cmp::Reverse(rank(endpoint, host)));
    ranked.truncate(OWNERS);
    ranked
}

/// Returns the part of what an endpoint takes that `host` may use or grant; 0 unless it is an owner.
/// `sharing` is the number of hosts that may be running: a host that sees only a part of them uses less,
/// since those that it does not see have owners of their own.
#[must_use]
pub fn part(endpoint: &str, host: &str, live: &[&str], sharing: usize) -> f64 {
    if !live.contains(&host) {
        return 0.0;
    }
    let own = rank(endpoint, host);
    let before = live.iter().filter(|other| rank(endpoint, other) > own);
    if before.count() >= OWNERS {
        return 0.0;
    }
    let seen = live.len() as f64 / sharing.max(live.len()) as f64;
    seen / OWNERS.min(live.len()) as f64
}

/// Returns the permits a second that an owner grants which has `part` of an endpoint with the limit
/// `rate`. `is_current` tells whether its table of hosts is known to be up to date.
#[must_use]
pub fn granted_rate(rate: Rate, part: f64, is_current: bool) -> Rate {
    let certainty = match is_current {
        true => 1.0,
        false => OUTDATED_PART,
    };
    rate.max(MIN_RATE) * USED_PART * part * certainty
}

fn rank(endpoint: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64(endpoint.as_bytes()))
}
