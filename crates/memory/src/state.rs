//! What is held, and who yields.

use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::size::Size;

/// Bytes of a connection that takes nothing, for the order in which connections yield.
const CONNECTION_BYTES: usize = 4 << 10;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Heads and other bytes that are received and not yet decoded.
    Heads,
    /// Bodies of requests, from the first byte to the end of the request.
    Bodies,
    /// Responses that wait for their rest or for their caller.
    Responses,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 3] = [Purpose::Heads, Purpose::Bodies, Purpose::Responses];

    /// Returns the code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Purpose::Heads => "heads",
            Purpose::Bodies => "bodies",
            Purpose::Responses => "responses",
        }
    }
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Its request is complete and may have been sent: it never yields.
    Running,
    /// A part of a request has come.
    Reading,
    /// Nothing has come since it was opened or since its last response.
    Idle,
}

new_key_type! {
    /// Key of a connection in a budget.
    pub(crate) struct Key;
}

/// What is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scarce {
    Bytes,
    Connections,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) standing: Standing,
    since: Instant,
    held: [usize; Purpose::ALL.len()],
    /// Whether the connection was asked to yield.
    pub(crate) yields: bool,
    pub(crate) asked: Rc<Notify>,
}

impl Entry {
    pub(crate) fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize]
    }

    fn bytes(&self) -> usize {
        self.held.iter().sum()
    }

    /// Returns the rank in the order in which connections yield, the highest first; `None` for one that does
    /// not. The largest and slowest comes first: that with the most bytes times the time for which it has
    /// not completed its request.
    fn rank(&self, scarce: Scarce, now: Instant) -> Option<(Standing, u128)> {
        let is_useful = scarce == Scarce::Connections || self.bytes() > 0;
        if self.standing == Standing::Running || self.yields || !is_useful {
            return None;
        }
        let age = now.saturating_duration_since(self.since).as_micros();
        Some((
            self.standing,
            age * (CONNECTION_BYTES + self.bytes()) as u128,
        ))
    }
}

/// Connections and what they hold.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) size: Size,
    pub(crate) entries: SlotMap<Key, Entry>,
    held: [usize; Purpose::ALL.len()],
    /// Connections that were asked to yield and are still open.
    yielding: usize,
    /// Whether the process is short, from the first taker that found no room.
    pub(crate) is_short: bool,
    /// Requests refused and connections asked to yield, by what was scarce.
    pub(crate) refused: [u64; 2],
    pub(crate) yielded: [u64; 2],
}

impl State {
    pub(crate) fn new(size: Size) -> Self {
        Self {
            size,
            entries: SlotMap::with_key(),
            held: [0; Purpose::ALL.len()],
            yielding: 0,
            is_short: false,
            refused: [0; 2],
            yielded: [0; 2],
        }
    }

    pub(crate) fn insert(&mut self, now: Instant) -> (Key, Rc<Notify>) {
        let asked = Rc::new(Notify::new());
        let key = self.entries.insert(Entry {
            standing: Standing::Idle,
            since: now,
            held: [0; Purpose::ALL.len()],
            yields: false,
            asked: asked.clone(),
        });
        (key, asked)
    }

    pub(crate) fn set(&mut self, key: Key, standing: Standing, now: Instant) {
        let entry = &mut self.entries[key];
        (entry.standing, entry.since) = (standing, now);
        // A request has come on an idle connection before it was closed, or is complete.
        if std::mem::take(&mut entry.yields) {
            self.yielding -= 1;
        }
    }

    pub(crate) fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize]
    }

    pub(crate) fn all(&self) -> usize {
        self.held.iter().sum()
    }

    /// Returns whether so many more bytes fit. Requests leave a third to responses, which they wait for.
    pub(crate) fn fits(&self, purpose: Purpose, bytes: usize) -> bool {
        let all = self.all() + bytes;
        let requests = all - self.held(Purpose::Responses);
        all <= self.size.bytes && (purpose == Purpose::Responses || requests <= self.limit(purpose))
    }

    /// Returns the bytes that one purpose can take at most.
    pub(crate) fn limit(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Responses => self.size.bytes,
            Purpose::Heads | Purpose::Bodies => self.size.bytes / 3 * 2,
        }
    }

    pub(crate) fn add(&mut self, key: Key, purpose: Purpose, bytes: usize) {
        self.held[purpose as usize] += bytes;
        self.entries[key].held[purpose as usize] += bytes;
    }

    /// Gives back bytes of one purpose, at most what the connection holds.
    pub(crate) fn sub(&mut self, key: Key, purpose: Purpose, bytes: usize) {
        let held = &mut self.entries[key].held[purpose as usize];
        let bytes = bytes.min(*held);
        *held -= bytes;
        self.held[purpose as usize] -= bytes;
    }

    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.yielding -= usize::from(entry.yields);
            for (all, held) in self.held.iter_mut().zip(entry.held) {
                *all -= held;
            }
        }
    }

    /// Returns the connections that are open and were not asked to yield.
    pub(crate) fn staying(&self) -> usize {
        self.entries.len() - self.yielding
    }

    /// Marks a connection as asked to yield, and wakes it.
    pub(crate) fn ask(&mut self, key: Key) {
        let entry = &mut self.entries[key];
        entry.yields = true;
        entry.asked.notify_waiters();
        self.yielding += 1;
    }

    /// Returns whether a connection was asked to yield and still holds bytes.
    pub(crate) fn is_yielding(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.yields && entry.bytes() > 0)
    }

    /// Returns the connection that yields next.
    pub(crate) fn next(&self, scarce: Scarce, now: Instant) -> Option<Key> {
        let ranked = self.entries.iter().filter_map(|(key, entry)| {
            let rank = entry.rank(scarce, now)?;
            Some((rank, key))
        });
        ranked.max().map(|(_, key)| key)
    }
}
