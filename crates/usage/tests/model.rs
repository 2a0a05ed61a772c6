//! Model check of usage rows: a host and its peer write the same rows while two lease holders close,
//! freeze and report windows. Every store transaction may be delayed, and its response may be lost.
//! Guards against a second, different report of a window, and against usage that is lost or counted
//! twice.

use std::collections::BTreeSet;
use std::time::Duration;

use agate_usage::report;
use agate_usage::window::{Head, Schedule};
use agate_usage::{Bucket, Counters, Ledger, Row};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(10),
    grace: Duration::ZERO,
};
/// Windows in which requests are counted, each with the maximum number of requests.
const COUNTED: [(u64, u64); 2] = [(10, 2), (20, 0)];
/// Windows that have rows.
const WINDOWS: [u64; 3] = [10, 20, 30];
/// Last window that the lease holders close.
const LAST_CLOSED: u64 = 20;
/// Maximum number of transactions in flight.
const MAX_IN_FLIGHT: usize = 2;

/// The protocol as it is, or with one of its rules left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// All rules are followed.
    Correct,
    /// Rows are written without checking the head, so also into closed windows.
    Unchecked,
    /// A writer assumes that a closed row holds its own last write, instead of reading the row.
    Unread,
    /// A lease holder reports the totals that it reads, without freezing them, and before the
    /// window is closed.
    Unfrozen,
}

/// A usage row in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Stored {
    row: Row,
    revision: u8,
}

/// The host that counts the usage, or the peer that mirrors it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Writer {
    ledger: Ledger,
    /// Last closed window in the head as the writer last read it.
    head: u64,
}

/// A store transaction in flight, with the state that it checks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Transaction {
    /// Writes a row if the head and the row's revision are unchanged.
    Write {
        head: u64,
        index: usize,
        revision: u8,
        counters: Vec<(Bucket, u64)>,
    },
    /// Closes the window after the head if the lease epoch is current.
    Close { window: u64, epoch: u64 },
    /// Stores the totals of a window once if the lease epoch is current.
    Freeze {
        window: u64,
        epoch: u64,
        requests: u64,
    },
}

/// State of the model. Arrays of two have one entry for each window of [`COUNTED`], `rows` one for
/// each window of [`WINDOWS`], and `writers` holds the host and then its peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    counted: [u64; 2],
    writers: [Writer; 2],
    rows: [Stored; 3],
    head: u64,
    epoch: u64,
    frozen: [Option<u64>; 2],
    in_flight: Vec<Transaction>,
    /// Different totals that were sent to the receiver, for each window.
    reported: [BTreeSet<u64>; 2],
}

fn requests(requests: u64) -> Counters {
    Counters {
        requests,
        ..Counters::default()
    }
}

fn bucket(origin: u64) -> Bucket {
    Bucket {
        account: "a".to_owned(),
        origin,
    }
}

fn sum(row: &Row) -> u64 {
    row.counters
        .values()
        .map(|counters| counters.requests)
        .sum()
}

impl State {
    fn new() -> Self {
        Self {
            counted: [0; 2],
            writers: Default::default(),
            rows: Default::default(),
            head: 0,
            epoch: 1,
            frozen: [None; 2],
            in_flight: Vec::new(),
            reported: Default::default(),
        }
    }

    fn successors(&self, variant: Variant) -> Vec<State> {
        let mut next = Vec::new();
        self.count_request(&mut next);
        for writer in 0..2 {
            self.step_writer(writer, variant, &mut next);
        }
        for epoch in 1..=self.epoch {
            self.step_holder(epoch, variant, &mut next);
        }
        if self.epoch == 1 {
            self.with(|state| state.epoch = 2, &mut next);
        }
        for index in 0..self.in_flight.len() {
            self.with(|state| state.deliver(index, variant), &mut next);
        }
        next.retain(|state| state.in_flight.len() <= MAX_IN_FLIGHT);
        next
    }

    /// Adds the state after `change` to `next` if it differs from this one.
    fn with(&self, change: impl FnOnce(&mut State), next: &mut Vec<State>) {
        let mut state = self.clone();
        change(&mut state);
        state.drop_stale_writes();
        if state != *self {
            next.push(state);
        }
    }

