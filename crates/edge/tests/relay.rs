//! Relay of tables between the hosts of a zone.

mod support;

use std::rc::Rc;
use std::time::Duration;

use agate_edge::config::{Config, Limits, Patch};
use agate_edge::settings::Settings;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::future::join_all;
use support::{
    Connection, HOST, Harness, KEY, Server, Step, read_response, request, settings, status,
};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// Starts three hosts of one zone and waits until they know each other.
async fn start_zone() -> (Server, [Harness; 3]) {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let one = Harness::start(&[&server]).await;
    let two = one.start_peer("two").await;
    let three = one.start_peer("three").await;
    // Until then every host has read the rows of the others.
    sleep(Duration::from_millis(4500)).await;
    (server, [one, two, three])
}

/// Returns the number of feed calls for a table.
fn calls(harness: &Harness, table: &str) -> usize {
    harness
        .store
        .calls
        .borrow()
        .get(table)
        .copied()
        .unwrap_or(0)
}

/// Returns the number of snapshots of a table.
fn snapshots(harness: &Harness, table: &str) -> usize {
    let snapshots = harness.store.snapshots.borrow();
    snapshots.get(table).copied().unwrap_or(0)
}

/// Guards against a storm at the start: 295 hosts read each table and competed for the lease, 4,700
/// calls, as many as in the fifty seconds after it.
#[actix_rt::test]
async fn hosts_that_start_together_read_the_tables_once() {
    const HOSTS: usize = 12;
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Harness::store(&[&server]);
    let started = Instant::now();
    let starts = (0..HOSTS).map(|n| Harness::start_in(store.clone(), format!("host-{n}")));
    let harnesses = join_all(starts).await;
    let ready = started.elapsed();
    assert!(ready < Duration::from_secs(2), "ready after {ready:?}");
    sleep(Duration::from_secs(2)).await;
    let first = &harnesses[0];
    let counts = ["endpoints", "settings"].map(|table| snapshots(first, table));
    // The reader, and hosts that found no reader in time.
    assert!(counts.iter().all(|count| *count <= 3), "{counts:?}");
    assert!(snapshots(first, "hosts") <= HOSTS + 1);
    // A row of each host, then one write for all every 1.2 s, and the lease of the reader.
    let commits = first.store.commits.get();
    assert!(commits <= HOSTS + 12, "{commits} commits");
    for harness in &harnesses {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
}

/// Guards against each host reading each version: 295 calls for a change, and as many for each long
/// poll of 25 s.
#[actix_rt::test]
async fn a_change_of_the_configuration_is_read_once_for_the_zone() {
    let (_server, harnesses) = start_zone().await;
    let before = calls(&harnesses[0], "settings");
    harnesses[0]
        .store
        .put("settings", "config", Some("2 other"));
    sleep(Duration::from_millis(400)).await;
    for harness in &harnesses {
        let config = harness.program.edge().config().expect("a configuration");
        assert_eq!(config.version, 2);
    }
    sleep(Duration::from_millis(1_200)).await;
    let reads = calls(&harnesses[0], "settings") - before;
    assert!(reads <= 2, "{reads} reads by three hosts");
    for harness in &harnesses {
        let response = harness.call(&request("read", "r", "")).await;
        assert_eq!(status(&response), "401");
    }
}

/// Hosts hand the configuration on without the keys of callers.
#[actix_rt::test]
async fn no_key_is_handed_on() {
    let (_server, mut harnesses) = start_zone().await;
    harnesses.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
    let page = page(&harnesses[0], "operations", 0).await;
    let text = page["rows"][0]["value"]["text"].as_str().expect("a patch");
    let patch = Patch::decode(text.as_bytes()).expect("a patch");
    let patch = serde_json::to_string(&patch).expect("JSON");
    assert!(patch.contains("floor.example"), "{patch}");
    for handed_on in [page.to_string(), patch] {
        assert!(!handed_on.contains(KEY), "{handed_on}");
        let encoded = STANDARD.encode(KEY);
        assert!(!handed_on.contains(&encoded), "{handed_on}");
    }
}

/// Returns the page of a table that a reader hands on after a revision.
async fn page(harness: &Harness, table: &str, after: u64) -> serde_json::Value {
    let address = harness.settings.listen.relay.expect("a relay address");
    let mut stream = TcpStream::connect(address).await.expect("the host listens");
    let request = format!("GET /{table}/{after}/0/30000 HTTP/1.1\r\nhost: relay\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the host accepts the request");
    let response = read_response(&mut stream).await;
    assert_eq!(status(&response), "200");
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    serde_json::from_str(body).expect("a page")
}

/// Guards against a reader that keeps every version, and sends all of them to a host that is behind:
/// 4,096 configurations of a megabyte do not fit into the 88 MB of the smallest host.
#[actix_rt::test]
async fn a_host_far_behind_gets_one_version_and_not_each_change() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let harness = Harness::start(&[&server]).await;
    let first = page(&harness, "operations", 0).await["revision"]
        .as_u64()
        .expect("a revision");
    for version in 2..22 {
        let keys = (0..2_000).map(|n| format!(" k-{version}-{n}"));
        let config = format!("{version} {KEY}{}", keys.collect::<String>());
        harness.store.put("settings", "config", Some(&config));
        let edge = harness.program.edge();
        while edge.config().is_none_or(|config| config.version < version) {
            sleep(Duration::from_millis(10)).await;
        }
    }
    let page = page(&harness, "operations", first).await;
    assert_eq!(page["is_snapshot"], true);
    let bytes = page["rows"].to_string().len();
    assert!(bytes < 200_000, "{bytes} bytes for 2,000 keys");
}

