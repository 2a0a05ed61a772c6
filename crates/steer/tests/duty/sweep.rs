//! Deletion of usage rows and claims past their retention time.

use std::time::SystemTime;

use agate_claim::record::RETENTION_SECONDS;
use agate_claim::{Record, State, digest};
use agate_model::account::Account;
use agate_model::resource::{Change, Edit, Spec};
use agate_steer::duty::claims::Sweeper;
use agate_steer::duty::retention;
use agate_wire::change;
use agate_wire::claim;
use agate_wire::peer::Entry;
use agate_wire::platform::{Listing, Machine, Purpose, State as Listed};
use agate_wire::table::{Transaction, Write};

use crate::usage::{count_requests, holder, run_steps};
use crate::world::{Host, World, wall_time};

const DAY: u64 = 24 * 3600;

#[actix_rt::test]
async fn usage_rows_are_deleted_four_days_after_their_window_was_reported() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    run_steps(&mut host, 105).await;
    run_steps(&mut host, 116).await;
    run_steps(&mut host, 117).await;
    let rows = |table| {
        world
            .memory
            .tables
            .borrow()
            .scan(table, "", "", 9)
            .rows
            .len()
    };
    assert_eq!((rows("usage"), rows("report")), (1, 1));
    retention::step(&host.context, wall_time(117 + 3 * DAY)).await;
    assert_eq!((rows("usage"), rows("report")), (1, 1));
    retention::step(&host.context, wall_time(117 + 4 * DAY)).await;
    assert_eq!((rows("usage"), rows("report")), (0, 1));
}

#[actix_rt::test]
async fn usage_rows_of_an_unreported_window_are_kept() {
    let world = World::new();
    let mut host = holder(&world, "h1", 1).await;
    run_steps(&mut host, 100).await;
    count_requests(&host, 100, 4);
    run_steps(&mut host, 105).await;
    retention::step(&host.context, wall_time(117 + 400 * DAY)).await;
    let tables = world.memory.tables.borrow();
    assert_eq!(tables.scan("usage", "", "", 9).rows.len(), 1);
}

fn declare_account(host: &Host) {
    let account = Account {
        id: "acct".to_owned(),
        weight: 1,
        max_concurrent: 1,
        requests_per_second: None,
        tokens_per_minute: None,
        classes: Vec::new(),
    };
    let change = Change {
        version: 1,
        edits: vec![Edit::Put(Spec::Account(account))],
    };
    let entry = Entry {
        change: change::Change::from(change),
        nonce: "n".to_owned(),
        author: "test".to_owned(),
        witnesses: None,
        ended: Vec::new(),
    };
    host.context
        .copy
        .extend(vec![entry])
        .expect("first change must apply");
}

fn running_claim(nonce: &str, host: &str) -> Record {
    let request = digest::request("POST", "/bids", nonce.as_bytes());
    let (host, incarnation) = (host.to_owned(), "run".to_owned());
    Record::running(
        request,
        nonce.to_owned(),
        SystemTime::UNIX_EPOCH,
        host,
        incarnation,
    )
}

#[actix_rt::test]
async fn expired_claims_are_deleted_and_claims_of_gone_hosts_become_unknown() {
    let world = World::new();
    let host = Host::new(&world, "h1", "a");
    declare_account(&host);
    let gone = Machine {
        id: "h9".to_owned(),
        purpose: Purpose::Host,
        zone: "a".to_owned(),
        state: Listed::Gone,
    };
    let listing = Listing {
        revision: 1,
        machines: vec![gone],
    };
    host.context.members.set_listing(&listing);
    let records = [
        running_claim("expired", "h1").unknown(),
        running_claim("running", "h1"),
        running_claim("lost", "h9"),
    ];
    let writes = records.iter().map(|record| Write {
        table: "claim".to_owned(),
        key: digest::row_key("acct", &record.nonce),
        value: Some(claim::Record::from(record.clone()).to_row()),
    });
    let transaction = Transaction {
        checks: Vec::new(),
        writes: writes.collect(),
    };
    let tables = &host.context.platform.tables;
    tables
        .commit(&transaction)
        .await
        .expect("claims must commit");
    let mut sweeper = Sweeper::default();
    let now = wall_time(RETENTION_SECONDS);
    sweeper
        .step(&host.context, now)
        .await
        .expect("sweep step must succeed");
    let rows = world.memory.tables.borrow().scan("claim", "", "", 9).rows;
    let mut left: Vec<Record> = rows
        .iter()
        .map(|row| claim::Record::from_row(&row.value).expect("well-formed claim row"))
        .collect();
    left.sort_by(|a, b| a.nonce.cmp(&b.nonce));
    assert_eq!(left.len(), 2);
    assert_eq!(
        (left[0].nonce.as_str(), &left[0].state),
        ("lost", &State::Unknown)
    );
    assert_eq!(left[1], running_claim("running", "h1"));
}
