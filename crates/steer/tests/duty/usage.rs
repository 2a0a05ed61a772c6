//! Usage rows, reporting windows and usage reports.

use std::rc::Rc;
use std::time::Duration;

use agate_steer::duty::{ledgers, mirror, usage, window};
use agate_wire::mirror::{Push, Totals};
use agate_wire::platform::Counters;
use agate_wire::sync::{Request, Usage};
use agate_wire::usage::{Part, Row};
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::world::{Host, Link, World, wall_time};

pub(crate) fn counters(requests: u64) -> Counters {
    Counters {
        requests,
        prompt_tokens: 10 * requests,
        answer_tokens: 5 * requests,
        late_requests: 0,
    }
}

/// Records a call of the host's gate with its total for one account in `window`.
pub(crate) fn count_requests(host: &Host, window: u64, requests: u64) {
    let request = Request {
        host: host.context.host.id.clone(),
        incarnation: "gate".to_owned(),
        usage: vec![Usage {
            account: "acct".to_owned(),
            window,
            figures: counters(requests),
        }],
        ..Request::default()
    };
    host.context.inbox.record(request, Instant::now());
}

pub(crate) async fn holder(world: &Rc<World>, id: &str, wait: u64) -> Host {
    let mut host = Host::new(world, id, "a");
    host.run_for(Duration::from_secs(wait)).await;
    assert!(host.is_holder());
    host
}

/// Takes 12 steps of usage writing and window closing, one second apart on the Tokio clock, with
/// the wall clock at `seconds`.
pub(crate) async fn run_steps(host: &mut Host, seconds: u64) {
    for _ in 0..12 {
        usage::step(&host.context, wall_time(seconds)).await;
        window::step(&host.context, wall_time(seconds)).await;
        host.run_for(Duration::from_secs(1)).await;
    }
}

#[actix_rt::test]
async fn closed_window_is_reported_once_with_its_usage() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 2);
    count_requests(&host, 100, 2);
    run_steps(&mut host, 105).await;
    count_requests(&host, 100, 3);
    run_steps(&mut host, 112).await;
    assert!(
        world.reports.borrow().is_empty(),
        "an open window must not be reported"
    );
    run_steps(&mut host, 115).await;
    let reports = world.reports.borrow();
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].window, reports[0].figures), (100, counters(3)));
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    CommitResponses,
    ReportResponses,
    Store,
}

#[rstest]
#[case(Fault::CommitResponses)]
#[case(Fault::ReportResponses)]
#[case(Fault::Store)]
#[actix_rt::test]
async fn usage_is_counted_once_in_reports_despite_faults(#[case] fault: Fault) {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    match fault {
        Fault::CommitResponses => world.lose_commit_responses.set(true),
        Fault::ReportResponses => world.link.set(Link::ResponseLost),
        Fault::Store => world.set_down(true),
    }
    run_steps(&mut host, 108).await;
    count_requests(&host, 100, 5);
    count_requests(&host, 110, 2);
    run_steps(&mut host, 116).await;
    run_steps(&mut host, 117).await;
    world.lose_commit_responses.set(false);
    world.link.set(Link::Up);
    world.set_down(false);
    for seconds in [118, 126, 137, 148, 159] {
        run_steps(&mut host, seconds).await;
    }
    assert_eq!(world.reported(), 7);
}

#[actix_rt::test]
async fn late_usage_is_reported_in_the_open_window() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    run_steps(&mut host, 105).await;
    run_steps(&mut host, 116).await;
    count_requests(&host, 100, 6);
    run_steps(&mut host, 117).await;
    run_steps(&mut host, 126).await;
    let reports = world.reports.borrow();
    let pairs: Vec<_> = reports
        .iter()
        .map(|report| {
            (
                report.window,
                report.figures.requests,
                report.figures.late_requests,
            )
        })
        .collect();
    assert_eq!(pairs, [(100, 4, 0), (110, 2, 2)]);
}

#[actix_rt::test]
async fn successor_sends_reports_with_the_same_counters() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    run_steps(&mut host, 105).await;
    world.link.set(Link::ResponseLost);
    run_steps(&mut host, 116).await;
    let before = world.reports.borrow().len();
    assert!(before > 0);
    world.link.set(Link::Up);
    let mut successor = holder(&world, "h2", 25).await;
    run_steps(&mut successor, 117).await;
    assert!(world.reports.borrow().len() > before);
    assert_eq!(world.reported(), 4);
    run_steps(&mut host, 118).await;
    assert_eq!(world.reported(), 4);
}

