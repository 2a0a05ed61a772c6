//! Events of the simulation and their queue in order of simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use slotmap::Key as _;

use super::attempt;

/// Position of a request in [`super::world::World::requests`].
pub(crate) type RequestIndex = usize;
/// Position of an engine in [`super::world::World::engines`]; never reused.
pub(crate) type EngineIndex = usize;

/// What happens at a moment of simulated time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A request reaches its entry host.
    Arrive(RequestIndex),
    /// An attempt reaches its engine.
    Deliver(attempt::Key),
    /// The step with this number ends at an engine. Ignored if the engine crashed meanwhile.
    Step(EngineIndex, u64),
    /// An engine takes a load report of itself.
    Measure(EngineIndex),
    /// A load report of an engine reaches the hosts.
    Report(EngineIndex, agate_pick::Report),
    /// An attempt times out unless it has a first token.
    Timeout(attempt::Key),
    /// The hedge of an attempt is due.
    Hedge(attempt::Key),
    /// A retry of a request is due.
    Retry(RequestIndex),
    /// The deadline of a request for its whole response passes.
    Deadline(RequestIndex),
    /// The fault at this position of the experiment starts.
    FaultStart(usize),
    /// The notice of a reclamation ends and its endpoints are taken away.
    NoticeEnd(usize),
    /// A fault ends.
    FaultEnd(usize),
    /// Hosts exchange the highest tier of which each sheds requests.
    Gossip,
    /// The pools are resized.
    Resize,
    /// An ordered engine has booted.
    Boot(EngineIndex),
}

/// Priority queue of events by time; events of the same time keep their order of insertion.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    /// Number of events pushed so far.
    order: u64,
}

/// An event in the queue.
#[derive(Debug)]
struct Entry {
    at: Instant,
    order: u64,
    event: Event,
}

impl Entry {
    /// Returns the sort key of the entry: time, then order of insertion.
    fn rank(&self) -> (Instant, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl Queue {
    /// Schedules an event.
    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        if let Event::Deliver(key) | Event::Timeout(key) | Event::Hedge(key) = event {
            debug_assert!(!key.is_null());
        }
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Removes and returns the earliest event and its time.
    pub(crate) fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
