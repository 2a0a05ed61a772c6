//! Model check of the lease: processes with clocks of different rates, pauses at any point, lost
//! and late store messages, orders that reach the receiver late, and a store that returns from an older copy.
//!
//! The checks guard against two active holders, against two with one epoch, and against an order that is carried out after
//! one of a newer epoch or, without fencing, after a newer holder was recorded. What is recorded may be lost in a return, or
//! be an attempt of an earlier era that does not count; then a newer epoch is one that a process has held.

use std::collections::BTreeSet;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use agate_lease::{
    Attempt, Candidate, Entry, Holder, Permit, Renewal, Row, Settlement, Terms, Verdict,
};
use agate_model::revision;
use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

const TERMS: Terms = Terms {
    term: Duration::from_secs(3),
    margin: Duration::from_secs(1),
    renewal: Duration::from_secs(1),
    flight: Duration::from_secs(FLIGHT_TICKS as u64),
    idle: Duration::from_secs(IDLE_TICKS as u64),
};
const FLIGHT_TICKS: u8 = 1;
const IDLE_TICKS: u8 = 1;
/// Milliseconds on a clock that is neither fast nor slow, for each tick of real time.
const TICK_MS: i64 = 1000;
/// Clocks run this many milliseconds a tick too fast or too slow.
const SKEW_MS: i64 = 100;

/// Which protections against late orders the receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Receiver {
    checks_epoch: bool,
    closes_idle: bool,
}

const FENCING: Receiver = Receiver {
    checks_epoch: true,
    closes_idle: false,
};
const NOT_FENCING: Receiver = Receiver {
    checks_epoch: false,
    closes_idle: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// The rules as implemented.
    Correct,
    /// The receiver does not close connections on which nothing arrives.
    IdleNotClosed,
    /// The term is counted from the response of the store.
    TermFromResponse,
    /// Orders are sent without checking the permit after connecting.
    PermitUnchecked,
    /// The candidate waits for the term alone, without `flight` and `idle`.
    ShortWait,
    /// The holder does not stop before its term ends.
    NoMargin,
    /// The epoch is the one of the row found, and one more.
    EpochFromRow,
    /// A renewal in another era counts after the term is over.
    RenewalAfterTerm,
    /// An attempt counts in another era than its own.
    AttemptInLaterEra,
    /// A candidate does not wait in a later era if the row is absent.
    AbsentRowUnwaited,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Candidate(Candidate),
    Acquiring(Attempt),
    Holder(Holder),
}

/// Progress of the one order that each process sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    None,
    Recorded(Permit),
    Connected {
        permit: Permit,
        connected_at: u8,
    },
    /// The permit was found valid; the next step sends, however late it comes.
    Checked {
        epoch: u64,
        connected_at: u8,
    },
    Finished,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    role: Role,
    stage: Stage,
    /// Whether this process's clock runs too fast; it runs too slow otherwise.
    has_fast_clock: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    sender: usize,
    check: Option<u64>,
    row: Row,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Order {
    epoch: u64,
    sent_at: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// Era of the store.
    era: u64,
    row: Option<Entry>,
    /// Rows before the present one, oldest first, from which the store may return.
    copies: Vec<Option<Entry>>,
    /// Number of acquisitions that were carried out.
    grants: u64,
    /// Epochs that processes have held, each with its process.
    held: BTreeSet<(u64, usize)>,
    processes: Vec<Process>,
    messages: Vec<Message>,
    orders: Vec<Order>,
    /// Highest epoch of an order that was carried out; 0 before the first.
    highest_epoch: u64,
    /// Whether an order was carried out after one of a newer epoch.
    reordered: bool,
    /// Whether an order was carried out after a newer holder was recorded.
    late: bool,
}

struct Checker {
    variant: Variant,
    receiver: Receiver,
    /// Bound on real time, in ticks.
    max_ticks: u8,
    /// Bound on the renewals in one tenure.
    max_renewals: u64,
    /// Bound on the changes of holder; the last tenure is not renewed.
    max_grants: u64,
    /// Bound on the returns of the store.
    max_returns: u64,
    /// Whether holders send orders; without them, more renewals and returns can be explored.
    has_orders: bool,
}

fn base() -> Instant {
    static BASE: OnceLock<Instant> = OnceLock::new();
    *BASE.get_or_init(Instant::now)
}