#[actix_rt::test]
async fn paused_holder_sends_no_report() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    run_steps(&mut host, 105).await;
    world.link.set(Link::Frozen(Duration::from_secs(12)));
    window::step(&host.context, wall_time(116)).await;
    window::step(&host.context, wall_time(116)).await;
    assert!(world.reports.borrow().is_empty());
}

#[actix_rt::test]
async fn peer_writes_the_usage_of_a_lost_host() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    let part = Part {
        account: "acct".to_owned(),
        origin: 100,
        requests: 3,
        prompt_tokens: 30,
        answer_tokens: 15,
    };
    let push = Push {
        gates: vec![Totals {
            host: "h2".to_owned(),
            incarnation: "gate".to_owned(),
            totals: Row { parts: vec![part] },
        }],
    };
    mirror::receive(&host.context, push.clone(), wall_time(101));
    mirror::receive(&host.context, push, wall_time(102));
    run_steps(&mut host, 105).await;
    assert!(
        world
            .memory
            .tables
            .borrow()
            .scan("usage", "", "", 9)
            .rows
            .is_empty()
    );
    advance(ledgers::LOST_AFTER).await;
    host.run_for(Duration::from_secs(1)).await;
    run_steps(&mut host, 106).await;
    run_steps(&mut host, 116).await;
    assert_eq!(world.reported(), 3);
}

#[actix_rt::test]
async fn host_writes_at_most_one_row_in_each_interval() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    for number in 0..20 {
        let request = Request {
            host: "h1".to_owned(),
            incarnation: "gate".to_owned(),
            usage: (0..200)
                .map(|account| Usage {
                    account: format!("acct-{account}"),
                    window: 100,
                    figures: counters(number + 1),
                })
                .collect(),
            ..Request::default()
        };
        host.context.inbox.record(request, Instant::now());
        let before = world
            .memory
            .tables
            .borrow()
            .scan("usage", "", "", 1)
            .revision;
        usage::step(&host.context, wall_time(105)).await;
        let after = world
            .memory
            .tables
            .borrow()
            .scan("usage", "", "", 1)
            .revision;
        assert!(after - before <= 1, "{} writes", after - before);
    }
}

#[actix_rt::test]
async fn host_with_an_outdated_window_head_writes_into_the_open_window() {
    let world = World::new();
    let mut holder = holder(&world, "h1", 1).await;
    run_steps(&mut holder, 100).await;
    let other = Host::new(&world, "h2", "b");
    count_requests(&other, 100, 4);
    usage::step(&other.context, wall_time(105)).await;
    run_steps(&mut holder, 116).await;
    count_requests(&other, 100, 6);
    usage::step(&other.context, wall_time(116)).await;
    run_steps(&mut holder, 126).await;
    assert_eq!(world.reported(), 6);
    let windows: Vec<u64> = world
        .reports
        .borrow()
        .iter()
        .map(|report| report.window)
        .collect();
    assert_eq!(windows, [100, 110]);
}

#[actix_rt::test]
async fn usage_writes_of_all_accounts_stay_within_the_byte_limit() {
    const ACCOUNTS: u64 = 3800;
    const SECONDS: u64 = 600;
    const LIMIT: u64 = 2048;
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    let mut bytes = 0;
    let mut known = 0;
    for round in 0..SECONDS / 10 {
        let usage = (0..ACCOUNTS).map(|account| Usage {
            account: format!("account-{account:05}"),
            window: 100,
            figures: counters(round + 1),
        });
        let request = Request {
            host: "h1".to_owned(),
            incarnation: "gate".to_owned(),
            usage: usage.collect(),
            ..Request::default()
        };
        host.context.inbox.record(request, Instant::now());
        usage::step(&host.context, wall_time(105)).await;
        let rows = world.memory.tables.borrow().scan("usage", "", "", 9).rows;
        let written = rows.iter().filter(|row| row.revision > known);
        bytes += written.map(|row| row.value.len() as u64).sum::<u64>();
        known = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        advance(Duration::from_secs(10)).await;
    }
    println!("{} bytes a second", bytes / SECONDS);
    assert!(bytes > 0 && bytes / SECONDS < LIMIT);
}
