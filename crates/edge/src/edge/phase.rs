//! Phases in the life of the process, and the requests in flight.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until, timeout_at};

use super::Edge;
use crate::stop::Stop;

/// Phase in the life of the process, in the order in which they follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers may be sent to this host.
    Serving,
    /// The process was told to stop: the directory no longer lists the host, and connections are
    /// closed after the next response.
    Leaving,
    /// Connections are not accepted any more.
    Closing,
    /// Requests are not admitted any more.
    Sealed,
    /// The process ends, and with it all that has no response yet.
    Ended,
}

impl Edge {
    /// Returns whether this process was told to stop.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// Returns whether no request is admitted any more.
    pub fn is_sealed(&self) -> bool {
        *self.phase.borrow() >= Phase::Sealed
    }

    /// Returns whether the process ends.
    pub fn has_ended(&self) -> bool {
        *self.phase.borrow() == Phase::Ended
    }

    /// Enters a phase of the stop.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Enters the leaving phase. Returns the times at which its steps are due.
    pub fn leave(&self) -> Stop {
        let stop = Stop::new(Instant::now(), self.settings.borrow().bounds.grace);
        self.stop.set(Some(stop));
        self.enter(Phase::Leaving);
        stop
    }

    /// Returns the times of the stop; `None` while the host is not leaving.
    pub fn stop(&self) -> Option<Stop> {
        self.stop.get()
    }

    /// Waits until requests without a response get a final one.
    pub async fn wait_last_response(&self) {
        self.reached(Phase::Leaving).await;
        if let Some(stop) = self.stop() {
            sleep_until(stop.last_response).await;
        }
    }

    /// Waits until the process is in `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // The call can't fail: `self` owns the sender.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }

    /// Waits until idle connections are to be closed: once requests are not taken whatever time they need,
    /// or connections are not accepted any more. Closed sooner, more of them would meet a request that is
    /// under way.
    pub async fn wait_idle_end(&self) {
        self.reached(Phase::Leaving).await;
        if let Some(stop) = self.stop() {
            let _ = timeout_at(stop.admit, self.reached(Phase::Closing)).await;
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        InFlight(self.clone())
    }

    /// Returns the number of requests in flight, with those that are not read completely.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

/// Guard of a request in flight; dropping it ends the count.
pub struct InFlight(Rc<Edge>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}