fn terms(variant: Variant) -> Terms {
    match variant {
        Variant::ShortWait => Terms {
            flight: Duration::ZERO,
            idle: Duration::ZERO,
            ..TERMS
        },
        Variant::NoMargin => Terms {
            margin: Duration::ZERO,
            ..TERMS
        },
        _ => TERMS,
    }
}

impl State {
    fn new(fast_clocks: &[bool], variant: Variant) -> Self {
        let process = |(number, has_fast_clock): (usize, &bool)| Process {
            role: Role::Candidate(Candidate::new(
                terms(variant),
                number.to_string(),
                "incarnation".to_owned(),
            )),
            stage: Stage::None,
            has_fast_clock: *has_fast_clock,
        };
        Self {
            now: 0,
            era: 0,
            row: None,
            copies: Vec::new(),
            grants: 0,
            held: BTreeSet::new(),
            processes: fast_clocks.iter().enumerate().map(process).collect(),
            messages: Vec::new(),
            orders: Vec::new(),
            highest_epoch: 0,
            reordered: false,
            late: false,
        }
    }

    /// Returns the reading of a process's clock.
    fn clock(&self, process: usize) -> Instant {
        let skew = if self.processes[process].has_fast_clock {
            SKEW_MS
        } else {
            -SKEW_MS
        };
        let elapsed = i64::from(self.now) * (TICK_MS + skew);
        base() + Duration::from_millis(elapsed.unsigned_abs())
    }

    fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |entry| entry.row.epoch)
    }

    /// Returns whether the row is of a tenure of this process.
    fn is_own(&self, process: usize) -> bool {
        self.row
            .as_ref()
            .is_some_and(|entry| entry.row.host == process.to_string())
    }

    /// Returns the newest revision of the store.
    fn revision(&self) -> u64 {
        let first = revision::join(self.era, 0).expect("eras are small");
        self.row.as_ref().map_or(first, |entry| entry.revision)
    }

    /// Returns the number under which the row is checked; `None` if it is absent.
    fn number(&self) -> Option<u64> {
        self.row
            .as_ref()
            .map(|entry| revision::number(entry.revision))
    }

    /// Drops the transactions whose check can no longer hold.
    fn drop_stale_messages(&mut self) {
        let number = self.number();
        self.messages.retain(|message| message.check >= number);
    }

    /// Records the epochs that processes hold.
    fn record_held(&mut self) {
        for (number, process) in self.processes.iter().enumerate() {
            if let Role::Holder(holder) = &process.role {
                self.held.insert((holder.epoch(), number));
            }
        }
    }

    /// Returns whether two processes have held one epoch.
    fn has_shared_epoch(&self) -> bool {
        let epochs = self.held.iter().map(|(epoch, _)| epoch);
        epochs
            .clone()
            .zip(epochs.skip(1))
            .any(|(left, right)| left == right)
    }

    fn send(&mut self, message: Message) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
            self.messages.sort_by_key(|message| format!("{message:?}"));
        }
    }

    fn active_holders(&self) -> usize {
        let is_active = |(number, process): (usize, &Process)| match &process.role {
            Role::Holder(holder) => holder.is_active(self.clock(number)),
            _ => false,
        };
        self.processes
            .iter()
            .enumerate()
            .filter(|process| is_active(*process))
            .count()
    }
}

