//! Lease acquisition, renewal and release under store faults and process pauses.

use std::time::Duration;

use agate_steer::duty::tenure::Failure;
use agate_wire::table::{Transaction, Write};
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::world::{Host, World};

const STEP: Duration = Duration::from_millis(100);

/// Start (inclusive) and end (exclusive), in seconds since the start of the test.
type Interval = (u64, u64);

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Every call to the store fails.
    down: Option<Interval>,
    /// Commits take effect, but their responses are lost.
    responses_lost: Option<Interval>,
    /// The first host takes no steps.
    paused: Option<Interval>,
}

fn is_in(interval: Option<Interval>, since: Duration) -> bool {
    let seconds = since.as_secs();
    interval.is_some_and(|(from, to)| (from..to).contains(&seconds))
}

#[rstest]
#[case::no_faults(Faults::default(), &[1])]
#[case::first_host_paused(Faults { paused: Some((5, 60)), ..Faults::default() }, &[2])]
// Afterwards either the old holder renews (epoch 1) or the other host takes over (epoch 2).
#[case::store_unavailable(Faults { down: Some((5, 60)), ..Faults::default() }, &[1, 2])]
#[case::responses_lost(Faults { responses_lost: Some((0, 60)), ..Faults::default() }, &[1])]
#[case::store_unavailable_then_paused(
    Faults { down: Some((3, 9)), paused: Some((8, 70)), ..Faults::default() },
    &[2]
)]
#[case::responses_lost_and_paused(
    Faults { responses_lost: Some((0, 90)), paused: Some((5, 60)), ..Faults::default() },
    &[2]
)]
#[actix_rt::test]
async fn two_hosts_never_hold_the_lease_at_once(#[case] faults: Faults, #[case] epochs: &[u64]) {
    let world = World::new();
    let mut hosts = [Host::new(&world, "h1", "a"), Host::new(&world, "h2", "b")];
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(120) {
        world.set_down(is_in(faults.down, start.elapsed()));
        world
            .lose_commit_responses
            .set(is_in(faults.responses_lost, start.elapsed()));
        for (number, host) in hosts.iter_mut().enumerate() {
            let is_paused = number == 0 && is_in(faults.paused, start.elapsed());
            if !is_paused {
                host.tick().await;
            }
        }
        let holders = hosts.iter().filter(|host| host.is_holder()).count();
        assert!(
            holders <= 1,
            "both hosts hold the lease after {:?}",
            start.elapsed()
        );
        advance(STEP).await;
    }
    let epochs_held = hosts
        .iter()
        .filter_map(|host| host.context.duty.tenure.epoch());
    let epochs_held: Vec<u64> = epochs_held.collect();
    assert!(
        epochs_held.len() == 1 && epochs.contains(&epochs_held[0]),
        "epochs held: {epochs_held:?}, expected one of {epochs:?}"
    );
}

#[actix_rt::test]
async fn holder_stops_while_the_store_is_unavailable_and_resumes_after() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.run_for(STEP).await;
    assert!(host.is_holder());
    world.set_down(true);
    host.run_for(Duration::from_secs(8)).await;
    assert!(host.is_holder(), "must hold the lease within its term");
    host.run_for(Duration::from_secs(3)).await;
    assert!(!host.is_holder(), "must not hold the lease after its term");
    world.set_down(false);
    host.run_for(Duration::from_secs(1)).await;
    assert_eq!(host.context.duty.tenure.epoch(), Some(1));
}

#[actix_rt::test]
async fn released_lease_is_acquired_at_once_unless_an_order_is_in_flight() {
    let world = World::new();
    let mut hosts = [Host::new(&world, "h1", "a"), Host::new(&world, "h2", "b")];
    hosts[0].run_for(STEP).await;
    agate_steer::duty::lease::release(&hosts[0].context).await;
    hosts[1].run_for(Duration::from_secs(2)).await;
    assert_eq!(hosts[1].context.duty.tenure.epoch(), Some(2));

    hosts[1]
        .context
        .duty
        .tenure
        .mark_in_flight(Duration::from_secs(7));
    agate_steer::duty::lease::release(&hosts[1].context).await;
    assert!(!hosts[1].is_holder());
    let mut third = Host::new(&world, "h3", "c");
    third.run_for(Duration::from_secs(16)).await;
    assert!(
        !third.is_holder(),
        "must wait for the term and for orders in flight"
    );
    third.run_for(Duration::from_secs(4)).await;
    assert_eq!(third.context.duty.tenure.epoch(), Some(3));
}

#[actix_rt::test]
async fn host_that_shuts_down_does_not_acquire_the_lease() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.context.leaving.set(true);
    host.run_for(Duration::from_secs(60)).await;
    assert!(!host.is_holder());
}

#[actix_rt::test]
async fn commit_fails_after_another_process_has_acquired_the_lease() {
    let world = World::new();
    let mut host = Host::new(&world, "h1", "a");
    host.run_for(STEP).await;
    let tenure = &host.context.duty.tenure;
    let row = world
        .memory
        .tables
        .borrow()
        .get("lease", "steer")
        .expect("lease row must exist");
    let foreign = row
        .value
        .replace("\"epoch\":1", "\"epoch\":2")
        .replace("h1", "h2");
    let nonce = foreign
        .find("\"nonce\":\"")
        .expect("lease row must contain a nonce")
        + "\"nonce\":\"".len();
    let foreign = format!("{}x{}", &foreign[..nonce], &foreign[nonce..]);
    let takeover = Transaction {
        checks: Vec::new(),
        writes: vec![write("lease", "steer", &foreign)],
    };
    let tables = &*host.context.platform.tables;
    tables
        .commit(&takeover)
        .await
        .expect("takeover must commit");
    let order = Transaction {
        checks: Vec::new(),
        writes: vec![write("order", "o", "{}")],
    };
    let outcome = tenure.commit(tables, &order).await;
    assert!(matches!(outcome, Err(Failure::NotHeld)));
    assert!(world.memory.tables.borrow().get("order", "o").is_none());
    assert!(!host.is_holder());
}

fn write(table: &str, key: &str, value: &str) -> Write {
    Write {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(value.to_owned()),
    }
}
