//! Evacuated zones: their endpoints get nothing until the zone is taken back.

mod support;

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_edge::balancer::{Balancer, Criteria, Outcome, Tuning};
use agate_edge::config::Scale;
use agate_edge::evacuation::Evacuations;
use agate_edge::roster::{Change, Endpoint};
use agate_edge::settings::{Evacuation, Settings};
use agate_model::revision;
use rstest::rstest;
use support::{Connection, Harness, Server, Step, read_response, request, settings, status};
use tokio::io::AsyncWriteExt as _;
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
/// Time from the change of a row to the next request: several times what the change takes.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which evacuations are held after a return of the store: the bounds of configuration and drain.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Time after which hosts have read what the store has after a return.
const RETURN_TIME: Duration = Duration::from_millis(1_500);

fn zones(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.zones().map(String::as_str).collect()
}

// Guards against: changes that arrive out of order, from another host or a stale response, take a zone back.
#[test]
fn the_newest_change_of_a_zone_counts() {
    let mut evacuations = Evacuations::default();
    let (a, b) = ("a".to_owned(), "b".to_owned());
    assert!(evacuations.apply(&a, true, 12));
    assert!(!evacuations.apply(&a, false, 11));
    assert!(!evacuations.replace(&BTreeMap::new(), 11));
    assert_eq!(zones(&evacuations), ["a"]);
    assert!(evacuations.replace(&BTreeMap::from([(b.clone(), 14)]), 15));
    assert_eq!(zones(&evacuations), ["b"]);
    assert!(!evacuations.apply(&a, true, 12));
    assert!(evacuations.apply(&b, false, 16));
    assert!(zones(&evacuations).is_empty());
}

// Guards against: the snapshot of a reader that is behind evacuates a zone that was taken back before this host started.
#[test]
fn an_older_snapshot_does_not_evacuate_a_zone_again() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(&BTreeMap::new(), 50);
    let older = BTreeMap::from([("a".to_owned(), 30)]);
    assert!(!evacuations.replace(&older, 40));
    assert!(zones(&evacuations).is_empty());
    assert!(evacuations.replace(&BTreeMap::from([("a".to_owned(), 52)]), 53));
    assert_eq!(zones(&evacuations), ["a"]);
}

#[test]
fn a_snapshot_is_complete_up_to_its_revision() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(&BTreeMap::from([("a".to_owned(), 7)]), 20);
    assert_eq!(evacuations.newest(), 7);
    assert!(evacuations.is_complete(20));
    assert!(!evacuations.is_complete(21));
}

// Guards against: a return of the store from an older copy takes zones back, or evacuates them again, that the operators
// have not written again yet.
#[rstest]
#[case::once(1)]
#[case::twice(2)]
fn what_is_in_force_is_held_after_a_return_of_the_store(#[case] returns: u64) {
    let (lost, again) = ("a".to_owned(), "b".to_owned());
    let mut evacuations = Evacuations::default();
    evacuations.apply(&again, true, 3);
    evacuations.apply(&again, false, 7);
    evacuations.apply(&lost, true, 8);
    let mut now = Instant::now();
    for era in 1..=returns {
        now += HOLD_TIME / 2;
        evacuations.start_era(now + HOLD_TIME);
        let at = |number| revision::join(era, number).expect("a revision");
        let copy = BTreeMap::from([(again.clone(), at(3))]);
        assert!(!evacuations.replace(&copy, at(5)));
        // Another snapshot of the same era.
        assert!(!evacuations.replace(&copy, at(6)));
        assert!(evacuations.is_complete(at(6)));
        assert_eq!(zones(&evacuations), ["a"]);
        // Commits name the rows that the store has.
        assert_eq!(evacuations.row_revision("a"), None);
        assert_eq!(evacuations.row_revision("b"), Some(at(3)));
    }
    assert!(evacuations.expire(now + HOLD_TIME / 2).is_empty());
    assert_eq!(zones(&evacuations), ["a"]);
    assert_eq!(evacuations.expire(now + HOLD_TIME), ["a", "b"]);
    assert_eq!(zones(&evacuations), ["b"]);
    assert_eq!(evacuations.next_expiry(), None);
}