impl Checker {
    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for process in 0..state.processes.len() {
            self.step_role(state, process, &mut next);
            if self.has_orders {
                self.step_order(state, process, &mut next);
            }
        }
        self.deliver(state, &mut next);
        self.arrive(state, &mut next);
        self.tick(state, &mut next);
        self.return_from_copies(state, &mut next);
        next.retain(|new| new != state && new.grants <= self.max_grants);
        for new in &mut next {
            if new.era == self.max_returns {
                new.copies.clear();
                new.drop_stale_messages();
            }
            if self.max_returns > 0 {
                new.record_held();
            }
        }
        next
    }

    /// Adds the states after the store returned from each copy. What the copy has is of the new era, as clients see it.
    fn return_from_copies(&self, state: &State, next: &mut Vec<State>) {
        if state.era == self.max_returns {
            return;
        }
        let present = std::iter::once(&state.row);
        for (index, copy) in state.copies.iter().chain(present).enumerate() {
            let mut new = state.clone();
            new.era += 1;
            new.copies.truncate(index);
            let renew =
                |old| revision::join(new.era, revision::number(old)).expect("eras are small");
            new.row = copy.clone().map(|entry| Entry {
                revision: renew(entry.revision),
                ..entry
            });
            next.push(new);
        }
    }

    fn tick(&self, state: &State, next: &mut Vec<State>) {
        let is_due = |order: &Order| state.now - order.sent_at >= FLIGHT_TICKS;
        if state.now < self.max_ticks && !state.orders.iter().any(is_due) {
            let mut state = state.clone();
            state.now += 1;
            next.push(state);
        }
    }

    fn step_role(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let now = state.clock(process);
        let is_last = state.grants == self.max_grants;
        let mut new = state.clone();
        match &mut new.processes[process].role {
            Role::Candidate(_) | Role::Acquiring(_) if is_last && !state.is_own(process) => {}
            Role::Candidate(candidate) => {
                candidate.observe_revision(state.revision());
                let is_unwaited = self.variant == Variant::AbsentRowUnwaited && state.row.is_none();
                let verdict = candidate.observe(state.row.as_ref(), now);
                if verdict == Verdict::Acquire || is_unwaited {
                    let nonce = format!("{process}/{}", state.revision());
                    let mut attempt = candidate.acquire(state.row.as_ref(), nonce, now);
                    if self.variant == Variant::EpochFromRow {
                        attempt.row.epoch = state.epoch() + 1;
                    }
                    self.start_acquire(&mut new, process, attempt);
                }
                next.push(new);
            }
            Role::Acquiring(attempt) => {
                let attempt = attempt.clone();
                let found = self.as_known(state.row.as_ref(), &state.processes[process].role);
                new.processes[process].role = match attempt.settle(found.as_ref()) {
                    Settlement::Held(holder) => Role::Holder(self.started_holder(*holder, now)),
                    Settlement::Unchanged => {
                        self.start_acquire(&mut new, process, attempt);
                        next.push(new);
                        return;
                    }
                    Settlement::Lost => self.candidate(process),
                };
                next.push(new);
            }
            Role::Holder(holder) => {
                let mut settled = state.clone();
                let found = self.as_known(state.row.as_ref(), &state.processes[process].role);
                if let Role::Holder(holder) = &mut settled.processes[process].role
                    && holder.settle(found.as_ref(), now).is_err()
                {
                    settled.processes[process].role = self.candidate(process);
                }
                next.push(settled);
                let renewal = holder.renew(now);
                if renewal.row.renewals <= self.max_renewals && !is_last {
                    new.send(renewal_message(process, renewal));
                    next.push(new);
                }
                self.release(state, process, next);
            }
        }
    }

    /// Adds the state after a holder with nothing in flight released the lease.
    fn release(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let has_order = !matches!(
            state.processes[process].stage,
            Stage::None | Stage::Finished
        );
        let Role::Holder(holder) = &state.processes[process].role else {
            return;
        };
        let is_in_flight = state
            .orders
            .iter()
            .any(|order| order.epoch == holder.epoch());
        if has_order || is_in_flight {
            return;
        }
        let mut new = state.clone();
        new.send(renewal_message(process, holder.clone().release()));
        new.processes[process].role = self.candidate(process);
        next.push(new);
    }

    /// Returns the row as a process takes it: one that ignores eras takes it for one of the era that it knows.
    fn as_known(&self, found: Option<&Entry>, role: &Role) -> Option<Entry> {
        let known = match (self.variant, role) {
            (Variant::RenewalAfterTerm, Role::Holder(holder)) => holder.revision(),
            (Variant::AttemptInLaterEra, Role::Acquiring(attempt)) => attempt.row.epoch,
            _ => return found.cloned(),
        };
        found.cloned().map(|entry| {
            let number = revision::number(entry.revision);
            let revision = revision::join(revision::era(known), number);
            Entry {
                revision: revision.expect("eras are small"),
                ..entry
            }
        })
    }

    fn candidate(&self, process: usize) -> Role {
        let terms = terms(self.variant);
        Role::Candidate(Candidate::new(
            terms,
            process.to_string(),
            "incarnation".to_owned(),
        ))
    }

    /// Returns the holder once the response to its acquisition has arrived, possibly late.
    fn started_holder(&self, mut holder: Holder, now: Instant) -> Holder {
        if self.variant == Variant::TermFromResponse {
            let renewal = holder.renew(now);
            holder
                .renewed(renewal.check, now)
                .expect("the era is the same");
        }
        holder
    }

    fn start_acquire(&self, state: &mut State, process: usize, attempt: Attempt) {
        state.send(Message {
            sender: process,
            check: attempt.check.map(revision::number),
            row: attempt.row.clone(),
        });
        state.processes[process].role = Role::Acquiring(attempt);
    }

    fn step_order(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let now = state.clock(process);
        let mut new = state.clone();
        let stage = match &state.processes[process].stage {
            Stage::None => {
                let Role::Holder(holder) = &state.processes[process].role else {
                    return;
                };
                let Some(ticket) = holder.ticket(now) else {
                    return;
                };
                // The store responds at once, or the order is not sent. A late response has the
                // same effect as a pause in the next stage.
                if state.number() != Some(revision::number(ticket.revision())) {
                    return;
                }
                Stage::Recorded(ticket.recorded())
            }
            Stage::Recorded(permit) => Stage::Connected {
                permit: *permit,
                connected_at: state.now,
            },
            Stage::Connected {
                permit,
                connected_at,
            } => {
                if permit.is_valid(now) || self.variant == Variant::PermitUnchecked {
                    Stage::Checked {
                        epoch: permit.epoch(),
                        connected_at: *connected_at,
                    }
                } else {
                    Stage::Finished
                }
            }
            Stage::Checked {
                epoch,
                connected_at,
            } => {
                if !self.is_closed(state.now - connected_at) {
                    new.orders.push(Order {
                        epoch: *epoch,
                        sent_at: state.now,
                    });
                }
                Stage::Finished
            }
            Stage::Finished => return,
        };
        new.processes[process].stage = stage;
        next.push(new);
    }

    fn is_closed(&self, idle_ticks: u8) -> bool {
        self.receiver.closes_idle
            && self.variant != Variant::IdleNotClosed
            && idle_ticks > IDLE_TICKS
    }

    /// Adds the states after a transaction took effect, with its response received or lost. One
    /// that never takes effect stays in flight.
    fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.messages.len() {
            let mut new = state.clone();
            let message = new.messages.remove(index);
            if state.number() != message.check {
                continue;
            }
            let entry = Entry {
                row: message.row,
                revision: state.revision() + 1,
            };
            let is_grant = entry.row.renewals == 0 && !entry.row.released;
            new.grants += u64::from(is_grant);
            new.copies.push(state.row.clone());
            new.row = Some(entry.clone());
            next.push(new.clone());
            self.respond(&mut new, message.sender, &entry);
            next.push(new);
        }
    }

    fn respond(&self, state: &mut State, process: usize, entry: &Entry) {
        let now = state.clock(process);
        let role = &mut state.processes[process].role;
        let found = self.as_known(Some(entry), role);
        let revision = found.as_ref().map_or(0, |entry| entry.revision);
        let is_lost = match role {
            Role::Acquiring(attempt) if attempt.row == entry.row => {
                match attempt.clone().committed(revision) {
                    Ok(holder) => {
                        *role = Role::Holder(self.started_holder(holder, now));
                        false
                    }
                    Err(_) => true,
                }
            }
            Role::Holder(holder) if !entry.row.released => {
                holder.settle(found.as_ref(), now).is_err() && self.max_returns > 0
            }
            _ => false,
        };
        if is_lost {
            state.processes[process].role = self.candidate(process);
        }
    }

    /// Adds the states after an order reached the receiver. A lost order has no effect and is left
    /// out.
    fn arrive(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.orders.len() {
            let mut arrived = state.clone();
            let order = arrived.orders.remove(index);
            if self.receiver.checks_epoch && order.epoch < arrived.highest_epoch {
                next.push(arrived);
                continue;
            }
            arrived.late |= match self.max_returns {
                0 => order.epoch < arrived.epoch(),
                _ => arrived
                    .held
                    .last()
                    .is_some_and(|(held, _)| order.epoch < *held),
            };
            arrived.reordered |= order.epoch < arrived.highest_epoch;
            arrived.highest_epoch = arrived.highest_epoch.max(order.epoch);
            next.push(arrived);
        }
    }

    fn is_valid(&self, state: &State) -> bool {
        let is_late = state.late && !self.receiver.checks_epoch;
        let is_shared = state.has_shared_epoch();
        !state.reordered && !is_late && !is_shared && state.active_holders() <= 1
    }
}