/// Guards against a store that is read by each host whose version is not the one that a patch applies to,
/// as after it was served by the reader of another zone.
#[actix_rt::test]
async fn a_host_with_another_version_gets_all_of_the_next_one_from_its_reader() {
    let (_server, mut harnesses) = start_zone().await;
    harnesses.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
    let [_reader, other, _third] = &harnesses;
    let edge = other.program.edge();
    let revision = edge.newest_revision.get();
    edge.configure(Config::new(2, Limits::default(), [], None, []), revision);
    let before = snapshots(other, "settings");
    other
        .store
        .put("settings", "config", Some(&format!("3 {KEY}")));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(edge.config().map(|config| config.version), Some(3));
    let response = other.call(&request("read", "r", "")).await;
    assert_eq!(status(&response), "200");
    assert_eq!(snapshots(other, "settings"), before);
}

/// Guards against versions that each hold all routes: requests in flight keep the version that they began
/// with, so a series of changes took the configuration's memory several times.
#[actix_rt::test]
async fn versions_share_what_they_have_in_common() {
    let (_server, harnesses) = start_zone().await;
    let config = |harness: &Harness| harness.program.edge().config().expect("a configuration");
    let before = harnesses.each_ref().map(config);
    let store = &harnesses[0].store;
    store.put("settings", "config", Some(&format!("2 {KEY} k-2")));
    sleep(Duration::from_millis(1_000)).await;
    for (harness, before) in harnesses.iter().zip(before) {
        let after = config(harness);
        assert_eq!((after.version, after.key_count()), (2, 2));
        let route = |config: &Config| config.route(HOST, "/read/x").expect("a route").clone();
        assert!(Rc::ptr_eq(&route(&before), &route(&after)));
    }
}

/// Guards against each host reading each table from the store: 59 hosts made 200 calls a second, which
/// cost a tenth of the value earned.
#[actix_rt::test]
async fn one_host_of_a_zone_reads_the_store_for_all() {
    let (_server, harnesses) = start_zone().await;
    let before = calls(&harnesses[0], "endpoints");
    sleep(Duration::from_secs(4)).await;
    let reads = calls(&harnesses[0], "endpoints") - before;
    // One host reads every 0.9 s.
    assert!((3..=7).contains(&reads), "{reads} calls in 4 s by 3 hosts");
}

