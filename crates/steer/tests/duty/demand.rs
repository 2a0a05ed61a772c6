//! Demand: from the calls of gates over group leaders to the lease holder.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_steer::duty::demand::{GROUP_SIZE, Reports, Total, gather, leader};
use agate_wire::demand::{Pool, Push};
use agate_wire::sync::{Demand, Request};
use tokio::time::{Instant, advance};

use crate::world::{Host, World};

const INTERVAL: Duration = Duration::from_secs(5);

fn push(arrivals: f64, running: u32) -> Push {
    let pool = Pool {
        pool: "p".to_owned(),
        arrivals,
        queued: 1,
        running,
    };
    Push {
        pools: vec![pool],
        is_sum: false,
    }
}

#[actix_rt::test]
async fn arrivals_reported_by_gates_become_a_rate() {
    let world = World::new();
    let host = Host::new(&world, "h1", "a");
    for gate in ["g1", "g2"] {
        let demand = Demand {
            pool: "p".to_owned(),
            arrivals: 10,
            queued: 2,
            running: 3,
            oldest_wait_ms: 0,
        };
        let request = Request {
            host: gate.to_owned(),
            incarnation: "run".to_owned(),
            demand: vec![demand],
            ..Request::default()
        };
        host.context.inbox.record(request, Instant::now());
    }
    let pools = gather(&host.context, INTERVAL).pools;
    assert_eq!(pools.len(), 1);
    assert_eq!(
        (pools[0].arrivals, pools[0].queued, pools[0].running),
        (4.0, 4, 6)
    );
    assert_eq!(gather(&host.context, INTERVAL).pools[0].arrivals, 0.0);
}

#[actix_rt::test]
async fn group_sums_are_added_once_and_expire() {
    tokio::time::pause();
    let group = Reports::default();
    group.record("h1".to_owned(), push(1.0, 1));
    group.record("h2".to_owned(), push(2.0, 2));
    group.record("h2".to_owned(), push(3.0, 2));
    let sum = group.sum(INTERVAL);
    let holder = Reports::default();
    holder.record("h1".to_owned(), sum);
    holder.record("h9".to_owned(), push(4.0, 4));
    let expected = Total {
        arrivals: 8.0,
        queued: 3,
        running: 7,
    };
    let expected = BTreeMap::from([("p".to_owned(), expected)]);
    assert_eq!(holder.totals(INTERVAL), expected);
    assert_eq!(
        holder.sum(INTERVAL).pools[0].arrivals,
        4.0,
        "sums received from groups must not enter this host's sum"
    );
    advance(4 * INTERVAL).await;
    assert!(holder.totals(INTERVAL).is_empty());
}

#[test]
fn groups_of_a_large_system_are_small_and_have_one_leader() {
    let hosts: Vec<String> = (0..380).map(|number| format!("host-{number:03}")).collect();
    let mut groups: BTreeMap<String, usize> = BTreeMap::new();
    for host in &hosts {
        let first = leader(hosts.clone(), host);
        assert_eq!(leader(hosts.clone(), &first), first);
        *groups.entry(first).or_default() += 1;
    }
    assert!(groups.len() <= GROUP_SIZE && groups.values().all(|size| *size <= GROUP_SIZE));
    let single_group: Vec<String> = hosts[..GROUP_SIZE].to_vec();
    assert_eq!(leader(single_group, &hosts[7]), hosts[7]);
}
