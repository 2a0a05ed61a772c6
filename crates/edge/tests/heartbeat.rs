//! Heartbeats that one host of a zone writes for the others.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::interface::Counts;
use agate_edge::settings::Settings;
use agate_edge::{heartbeat, ledger};
use support::{Connection, Harness, Server, Step, request, settings, status};
use tokio::time::{Instant, sleep};

const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// Starts three hosts of one zone and waits until they know each other. The first by name is the
/// reader and writes for the others.
async fn zone() -> (Server, Vec<Harness>) {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let first = Harness::start(&[&server]).await;
    let mut harnesses = vec![
        first.start_peer("two").await,
        first.start_peer("three").await,
    ];
    harnesses.push(first);
    harnesses.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
    sleep(Duration::from_millis(4_500)).await;
    (server, harnesses)
}

/// Returns the number of requests that the ledger in the store counts.
fn counted(harness: &Harness) -> u64 {
    let rows = harness.store.contents(ledger::TABLE).into_iter();
    let rows = rows.map(|value| serde_json::from_str::<ledger::Row>(&value).expect("a ledger row"));
    rows.flat_map(|row| row.windows.into_values())
        .flat_map(BTreeMap::into_values)
        .sum()
}

/// Returns the number of live hosts that a host knows.
fn live(harness: &Harness) -> usize {
    let hosts = harness.program.edge().hosts.borrow();
    hosts.live(Instant::now()).len()
}

/// Guards against each host writing for itself: every 1.4 s on 59 hosts, these were more than half
/// of all calls to the store.
#[actix_rt::test]
async fn one_host_of_a_zone_writes_all_heartbeats() {
    let (_server, harnesses) = zone().await;
    let before = harnesses[0].store.commits.get();
    sleep(Duration::from_secs(6)).await;
    let commits = harnesses[0].store.commits.get() - before;
    // One write every 1.2 s, and one more.
    assert!((4..=7).contains(&commits), "{commits} commits in 6 s");
    for harness in &harnesses {
        assert_eq!(live(harness), 3);
        let age = harness.program.edge().evidence_age();
        assert!(
            age.is_some_and(|age| age < Duration::from_secs(3)),
            "{age:?}"
        );
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
}

/// The reader of the zone is killed: the other hosts write by themselves before they count as lost.
#[actix_rt::test]
async fn hosts_write_by_themselves_when_their_reader_is_killed() {
    let (_server, mut harnesses) = zone().await;
    let reader = harnesses.remove(0);
    reader.program.kill();
    let until = Instant::now() + Duration::from_secs(7);
    while Instant::now() < until {
        for harness in &harnesses {
            assert!(live(harness) >= 2, "a serving host is not live");
            assert_eq!(
                status(&harness.call(&request("read", "r", "")).await),
                "200"
            );
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert!(harnesses.iter().all(|harness| live(harness) == 2));
}

/// A host loses power: its reader writes the counts that the host handed over before.
#[actix_rt::test]
async fn reader_writes_the_last_counts_of_a_killed_host() {
    let (_server, mut harnesses) = zone().await;
    let last = harnesses.pop().expect("three hosts");
    for n in 0..5 {
        let response = last.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&response), "200");
    }
    sleep(Duration::from_millis(900)).await;
    last.program.kill();
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(counted(&harnesses[0]), 5);
}

/// Guards against a last heartbeat that the store applies before the one that was sent before it: the row then
/// does not say that the process has ended, and its successor waits for it.
#[actix_rt::test]
async fn the_last_heartbeat_is_not_overtaken_by_the_one_before_it() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let harness = Harness::start(&[&server]).await;
    let edge = harness.program.edge().clone();
    let store = harness.store.clone();
    let before = async {
        store.commit_time.set(Duration::from_millis(600));
        heartbeat::publish(&edge, false).await;
    };
    let last = async {
        sleep(Duration::from_millis(50)).await;
        store.commit_time.set(Duration::from_millis(10));
        heartbeat::publish(&edge, true).await;
    };
    futures_util::future::join(before, last).await;
    let rows = store.contents(ledger::TABLE).into_iter();
    let mut rows =
        rows.map(|value| serde_json::from_str::<ledger::Row>(&value).expect("a ledger row"));
    assert!(
        rows.all(|row| row.ended),
        "a row without the mark of the end"
    );
}

