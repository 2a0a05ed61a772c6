//! Clusters of control processes: distribution of changes, store outages, and hosts that are cut
//! off, replaced, restarted or shut down.

mod common;

use std::rc::Rc;
use std::time::Duration;

use agate_limit::permit::Answer;
use agate_model::version::FRESHNESS_LIMIT;
use agate_steer::context::Context;
use agate_steer::limits;
use agate_wire::api::{Outcome, State, Status};
use agate_wire::permit::Question;
use agate_wire::platform::{Machine, Purpose};
use agate_wire::sync;
use awc::http::Method;
use common::{Fake, Host, account, put, settings, start, wait_until};
use futures_util::future::join_all;
use serde_json::json;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

async fn cluster(count: usize) -> (Rc<Fake>, Vec<Host>) {
    let fake = Rc::new(Fake::default());
    let mut hosts = Vec::new();
    for n in 0..count {
        let settings = settings(&format!("host-{n}"), ZONES[n % 3], "");
        hosts.push(start(&fake, settings).await);
    }
    wait_until("all hosts are witnesses of one version", || {
        let version = context(&hosts[0]).copy.version();
        hosts.iter().all(|host| {
            let context = context(host);
            let is_settled = context.copy.version() == version;
            let members = context.copy.witnesses().members.len();
            is_settled && members == count && context.members.peers().len() + 1 == count
        })
    })
    .await;
    (fake, hosts)
}

fn context(host: &Host) -> &Context {
    &host.process.context
}

fn is_current(host: &Host) -> bool {
    let age = context(host).copy.proof_age();
    age.is_some_and(|age| age <= FRESHNESS_LIMIT)
}

async fn change(host: &Host, id: &str) -> Outcome {
    let response = host.apply(json!([put(&account(id, 1))])).await;
    assert_eq!(response.status, 200, "{}", response.body);
    response.parse()
}

#[actix_rt::test]
async fn a_change_is_in_force_on_all_hosts() {
    let (_fake, hosts) = cluster(5).await;
    let outcome = change(&hosts[1], "a").await;
    assert_eq!(outcome.state, State::Accepted);
    wait_until("all hosts have the change", || {
        hosts
            .iter()
            .all(|host| context(host).copy.version() >= outcome.version)
    })
    .await;
    let status: Status = hosts[3]
        .call(Method::GET, "/api/v1/status", None)
        .await
        .parse();
    assert_eq!(status.hosts.len(), 5);
    assert!(
        status
            .hosts
            .iter()
            .all(|host| host.version >= outcome.version && host.witness)
    );
}

#[actix_rt::test]
async fn hosts_attest_to_each_other_while_the_store_is_unavailable() {
    let (fake, hosts) = cluster(5).await;
    fake.set_down(true);
    tokio::time::sleep(FRESHNESS_LIMIT + Duration::from_secs(1)).await;
    assert!(hosts.iter().all(is_current));

    // With two of five hosts stopped, a majority still attests. With a third one stopped, no host
    // may count as current, so that none serves keyed requests.
    let mut hosts = hosts.into_iter();
    let rest: Vec<Host> = hosts.by_ref().take(3).collect();
    for host in hosts {
        host.process.close().await;
    }
    tokio::time::sleep(FRESHNESS_LIMIT + Duration::from_millis(500)).await;
    assert!(rest.iter().all(is_current));
    let mut rest = rest.into_iter();
    rest.next().expect("a host").process.close().await;
    let rest: Vec<Host> = rest.collect();
    wait_until("the proofs expire", || !rest.iter().any(is_current)).await;
}

#[actix_rt::test]
async fn a_host_without_the_store_is_proven_current_by_its_peers() {
    let (fake, hosts) = cluster(3).await;
    fake.cut_off.borrow_mut().insert("host-2".to_owned());
    let outcome = change(&hosts[0], "a").await;
    wait_until("the change arrives", || {
        context(&hosts[2]).copy.version() >= outcome.version
    })
    .await;
    tokio::time::sleep(FRESHNESS_LIMIT).await;
    assert!(is_current(&hosts[2]));
}