    /// Drops writes that must fail, since the revision of their row has changed.
    fn drop_stale_writes(&mut self) {
        let rows = &self.rows;
        self.in_flight.retain(|transaction| match transaction {
            Transaction::Write {
                index, revision, ..
            } => rows[*index].revision == *revision,
            Transaction::Close { .. } | Transaction::Freeze { .. } => true,
        });
    }

    /// Adds the states after the gate counts one request, which its host learns at once, and after
    /// the host copies its totals to the peer.
    fn count_request(&self, next: &mut Vec<State>) {
        for (index, (origin, bound)) in COUNTED.into_iter().enumerate() {
            let total = self.counted[index] + 1;
            if total <= bound {
                self.with(
                    |state| {
                        state.counted[index] = total;
                        state.writers[0]
                            .ledger
                            .observe(bucket(origin), requests(total));
                    },
                    next,
                );
            }
        }
        self.with(
            |state| {
                let totals = state.writers[0].ledger.totals().clone();
                state.writers[1].ledger.merge(&totals);
            },
            next,
        );
    }

    /// Adds the states after a writer reads the head, reads a closed row or sends a row.
    fn step_writer(&self, writer: usize, variant: Variant, next: &mut Vec<State>) {
        self.with(|state| state.writers[writer].head = state.head, next);
        let known = Head {
            closed: self.writers[writer].head,
            epoch: 1,
        };
        let unread = self.writers[writer].ledger.unread(known, &SCHEDULE);
        if let Some(window) = unread.first().copied() {
            self.with(|state| state.read(writer, window, variant), next);
            return;
        }
        for ((target, _), row) in self.writers[writer].ledger.rows(known, &SCHEDULE) {
            let index = WINDOWS
                .iter()
                .position(|window| *window == target)
                .expect("every target window has a row");
            let mut merged = self.rows[index].row.clone();
            merged.merge(&row);
            if merged == self.rows[index].row {
                continue;
            }
            let totals = merged
                .counters
                .into_iter()
                .map(|(bucket, counters)| (bucket, counters.requests));
            let transaction = Transaction::Write {
                head: known.closed,
                index,
                revision: self.rows[index].revision,
                counters: totals.collect(),
            };
            self.with(|state| state.send(transaction), next);
        }
    }

    /// Passes the row of a closed window to a writer's ledger.
    fn read(&mut self, writer: usize, window: u64, variant: Variant) {
        let index = WINDOWS
            .iter()
            .position(|candidate| *candidate == window)
            .expect("every unread window has a row");
        let row = if variant == Variant::Unread {
            let mut own = Row::default();
            own.observe(
                bucket(window),
                self.writers[writer].ledger.totals().get(&bucket(window)),
            );
            own
        } else {
            self.rows[index].row.clone()
        };
        self.writers[writer].ledger.settle(window, row);
    }

    /// Adds the states after a lease holder closes, freezes or reports a window.
    fn step_holder(&self, epoch: u64, variant: Variant, next: &mut Vec<State>) {
        let window = self.head + 10;
        if window <= LAST_CLOSED {
            self.with(
                |state| state.send(Transaction::Close { window, epoch }),
                next,
            );
        }
        for (index, frozen) in self.frozen.iter().enumerate() {
            let window = WINDOWS[index];
            let totals = report::totals(window, [&self.rows[index].row]);
            let requests = totals.get("a").map_or(0, |total| total.counters.requests);
            if variant == Variant::Unfrozen {
                self.with(|state| state.report(index, requests), next);
                continue;
            }
            if window <= self.head && frozen.is_none() {
                let transaction = Transaction::Freeze {
                    window,
                    epoch,
                    requests,
                };
                self.with(|state| state.send(transaction), next);
            }
            // A lease holder whose lease has expired may still send reports.
            if let Some(requests) = *frozen {
                self.with(|state| state.report(index, requests), next);
            }
        }
    }

    fn report(&mut self, index: usize, requests: u64) {
        self.reported[index].insert(requests);
    }