fn renewal_message(sender: usize, renewal: Renewal) -> Message {
    Message {
        sender,
        check: Some(revision::number(renewal.check)),
        row: renewal.row,
    }
}

#[rstest]
#[case::fencing(FENCING)]
#[case::not_fencing(NOT_FENCING)]
fn two_processes_never_violate_the_lease(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Correct,
        receiver,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    explore(&checker, &[false, true]);
}

#[rstest]
#[case::fencing(FENCING)]
#[case::not_fencing(NOT_FENCING)]
fn three_processes_never_violate_the_lease(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Correct,
        receiver,
        max_ticks: 6,
        max_renewals: 0,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    explore(&checker, &[false, true, true]);
}

/// Returns a checker of two processes with a store that returns from an older copy.
fn returning(variant: Variant, receiver: Receiver) -> Checker {
    Checker {
        variant,
        receiver,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 1,
        has_orders: true,
    }
}

/// Guards against two tenures with one epoch, and against two holders, across returns of the store.
#[rstest]
#[case::fencing(FENCING, 6, 0, 1, true)]
#[case::not_fencing(NOT_FENCING, 6, 0, 1, true)]
#[case::renewal(NOT_FENCING, 7, 1, 1, false)]
#[case::two_returns(NOT_FENCING, 6, 0, 2, false)]
fn two_processes_never_violate_the_lease_across_a_return(
    #[case] receiver: Receiver,
    #[case] max_ticks: u8,
    #[case] max_renewals: u64,
    #[case] max_returns: u64,
    #[case] has_orders: bool,
) {
    let checker = Checker {
        max_ticks,
        max_renewals,
        max_returns,
        has_orders,
        ..returning(Variant::Correct, receiver)
    };
    explore(&checker, &[false, true]);
}