#[actix_rt::test]
async fn a_replaced_host_starts_while_the_store_is_unavailable() {
    let (fake, hosts) = cluster(3).await;
    let outcome = change(&hosts[0], "a").await;
    fake.set_down(true);
    let seeds = format!("seeds: [\"{}\"]", hosts[0].rpc);
    let fresh = start(&fake, settings("host-9", "zone-a", &seeds)).await;
    assert!(!is_current(&fresh));
    wait_until("the fresh host is current", || {
        context(&fresh).copy.version() == outcome.version && is_current(&fresh)
    })
    .await;
    let witnesses = context(&hosts[0]).copy.witnesses();
    assert!(
        witnesses
            .members
            .iter()
            .all(|witness| witness.host != "host-9")
    );
    wait_until("the other hosts know the fresh one", || {
        hosts
            .iter()
            .all(|host| context(host).members.get("host-9").is_some())
    })
    .await;
}

#[actix_rt::test]
async fn a_restarted_host_is_no_witness_until_it_is_recorded() {
    let (fake, mut hosts) = cluster(3).await;
    let old = context(&hosts[2]).host.incarnation.clone();
    let gossip = context(&hosts[2]).host.gossip;
    let version = context(&hosts[2]).copy.version();
    fake.set_down(true);
    hosts.pop().expect("a host").process.close().await;
    let seeds = format!("seeds: [\"{}\"]", hosts[0].rpc);
    let mut restarted = settings("host-2", "zone-c", &seeds);
    restarted.gossip = gossip;
    let restarted = start(&fake, restarted).await;
    wait_until("the restarted host has the configuration", || {
        context(&restarted).copy.version() == version
    })
    .await;
    let set = context(&restarted).copy.witnesses();
    assert!(set.position("host-2", &old).is_some());
    assert!(
        set.position("host-2", &context(&restarted).host.incarnation)
            .is_none()
    );

    fake.set_down(false);
    wait_until("the new incarnation is a witness", || {
        let set = context(&hosts[0]).copy.witnesses();
        set.position("host-2", &context(&restarted).host.incarnation)
            .is_some()
    })
    .await;
    let outcome = change(&restarted, "a").await;
    assert_eq!(outcome.state, State::Accepted);
}

#[actix_rt::test]
async fn changes_are_accepted_again_after_all_processes_were_killed() {
    let (fake, hosts) = cluster(3).await;
    change(&hosts[0], "a").await;
    fake.set_down(true);
    let addresses: Vec<_> = hosts.iter().map(|host| context(host).host.gossip).collect();
    for host in hosts {
        host.process.close().await;
    }
    fake.set_down(false);
    let mut hosts = Vec::new();
    for (n, gossip) in addresses.into_iter().enumerate() {
        let mut restarted = settings(&format!("host-{n}"), ZONES[n], "");
        restarted.gossip = gossip;
        hosts.push(start(&fake, restarted).await);
    }
    wait_until("the new incarnations are witnesses", || {
        let set = context(&hosts[0]).copy.witnesses();
        hosts.iter().all(|host| {
            let own = &context(host).host;
            set.position(&own.id, &own.incarnation).is_some()
        })
    })
    .await;
    assert_eq!(change(&hosts[1], "b").await.state, State::Accepted);
}