// Guards against: what the operators write after a return of the store counts only at the end of the hold time.
#[test]
fn changes_after_a_return_of_the_store_count_at_once() {
    let (lost, again) = ("a".to_owned(), "b".to_owned());
    let mut evacuations = Evacuations::default();
    evacuations.apply(&again, true, 3);
    evacuations.apply(&again, false, 7);
    evacuations.apply(&lost, true, 8);
    let now = Instant::now();
    evacuations.start_era(now + HOLD_TIME);
    let at = |number| revision::join(1, number).expect("a revision");
    evacuations.replace(&BTreeMap::from([(again.clone(), at(3))]), at(5));
    assert!(evacuations.apply(&again, true, at(6)));
    assert_eq!(zones(&evacuations), ["a", "b"]);
    // Written again, and taken back by a snapshot after it.
    assert!(!evacuations.apply(&lost, true, at(7)));
    assert!(evacuations.replace(&BTreeMap::from([(again, at(6))]), at(8)));
    assert_eq!(zones(&evacuations), ["b"]);
    assert!(evacuations.expire(now + HOLD_TIME).is_empty());
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new(Tuning::default());
    for (port, zone) in [(1, "a"), (2, "b")] {
        balancer.apply(&Change::Joined(Rc::new(Endpoint {
            id: format!("in-{zone}"),
            born: Some(1),
            number: None,
            service: "model".to_owned(),
            address: ([10, 0, 0, 1], port).into(),
            zone: zone.to_owned(),
            slots: 16,
            draining: false,
            reclaimable: false,
            cold: Duration::ZERO,
        })));
    }
    balancer
}

/// Load: a zone is evacuated while requests wait for their connections to be opened.
#[test]
fn an_assignment_ends_with_the_evacuation_of_its_zone() {
    let mut balancer = balancer();
    let (service, zone) = ("model".to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix: Some(7),
        cost: 1.0,
        tokens: 1_000.0,
        subset: None,
        hosts: 1,
        excluded: &[],
        zone: &zone,
    };
    let now = Instant::now();
    let first = balancer.choose(now, &criteria, 100).expect("an endpoint");
    balancer.evacuate(now, HashSet::from([first.endpoint.zone.clone()]));
    assert!(!balancer.is_open(now, &first));
    balancer.finish(now, &first, Outcome::Excused);
    for _ in 0..50 {
        let next = balancer.choose(now, &criteria, 100).expect("an endpoint");
        assert_ne!(next.endpoint.zone, first.endpoint.zone);
        assert!(balancer.is_open(now, &next));
    }
    balancer.evacuate(now, ["a", "b"].map(str::to_owned).into());
    assert!(balancer.choose(now, &criteria, 100).is_none());
    assert_eq!(balancer.ready_count(&service), 0);
}

#[test]
fn nothing_is_ordered_in_an_evacuated_zone() {
    let scale = Scale {
        min: 1,
        max: 9,
        boot: Duration::from_secs(2),
        reclaimable_price: None,
        zone_prices: ["a", "b"].map(|zone| (zone.to_owned(), 1.0)).into(),
    };
    let mut evacuations = Evacuations::default();
    evacuations.apply(&"a".to_owned(), true, 1);
    let open = evacuations.open_part(&scale);
    assert_eq!(open.zone_prices.into_keys().collect::<Vec<_>>(), ["b"]);
}

/// Starts an endpoint in each of the zones `a` and `b`, and a host of zone `a` in a deployment whose
/// zones are evacuated.
async fn start() -> ([Server; 2], Harness) {
    let servers = [
        Server::start(vec![vec![Step::Write(OK)]]).await,
        Server::start(vec![vec![Step::Write(OK)]]).await,
    ];
    let store = Harness::store(&[&servers[0]]);
    let far = format!("{} in b", servers[1].address);
    store.put("endpoints", "e1", Some(&far));
    let harness = Harness::with_connection(Connection::new(store), evacuable().await, None).await;
    (servers, harness)
}