fn explore(checker: &Checker, fast_clocks: &[bool]) {
    assert!(TERMS.covers_drift(0.1));
    let mut states = 0u64;
    let mut later_epoch_states = 0u64;
    let mut later_holder_states = 0u64;
    for state in bfs_reach(State::new(fast_clocks, checker.variant), |state| {
        checker.successors(state)
    }) {
        assert!(
            checker.is_valid(&state),
            "two active holders, one epoch held twice, or a late or reordered order: {state:#?}"
        );
        states += 1;
        later_epoch_states += u64::from(state.highest_epoch > 1);
        let holders: BTreeSet<_> = state.held.iter().map(|(_, process)| process).collect();
        later_holder_states += u64::from(holders.len() > 1);
    }
    println!(
        "lease model, {:?}, fast clocks {fast_clocks:?}, returns {}: {states} states, {later_epoch_states} with \
         an order of a later epoch, {later_holder_states} with a later holder",
        checker.receiver, checker.max_returns
    );
    let is_vacuous = checker.max_returns > 0 && later_holder_states == 0;
    assert!(
        !is_vacuous,
        "no second process holds the lease in any state"
    );
}

#[rstest]
#[case(Variant::IdleNotClosed)]
#[case(Variant::TermFromResponse)]
#[case(Variant::PermitUnchecked)]
#[case(Variant::ShortWait)]
#[case(Variant::NoMargin)]
fn broken_variant_violates_the_lease_with_a_receiver_without_fencing(#[case] variant: Variant) {
    let checker = Checker {
        variant,
        receiver: NOT_FENCING,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    let start = State::new(&[false, true], variant);
    let trace = bfs(
        &start,
        |state| checker.successors(state),
        |state| !checker.is_valid(state),
    );
    let trace = trace.expect("the broken variant reaches a violation");
    println!(
        "lease model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}

/// Guards against a check that misses a broken rule on returns.
#[rstest]
#[case(Variant::EpochFromRow)]
#[case(Variant::RenewalAfterTerm)]
#[case(Variant::AttemptInLaterEra)]
#[case(Variant::AbsentRowUnwaited)]
fn broken_variant_violates_the_lease_across_a_return(#[case] variant: Variant) {
    let checker = returning(variant, NOT_FENCING);
    let start = State::new(&[false, true], variant);
    let trace = bfs(
        &start,
        |state| checker.successors(state),
        |state| !checker.is_valid(state),
    );
    let trace = trace.expect("the broken variant reaches a violation");
    println!(
        "lease model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}
