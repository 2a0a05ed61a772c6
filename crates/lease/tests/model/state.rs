//! States of the model: the store with its row, the processes, and what is in flight.

use std::collections::BTreeSet;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use agate_lease::{Attempt, Candidate, Entry, Holder, Permit, Row, Terms};
use agate_model::revision;

pub(crate) const TERMS: Terms = Terms {
    term: Duration::from_secs(3),
    margin: Duration::from_secs(1),
    renewal: Duration::from_secs(1),
    flight: Duration::from_secs(FLIGHT_TICKS as u64),
    idle: Duration::from_secs(IDLE_TICKS as u64),
};
pub(crate) const FLIGHT_TICKS: u8 = 1;
pub(crate) const IDLE_TICKS: u8 = 1;
/// Milliseconds on a clock that is neither fast nor slow, for each tick of real time.
pub(crate) const TICK_MS: i64 = 1000;
/// Clocks run this many milliseconds a tick too fast or too slow.
pub(crate) const SKEW_MS: i64 = 100;

/// Which protections against late orders the receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Receiver {
    pub(crate) checks_epoch: bool,
    pub(crate) closes_idle: bool,
}

pub(crate) const FENCING: Receiver = Receiver {
    checks_epoch: true,
    closes_idle: false,
};
pub(crate) const NOT_FENCING: Receiver = Receiver {
    checks_epoch: false,
    closes_idle: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
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
pub(crate) enum Role {
    Candidate(Candidate),
    Acquiring(Attempt),
    Holder(Holder),
}

/// Progress of the one order that each process sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
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
pub(crate) struct Process {
    pub(crate) role: Role,
    pub(crate) stage: Stage,
    /// Whether this process's clock runs too fast; it runs too slow otherwise.
    pub(crate) has_fast_clock: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Message {
    pub(crate) sender: usize,
    pub(crate) check: Option<u64>,
    pub(crate) row: Row,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Order {
    pub(crate) epoch: u64,
    pub(crate) sent_at: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) now: u8,
    /// Era of the store.
    pub(crate) era: u64,
    pub(crate) row: Option<Entry>,
    /// Rows before the present one, oldest first, from which the store may return.
    pub(crate) copies: Vec<Option<Entry>>,
    /// Number of acquisitions that were carried out.
    pub(crate) grants: u64,
    /// Epochs that processes have held, each with its process.
    pub(crate) held: BTreeSet<(u64, usize)>,
    pub(crate) processes: Vec<Process>,
    pub(crate) messages: Vec<Message>,
    pub(crate) orders: Vec<Order>,
    /// Highest epoch of an order that was carried out; 0 before the first.
    pub(crate) highest_epoch: u64,
    /// Whether an order was carried out after one of a newer epoch.
    pub(crate) reordered: bool,
    /// Whether an order was carried out after a newer holder was recorded.
    pub(crate) late: bool,
}

pub(crate) fn base() -> Instant {
    static BASE: OnceLock<Instant> = OnceLock::new();
    *BASE.get_or_init(Instant::now)
}

pub(crate) fn terms(variant: Variant) -> Terms {
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
    pub(crate) fn new(fast_clocks: &[bool], variant: Variant) -> Self {
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
    pub(crate) fn clock(&self, process: usize) -> Instant {
        let skew = if self.processes[process].has_fast_clock {
            SKEW_MS
        } else {
            -SKEW_MS
        };
        let elapsed = i64::from(self.now) * (TICK_MS + skew);
        base() + Duration::from_millis(elapsed.unsigned_abs())
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |entry| entry.row.epoch)
    }

    /// Returns whether the row is of a tenure of this process.
    pub(crate) fn is_own(&self, process: usize) -> bool {
        self.row
            .as_ref()
            .is_some_and(|entry| entry.row.host == process.to_string())
    }

    /// Returns the newest revision of the store.
    pub(crate) fn revision(&self) -> u64 {
        let first = revision::join(self.era, 0).expect("eras are small");
        self.row.as_ref().map_or(first, |entry| entry.revision)
    }

    /// Returns the number under which the row is checked; `None` if it is absent.
    pub(crate) fn number(&self) -> Option<u64> {
        self.row
            .as_ref()
            .map(|entry| revision::number(entry.revision))
    }

    /// Drops the transactions whose check can no longer hold.
    pub(crate) fn drop_stale_messages(&mut self) {
        let number = self.number();
        self.messages.retain(|message| message.check >= number);
    }

    /// Records the epochs that processes hold.
    pub(crate) fn record_held(&mut self) {
        for (number, process) in self.processes.iter().enumerate() {
            if let Role::Holder(holder) = &process.role {
                self.held.insert((holder.epoch(), number));
            }
        }
    }

    /// Returns whether two processes have held one epoch.
    pub(crate) fn has_shared_epoch(&self) -> bool {
        let epochs = self.held.iter().map(|(epoch, _)| epoch);
        epochs
            .clone()
            .zip(epochs.skip(1))
            .any(|(left, right)| left == right)
    }

    pub(crate) fn send(&mut self, message: Message) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
            self.messages.sort_by_key(|message| format!("{message:?}"));
        }
    }

    pub(crate) fn active_holders(&self) -> usize {
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