#[actix_rt::test]
async fn a_removed_endpoint_gets_no_new_work_from_any_host_of_the_zone() {
    let (server, harnesses) = start_zone().await;
    let other = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = &harnesses[0].store;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1500)).await;
    for harness in &harnesses {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
    assert_eq!((server.count(), other.count()), (0, 3));
}

/// The reader stops: the other hosts read the store soon enough to send a removed endpoint no new
/// work.
#[actix_rt::test]
async fn hosts_read_the_store_when_their_reader_stops() {
    let (server, harnesses) = start_zone().await;
    // The first host by name reads for the others.
    let [reader, three, two] = {
        let mut harnesses = harnesses;
        harnesses.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
        harnesses
    };
    let store = reader.store.clone();
    let closing = actix_rt::spawn(reader.program.close());
    sleep(Duration::from_millis(300)).await;
    let other = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1800)).await;
    for harness in [&two, &three] {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
    assert_eq!((server.count(), other.count()), (0, 2));
    closing.abort();
}

/// Guards against a dead host that callers are sent to: what a reader hands on came up to 1.2 s late,
/// and the dead host was the reader.
#[actix_rt::test]
async fn a_dead_reader_is_named_for_less_than_six_seconds() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let one = Harness::start(&[&server]).await;
    let mut others = Vec::new();
    for (host, zone) in [("two", "a"), ("three", "b"), ("four", "b")] {
        let settings = Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            ..settings().await
        };
        let connection = Connection::new(one.store.clone());
        others.push(Harness::with_connection(connection, settings, None).await);
    }
    sleep(Duration::from_millis(4_500)).await;
    // The first by name of the zone `a` reads for it.
    one.program.kill();
    let killed = Instant::now();
    sleep(Duration::from_millis(5_500)).await;
    for harness in &others {
        let hosts = harness.program.edge().hosts.borrow();
        let live = hosts.live(Instant::now());
        assert!(
            live.iter().all(|row| row.host != "one"),
            "{} names it after {:?}",
            harness.settings.host,
            killed.elapsed()
        );
        assert_eq!(live.len(), 3);
    }
}

/// Guards against hosts that drop live endpoints after an outage: the entries of these lapse while
/// the store is away and are back soon after it, but only the reader knew of the outage.
#[actix_rt::test]
async fn endpoints_that_lapse_during_an_outage_are_kept_by_all_hosts() {
    let (server, harnesses) = start_zone().await;
    let store = &harnesses[0].store;
    store.is_down.set(true);
    sleep(Duration::from_millis(2_500)).await;
    store.put("endpoints", "e0", None);
    store.is_down.set(false);
    let until = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < until {
        for harness in &harnesses {
            let listed = harness.program.edge().roster.borrow().ids().count();
            assert_eq!(listed, 1, "{}", harness.settings.host);
        }
        sleep(Duration::from_millis(50)).await;
    }
    let address = server.address.to_string();
    store.put("endpoints", "e0", Some(&address));
    sleep(Duration::from_millis(2_000)).await;
    for harness in &harnesses {
        let response = harness.call(&request("read", "r", "")).await;
        assert_eq!(status(&response), "200");
    }
}

/// Guards against a removal that is held although the store was never away: a host whose reader was
/// turned away sent work to an endpoint that had left.
#[actix_rt::test]
async fn a_removal_counts_at_once_when_only_the_reader_was_turned_away() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Harness::store(&[&server]);
    let mut hosts = Vec::new();
    for (host, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")] {
        let settings = Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            ..settings().await
        };
        let connection = Connection::new(store.clone());
        let harness = Harness::with_connection(connection.clone(), settings, None).await;
        hosts.push((harness, connection));
    }
    sleep(Duration::from_millis(4_500)).await;
    // Two of three readers are turned away; `a2` reaches the store and the third.
    hosts[0].1.is_cut.set(true);
    hosts[2].1.is_cut.set(true);
    sleep(Duration::from_millis(2_000)).await;
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1_500)).await;
    let listed = hosts[1].0.program.edge().roster.borrow().ids().count();
    assert_eq!(listed, 0);
}
