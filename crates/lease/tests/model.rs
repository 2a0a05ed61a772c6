//! Model check: processes with clocks of different rates, pauses at any point,
//! lost and late store messages, and orders that are late at the receiver.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use agate_lease::{
    Attempt, Candidate, Holder, Permit, Renewal, Row, Seen, Settlement, Terms, Verdict,
};
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

/// A receiver of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Receiver {
    checks_fencing: bool,
    closes_idle: bool,
}

const FENCING: Receiver = Receiver {
    checks_fencing: true,
    closes_idle: false,
};
const IGNORING: Receiver = Receiver {
    checks_fencing: false,
    closes_idle: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// The receiver keeps connections on which nothing arrives.
    IdleKept,
    /// The term is counted from the answer of the store.
    TermFromAnswer,
    /// Orders are sent without asking the permit after connecting.
    Unasked,
    /// The candidate waits for the term alone.
    ShortWait,
    /// The holder does not stop early.
    NoMargin,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Candidate(Candidate),
    Acquiring(Attempt),
    Holder(Holder),
}

/// Progress of the one order that each process gives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    None,
    Recorded(Permit),
    Connected {
        permit: Permit,
        at: u8,
    },
    /// The permit was valid; the next step sends, however long it takes.
    Asked {
        epoch: u64,
        at: u8,
    },
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    role: Role,
    stage: Stage,
    /// Whether this process's clock is fast.
    fast: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    from: usize,
    check: Option<u64>,
    row: Row,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Order {
    epoch: u64,
    sent: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    row: Option<Seen>,
    processes: Vec<Process>,
    messages: Vec<Message>,
    orders: Vec<Order>,
    /// Highest epoch of an order that was carried out.
    highest: u64,
    /// An order was carried out after one of a newer epoch.
    reordered: bool,
    /// An order reached the receiver after a newer holder was recorded.
    late: bool,
}

struct Checker {
    variant: Variant,
    receiver: Receiver,
    /// Real time after which the check ends, in ticks.
    horizon: u8,
    /// Renewals in one tenure.
    renewals: u64,
    /// Changes of holder.
    epochs: u64,
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
    fn new(fast: &[bool], variant: Variant) -> Self {
        let process = |(number, fast): (usize, &bool)| Process {
            role: Role::Candidate(Candidate::new(
                terms(variant),
                number.to_string(),
                "run".to_owned(),
            )),
            stage: Stage::None,
            fast: *fast,
        };
        Self {
            now: 0,
            row: None,
            processes: fast.iter().enumerate().map(process).collect(),
            messages: Vec::new(),
            orders: Vec::new(),
            highest: 0,
            reordered: false,
            late: false,
        }
    }

    /// Reading of a process's clock.
    fn clock(&self, process: usize) -> Instant {
        let skew = if self.processes[process].fast {
            SKEW_MS
        } else {
            -SKEW_MS
        };
        let elapsed = i64::from(self.now) * (TICK_MS + skew);
        base() + Duration::from_millis(elapsed.unsigned_abs())
    }

    fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |it| it.row.epoch)
    }

    /// Whether the row is of a tenure of this process.
    fn is_own(&self, process: usize) -> bool {
        self.row
            .as_ref()
            .is_some_and(|it| it.row.host == process.to_string())
    }

    /// Drops the transactions whose check can no longer hold.
    fn forget_stale_messages(&mut self) {
        let revision = self.row.as_ref().map(|it| it.revision);
        self.messages.retain(|it| it.check >= revision);
    }

    fn post(&mut self, message: Message) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
            self.messages.sort_by_key(|it| format!("{it:?}"));
        }
    }

    fn active(&self) -> usize {
        let is_active = |(number, process): (usize, &Process)| match &process.role {
            Role::Holder(holder) => holder.is_active(self.clock(number)),
            _ => false,
        };
        self.processes
            .iter()
            .enumerate()
            .filter(|it| is_active(*it))
            .count()
    }
}