/// Returns settings of a deployment whose zones are evacuated.
async fn evacuable() -> Settings {
    let zones = ["a", "b"].map(|zone| (zone.to_owned(), "here".to_owned()));
    let evacuation = Some(Evacuation {
        zones: zones.into(),
    });
    Settings {
        evacuation,
        ..settings().await
    }
}

/// Sends requests until an endpoint has got one; returns whether it did within 64.
async fn reaches(harness: &Harness, server: &Server) -> bool {
    let before = server.count();
    for n in 0..64 {
        let response = harness.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&response), "200", "{response}");
        if server.count() > before {
            return true;
        }
    }
    false
}

#[actix_rt::test]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let ([near, far], harness) = start().await;
    assert!(reaches(&harness, &near).await);
    assert!(reaches(&harness, &far).await);
    harness.store.put("settings", "evacuated/a", Some("{}"));
    sleep(SETTLE_TIME).await;
    assert!(!reaches(&harness, &near).await);
    harness.store.put("settings", "evacuated/a", None);
    sleep(SETTLE_TIME).await;
    assert!(reaches(&harness, &near).await);
}

#[actix_rt::test]
async fn requests_are_refused_while_all_zones_are_evacuated() {
    let ([near, far], harness) = start().await;
    for zone in ["a", "b"] {
        let key = format!("evacuated/{zone}");
        harness.store.put("settings", &key, Some("{}"));
    }
    sleep(SETTLE_TIME).await;
    let response = harness.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&response), "503", "{response}");
    let head = response.to_ascii_lowercase();
    assert!(head.contains("\r\nretry-after: "), "{response}");
    assert_eq!(near.count() + far.count(), 0);
}

/// Load: requests that wait for a slot when the zone of the only free endpoint is evacuated.
#[actix_rt::test]
async fn requests_in_the_queue_do_not_reach_an_evacuated_zone() {
    let busy = || {
        let answer = vec![Step::Wait(Duration::from_millis(120)), Step::Write(OK)];
        Server::start(vec![answer])
    };
    let near = busy().await;
    let harness = Harness::start(&[&near]).await;
    let mut callers = Vec::new();
    // A single host has 2.5 times the eight slots of the endpoint in flight.
    for n in 0..40 {
        let mut caller = harness.connect().await;
        let text = request("read", &format!("q{n}"), "");
        caller.write_all(text.as_bytes()).await.expect("sent");
        callers.push(caller);
    }
    sleep(Duration::from_millis(40)).await;
    harness.store.put("settings", "evacuated/a", Some("{}"));
    sleep(Duration::from_millis(30)).await;
    let sent = near.count();
    assert!((1..40).contains(&sent), "{sent} sent");
    for mut caller in callers {
        read_response(&mut caller).await;
    }
    assert_eq!(near.count(), sent);
}

/// A host that reads from another one learns of evacuations there, also when it has just started.
#[actix_rt::test]
async fn hosts_hand_evacuations_on() {
    let ([near, _far], one) = start().await;
    let two = one.start_peer("two").await;
    sleep(Duration::from_millis(4_500)).await;
    let reads = one.store.call_count();
    one.store.put("settings", "evacuated/a", Some("{}"));
    sleep(SETTLE_TIME).await;
    let calls = one.store.call_count() - reads;
    let three = one.start_peer("three").await;
    for host in [&one, &two, &three] {
        assert!(!reaches(host, &near).await, "{}", host.settings.host);
    }
    assert!(calls < 8, "{calls} calls");
    one.store.put("settings", "evacuated/a", None);
    sleep(SETTLE_TIME).await;
    for host in [&one, &two, &three] {
        assert!(reaches(host, &near).await, "{}", host.settings.host);
    }
}

