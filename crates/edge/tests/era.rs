//! Order of a store's responses by its eras.

mod support;

use std::rc::Rc;
use std::time::Duration;

use agate_edge::era::{Eras, Ordered};
use agate_model::revision;
use agate_store::Error;
use agate_store::interface::{Feed, Tables};
use agate_wire::table::{Check, Transaction, Write};
use prometheus_client::metrics::gauge::Gauge;
use support::Harness;
use tokio::time::{sleep, timeout};

/// A store that holds a row, and the ordered calls to it.
struct Bench {
    store: Rc<support::Store>,
    eras: Rc<Eras>,
    gauge: Gauge,
    tables: Ordered<dyn Tables>,
    feed: Ordered<dyn Feed>,
}

fn bench() -> Bench {
    let store = Harness::store(&[]);
    let gauge = Gauge::default();
    let eras = Eras::new(gauge.clone(), Default::default());
    let tables: Rc<dyn Tables> = store.clone();
    let feed: Rc<dyn Feed> = store.clone();
    Bench {
        tables: Ordered::new(tables, eras.clone()),
        feed: Ordered::new(feed, eras.clone()),
        store,
        eras,
        gauge,
    }
}

/// Returns a transaction that writes a row under a condition on the configuration.
fn transaction(revision: u64) -> Transaction {
    let check = Check {
        table: "settings".to_owned(),
        key: "config".to_owned(),
        revision: Some(revision),
    };
    let write = Write {
        table: "hosts".to_owned(),
        key: "lease".to_owned(),
        value: Some("one".to_owned()),
    };
    Transaction {
        checks: vec![check],
        writes: vec![write],
    }
}

// Guards against: one faulty era stops a host for good, and all hosts that hear of it.
#[actix_rt::test]
async fn an_era_far_above_the_known_one_is_not_heeded() {
    let bench = bench();
    let changes = bench.feed.snapshot("settings").await.expect("a snapshot");
    let implausible = revision::join(900, 1).expect("small numbers");
    assert!(!bench.eras.observe(implausible));
    assert!(bench.eras.observe(changes.revision));
    bench.feed.snapshot("settings").await.expect("a snapshot");
}

// Guards against: a host that has just started takes the store's era for a faulty one, since another one that has just
// started asked it for all changes.
#[actix_rt::test]
async fn a_host_that_knows_no_revision_names_no_era() {
    let bench = bench();
    assert!(bench.eras.observe(0));
    assert_eq!(bench.eras.known(), None);
    assert!(
        bench
            .eras
            .observe(revision::join(150, 1).expect("small numbers"))
    );
    assert!(!bench.eras.observe(0));
    assert_eq!(bench.eras.known(), Some(150));
}

// Guards against: rows that the store has lost are taken over from a response that was slow, or from a host that has
// not noticed the return.
#[actix_rt::test]
async fn a_response_of_an_earlier_era_fails() {
    let bench = bench();
    let changes = bench.feed.snapshot("settings").await.expect("a snapshot");
    assert_eq!(bench.eras.known(), Some(0));
    // Another host has named a later era.
    let later = revision::join(2, 1).expect("small numbers");
    assert!(bench.eras.observe(later));
    assert!(!bench.eras.observe(changes.revision));
    assert_eq!((bench.eras.newest(), bench.gauge.get()), (2, 2));
    let outcomes = [
        bench.feed.snapshot("settings").await.err(),
        bench.tables.get("settings", "config").await.err(),
        {
            let after = changes.revision;
            let read = bench.feed.changes("settings", after, Duration::ZERO).await;
            read.err()
        },
    ];
    for outcome in outcomes {
        assert!(matches!(outcome, Some(Error::Unknown(_))), "{outcome:?}");
    }
    assert_eq!(bench.eras.newest(), 2);
}

// Guards against: a condition on a row of the era before holds for the row that has its version now.
#[actix_rt::test]
async fn nothing_is_written_under_a_condition_of_an_earlier_era() {
    let bench = bench();
    let row = bench.tables.get("settings", "config").await;
    let before = row.expect("a response").expect("a row").revision;
    bench.store.return_from(bench.store.copy());
    let row = bench.tables.get("settings", "config").await;
    let after = row.expect("a response").expect("a row").revision;
    assert_eq!(revision::number(before), revision::number(after));
    let outcome = bench.tables.commit(&transaction(before)).await;
    assert!(matches!(outcome, Err(Error::Conflict(_))), "{outcome:?}");
    assert_eq!(bench.store.commits.get(), 0);
    let commit = bench.tables.commit(&transaction(after)).await;
    assert!(revision::is_same_era(
        commit.expect("committed").revision,
        after
    ));
}

// Guards against: a wait that misses a return, or ends without one.
#[actix_rt::test]
async fn a_wait_for_a_return_ends_with_the_next_era_only() {
    tokio::time::pause();
    let bench = bench();
    let join = |era| revision::join(era, 7).expect("small numbers");
    bench.eras.observe(join(1));
    let known = bench.eras.known();
    let limit = Duration::from_secs(60);
    let (wait, first) = (bench.eras.wait_return(known), bench.eras.wait_return(None));
    let waits = async {
        tokio::select! { () = wait => "return", () = first => "start" }
    };
    let mut waits = Box::pin(waits);
    bench.eras.observe(join(1));
    bench.eras.observe(join(0));
    assert!(timeout(limit, &mut waits).await.is_err());
    let since = bench.eras.since();
    sleep(Duration::from_secs(1)).await;
    bench.eras.observe(join(2));
    assert_eq!(timeout(limit, &mut waits).await, Ok("return"));
    assert!(bench.eras.since() > since);
}
