//! The configuration across a return of the store from an older copy.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::clock;
use agate_edge::config::{Config, Limits, Patch};
use agate_edge::handover::{self, Evidence};
use agate_edge::hosts;
use agate_edge::settings::Settings;
use agate_edge::version::Held;
use agate_model::revision;
use rstest::rstest;
use serde_json::json;
use support::{Connection, Harness, KEY, Server, Step, request, settings, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
/// Time after the acknowledgement of a version from which a key that it withdraws is refused.
const WITHDRAW_TIME: Duration = Duration::from_secs(5);
/// Time within which a version is in force on all hosts.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Version with the key that the next one withdraws.
const BEFORE: &str = "2 floor-key gone";
const AFTER: &str = "3 floor-key";

/// A host and its connection to the store.
type Host = (Harness, Rc<Connection>);

/// Starts a host in a zone and waits until it is ready.
async fn start(connection: Rc<Connection>, host: &str, zone: &str) -> Host {
    let settings = Settings {
        host: host.to_owned(),
        zone: zone.to_owned(),
        ..settings().await
    };
    let harness = Harness::with_connection(connection.clone(), settings, None).await;
    (harness, connection)
}

/// Starts hosts with [`BEFORE`] in force and waits until they know each other.
async fn start_hosts(server: &Server, names: &[(&str, &str)]) -> Vec<Host> {
    let store = Harness::store(&[server]);
    store.put("settings", "config", Some(&text(BEFORE)));
    let mut hosts = Vec::new();
    for (host, zone) in names {
        hosts.push(start(Connection::new(store.clone()), host, zone).await);
    }
    sleep(Duration::from_millis(4_500)).await;
    hosts
}

/// Returns a version of the configuration with the key of the requests.
fn text(version: &str) -> String {
    version.replace("floor-key", KEY)
}

fn version(host: &Host) -> Option<u64> {
    host.0.program.edge().config().map(|config| config.version)
}

/// Writes [`AFTER`] such that only `reached` of the hosts read it, and loses it by a return of the store. Returns
/// when the write was acknowledged.
async fn lose_version(hosts: &[Host], reached: usize) -> Instant {
    let store = &hosts[0].0.store;
    let copy = store.copy();
    for (n, (_, connection)) in hosts.iter().enumerate() {
        if n != reached {
            connection
                .read_time
                .set(("settings", Duration::from_millis(900)));
        }
    }
    store.put("settings", "config", Some(&text(AFTER)));
    let acknowledged = Instant::now();
    sleep(Duration::from_millis(150)).await;
    for (n, host) in hosts.iter().enumerate() {
        assert_eq!(version(host), Some(if n == reached { 3 } else { 2 }));
        host.1.read_time.set(("", Duration::ZERO));
    }
    store.return_from(copy);
    acknowledged
}

/// Sends requests to all hosts until `until`: the withdrawn key must not be served from
/// [`WITHDRAW_TIME`] after the acknowledgement, and the other one must be served but for at most
/// [`APPLY_TIME`] in a row.
async fn check_keys(hosts: &[Host], acknowledged: Instant, until: Instant) {
    let mut served = vec![Instant::now(); hosts.len()];
    while Instant::now() < until {
        for (n, (host, _)) in hosts.iter().enumerate() {
            let sent = Instant::now();
            let withdrawn = request("read", "r1", "").replace(KEY, "gone");
            let response = host.call(&withdrawn).await;
            let is_late = sent > acknowledged + WITHDRAW_TIME;
            assert!(
                !is_late || status(&response) != "200",
                "{} serves a withdrawn key {:?} after the acknowledgement",
                host.settings.host,
                sent - acknowledged
            );
            let response = host.call(&request("read", "r2", "")).await;
            match status(&response) {
                "200" => served[n] = Instant::now(),
                "503" => {}
                other => panic!("status {other} for a key that stays"),
            }
            let gap = served[n].elapsed();
            let name = &host.settings.host;
            assert!(gap <= APPLY_TIME, "{name} serves nothing for {gap:?}");
        }
        sleep(Duration::from_millis(40)).await;
    }
}

// Guards against: a host that missed a version which the store has lost takes the older row of the copy for the
// newest, and serves a key that the lost version withdrew (issue 61).
#[rstest]
#[case::never_written_again(None)]
#[case::written_again_early(Some(Duration::from_millis(400)))]
#[case::written_again_late(Some(Duration::from_secs(3)))]
#[actix_rt::test]
async fn a_lost_version_comes_into_force_on_hosts_that_missed_it(#[case] again: Option<Duration>) {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let names = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let hosts = start_hosts(&server, &names).await;
    let acknowledged = lose_version(&hosts, 2).await;
    let returned = Instant::now();
    if let Some(delay) = again {
        check_keys(&hosts, acknowledged, returned + delay).await;
        let store = &hosts[0].0.store;
        store.put("settings", "config", Some(&text(AFTER)));
    }
    check_keys(&hosts, acknowledged, returned + Duration::from_secs(9)).await;
    for host in &hosts {
        assert_eq!(version(host), Some(3), "{}", host.0.settings.host);
    }
}

// Guards against: a host that starts after the return serves a withdrawn key from the copy (issue 61).
#[rstest]
#[case::first_of_its_zone("c1", "c")]
#[case::beside_a_reader("b2", "b")]
#[actix_rt::test]
async fn a_host_that_starts_after_the_return_serves_no_withdrawn_key(
    #[case] name: &str,
    #[case] zone: &str,
) {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let mut hosts = start_hosts(&server, &[("a1", "a"), ("b1", "b")]).await;
    let acknowledged = lose_version(&hosts, 1).await;
    let connection = Connection::new(hosts[0].0.store.clone());
    hosts.push(start(connection, name, zone).await);
    let withdrawn = request("read", "r1", "").replace(KEY, "gone");
    // The acknowledgement may be as old as the copy.
    while acknowledged.elapsed() < WITHDRAW_TIME {
        let response = hosts[2].0.call(&withdrawn).await;
        assert_ne!(status(&response), "200");
        sleep(Duration::from_millis(20)).await;
    }
    check_keys(&hosts, acknowledged, acknowledged + Duration::from_secs(8)).await;
    assert!(hosts.iter().all(|host| version(host) == Some(3)));
}

// Guards against: what was learned of the versions in force after one return counts after the next one.
#[actix_rt::test]
async fn two_returns_in_a_row_keep_the_newest_version() {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let hosts = start_hosts(&server, &[("a1", "a"), ("b1", "b")]).await;
    let acknowledged = lose_version(&hosts, 1).await;
    let store = &hosts[0].0.store;
    let copy = store.copy();
    check_keys(
        &hosts,
        acknowledged,
        acknowledged + Duration::from_millis(1_200),
    )
    .await;
    store.return_from(copy);
    check_keys(&hosts, acknowledged, acknowledged + Duration::from_secs(9)).await;
    assert!(hosts.iter().all(|host| version(host) == Some(3)));
}

// Guards against: the only host with the lost version does not reach the store, so the others go on with the older one
// until the operator writes again.
#[actix_rt::test]
async fn a_host_that_is_cut_off_from_the_store_hands_the_lost_version_on() {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let hosts = start_hosts(&server, &[("a1", "a"), ("b1", "b")]).await;
    let (_, connection) = &hosts[1];
    let store = &hosts[0].0.store;
    let copy = store.copy();
    let slow = Duration::from_millis(900);
    hosts[0].1.read_time.set(("settings", slow));
    store.put("settings", "config", Some(&text(AFTER)));
    sleep(Duration::from_millis(150)).await;
    assert_eq!((version(&hosts[0]), version(&hosts[1])), (Some(2), Some(3)));
    connection.is_cut.set(true);
    hosts[0].1.read_time.set(("", Duration::ZERO));
    store.return_from(copy);
    let returned = Instant::now();
    while version(&hosts[0]) != Some(3) {
        let is_late = returned.elapsed() > WITHDRAW_TIME;
        assert!(!is_late, "the version is still lost");
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(7)).await;
    connection.is_cut.set(false);
    sleep(APPLY_TIME).await;
    for host in &hosts {
        assert_eq!(version(host), Some(3));
        let response = host.0.call(&request("read", "r1", "")).await;
        assert_eq!(status(&response), "200");
    }
}

// Guards against: evidence of a host that has not noticed the return, or that has an older version in force, counts.
#[actix_rt::test]
async fn evidence_of_an_earlier_era_or_another_version_does_not_count() {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let hosts = start_hosts(&server, &[("a1", "a")]).await;
    let store = &hosts[0].0.store;
    let edge = hosts[0].0.program.edge();
    let before = edge.config_revision.get().expect("a configuration");
    store.return_from(store.copy());
    while edge.config_revision.get() == Some(before) {
        sleep(Duration::from_millis(10)).await;
    }
    let own = edge.config_revision.get().expect("a configuration");
    assert!(revision::era(own) > revision::era(before));
    store.is_down.set(true);
    sleep(WITHDRAW_TIME).await;
    assert!(!edge.is_current());
    let evidence = |revision, version| Evidence {
        revision,
        version,
        age_ms: 0,
        evacuations: None,
    };
    let address = hosts[0].0.settings.listen.front;
    for (revision, version) in [(before, Some(2)), (own, Some(1)), (own, None)] {
        handover::confirm(edge, address, clock::boot(), &evidence(revision, version));
        assert!(!edge.is_current(), "{revision} {version:?}");
    }
    handover::confirm(edge, address, clock::boot(), &evidence(own, Some(2)));
    assert!(edge.is_current());
    handover::confirm(edge, address, clock::boot(), &evidence(own, Some(3)));
    assert!(!edge.is_current(), "a newer version is known");
}

/// Returns the response of a reader that has read another version at `revision`.
fn page(revision: u64) -> String {
    let patch = Patch::new(None, &Config::new(9, Limits::default(), [], None, []));
    let row = json!({
        "key": "config",
        "value": {"text": patch.encode().expect("a patch")},
        "revision": revision,
    });
    let page = json!({
        "rows": [row],
        "is_snapshot": true,
        "revision": revision,
        "clock": 1000,
        "age_ms": 0,
    });
    let body = page.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Another host, which hands on nothing but the configuration.
struct Reader {
    address: SocketAddr,
    /// Whether it was asked for that.
    asked: Rc<Cell<bool>>,
}

impl Reader {
    /// Starts a reader that responds with `page`.
    async fn start(page: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let asked: Rc<Cell<bool>> = Rc::default();
        let is_asked = asked.clone();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut head = vec![0; 4096];
                let length = stream.read(&mut head).await.unwrap_or(0);
                let response = match head[..length].starts_with(b"GET /operations/") {
                    true => page.as_str(),
                    false => "HTTP/1.1 503 X\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
                };
                is_asked.set(is_asked.get() || response == page);
                // A host that has left does not read the response.
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        Self { address, asked }
    }
}

// Guards against: rows that the store has lost are taken over from a reader that has not noticed the return.
#[rstest]
#[case::earlier_era(0, 1)]
#[case::same_era(1, 9)]
#[actix_rt::test]
async fn a_reader_in_an_earlier_era_is_not_read_from(#[case] era: u64, #[case] expected: u64) {
    let endpoint = Server::start(vec![vec![Step::Write(OK)]]).await;
    let store = Harness::store(&[&endpoint]);
    store.return_from(store.copy());
    let host = start(Connection::new(store.clone()), "a1", "a").await;
    let edge = host.0.program.edge();
    assert_eq!(edge.eras.newest(), 1);
    let revision = revision::join(era, 1_000).expect("small numbers");
    let reader = Reader::start(page(revision)).await;
    let row = json!({
        "host": "big",
        "incarnation": "1",
        "zone": "a",
        "address": endpoint.address,
        "relay": reader.address,
        "ready": true,
        "weight": 10.0,
        "offset": null,
        "at": 1_u64 << 40,
    });
    store.put(hosts::TABLE, "host/big/1", Some(&row.to_string()));
    // Ends the long poll of the store.
    sleep(Duration::from_millis(2_500)).await;
    store.put("settings", "unrelated", Some("x"));
    sleep(Duration::from_millis(1_500)).await;
    assert!(reader.asked.get(), "the reader is not asked");
    assert_eq!(version(&host), Some(expected));
}

// Guards against: hosts refuse all requests with a key for good, since a host that is gone had a version in force which the
// store has lost.
#[actix_rt::test]
async fn a_version_that_only_a_host_had_which_is_gone_is_given_up() {
    let server = Server::start(vec![vec![Step::Write(OK)]]).await;
    let host = Harness::start(&[&server]).await;
    host.store.return_from(host.store.copy());
    sleep(Duration::from_secs(2)).await;
    let edge = host.program.edge();
    let own = edge.held().expect("a version is in force");
    let gone = "127.0.0.1:9".parse().expect("an address");
    let held = Held {
        version: own.version + 1,
        revision: own.revision,
    };
    edge.hear(gone, held);
    let response = host.call(&request("read", "r1", "")).await;
    assert_eq!(status(&response), "503", "{response}");
    sleep(Duration::from_secs(11)).await;
    let response = host.call(&request("read", "r2", "")).await;
    assert_eq!(status(&response), "200", "{response}");
}
