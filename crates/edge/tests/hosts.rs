//! Hosts that count as live.

use std::time::Duration;

use agate_edge::hosts::{Hosts, Row};
use tokio::time::Instant;

fn row(host: &str, incarnation: &str, at: u64) -> Row {
    Row {
        host: host.to_owned(),
        incarnation: incarnation.to_owned(),
        zone: "a".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        relay: None,
        ready: true,
        weight: 1.0,
        offset: None,
        at,
    }
}

fn names(hosts: &Hosts, now: Instant) -> Vec<String> {
    let mut names: Vec<String> = hosts.live(now).iter().map(|row| row.host.clone()).collect();
    names.sort();
    names
}

/// Guards against listing a host to callers for more than six seconds after it has lost power.
#[test]
fn a_host_without_heartbeats_expires_within_five_seconds() {
    let now = Instant::now();
    let mut hosts = Hosts::default();
    hosts.insert(row("one", "x", 10_000));
    for at in [10_000, 11_500, 13_000, 14_500] {
        hosts.insert(row("two", "y", at));
        hosts.observe(now, at);
    }
    assert_eq!(names(&hosts, now), ["two"]);
}

#[test]
fn hosts_do_not_expire_during_an_outage_of_the_store() {
    let now = Instant::now();
    let mut hosts = Hosts::default();
    hosts.insert(row("one", "x", 10_000));
    hosts.insert(row("two", "y", 10_500));
    hosts.observe(now, 11_000);
    let later = now + Duration::from_secs(9);
    assert_eq!(names(&hosts, later), ["one", "two"]);
    hosts.insert(row("two", "y", 20_000));
    hosts.observe(later, 20_000);
    assert_eq!(names(&hosts, later), ["one", "two"]);
    assert_eq!(names(&hosts, later + Duration::from_secs(3)), ["two"]);
}

#[test]
fn a_restarted_host_is_live_once() {
    let now = Instant::now();
    let mut hosts = Hosts::default();
    hosts.insert(row("one", "x", 10_000));
    hosts.insert(row("one", "y", 11_000));
    hosts.observe(now, 11_000);
    assert_eq!(hosts.live(now).len(), 1);
    assert_eq!(hosts.live(now)[0].incarnation, "y");
    assert_eq!(hosts.sharing_hosts(now), 1);
}