impl Checker {
    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for process in 0..state.processes.len() {
            self.step_role(state, process, &mut next);
            self.step_order(state, process, &mut next);
        }
        self.deliver(state, &mut next);
        self.arrive(state, &mut next);
        self.tick(state, &mut next);
        next.retain(|it| it != state && it.epoch() <= self.epochs);
        for it in &mut next {
            it.forget_stale_messages();
        }
        next
    }

    fn tick(&self, state: &State, next: &mut Vec<State>) {
        let is_due = |it: &Order| state.now - it.sent >= FLIGHT_TICKS;
        if state.now < self.horizon && !state.orders.iter().any(is_due) {
            let mut state = state.clone();
            state.now += 1;
            next.push(state);
        }
    }

    fn step_role(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let now = state.clock(process);
        let is_last = state.epoch() == self.epochs;
        let mut new = state.clone();
        match &mut new.processes[process].role {
            Role::Candidate(_) | Role::Acquiring(_) if is_last && !state.is_own(process) => {}
            Role::Candidate(candidate) => {
                if candidate.observe(state.row.as_ref(), now) == Verdict::Acquire {
                    let revision = state.row.as_ref().map_or(0, |it| it.revision);
                    let nonce = format!("{process}/{revision}");
                    let attempt = candidate.acquire(state.row.as_ref(), nonce, now);
                    self.begin_acquire(&mut new, process, attempt);
                }
                next.push(new);
            }
            Role::Acquiring(attempt) => {
                let attempt = attempt.clone();
                new.processes[process].role = match attempt.settle(state.row.as_ref()) {
                    Settlement::Held(holder) => Role::Holder(self.started(*holder, now)),
                    Settlement::Unchanged => {
                        self.begin_acquire(&mut new, process, attempt);
                        next.push(new);
                        return;
                    }
                    Settlement::Lost => self.candidate(process),
                };
                next.push(new);
            }
            Role::Holder(holder) => {
                let mut settled = state.clone();
                if let Role::Holder(holder) = &mut settled.processes[process].role
                    && holder.settle(state.row.as_ref()).is_err()
                {
                    settled.processes[process].role = self.candidate(process);
                }
                next.push(settled);
                let renewal = holder.renew(now);
                if renewal.row.beat <= self.renewals && !is_last {
                    new.post(renewal_message(process, renewal));
                    next.push(new);
                }
                self.release(state, process, next);
            }
        }
    }

    /// A holder with nothing in flight gives the lease up.
    fn release(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let has_order = !matches!(state.processes[process].stage, Stage::None | Stage::Over);
        let Role::Holder(holder) = &state.processes[process].role else {
            return;
        };
        let is_in_flight = state.orders.iter().any(|it| it.epoch == holder.epoch());
        if has_order || is_in_flight {
            return;
        }
        let mut new = state.clone();
        new.post(renewal_message(process, holder.clone().release()));
        new.processes[process].role = self.candidate(process);
        next.push(new);
    }

    fn candidate(&self, process: usize) -> Role {
        let terms = terms(self.variant);
        Role::Candidate(Candidate::new(terms, process.to_string(), "run".to_owned()))
    }

    /// The holder after the answer to its acquisition, which may be late.
    fn started(&self, mut holder: Holder, now: Instant) -> Holder {
        if self.variant == Variant::TermFromAnswer {
            let renewal = holder.renew(now);
            holder.renewed(renewal.check);
        }
        holder
    }

    fn begin_acquire(&self, state: &mut State, process: usize, attempt: Attempt) {
        state.post(Message {
            from: process,
            check: attempt.check,
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
                // The store answers at once, or the order is not sent. A late
                // answer is the same as a pause in the next stage.
                let revision = state.row.as_ref().map(|it| it.revision);
                if revision != Some(ticket.revision()) {
                    return;
                }
                Stage::Recorded(ticket.recorded())
            }
            Stage::Recorded(permit) => Stage::Connected {
                permit: *permit,
                at: state.now,
            },
            Stage::Connected { permit, at } => {
                if permit.is_valid(now) || self.variant == Variant::Unasked {
                    Stage::Asked {
                        epoch: permit.epoch(),
                        at: *at,
                    }
                } else {
                    Stage::Over
                }
            }
            Stage::Asked { epoch, at } => {
                if !self.is_closed(state.now - at) {
                    new.orders.push(Order {
                        epoch: *epoch,
                        sent: state.now,
                    });
                }
                Stage::Over
            }
            Stage::Over => return,
        };
        new.processes[process].stage = stage;
        next.push(new);
    }

    fn is_closed(&self, idle: u8) -> bool {
        self.receiver.closes_idle && self.variant != Variant::IdleKept && idle > IDLE_TICKS
    }

    /// A transaction takes effect, and its answer arrives or is lost. One that
    /// never takes effect stays on its way.
    fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.messages.len() {
            let mut done = state.clone();
            let message = done.messages.remove(index);
            if state.row.as_ref().map(|it| it.revision) != message.check {
                continue;
            }
            let seen = Seen {
                row: message.row,
                revision: message.check.unwrap_or(0) + 1,
            };
            done.row = Some(seen.clone());
            next.push(done.clone());
            self.answer(&mut done, message.from, &seen);
            next.push(done);
        }
    }

    fn answer(&self, state: &mut State, process: usize, seen: &Seen) {
        let now = state.clock(process);
        let role = &mut state.processes[process].role;
        match role {
            Role::Acquiring(attempt) if attempt.row == seen.row => {
                let holder = attempt.clone().committed(seen.revision);
                *role = Role::Holder(self.started(holder, now));
            }
            Role::Holder(holder) if !seen.row.released => {
                let _ = holder.settle(Some(seen));
            }
            _ => {}
        }
    }

    /// An order reaches the receiver. One that is lost has no effect and is left out.
    fn arrive(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.orders.len() {
            let mut arrived = state.clone();
            let order = arrived.orders.remove(index);
            if self.receiver.checks_fencing && order.epoch < arrived.highest {
                next.push(arrived);
                continue;
            }
            arrived.late |= order.epoch < arrived.epoch();
            arrived.reordered |= order.epoch < arrived.highest;
            arrived.highest = arrived.highest.max(order.epoch);
            next.push(arrived);
        }
    }

    fn is_valid(&self, state: &State) -> bool {
        let is_late = state.late && !self.receiver.checks_fencing;
        !state.reordered && !is_late && state.active() <= 1
    }
}