    fn send(&mut self, transaction: Transaction) {
        if !self.in_flight.contains(&transaction) {
            self.in_flight.push(transaction);
            self.in_flight.sort();
        }
    }

    /// Applies a transaction if its checks hold. No step depends on its response.
    fn deliver(&mut self, index: usize, variant: Variant) {
        match self.in_flight.remove(index) {
            Transaction::Write {
                head,
                index,
                counters,
                ..
            } => {
                if head != self.head && variant != Variant::Unchecked {
                    return;
                }
                let stored = &mut self.rows[index];
                stored.revision += 1;
                stored.row = Row::default();
                for (bucket, total) in counters {
                    stored.row.observe(bucket, requests(total));
                }
            }
            Transaction::Close { window, epoch } => {
                if epoch == self.epoch && window == self.head + 10 {
                    self.head = window;
                }
            }
            Transaction::Freeze {
                window,
                epoch,
                requests,
            } => {
                let index = WINDOWS
                    .iter()
                    .position(|candidate| *candidate == window)
                    .expect("every frozen or written window has a row");
                if epoch == self.epoch && self.frozen[index].is_none() {
                    self.frozen[index] = Some(requests);
                }
            }
        }
    }

    /// Returns whether the host knows the head and has written all that it counted, every closed
    /// window is frozen and no transaction is in flight.
    fn is_quiet(&self) -> bool {
        let host = &self.writers[0];
        let head = Head {
            closed: self.head,
            epoch: 1,
        };
        let is_frozen =
            |(index, frozen): (usize, &Option<u64>)| WINDOWS[index] > self.head || frozen.is_some();
        host.head == self.head
            && self.in_flight.is_empty()
            && self.frozen.iter().enumerate().all(is_frozen)
            && host.ledger.unread(head, &SCHEDULE).is_empty()
            && host
                .ledger
                .rows(head, &SCHEDULE)
                .iter()
                .all(|((target, _), row)| {
                    let index = WINDOWS
                        .iter()
                        .position(|window| window == target)
                        .expect("every frozen or written window has a row");
                    row.counters
                        .iter()
                        .all(|(bucket, counters)| self.rows[index].row.get(bucket) == *counters)
                })
    }

    /// Returns the number of requests in frozen reports and in rows of open windows.
    fn accounted(&self) -> u64 {
        let frozen: u64 = self.frozen.iter().flatten().sum();
        let open = |(index, _): &(usize, &Stored)| WINDOWS[*index] > self.head;
        let rows = self.rows.iter().enumerate().filter(open);
        frozen + rows.map(|(_, stored)| sum(&stored.row)).sum::<u64>()
    }

    /// Returns whether no window has two different reports, no request is stored twice, and none is
    /// lost in a quiet state.
    fn is_valid(&self) -> bool {
        let total: u64 = self.counted.iter().sum();
        let is_single = self.reported.iter().all(|totals| totals.len() <= 1);
        let is_doubled = self.rows.iter().map(|stored| sum(&stored.row)).sum::<u64>() > total;
        let is_lost = self.is_quiet() && self.accounted() != total;
        is_single && !is_doubled && !is_lost
    }
}

#[test]
fn each_window_has_one_report_and_no_usage_is_lost() {
    let mut states = 0u64;
    let mut quiet = 0u64;
    for state in bfs_reach(State::new(), |state| state.successors(Variant::Correct)) {
        assert!(state.is_valid(), "{state:#?}");
        states += 1;
        quiet += u64::from(state.is_quiet() && state.head == LAST_CLOSED);
    }
    println!(
        "usage model: {states} states, {quiet} with all windows closed and nothing left to do"
    );
    assert!(
        quiet > 0,
        "expected at least one quiet state with all windows closed"
    );
}

#[rstest]
#[case(Variant::Unchecked)]
#[case(Variant::Unread)]
#[case(Variant::Unfrozen)]
fn broken_variant_is_caught(#[case] variant: Variant) {
    let trace = bfs(
        &State::new(),
        |state| state.successors(variant),
        |state| !state.is_valid(),
    );
    let trace = trace.expect("the variant reaches an invalid state");
    println!(
        "usage model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}
