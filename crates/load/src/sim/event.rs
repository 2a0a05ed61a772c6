//! Events in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use slotmap::Key as _;

use super::attempt;

/// Position of a request in the traffic.
pub(crate) type RequestNo = usize;
/// Position of an engine; never reused.
pub(crate) type EngineNo = usize;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A request reaches its host.
    Arrive(RequestNo),
    /// A request reaches an engine.
    Deliver(attempt::Key),
    /// An engine's step ends.
    Step(EngineNo, u64),
    /// An endpoint takes a load report.
    Measure(EngineNo),
    /// A load report reaches the hosts.
    Report(EngineNo, agate_pick::Report),
    /// No first token came in time.
    Timeout(attempt::Key),
    /// A hedge is due.
    Hedge(attempt::Key),
    /// A retry is due.
    Retry(RequestNo),
    /// The whole answer should be there.
    Deadline(RequestNo),
    /// A fault begins.
    Begin(usize),
    /// The notice of a reclamation is over.
    Notice(usize),
    /// A fault ends.
    End(usize),
    /// Hosts tell each other what they shed.
    Gossip,
    /// The fleet is sized.
    Size,
    /// An ordered endpoint serves.
    Boot(EngineNo),
}

/// Events by time; those of the same time in order of insertion.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<Slot>>,
    order: u64,
}

#[derive(Debug)]
struct Slot {
    at: Instant,
    order: u64,
    event: Event,
}

impl Slot {
    fn rank(&self) -> (Instant, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for Slot {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for Slot {}

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl Queue {
    pub(crate) fn push(&mut self, at: Instant, event: Event) {
        if let Event::Deliver(key) | Event::Timeout(key) | Event::Hedge(key) = event {
            debug_assert!(!key.is_null());
        }
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Slot { at, order, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, Event)> {
        let Reverse(slot) = self.heap.pop()?;
        Some((slot.at, slot.event))
    }
}
