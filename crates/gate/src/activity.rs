//! Count of running requests and the phases of a shutdown.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{Notify, watch};

/// What the gate does with new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves.
    Serving,
    /// Serves, but is no longer named to callers.
    Leaving,
    /// Accepts no connections and ends idle ones.
    Closing,
}

/// Phase and number of running requests, shared by all tasks.
#[derive(Clone, Debug)]
pub struct Activity {
    phase: watch::Sender<Phase>,
    requests: Rc<Cell<usize>>,
    tasks: Rc<Cell<usize>>,
    changed: Rc<Notify>,
}

/// A request until its answer was delivered, or a task that outlives it.
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
    /// Current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase. Phases never go back.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Waits until `phase` has been entered.
    pub fn reached(&self, phase: Phase) -> impl Future<Output = ()> + use<> {
        let mut receiver = self.phase.subscribe();
        async move {
            // The sender lives as long as the gate; without it there is nothing to wait for.
            let _ = receiver.wait_for(|current| *current >= phase).await;
        }
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> Guard {
        Guard::new(&self.requests, &self.changed)
    }

    /// Makes a shutdown wait until the guard is dropped, for work that follows a request.
    pub fn hold(&self) -> Guard {
        Guard::new(&self.tasks, &self.changed)
    }

    /// Requests running now.
    pub fn running(&self) -> usize {
        self.requests.get()
    }

    /// Whether no request is running, and nothing is left to do for earlier ones.
    pub fn is_idle(&self) -> bool {
        self.requests.get() + self.tasks.get() == 0
    }

    /// Waits until [`Activity::is_idle`].
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
