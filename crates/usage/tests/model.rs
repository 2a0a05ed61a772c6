//! Model check: a host and its peer write the same rows while two holders close,
//! freeze and report windows. Every store message may be late or have no answer.

use std::collections::BTreeSet;
use std::time::Duration;

use agate_usage::report;
use agate_usage::window::{Head, Schedule};
use agate_usage::{Figures, Ledger, Part, Row};
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(10),
    grace: Duration::ZERO,
};
/// Windows in which usage is counted, with its bound.
const COUNTED: [(u64, u64); 2] = [(10, 2), (20, 0)];
/// Windows that have rows.
const WINDOWS: [u64; 3] = [10, 20, 30];
/// Last window that is closed.
const LAST_CLOSED: u64 = 20;
/// Bound on transactions on their way at once.
const MESSAGES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// Rows are written without a check of the head.
    Unchecked,
    /// A writer takes its own last write for the contents of a closed row.
    Unread,
    /// A holder reports what it reads, without a frozen row, before the window is closed.
    Unfrozen,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Stored {
    row: Row,
    revision: u8,
}

/// The host itself, or the peer that mirrors it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Writer {
    ledger: Ledger,
    head: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Effect {
    /// Check of the head and of the row's revision.
    Write {
        head: u64,
        index: usize,
        revision: u8,
        parts: Vec<(Part, u64)>,
    },
    Close {
        window: u64,
        epoch: u64,
    },
    Freeze {
        window: u64,
        epoch: u64,
        requests: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    counted: [u64; 2],
    writers: [Writer; 2],
    rows: [Stored; 3],
    head: u64,
    epoch: u64,
    frozen: [Option<u64>; 2],
    messages: Vec<Effect>,
    /// Figures that the receiver was sent, for each window.
    reported: [BTreeSet<u64>; 2],
}

fn requests(requests: u64) -> Figures {
    Figures {
        requests,
        ..Figures::default()
    }
}

fn part(origin: u64) -> Part {
    Part {
        account: "a".to_owned(),
        origin,
    }
}

fn sum(row: &Row) -> u64 {
    row.parts.values().map(|it| it.requests).sum()
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
            messages: Vec::new(),
            reported: Default::default(),
        }
    }

    fn successors(&self, variant: Variant) -> Vec<State> {
        let mut next = Vec::new();
        self.count(&mut next);
        for writer in 0..2 {
            self.step_writer(writer, variant, &mut next);
        }
        for epoch in 1..=self.epoch {
            self.step_holder(epoch, variant, &mut next);
        }
        if self.epoch == 1 {
            self.with(|it| it.epoch = 2, &mut next);
        }
        for index in 0..self.messages.len() {
            self.with(|it| it.deliver(index, variant), &mut next);
        }
        next.retain(|it| it.messages.len() <= MESSAGES);
        next
    }

    fn with(&self, change: impl FnOnce(&mut State), next: &mut Vec<State>) {
        let mut state = self.clone();
        change(&mut state);
        state.forget_stale_messages();
        if state != *self {
            next.push(state);
        }
    }

    /// Drops writes whose check of the row can no longer hold.
    fn forget_stale_messages(&mut self) {
        let rows = &self.rows;
        self.messages.retain(|it| match it {
            Effect::Write {
                index, revision, ..
            } => rows[*index].revision == *revision,
            Effect::Close { .. } | Effect::Freeze { .. } => true,
        });
    }

    /// The gate counts a request; its host knows at once, the peer later.
    fn count(&self, next: &mut Vec<State>) {
        for (index, (origin, bound)) in COUNTED.into_iter().enumerate() {
            let total = self.counted[index] + 1;
            if total <= bound {
                self.with(
                    |it| {
                        it.counted[index] = total;
                        it.writers[0].ledger.observe(part(origin), requests(total));
                    },
                    next,
                );
            }
        }
        self.with(
            |it| {
                let totals = it.writers[0].ledger.totals().clone();
                it.writers[1].ledger.merge(&totals);
            },
            next,
        );
    }

    fn step_writer(&self, writer: usize, variant: Variant, next: &mut Vec<State>) {
        self.with(|it| it.writers[writer].head = it.head, next);
        let known = Head {
            closed: self.writers[writer].head,
            epoch: 1,
        };
        let unread = self.writers[writer].ledger.unread(known, &SCHEDULE);
        if let Some(window) = unread.first().copied() {
            self.with(|it| it.read(writer, window, variant), next);
            return;
        }
        for ((target, _), row) in self.writers[writer].ledger.rows(known, &SCHEDULE) {
            let index = WINDOWS
                .iter()
                .position(|it| *it == target)
                .expect("a window with a row");
            let mut merged = self.rows[index].row.clone();
            merged.merge(&row);
            if merged == self.rows[index].row {
                continue;
            }
            let parts = merged
                .parts
                .into_iter()
                .map(|(part, it)| (part, it.requests));
            let effect = Effect::Write {
                head: known.closed,
                index,
                revision: self.rows[index].revision,
                parts: parts.collect(),
            };
            self.with(|it| it.post(effect), next);
        }
    }

    fn read(&mut self, writer: usize, window: u64, variant: Variant) {
        let index = WINDOWS
            .iter()
            .position(|it| *it == window)
            .expect("a window with a row");
        let row = if variant == Variant::Unread {
            let mut own = Row::default();
            own.observe(
                part(window),
                self.writers[writer].ledger.totals().get(&part(window)),
            );
            own
        } else {
            self.rows[index].row.clone()
        };
        self.writers[writer].ledger.settle(window, row);
    }

    fn step_holder(&self, epoch: u64, variant: Variant, next: &mut Vec<State>) {
        let window = self.head + 10;
        if window <= LAST_CLOSED {
            self.with(|it| it.post(Effect::Close { window, epoch }), next);
        }
        for (index, frozen) in self.frozen.iter().enumerate() {
            let window = WINDOWS[index];
            let total = report::figures(window, [&self.rows[index].row]);
            let requests = total.get("a").map_or(0, |it| it.figures.requests);
            if variant == Variant::Unfrozen {
                self.with(|it| it.report(index, requests), next);
                continue;
            }
            if window <= self.head && frozen.is_none() {
                let effect = Effect::Freeze {
                    window,
                    epoch,
                    requests,
                };
                self.with(|it| it.post(effect), next);
            }
            // A report may be sent by a holder whose lease has lapsed.
            if let Some(requests) = *frozen {
                self.with(|it| it.report(index, requests), next);
            }
        }
    }

    fn report(&mut self, index: usize, requests: u64) {
        self.reported[index].insert(requests);
    }

    fn post(&mut self, effect: Effect) {
        if !self.messages.contains(&effect) {
            self.messages.push(effect);
            self.messages.sort();
        }
    }

    /// A transaction takes effect if its checks hold. Nothing depends on its answer.
    fn deliver(&mut self, index: usize, variant: Variant) {
        match self.messages.remove(index) {
            Effect::Write {
                head, index, parts, ..
            } => {
                if head != self.head && variant != Variant::Unchecked {
                    return;
                }
                let stored = &mut self.rows[index];
                stored.revision += 1;
                stored.row = Row::default();
                for (part, total) in parts {
                    stored.row.observe(part, requests(total));
                }
            }
            Effect::Close { window, epoch } => {
                if epoch == self.epoch && window == self.head + 10 {
                    self.head = window;
                }
            }
            Effect::Freeze {
                window,
                epoch,
                requests,
            } => {
                let index = WINDOWS
                    .iter()
                    .position(|it| *it == window)
                    .expect("a window");
                if epoch == self.epoch && self.frozen[index].is_none() {
                    self.frozen[index] = Some(requests);
                }
            }
        }
    }

    /// The host has written all that it counted, and every closed window is frozen.
    fn is_quiet(&self) -> bool {
        let host = &self.writers[0];
        let head = Head {
            closed: self.head,
            epoch: 1,
        };
        let is_frozen =
            |(index, it): (usize, &Option<u64>)| WINDOWS[index] > self.head || it.is_some();
        host.head == self.head
            && self.messages.is_empty()
            && self.frozen.iter().enumerate().all(is_frozen)
            && host.ledger.unread(head, &SCHEDULE).is_empty()
            && host
                .ledger
                .rows(head, &SCHEDULE)
                .iter()
                .all(|((target, _), row)| {
                    let index = WINDOWS
                        .iter()
                        .position(|it| it == target)
                        .expect("a window");
                    row.parts
                        .iter()
                        .all(|(part, it)| self.rows[index].row.get(part) == *it)
                })
    }

    /// Requests in frozen reports and in rows of open windows.
    fn accounted(&self) -> u64 {
        let frozen: u64 = self.frozen.iter().flatten().sum();
        let open = |(index, _): &(usize, &Stored)| WINDOWS[*index] > self.head;
        let rows = self.rows.iter().enumerate().filter(open);
        frozen + rows.map(|(_, it)| sum(&it.row)).sum::<u64>()
    }

    fn is_valid(&self) -> bool {
        let total: u64 = self.counted.iter().sum();
        let is_single = self.reported.iter().all(|it| it.len() <= 1);
        let is_doubled = self.rows.iter().map(|it| sum(&it.row)).sum::<u64>() > total;
        let is_lost = self.is_quiet() && self.accounted() != total;
        is_single && !is_doubled && !is_lost
    }
}

#[test]
fn one_report_for_each_window_and_nothing_lost() {
    let mut states = 0u64;
    let mut quiet = 0u64;
    for state in bfs_reach(State::new(), |it| it.successors(Variant::Right)) {
        assert!(state.is_valid(), "{state:#?}");
        states += 1;
        quiet += u64::from(state.is_quiet() && state.head == LAST_CLOSED);
    }
    println!(
        "usage model: {states} states, {quiet} with all windows closed and nothing left to do"
    );
    assert!(quiet > 0, "the model must come to rest");
}

#[rstest]
#[case(Variant::Unchecked)]
#[case(Variant::Unread)]
#[case(Variant::Unfrozen)]
fn broken_variant_is_caught(#[case] variant: Variant) {
    let trace = bfs(
        &State::new(),
        |it| it.successors(variant),
        |it| !it.is_valid(),
    );
    let trace = trace.expect("a violation");
    println!(
        "usage model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}