/// Guards against separate probes by the four tasks of each host, which called the unavailable store
/// four times a second.
#[actix_rt::test]
async fn a_host_calls_an_unavailable_store_twice_a_second() {
    let (_server, harnesses) = zone().await;
    let store = harnesses[0].store.clone();
    store.is_down.set(true);
    sleep(Duration::from_secs(1)).await;
    let before = store.call_count();
    sleep(Duration::from_secs(4)).await;
    let calls = store.call_count() - before;
    // Three hosts with two calls a second each, and a margin of one half.
    assert!(calls <= 36, "{calls} calls in 4 s");
    store.is_down.set(false);
    sleep(Duration::from_millis(1_500)).await;
    for harness in &harnesses {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
}

/// Starts two hosts of different zones with one store. The returned connection is the second
/// host's.
async fn zones() -> (Server, Harness, Harness, Rc<Connection>) {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let first = Harness::start(&[&server]).await;
    let connection = Connection::new(first.store.clone());
    let settings = Settings {
        host: "two".to_owned(),
        zone: "b".to_owned(),
        ..settings().await
    };
    let second = Harness::with_connection(connection.clone(), settings, None).await;
    sleep(Duration::from_millis(4_000)).await;
    (server, first, second, connection)
}

/// Guards against refusing all requests with a key once the store has been unreachable from a host
/// for five seconds.
#[actix_rt::test]
async fn a_host_without_store_serves_by_the_evidence_of_other_hosts() {
    let (_server, _first, second, connection) = zones().await;
    connection.is_cut.set(true);
    let until = Instant::now() + Duration::from_secs(9);
    while Instant::now() < until {
        let response = second.call(&request("read", "r", "")).await;
        assert_eq!(
            status(&response),
            "200",
            "{:?}",
            second.program.edge().evidence_age()
        );
        sleep(Duration::from_millis(200)).await;
    }
}

/// Evidence of other hosts does not count for a host with an older configuration.
#[actix_rt::test]
async fn a_key_is_withdrawn_in_time_from_a_host_without_store() {
    let (_server, first, second, connection) = zones().await;
    connection.is_cut.set(true);
    sleep(Duration::from_millis(2_500)).await;
    first.store.put("settings", "config", Some("2 other"));
    let withdrawn = Instant::now();
    let bound = second.settings.bounds.withdraw;
    while withdrawn.elapsed() < Duration::from_secs(9) {
        let sent = withdrawn.elapsed();
        let response = second.call(&request("read", "r", "")).await;
        let is_late = sent > bound;
        assert!(
            !is_late || status(&response) != "200",
            "served {sent:?} after the withdrawal"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against hosts that keep believing in an outage which is over: the task of the heartbeats
/// took each turn to probe, but wrote nothing since another host wrote for it.
#[actix_rt::test]
async fn a_reader_that_was_turned_away_reads_again() {
    let (_server, first, second, connection) = zones().await;
    connection.is_cut.set(true);
    sleep(Duration::from_millis(2_500)).await;
    assert!(second.program.edge().outage.is_active());
    connection.is_cut.set(false);
    sleep(Duration::from_millis(1_500)).await;
    assert!(!second.program.edge().outage.is_active());
    drop(first);
}

/// Guards against two readers that were turned away and then read from each other: both kept an old
/// configuration, each other's, as long as the other answered.
#[actix_rt::test]
async fn readers_that_were_turned_away_learn_of_a_new_version() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let first = Harness::start(&[&server]).await;
    let mut others = Vec::new();
    for zone in ["b", "c"] {
        let connection = Connection::new(first.store.clone());
        let settings = Settings {
            host: format!("host-{zone}"),
            zone: zone.to_owned(),
            ..settings().await
        };
        let harness = Harness::with_connection(connection.clone(), settings, None).await;
        others.push((harness, connection));
    }
    sleep(Duration::from_millis(4_000)).await;
    for (_, connection) in &others {
        connection.is_cut.set(true);
    }
    sleep(Duration::from_millis(3_000)).await;
    first.store.put("settings", "config", Some("2 other"));
    sleep(first.settings.bounds.apply).await;
    for (harness, _) in &others {
        let config = harness.program.edge().config().expect("a configuration");
        assert_eq!(config.version, 2, "{}", harness.settings.host);
    }
}

/// Counts one request of each of many accounts in several windows; returns the number of requests.
fn use_accounts(harness: &Harness, accounts: usize, windows: u64) -> u64 {
    let edge = harness.program.edge();
    let mut usage = edge.usage.borrow_mut();
    for window in edge.window()..edge.window() + windows {
        for n in 0..accounts {
            usage.count(window, &format!("account-{n:013}"));
        }
    }
    accounts as u64 * windows
}

// Guards against: the counts of many accounts make a row that the store refuses, and with it all heartbeats of the
// zone, so that requests with a key are refused.
#[actix_rt::test]
async fn counts_of_many_accounts_do_not_stop_the_heartbeats_of_a_zone() {
    let (_server, harnesses) = zone().await;
    let counts = harnesses
        .iter()
        .map(|harness| use_accounts(harness, 900, 6))
        .sum::<u64>();
    sleep(Duration::from_millis(5_500)).await;
    assert_eq!(counted(&harnesses[0]), counts);
    for harness in &harnesses {
        assert_eq!(live(harness), 3);
        let response = harness.call(&request("read", "r", "")).await;
        assert_eq!(status(&response), "200");
    }
}

// Guards against: a further row that is no longer needed is counted once more, or keeps an incarnation waited for.
#[test]
fn a_further_row_counts_only_with_the_first_row_of_its_time() {
    let counts = |count| {
        let names = (0..3000).map(|n| (format!("account-{n:013}"), count));
        names.collect::<Counts>()
    };
    let row = |at, counts| ledger::Row {
        run: "one/ab".to_owned(),
        at,
        windows: BTreeMap::from([(7, counts)]),
        ..ledger::Row::default()
    };
    let mut ledger = ledger::Ledger::default();
    let rows = row(1_000, counts(2)).split();
    assert_eq!(rows.len(), 3);
    for row in &rows {
        let size = serde_json::to_string(row).expect("a row").len();
        assert!(size <= support::ROW_BYTES, "{size} bytes");
    }
    rows.into_iter().for_each(|row| ledger.insert(row));
    assert_eq!(ledger.sum(7), counts(2));
    assert_eq!(ledger.rows().count(), 1);
    assert_eq!(ledger.further_keys("one/ab").count(), 2);
    let few = Counts::from([("account".to_owned(), 5)]);
    for row in row(2_000, few.clone()).split() {
        ledger.insert(row);
    }
    assert_eq!(ledger.sum(7), few);
    ledger.observe(2_500);
    let missing = |end| ledger.missing(end, Duration::from_secs(15)).count();
    assert_eq!(missing(1_900), 0);
    assert_eq!(missing(2_100), 1);
}