#[actix_rt::test]
async fn acceptance_does_not_wait_for_witnesses_declared_as_ended() {
    let (fake, hosts) = cluster(3).await;
    change(&hosts[0], "a").await;
    fake.set_down(true);
    for host in hosts {
        host.process.close().await;
    }
    fake.set_down(false);
    let extra = "timeouts: { acceptance: 100ms }";
    let fresh = start(&fake, settings("host-0", "zone-a", extra)).await;
    wait_until("the fresh incarnation is a witness", || {
        let set = context(&fresh).copy.witnesses();
        set.position("host-0", &context(&fresh).host.incarnation)
            .is_some()
    })
    .await;
    assert_eq!(change(&fresh, "b").await.state, State::Pending);
    for ended in ["host-0", "host-1"] {
        let path = format!("/api/v1/witnesses/{ended}/ended");
        let response = fresh.call(Method::POST, &path, None).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(change(&fresh, "c").await.state, State::Accepted);
    let response = fresh
        .call(Method::POST, "/api/v1/witnesses/host-0/ended", None)
        .await;
    assert_eq!(
        response.status, 404,
        "a reachable incarnation can't be declared as ended"
    );
}

#[actix_rt::test]
async fn a_leaving_host_is_no_longer_named_while_the_store_is_unavailable() {
    let (fake, mut hosts) = cluster(3).await;
    let named = |host: &Host| context(host).members.entries().len();
    assert_eq!(named(&hosts[0]), 3);
    fake.set_down(true);
    let leaving = hosts.pop().expect("a host");
    context(&leaving).members.set_leaving();
    wait_until("no host names it", || {
        named(&leaving) == 2 && hosts.iter().all(|host| named(host) == 2)
    })
    .await;
}

#[actix_rt::test]
async fn a_host_that_has_ended_is_no_longer_named_at_once() {
    let (_fake, mut hosts) = cluster(3).await;
    let ended = hosts.pop().expect("a host");
    ended.process.close().await;
    for host in &hosts {
        assert_eq!(context(host).members.entries().len(), 2);
        assert_eq!(context(host).copy.witnesses().members.len(), 2);
    }
}

#[actix_rt::test]
async fn a_leaving_endpoint_is_passed_on_to_hosts_that_cannot_read_the_list() {
    let (fake, hosts) = cluster(3).await;
    let endpoint = json!({"kind": "endpoint", "id": "e", "pool": "p", "zone": "zone-a",
        "address": "127.0.0.1:9"});
    let pool = json!({"kind": "pool", "id": "p"});
    let response = hosts[0].apply(json!([put(&pool), put(&endpoint)])).await;
    assert_eq!(response.status, 200, "{}", response.body);
    let cut_off = ["host-1", "host-2"].map(str::to_owned);
    fake.cut_off.borrow_mut().extend(cut_off);
    fake.listing.borrow_mut().machines.push(Machine {
        id: "e".to_owned(),
        purpose: Purpose::Endpoint,
        zone: "zone-a".to_owned(),
        state: agate_wire::platform::State::Leaving,
    });
    wait_until("all hosts show the endpoint as leaving", || {
        hosts
            .iter()
            .all(|host| context(host).endpoints.leaving().contains("e"))
    })
    .await;
}

#[actix_rt::test]
async fn concurrent_changes_on_several_hosts_are_all_made() {
    let (_fake, hosts) = cluster(3).await;
    let before = context(&hosts[0]).copy.version();
    let changes = (0..12).map(|n| {
        let host = &hosts[n % 3];
        async move { change(host, &format!("account-{n}")).await.version }
    });
    let mut versions = futures_util::future::join_all(changes).await;
    versions.sort_unstable();
    let expected: Vec<u64> = (before + 1..=before + 12).collect();
    assert_eq!(versions, expected);
    wait_until("all hosts agree", || {
        let first = context(&hosts[0]).copy.snapshot();
        first.version() == before + 12
            && hosts
                .iter()
                .all(|host| context(host).copy.snapshot() == first)
    })
    .await;
}

#[actix_rt::test]
async fn a_host_far_behind_loads_a_snapshot() {
    let (fake, hosts) = cluster(1).await;
    for n in 0..70 {
        change(&hosts[0], &format!("account-{n}")).await;
    }
    wait_until("a snapshot is stored", || !fake.objects.borrow().is_empty()).await;
    let removed: Vec<String> = {
        let tables = fake.tables.tables.borrow();
        let page = tables.scan("config", "change/", "", 10);
        page.rows.into_iter().map(|row| row.key).collect()
    };
    let writes = removed.into_iter().map(|key| agate_wire::table::Write {
        table: "config".to_owned(),
        key,
        value: None,
    });
    let transaction = agate_wire::table::Transaction {
        checks: Vec::new(),
        writes: writes.collect(),
    };
    let outcome = fake.tables.tables.borrow_mut().commit(&transaction);
    outcome.expect("old changes are removed");
    let fresh = start(&fake, settings("host-9", "zone-b", "")).await;
    wait_until("the fresh host has the newest configuration", || {
        context(&fresh).copy.version() >= context(&hosts[0]).copy.version()
            && context(&fresh).copy.snapshot() == context(&hosts[0]).copy.snapshot()
    })
    .await;
}

/// Lets the gate of a host report what it was told of a limit; returns what the response says of limits.
fn sync_limits(host: &Host, name: &str, told: &[(Option<f64>, u64)]) -> Vec<sync::Statement> {
    let statements = told.iter().map(|(rate, age_ms)| sync::Statement {
        endpoint: "s1".to_owned(),
        rate: *rate,
        age_ms: *age_ms,
    });
    let request = sync::Request {
        host: name.to_owned(),
        incarnation: "run".to_owned(),
        limits: statements.collect(),
        ..sync::Request::default()
    };
    agate_steer::sync::respond(context(host), request).limits
}

/// Asks for one permit after the other for as long as `time`; returns the number of those granted.
async fn collect_permits(host: &Host, time: Duration) -> u32 {
    let start = tokio::time::Instant::now();
    let mut granted = 0;
    while start.elapsed() < time {
        let question = Question {
            endpoint: "s1".to_owned(),
            wanted: 1,
        };
        match limits::find(context(host), question).await {
            Answer::Granted { count, after } => {
                granted += count;
                tokio::time::sleep(after).await;
            }
            Answer::Denied { wait } => tokio::time::sleep(wait).await,
        }
    }
    granted
}

// Guards against: a limit that one gate was told is not known to the others, permits exceed it, or a host gets
// none (issue 56).
#[actix_rt::test]
async fn gates_of_all_hosts_get_permits_within_a_limit_until_it_ends() {
    let (_fake, hosts) = cluster(5).await;
    let names: Vec<String> = (0..hosts.len()).map(|n| format!("host-{n}")).collect();
    let resources = json!([
        put(&json!({"kind": "pool", "id": "p", "min_endpoints": 1, "max_endpoints": 1})),
        put(
            &json!({"kind": "endpoint", "id": "s1", "pool": "p", "address": "127.0.0.1:1",
            "zone": "zone-a", "protocol": "plain", "slots": 4})
        ),
    ]);
    let response = hosts[0].apply(resources).await;
    assert_eq!(response.status, 200, "{}", response.body);
    let rates = || -> Vec<Option<f64>> {
        let all = hosts.iter().zip(&names);
        let limits = all.flat_map(|(host, name)| sync_limits(host, name, &[]));
        limits.map(|statement| statement.rate).collect()
    };
    assert_eq!(rates(), []);
    sync_limits(&hosts[1], &names[1], &[(Some(10.0), 0)]);
    wait_until("all hosts know the limit", || {
        rates() == vec![Some(10.0); hosts.len()]
    })
    .await;
    // Processes that have just started grant nothing.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let collected = hosts
        .iter()
        .map(|host| collect_permits(host, Duration::from_secs(4)));
    let granted = join_all(collected).await;
    // 10 a second for 4 s, and what is granted 0.3 s ahead.
    let total = granted.iter().sum::<u32>();
    assert!((20..=43).contains(&total), "{granted:?}");
    assert!(granted.iter().all(|count| *count >= 2), "{granted:?}");
    sync_limits(&hosts[3], &names[3], &[(None, 0)]);
    wait_until("the limit has ended", || rates() == vec![None; hosts.len()]).await;
    assert_eq!(collect_permits(&hosts[2], Duration::from_secs(1)).await, 0);
}
