//! Rows of usage, windows and reports.

use std::rc::Rc;
use std::time::Duration;

use agate_steer::duty::{ledgers, mirror, usage, window};
use agate_wire::mirror::{Push, Totals};
use agate_wire::platform::Figures;
use agate_wire::sync::{Request, Usage};
use agate_wire::usage::{Part, Row};
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::world::{Host, Wire, World, wall};

pub(crate) fn figures(requests: u64) -> Figures {
    Figures {
        requests,
        prompt_tokens: 10 * requests,
        answer_tokens: 5 * requests,
        late_requests: 0,
    }
}

/// A call of the host's gate with the total of one account and window.
pub(crate) fn count(host: &Host, window: u64, requests: u64) {
    let request = Request {
        host: host.context.host.id.clone(),
        incarnation: "gate".to_owned(),
        usage: vec![Usage {
            account: "acct".to_owned(),
            window,
            figures: figures(requests),
        }],
        ..Request::default()
    };
    host.context.inbox.record(request, Instant::now());
}

pub(crate) async fn holder(world: &Rc<World>, id: &str, wait: u64) -> Host {
    let mut host = Host::new(world, id, "a");
    host.work(Duration::from_secs(wait)).await;
    assert!(host.holds());
    host
}

/// Rows and windows for a while, with the wall clock at `seconds`.
pub(crate) async fn work(host: &mut Host, seconds: u64) {
    for _ in 0..12 {
        usage::step(&host.context, wall(seconds)).await;
        window::step(&host.context, wall(seconds)).await;
        host.work(Duration::from_secs(1)).await;
    }
}

#[actix_rt::test]
async fn window_is_reported_once_with_its_usage() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    count(&host, 100, 2);
    count(&host, 100, 2);
    work(&mut host, 105).await;
    count(&host, 100, 3);
    work(&mut host, 112).await;
    assert!(
        world.reports.borrow().is_empty(),
        "the window is still open"
    );
    work(&mut host, 115).await;
    let reports = world.reports.borrow();
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].window, reports[0].figures), (100, figures(3)));
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    CommitAnswers,
    ReportAnswers,
    Outage,
}

#[rstest]
#[case(Trouble::CommitAnswers)]
#[case(Trouble::ReportAnswers)]
#[case(Trouble::Outage)]
#[actix_rt::test]
async fn nothing_is_lost_or_reported_differently(#[case] trouble: Trouble) {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    count(&host, 100, 4);
    match trouble {
        Trouble::CommitAnswers => world.lose_commits.set(true),
        Trouble::ReportAnswers => world.wire.set(Wire::AnswerLost),
        Trouble::Outage => world.set_down(true),
    }
    work(&mut host, 108).await;
    count(&host, 100, 5);
    count(&host, 110, 2);
    work(&mut host, 116).await;
    work(&mut host, 117).await;
    world.lose_commits.set(false);
    world.wire.set(Wire::Up);
    world.set_down(false);
    for seconds in [118, 126, 137, 148, 159] {
        work(&mut host, seconds).await;
    }
    assert_eq!(world.reported(), 7);
}

#[actix_rt::test]
async fn late_usage_is_reported_in_the_open_window() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    count(&host, 100, 4);
    work(&mut host, 105).await;
    work(&mut host, 116).await;
    count(&host, 100, 6);
    work(&mut host, 117).await;
    work(&mut host, 126).await;
    let reports = world.reports.borrow();
    let pairs: Vec<_> = reports
        .iter()
        .map(|it| (it.window, it.figures.requests, it.figures.late_requests))
        .collect();
    assert_eq!(pairs, [(100, 4, 0), (110, 2, 2)]);
}

#[actix_rt::test]
async fn successor_sends_the_same_figures() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    count(&host, 100, 4);
    work(&mut host, 105).await;
    world.wire.set(Wire::AnswerLost);
    work(&mut host, 116).await;
    let before = world.reports.borrow().len();
    assert!(before > 0);
    world.wire.set(Wire::Up);
    let mut successor = holder(&world, "h2", 25).await;
    work(&mut successor, 117).await;
    assert!(world.reports.borrow().len() > before);
    assert_eq!(world.reported(), 4);
    work(&mut host, 118).await;
    assert_eq!(world.reported(), 4);
}

#[actix_rt::test]
async fn paused_holder_sends_no_report() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    count(&host, 100, 4);
    work(&mut host, 105).await;
    world.wire.set(Wire::Frozen(Duration::from_secs(12)));
    window::step(&host.context, wall(116)).await;
    window::step(&host.context, wall(116)).await;
    assert!(world.reports.borrow().is_empty());
}

#[actix_rt::test]
async fn peer_writes_the_usage_of_a_lost_host() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
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
    mirror::receive(&host.context, push.clone(), wall(101));
    mirror::receive(&host.context, push, wall(102));
    work(&mut host, 105).await;
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
    host.work(Duration::from_secs(1)).await;
    work(&mut host, 106).await;
    work(&mut host, 116).await;
    assert_eq!(world.reported(), 3);
}

#[actix_rt::test]
async fn host_writes_at_most_one_row_in_each_interval() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    for number in 0..20 {
        let request = Request {
            host: "h1".to_owned(),
            incarnation: "gate".to_owned(),
            usage: (0..200)
                .map(|account| Usage {
                    account: format!("acct-{account}"),
                    window: 100,
                    figures: figures(number + 1),
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
        usage::step(&host.context, wall(105)).await;
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
async fn host_that_has_not_heard_of_the_closing_writes_into_the_open_window() {
    let world = World::new();
    let mut holder = holder(&world, "h1", 1).await;
    work(&mut holder, 100).await;
    let other = Host::new(&world, "h2", "b");
    count(&other, 100, 4);
    usage::step(&other.context, wall(105)).await;
    work(&mut holder, 116).await;
    count(&other, 100, 6);
    usage::step(&other.context, wall(116)).await;
    work(&mut holder, 126).await;
    assert_eq!(world.reported(), 6);
    let windows: Vec<u64> = world.reports.borrow().iter().map(|it| it.window).collect();
    assert_eq!(windows, [100, 110]);
}

#[actix_rt::test]
async fn rows_of_all_accounts_stay_within_the_hosts_traffic() {
    const ACCOUNTS: u64 = 3800;
    const SECONDS: u64 = 600;
    const LIMIT: u64 = 2048;
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    work(&mut host, 100).await;
    let mut bytes = 0;
    let mut known = 0;
    for round in 0..SECONDS / 10 {
        let usage = (0..ACCOUNTS).map(|account| Usage {
            account: format!("account-{account:05}"),
            window: 100,
            figures: figures(round + 1),
        });
        let request = Request {
            host: "h1".to_owned(),
            incarnation: "gate".to_owned(),
            usage: usage.collect(),
            ..Request::default()
        };
        host.context.inbox.record(request, Instant::now());
        usage::step(&host.context, wall(105)).await;
        let rows = world.memory.tables.borrow().scan("usage", "", "", 9).rows;
        let written = rows.iter().filter(|it| it.revision > known);
        bytes += written.map(|it| it.value.len() as u64).sum::<u64>();
        known = rows.iter().map(|it| it.revision).max().unwrap_or(0);
        advance(Duration::from_secs(10)).await;
    }
    println!("{} bytes a second", bytes / SECONDS);
    assert!(bytes > 0 && bytes / SECONDS < LIMIT);
}
