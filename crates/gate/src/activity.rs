//! Counts of running requests and tasks, and the phases of a shutdown.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{Notify, watch};

/// Phase of the gate's life, which decides whether it takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts requests and is listed among the hosts for callers.
    Serving,
    /// Accepts requests, but is no longer listed among the hosts for callers.
    Leaving,
    /// Accepts no connections and closes idle ones.
    Closing,
    /// Admits no request, and gives those that have no response yet a final one.
    Ending,
}

/// Phase and counts of running requests and tasks. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Activity {
    phase: watch::Sender<Phase>,
    requests: Rc<Cell<usize>>,
    tasks: Rc<Cell<usize>>,
    changed: Rc<Notify>,
}

/// Keeps a request counted from its first byte until its response is written, or a task that a
/// shutdown waits for.
#[derive(Debug)]
pub struct Guard {
    counter: Rc<Cell<usize>>,
    changed: Rc<Notify>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            requests: Rc::default(),
            tasks: Rc::default(),
            changed: Rc::default(),
        }
    }
}

impl Activity {
    /// Returns the phase that was entered last.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase. An earlier phase than the current one is ignored.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }

    /// Waits until `phase` has been entered.
    pub fn reached(&self, phase: Phase) -> impl Future<Output = ()> + use<> {
        let mut receiver = self.phase.subscribe();
        async move {
            // The channel closes only when the gate is dropped; then there is no phase to wait for.
            let _ = receiver.wait_for(|current| *current >= phase).await;
        }
    }

    /// Counts a request as running until the guard is dropped.
    pub fn start_request(&self) -> Guard {
        Guard::new(&self.requests, &self.changed)
    }

    /// Counts a task that outlives its request, or a connection without one, so that a shutdown waits
    /// until the guard is dropped.
    pub fn start_task(&self) -> Guard {
        Guard::new(&self.tasks, &self.changed)
    }

    /// Returns the number of requests running now.
    pub fn running(&self) -> usize {
        self.requests.get()
    }

    /// Returns whether no request is running and no task is left.
    pub fn is_idle(&self) -> bool {
        self.requests.get() + self.tasks.get() == 0
    }

    /// Waits until [`Activity::is_idle`] returns true.
    pub async fn idle(&self) {
        while !self.is_idle() {
            self.changed.notified().await;
        }
    }
}

impl Guard {
    fn new(counter: &Rc<Cell<usize>>, changed: &Rc<Notify>) -> Self {
        counter.set(counter.get() + 1);
        Self {
            counter: counter.clone(),
            changed: changed.clone(),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.counter.set(self.counter.get() - 1);
        if self.counter.get() == 0 {
            self.changed.notify_one();
        }
    }
}
