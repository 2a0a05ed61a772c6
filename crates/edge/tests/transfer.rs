//! Reads whose time grows with what is read: large configurations and thin links.

mod support;

use std::time::Duration;

use agate_edge::hosts;
use agate_edge::settings::Settings;
use agate_edge::share::Digest;
use agate_poison::report::Report;
use support::link::Link;
use support::{Connection, Harness, KEY, Server, Step, request, settings, status};
use tokio::time::{Instant, sleep, timeout};

const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// Returns a configuration with `count` keys besides the usual one.
fn config(version: u64, count: usize) -> String {
    let keys = (0..count).map(|n| format!(" k-{version}-{n}"));
    format!("{version} {KEY}{}", keys.collect::<String>())
}

/// Waits until the host has a version in force; returns whether that happens within `limit`.
async fn has_version(harness: &Harness, version: u64, limit: Duration) -> bool {
    let is_in_force = async {
        let edge = harness.program.edge();
        while edge.config().is_none_or(|config| config.version < version) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, is_in_force).await.is_ok()
}

/// Guards against a read of the configuration that never ends: each notice of a newer version began
/// it again, so a host whose link needs longer than a heartbeat kept an old version for good.
#[actix_rt::test]
async fn a_configuration_that_takes_longer_than_a_heartbeat_to_read_comes_into_force() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let connection = Connection::new(Harness::store(&[&server]));
    let harness = Harness::with_connection(connection.clone(), settings().await, None).await;
    let reads = || {
        let calls = harness.store.calls.borrow();
        calls.get("settings").copied().unwrap_or(0)
    };
    while reads() == 0 {
        // The first long poll begins shortly after the first read of all rows.
        sleep(Duration::from_millis(5)).await;
    }
    let before = reads();
    connection
        .read_time
        .set(("settings", Duration::from_millis(2_500)));
    harness
        .store
        .put("settings", "config", Some(&config(2, 10)));
    assert!(has_version(&harness, 2, Duration::from_millis(4_000)).await);
    // The link carries the version once, and the next long poll is waiting.
    assert!(reads() - before <= 1, "{} reads", reads() - before);
    let response = harness.call(&request("read", "r", "")).await;
    assert_eq!(status(&response), "200");
}

/// Guards against a read from another host that is given up while its bytes arrive: hosts on thin
/// links dropped most of a version and asked the store for all of it again.
#[actix_rt::test]
async fn a_version_that_arrives_slowly_from_another_host_is_read_to_its_end() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Harness::store(&[&server]);
    let far = Settings {
        host: "far".to_owned(),
        zone: "b".to_owned(),
        ..settings().await
    };
    let far = Harness::with_connection(Connection::new(store.clone()), far, None).await;
    // The reader of zone `a` is the host `far` behind a link of 60 KB/s.
    let relay = far.settings.listen.relay.expect("a relay address");
    let link = Link::open(relay, 60_000).await;
    let reader = hosts::Row {
        host: "big".to_owned(),
        incarnation: "1".to_owned(),
        zone: "a".to_owned(),
        address: far.settings.listen.front,
        relay: Some(link.address),
        ready: true,
        leaving: false,
        weight: 10.0,
        offset: None,
        era: None,
        held: None,
        evidence: Report::default(),
        limits: Vec::new(),
        endpoints: Digest::default(),
        at: 1 << 40,
    };
    let row = serde_json::to_string(&reader).expect("a row");
    store.put(hosts::TABLE, &reader.key(), Some(&row));
    let connection = Connection::new(store.clone());
    connection
        .read_time
        .set(("settings", Duration::from_secs(20)));
    let near = Harness::with_connection(connection, settings().await, None).await;
    sleep(Duration::from_millis(3_000)).await;

    store.put("settings", "config", Some(&config(2, 1_500)));
    let changed = Instant::now();
    assert!(has_version(&far, 2, Duration::from_millis(500)).await);
    let is_in_force = has_version(&near, 2, Duration::from_millis(4_500)).await;
    assert!(is_in_force, "not in force after {:?}", changed.elapsed());
    assert!(
        changed.elapsed() > Duration::from_millis(900),
        "the link is not slow: {:?}",
        changed.elapsed()
    );
    link.close();
}

/// Returns the bytes that a host has handed on to others, of all tables.
fn relayed_bytes(harness: &Harness) -> u64 {
    let metrics = harness.program.edge().metrics.render();
    let lines = metrics.lines();
    let counts = lines.filter(|line| line.starts_with("agate_edge_relayed_bytes_total"));
    counts
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Guards against a change that costs as much as the whole configuration: each host of a zone got all
/// routes and keys again for one that was added, and on thin links that took too long.
#[actix_rt::test]
async fn a_change_is_handed_on_in_bytes_of_its_own_size() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Harness::store(&[&server]);
    store.put("settings", "config", Some(&config(2, 20_000)));
    let reader = Harness::start_in(store.clone(), "one".to_owned()).await;
    let other = reader.start_peer("two").await;
    sleep(Duration::from_millis(4_500)).await;

    let before = relayed_bytes(&reader);
    let grown = format!("{} k-new", config(2, 20_000).replacen('2', "3", 1));
    store.put("settings", "config", Some(&grown));
    assert!(has_version(&other, 3, Duration::from_secs(3)).await);
    let bytes = relayed_bytes(&reader) - before;
    // The change itself and the pages of other tables meanwhile; the configuration has 20,000 keys.
    assert!(bytes < 20_000, "{bytes} bytes for one key");
    let read =
        "GET /read/x HTTP/1.1\r\nhost: floor.example\r\nx-id: r\r\nauthorization: k-new\r\n\r\n";
    assert_eq!(status(&other.call(read).await), "200");
}
