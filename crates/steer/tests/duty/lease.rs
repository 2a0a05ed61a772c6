//! The lease under faults of the store and pauses.

use std::time::Duration;

use agate_steer::duty::tenure::Failure;
use agate_wire::table::{Transaction, Write};
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::world::{Host, World};

const STEP: Duration = Duration::from_millis(100);

/// Times in seconds, from and to.
type Span = (u64, u64);

#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    down: Option<Span>,
    lost: Option<Span>,
    paused: Option<Span>,
}

fn is_in(span: Option<Span>, since: Duration) -> bool {
    let seconds = since.as_secs();
    span.is_some_and(|(from, to)| (from..to).contains(&seconds))
}

#[rstest]
#[case::quiet(Trouble::default(), &[1])]
#[case::first_paused(Trouble { paused: Some((5, 60)), ..Trouble::default() }, &[2])]
// Whoever reaches the store first goes on: the old holder, or a candidate that waited.
#[case::store_out(Trouble { down: Some((5, 60)), ..Trouble::default() }, &[1, 2])]
#[case::answers_lost(Trouble { lost: Some((0, 60)), ..Trouble::default() }, &[1])]
#[case::out_and_paused(Trouble { down: Some((3, 9)), paused: Some((8, 70)), ..Trouble::default() }, &[2])]
#[case::lost_and_paused(Trouble { lost: Some((0, 90)), paused: Some((5, 60)), ..Trouble::default() }, &[2])]
#[actix_rt::test]
async fn two_candidates_never_both_hold(#[case] trouble: Trouble, #[case] epochs: &[u64]) {
    let world = World::new();
    let mut hosts = [Host::new(&world, "h1", "a"), Host::new(&world, "h2", "b")];
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(120) {
        world.set_down(is_in(trouble.down, start.elapsed()));
        world.lose_commits.set(is_in(trouble.lost, start.elapsed()));
        for (number, host) in hosts.iter_mut().enumerate() {
            let is_paused = number == 0 && is_in(trouble.paused, start.elapsed());
            if !is_paused {
                host.tick().await;
            }
        }
        let holders = hosts.iter().filter(|it| it.holds()).count();
        assert!(holders <= 1, "both hold after {:?}", start.elapsed());
        advance(STEP).await;
    }
    let held = hosts.iter().filter_map(|it| it.context.duty.tenure.epoch());
    let held: Vec<u64> = held.collect();
    assert!(held.len() == 1 && epochs.contains(&held[0]), "{held:?}");
}

#[actix_rt::test]
async fn holder_stops_while_the_store_is_out_and_goes_on_after() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.work(STEP).await;
    assert!(host.holds());
    world.set_down(true);
    host.work(Duration::from_secs(8)).await;
    assert!(host.holds(), "within the term");
    host.work(Duration::from_secs(3)).await;
    assert!(!host.holds(), "after the term");
    world.set_down(false);
    host.work(Duration::from_secs(1)).await;
    assert_eq!(host.context.duty.tenure.epoch(), Some(1));
}

#[actix_rt::test]
async fn released_lease_is_taken_at_once_unless_something_is_on_its_way() {
    let world = World::new();
    let mut hosts = [Host::new(&world, "h1", "a"), Host::new(&world, "h2", "b")];
    hosts[0].work(STEP).await;
    agate_steer::duty::lease::release(&hosts[0].context).await;
    hosts[1].work(Duration::from_secs(2)).await;
    assert_eq!(hosts[1].context.duty.tenure.epoch(), Some(2));

    hosts[1]
        .context
        .duty
        .tenure
        .mark_in_flight(Duration::from_secs(7));
    agate_steer::duty::lease::release(&hosts[1].context).await;
    assert!(!hosts[1].holds());
    let mut third = Host::new(&world, "h3", "c");
    third.work(Duration::from_secs(16)).await;
    assert!(!third.holds(), "waits for the term and the flight");
    third.work(Duration::from_secs(4)).await;
    assert_eq!(third.context.duty.tenure.epoch(), Some(3));
}

#[actix_rt::test]
async fn leaving_host_does_not_become_the_holder() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.context.leaving.set(true);
    host.work(Duration::from_secs(60)).await;
    assert!(!host.holds());
}

#[actix_rt::test]
async fn nothing_is_recorded_after_another_process_has_taken_over() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.work(STEP).await;
    let tenure = &host.context.duty.tenure;
    let row = world
        .memory
        .tables
        .borrow()
        .get("lease", "steer")
        .expect("the lease");
    let foreign = row
        .value
        .replace("\"epoch\":1", "\"epoch\":2")
        .replace("h1", "h2");
    let nonce = foreign.find("\"nonce\":\"").expect("a nonce") + "\"nonce\":\"".len();
    let foreign = format!("{}x{}", &foreign[..nonce], &foreign[nonce..]);
    let takeover = Transaction {
        checks: Vec::new(),
        writes: vec![write("lease", "steer", &foreign)],
    };
    let tables = &*host.context.platform.tables;
    tables.commit(&takeover).await.expect("a commit");
    let order = Transaction {
        checks: Vec::new(),
        writes: vec![write("order", "o", "{}")],
    };
    let outcome = tenure.commit(tables, &order).await;
    assert!(matches!(outcome, Err(Failure::NotHeld)));
    assert!(world.memory.tables.borrow().get("order", "o").is_none());
    assert!(!host.holds());
}

fn write(table: &str, key: &str, value: &str) -> Write {
    Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value.to_owned()),
    }
}