/// Guards against a long poll on a dead connection that hides an evacuation for as long as it lasts.
#[rstest]
#[case::of_a_host_alone(1)]
#[case::of_the_reader(2)]
#[actix_rt::test]
async fn a_silent_long_poll_does_not_hide_an_evacuation(#[case] hosts: usize) {
    const BOUND: Duration = Duration::from_secs(4);
    let ([near, _far], one) = start().await;
    let mut others = Vec::new();
    for n in 1..hosts {
        let connection = Connection::new(one.store.clone());
        let settings = Settings {
            host: format!("other-{n}"),
            ..evacuable().await
        };
        others.push(Harness::with_connection(connection, settings, None).await);
    }
    sleep(Duration::from_millis(2_500)).await;
    one.store.is_silent.set(true);
    one.store.put("settings", "evacuated/a", Some("{}"));
    sleep(BOUND).await;
    for host in others.iter().chain([&one]) {
        assert!(!reaches(host, &near).await, "{}", host.settings.host);
    }
}

/// Starts the zones and hosts of [`start`], and other hosts of zone `a` up to `count`.
async fn start_hosts(count: usize) -> ([Server; 2], Vec<Harness>) {
    let (servers, first) = start().await;
    let mut hosts = vec![first];
    for n in 1..count {
        let connection = Connection::new(hosts[0].store.clone());
        let settings = Settings {
            host: format!("other-{n}"),
            ..evacuable().await
        };
        hosts.push(Harness::with_connection(connection, settings, None).await);
    }
    if count > 1 {
        sleep(Duration::from_millis(4_500)).await;
    }
    (servers, hosts)
}

// Guards against: an evacuated zone gets requests since the store has returned from a copy without its row.
#[rstest]
#[case::at_the_store(1)]
#[case::through_the_relay(2)]
#[actix_rt::test]
async fn a_zone_whose_row_is_lost_stays_evacuated_for_a_while(#[case] count: usize) {
    let ([near, _far], hosts) = start_hosts(count).await;
    let store = hosts[0].store.clone();
    let copy = store.copy();
    store.put("settings", "evacuated/a", Some("{}"));
    sleep(SETTLE_TIME).await;
    store.return_from(copy.clone());
    sleep(RETURN_TIME).await;
    for host in &hosts {
        assert!(!reaches(host, &near).await, "{}", host.settings.host);
    }
    // Evidence goes on, since the condition of heartbeats names the rows that the store has.
    for host in &hosts {
        let age = host.program.edge().evidence_age().expect("evidence");
        assert!(age < Duration::from_secs(3), "{age:?}");
    }
    store.put("settings", "evacuated/a", Some("{}"));
    sleep(HOLD_TIME).await;
    for host in &hosts {
        assert!(!reaches(host, &near).await, "{}", host.settings.host);
    }
    store.return_from(copy);
    sleep(RETURN_TIME + HOLD_TIME).await;
    for host in &hosts {
        assert!(reaches(host, &near).await, "{}", host.settings.host);
    }
}

// Guards against: a zone that was taken back gets nothing since the store has returned from a copy with its row.
#[rstest]
#[case::at_the_store(1)]
#[case::through_the_relay(2)]
#[actix_rt::test]
async fn a_zone_that_was_taken_back_stays_so_for_a_while(#[case] count: usize) {
    let ([near, _far], hosts) = start_hosts(count).await;
    let store = hosts[0].store.clone();
    store.put("settings", "evacuated/a", Some("{}"));
    sleep(SETTLE_TIME).await;
    let copy = store.copy();
    store.put("settings", "evacuated/a", None);
    sleep(SETTLE_TIME).await;
    store.return_from(copy.clone());
    sleep(RETURN_TIME).await;
    for host in &hosts {
        assert!(reaches(host, &near).await, "{}", host.settings.host);
    }
    store.put("settings", "evacuated/a", None);
    sleep(HOLD_TIME).await;
    for host in &hosts {
        assert!(reaches(host, &near).await, "{}", host.settings.host);
    }
    store.return_from(copy);
    sleep(RETURN_TIME + HOLD_TIME).await;
    for host in &hosts {
        assert!(!reaches(host, &near).await, "{}", host.settings.host);
    }
}
