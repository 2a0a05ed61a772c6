//! Size of usage rows, demand messages and mirror messages with the intended number of accounts
//! and pools.

use std::time::Duration;

use agate_usage::window::{Head, Schedule};
use agate_usage::{Bucket, Counters, Ledger, row};
use agate_wire::demand;
use agate_wire::mirror::{Push, Totals};
use agate_wire::usage::Row;

const ACCOUNTS: usize = 3800;
const POOLS: usize = 22;
/// Largest row that the store accepts.
const ROW_BYTES: usize = 256 * 1024;
const WINDOW: u64 = 1_764_835_200;
const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(3600),
    grace: Duration::from_secs(120),
};

/// Returns the ledger of a host with `accounts` active accounts, each also with late usage.
fn ledger(accounts: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let counters = Counters {
        requests: 12_345,
        prompt_tokens: 12_345_678,
        answer_tokens: 1_234_567,
    };
    for number in 0..accounts {
        for origin in [WINDOW, WINDOW + 3600] {
            let account = format!("account-of-a-customer-{number:05}");
            ledger.observe(Bucket { account, origin }, counters);
        }
    }
    ledger
}

#[test]
fn rows_of_all_accounts_fit_into_the_store() {
    let head = Head {
        closed: WINDOW,
        epoch: 1,
    };
    let mut ledger = ledger(ACCOUNTS);
    ledger.settle(WINDOW, row::Row::default());
    let rows = ledger.rows(head, &SCHEDULE);
    assert_eq!(rows.len(), usize::from(row::SHARDS));
    for ((_, shard), row) in &rows {
        let bytes = serde_json::to_string(&Row::from(row)).expect("JSON").len();
        println!("row {shard}: {} parts, {bytes} bytes", row.counters.len());
        assert!(bytes < ROW_BYTES, "{bytes} bytes");
    }
}

#[test]
fn row_is_unchanged_by_a_wire_round_trip() {
    let totals = ledger(3).totals().clone();
    assert_eq!(row::Row::from(Row::from(&totals)), totals);
}

#[test]
fn demand_and_mirror_messages_stay_below_their_size_limits() {
    let pools = (0..POOLS).map(|number| demand::Pool {
        pool: format!("model-{number:02}"),
        arrivals: 123.45,
        queued: 100,
        running: 100,
    });
    let demand = demand::Push {
        pools: pools.collect(),
        is_sum: false,
    };
    let mirror = Push {
        gates: vec![Totals {
            host: "host-001".to_owned(),
            incarnation: "0123456789abcdef".to_owned(),
            totals: Row::from(ledger(20).totals()),
        }],
    };
    let demand = serde_json::to_string(&demand).expect("JSON").len();
    let mirror = serde_json::to_string(&mirror).expect("JSON").len();
    println!("demand for {POOLS} pools: {demand} bytes; 40 totals: {mirror} bytes");
    assert!(demand < 4096 && mirror < 8192);
}