fn renewal_message(from: usize, renewal: Renewal) -> Message {
    Message {
        from,
        check: Some(renewal.check),
        row: renewal.row,
    }
}

#[rstest]
#[case::fencing(FENCING)]
#[case::ignoring(IGNORING)]
fn two_processes(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Right,
        receiver,
        horizon: 8,
        renewals: 1,
        epochs: 2,
    };
    explore(&checker, &[false, true]);
}

#[rstest]
#[case::fencing(FENCING)]
#[case::ignoring(IGNORING)]
fn three_processes(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Right,
        receiver,
        horizon: 6,
        renewals: 0,
        epochs: 2,
    };
    explore(&checker, &[false, true, true]);
}

fn explore(checker: &Checker, fast: &[bool]) {
    assert!(TERMS.is_covered(0.1));
    let mut states = 0u64;
    let mut later = 0u64;
    for state in bfs_reach(State::new(fast, checker.variant), |it| {
        checker.successors(it)
    }) {
        assert!(checker.is_valid(&state), "{state:#?}");
        states += 1;
        later += u64::from(state.highest > 1);
    }
    println!(
        "lease model, {:?}, clocks fast {fast:?}: {states} states, {later} with an order of a later epoch",
        checker.receiver
    );
}

#[rstest]
#[case(Variant::IdleKept)]
#[case(Variant::TermFromAnswer)]
#[case(Variant::Unasked)]
#[case(Variant::ShortWait)]
#[case(Variant::NoMargin)]
fn broken_variant_is_caught_with_an_ignoring_receiver(#[case] variant: Variant) {
    let checker = Checker {
        variant,
        receiver: IGNORING,
        horizon: 8,
        renewals: 1,
        epochs: 2,
    };
    let start = State::new(&[false, true], variant);
    let trace = bfs(
        &start,
        |it| checker.successors(it),
        |it| !checker.is_valid(it),
    );
    let trace = trace.expect("a violation");
    println!(
        "lease model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}
