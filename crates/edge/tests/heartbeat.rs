//! Heartbeats, which one host of a zone writes for the others.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::ledger;
use agate_edge::settings::Settings;
use support::{Bench, Server, Step, Way, ask, settings, status};
use tokio::time::{Instant, sleep};

const FINE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// Three hosts of one zone that know each other; the first by name writes for the others.
async fn zone() -> (Server, Vec<Bench>) {
    let server = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let first = Bench::start(&[&server]).await;
    let mut benches = vec![first.beside("two").await, first.beside("three").await];
    benches.push(first);
    benches.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
    sleep(Duration::from_millis(4_500)).await;
    (server, benches)
}

fn counted(bench: &Bench) -> u64 {
    let rows = bench.store.contents(ledger::TABLE).into_iter();
    let rows = rows.map(|it| serde_json::from_str::<ledger::Row>(&it).expect("a row"));
    rows.flat_map(|row| row.windows.into_values())
        .flat_map(BTreeMap::into_values)
        .sum()
}

fn live(bench: &Bench) -> usize {
    let hosts = bench.program.edge().hosts.borrow();
    hosts.live(Instant::now()).len()
}

/// Each host wrote for itself every 1.4 s: of 59 hosts, more than half of all calls.
#[actix_rt::test]
async fn one_host_of_a_zone_writes_for_all() {
    let (_server, benches) = zone().await;
    let before = benches[0].store.commits.get();
    sleep(Duration::from_secs(6)).await;
    let commits = benches[0].store.commits.get() - before;
    // One write every 1.2 s, and one beside them.
    assert!((4..=7).contains(&commits), "{commits} commits in 6 s");
    for bench in &benches {
        assert_eq!(live(bench), 3);
        let age = bench.program.edge().evidence_age();
        assert!(age.is_some_and(|it| it < Duration::from_secs(3)), "{age:?}");
        assert_eq!(status(&bench.call(&ask("read", "r", "")).await), "200");
    }
}

/// The writer of the zone ends without a word.
#[actix_rt::test]
async fn hosts_whose_writer_is_gone_write_themselves() {
    let (_server, mut benches) = zone().await;
    let writer = benches.remove(0);
    writer.program.kill();
    let until = Instant::now() + Duration::from_secs(7);
    while Instant::now() < until {
        for bench in &benches {
            assert!(live(bench) >= 2, "a host that serves counts as gone");
            assert_eq!(status(&bench.call(&ask("read", "r", "")).await), "200");
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert!(benches.iter().all(|bench| live(bench) == 2));
}

/// What a host had counted until it lost power is written by its reader.
#[actix_rt::test]
async fn counts_of_a_host_that_loses_power_are_written_by_its_reader() {
    let (_server, mut benches) = zone().await;
    let last = benches.pop().expect("a host");
    for n in 0..5 {
        let answer = last.call(&ask("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&answer), "200");
    }
    sleep(Duration::from_millis(900)).await;
    last.program.kill();
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(counted(&benches[0]), 5);
}

/// Four tasks of each host asked four times a second while the store did not answer.
#[actix_rt::test]
async fn a_host_asks_twice_a_second_while_the_store_does_not_answer() {
    let (_server, benches) = zone().await;
    let store = benches[0].store.clone();
    store.is_down.set(true);
    sleep(Duration::from_secs(1)).await;
    let before = store.call_count();
    sleep(Duration::from_secs(4)).await;
    let calls = store.call_count() - before;
    // Three hosts, twice a second, and half as much again.
    assert!(calls <= 36, "{calls} calls in 4 s");
    store.is_down.set(false);
    sleep(Duration::from_millis(1_500)).await;
    for bench in &benches {
        assert_eq!(status(&bench.call(&ask("read", "r", "")).await), "200");
    }
}

/// Two hosts of different zones with one store, and the second one's way to it.
async fn zones() -> (Server, Bench, Bench, Rc<Way>) {
    let server = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let first = Bench::start(&[&server]).await;
    let way = Way::new(first.store.clone());
    let settings = Settings {
        host: "two".to_owned(),
        zone: "b".to_owned(),
        ..settings().await
    };
    let second = Bench::with_way(way.clone(), settings, None).await;
    sleep(Duration::from_millis(4_000)).await;
    (server, first, second, way)
}

/// A host that the store turned away refused all work with a key after five seconds.
#[actix_rt::test]
async fn a_host_that_the_store_turns_away_serves_on_by_the_evidence_of_others() {
    let (_server, _first, second, way) = zones().await;
    way.is_cut.set(true);
    let until = Instant::now() + Duration::from_secs(9);
    while Instant::now() < until {
        let answer = second.call(&ask("read", "r", "")).await;
        assert_eq!(
            status(&answer),
            "200",
            "{:?}",
            second.program.edge().evidence_age()
        );
        sleep(Duration::from_millis(200)).await;
    }
}

/// What others know is no evidence for a host that has an older configuration.
#[actix_rt::test]
async fn a_key_is_withdrawn_in_time_from_a_host_that_the_store_turns_away() {
    let (_server, first, second, way) = zones().await;
    way.is_cut.set(true);
    sleep(Duration::from_millis(2_500)).await;
    first.store.put("settings", "config", Some("2 other"));
    let withdrawn = Instant::now();
    let bound = second.settings.bounds.withdraw;
    while withdrawn.elapsed() < Duration::from_secs(9) {
        let sent = withdrawn.elapsed();
        let answer = second.call(&ask("read", "r", "")).await;
        let is_late = sent > bound;
        assert!(
            !is_late || status(&answer) != "200",
            "served {sent:?} after the withdrawal"
        );
        sleep(Duration::from_millis(100)).await;
    }
}
