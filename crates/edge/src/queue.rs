//! Queue of requests that wait for a free slot at an endpoint, most urgent tier first.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use agate_model::id::Tier;
use tokio::sync::Notify;

/// Tier and sequence number, in the order in which requests are served.
type Position = (Tier, u64);

/// Queue of one service, first in, first out within a tier.
#[derive(Debug, Default)]
pub struct Queue {
    next_sequence: Cell<u64>,
    waiting: RefCell<BTreeMap<Position, Entry>>,
}

/// Place of one request in a queue.
#[derive(Debug)]
struct Entry {
    notify: Rc<Notify>,
    /// Whether the request can't use some endpoints, so that what it can't use may serve others.
    is_choosy: bool,
}

/// A request in a queue. Dropping it removes the request.
#[derive(Debug)]
pub struct Waiter {
    queue: Rc<Queue>,
    position: Position,
    notify: Rc<Notify>,
}

impl Queue {
    /// Adds a request behind the others of its tier. `is_choosy` tells whether it can't use some of the
    /// endpoints.
    pub fn push(self: &Rc<Self>, tier: Tier, is_choosy: bool) -> Waiter {
        let position = (tier, self.next_sequence.get());
        self.next_sequence.set(position.1 + 1);
        let notify = Rc::new(Notify::new());
        let entry = Entry {
            notify: notify.clone(),
            is_choosy,
        };
        self.waiting.borrow_mut().insert(position, entry);
        Waiter {
            queue: self.clone(),
            position,
            notify,
        }
    }

    /// Returns whether a request of the same or a more urgent tier is waiting that could use any endpoint.
    pub fn must_wait(&self, tier: Tier) -> bool {
        let waiting = self.waiting.borrow();
        let mut ahead = waiting.range(..=(tier, u64::MAX));
        ahead.any(|(_, entry)| !entry.is_choosy)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Wakes the first request that could use any endpoint, and those before it, since a slot may be free.
    pub fn wake_first(&self) {
        for entry in self.waiting.borrow().values() {
            entry.notify.notify_one();
            if !entry.is_choosy {
                return;
            }
        }
    }
}

impl Waiter {
    /// Waits until this request is woken to try for a slot.
    pub async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.position);
        // A request that leaves the queue may leave a free slot to the next one.
        self.queue.wake_first();
    }
}
