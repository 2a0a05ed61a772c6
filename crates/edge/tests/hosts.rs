//! Which hosts are named to callers.

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
    let mut names: Vec<String> = hosts.live(now).iter().map(|it| it.host.clone()).collect();
    names.sort();
    names
}

/// A host that had lost power was named for more than six seconds.
#[test]
fn a_host_without_heartbeat_is_named_for_less_than_five_seconds() {
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
fn an_outage_of_the_store_ages_nobody_until_all_had_time_to_write() {
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
fn a_restarted_host_counts_once() {
    let now = Instant::now();
    let mut hosts = Hosts::default();
    hosts.insert(row("one", "x", 10_000));
    hosts.insert(row("one", "y", 11_000));
    hosts.observe(now, 11_000);
    assert_eq!(hosts.live(now).len(), 1);
    assert_eq!(hosts.live(now)[0].incarnation, "y");
    assert_eq!(hosts.sharing(now), 1);
}
