//! Count of running requests and the phases of a shutdown.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

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
    running: Rc<Cell<usize>>,
    idle: Rc<tokio::sync::Notify>,
}

/// One running request, until its answer was delivered.
#[derive(Debug)]
pub struct Guard {
    running: Rc<Cell<usize>>,
    idle: Rc<tokio::sync::Notify>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            running: Rc::default(),
            idle: Rc::default(),
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
        self.running.set(self.running.get() + 1);
        Guard {
            running: self.running.clone(),
            idle: self.idle.clone(),
        }
    }

    /// Requests running now.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Waits until no request is running.
    pub async fn idle(&self) {
        while self.running.get() > 0 {
            self.idle.notified().await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        if self.running.get() == 0 {
            self.idle.notify_one();
        }
    }
}
