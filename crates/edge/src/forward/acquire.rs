//! Waits for an endpoint: a turn in the queue, the choice of an endpoint, and refusals with the time to
//! return.

use std::time::Duration;

use agate_queue::Charge;
use tokio::time::{Instant, timeout_at};

use super::admit::Call;
use super::progress::Progress;
use super::{Forwarder, MIN_TIME_LEFT};
use crate::balancer::Assignment;
use crate::metrics::count;
use crate::queue::{Crowded, Turn};
use crate::record::Record;
use crate::refusal::{self, Reason, Refusal};

/// `Retry-After` of a refusal because the service has no endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Time after which a request that found no endpoint in its turn first tries again, unless a slot is
/// released before. It doubles with each try.
const MIN_TURN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest such time: many requests may wait while all endpoints are paused.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(160);

/// An endpoint with the tokens that the account was charged with in the queue.
pub(super) struct Acquired {
    pub(super) assignment: Assignment,
    pub(super) charge: Option<Charge>,
}

impl Forwarder {
    /// Acquires an endpoint, waiting in the service's queue for a turn. Refuses the request if its turn
    /// would come after the last start that meets its deadline.
    pub(super) async fn acquire(
        &self,
        call: &Call,
        progress: &Progress,
        record: &mut Record,
    ) -> Result<Acquired, Refusal> {
        if progress.sends > 0 {
            let assignment = self.acquire_again(call, progress, record).await?;
            return Ok(Acquired {
                assignment,
                charge: None,
            });
        }
        let queue = self.edge.queue(&call.service);
        let offered = queue.offer(Instant::now(), call.demand());
        let waiter = offered.map_err(|crowded| self.refuse_crowded(call, crowded))?;
        self.edge.grant(&call.service);
        let mut interval = MIN_TURN_INTERVAL;
        loop {
            let mut until = call.deadline;
            match waiter.turn(Instant::now()) {
                Turn::Granted => {
                    if let Some(assignment) = self.try_acquire(call, progress) {
                        count(&self.edge.metrics.queue_ends, "started");
                        let charge = waiter.close();
                        return Ok(Acquired { assignment, charge });
                    }
                    waiter.put_back();
                    until = Instant::now() + interval;
                    interval = MAX_TURN_INTERVAL.min(interval * 2);
                }
                Turn::Waiting => {}
                Turn::Lost(crowded) => return Err(self.refuse_crowded(call, crowded)),
            }
            record.waited = true;
            if let Some(refusal) = self.refuse_closed(call) {
                return Err(refusal);
            }
            if self.edge.board.borrow().ready_count(&call.service) == 0 {
                until = until.min(call.patience());
            }
            waiter.changed(until).await;
            if Instant::now() >= until {
                self.edge.grant(&call.service);
            }
        }
    }

    /// Acquires an endpoint for a request that was at another one before.
    async fn acquire_again(
        &self,
        call: &Call,
        progress: &Progress,
        record: &mut Record,
    ) -> Result<Assignment, Refusal> {
        let waiter = self.edge.queue(&call.service).push_retry(call.tier);
        loop {
            if let Some(assignment) = self.try_acquire(call, progress) {
                return Ok(assignment);
            }
            record.waited = true;
            if let Some(refusal) = self.refuse_closed(call) {
                return Err(refusal);
            }
            // If all endpoints were tried, only a new one can help.
            let ready = self.edge.board.borrow().ready_count(&call.service);
            let until = if ready > progress.tried.len() {
                call.deadline - MIN_TIME_LEFT
            } else {
                call.patience()
            };
            if timeout_at(until, waiter.woken()).await.is_err() {
                return Err(self.refuse_crowded(call, Crowded::Unreachable));
            }
        }
    }

    /// Returns a refusal for a request that can't wait, or not any longer.
    fn refuse_crowded(&self, call: &Call, crowded: Crowded) -> Refusal {
        let end = match crowded {
            Crowded::Full => "full",
            Crowded::Unreachable => "unreachable",
        };
        count(&self.edge.metrics.queue_ends, end);
        let wait = self.queue_retry_after(call);
        tracing::info!(
            event = "queue_refused",
            request = call.info.id,
            why = end,
            tier = call.tier,
            waiting = self.edge.queue(&call.service).len(),
            retry_after_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        );
        Refusal::retry_after(Reason::Full, wait)
    }

    /// Returns a refusal if no endpoint will take the request in time: there is none, and has been none
    /// for a while, or all have asked for a pause beyond the deadline.
    fn refuse_closed(&self, call: &Call) -> Option<Refusal> {
        let is_empty = self.edge.board.borrow().ready_count(&call.service) == 0;
        if is_empty && Instant::now() >= call.patience() {
            return Some(Refusal::retry_after(
                Reason::NoEndpoint,
                NO_ENDPOINT_RETRY_AFTER,
            ));
        }
        self.refuse_paused(call, call.patience())
    }

    /// Returns a refusal if all endpoints of the service have asked for a pause beyond `until`. Callers
    /// are spread over a part of the wait, so that they do not return at the same moment.
    fn refuse_paused(&self, call: &Call, until: Instant) -> Option<Refusal> {
        let now = Instant::now();
        let opening = self.edge.board.borrow().opening(now, &call.service)?;
        let wait = refusal::spread(opening - now, rand::random());
        (opening > until).then(|| Refusal::retry_after(Reason::Full, wait))
    }

    /// Returns the `Retry-After` for a busy service.
    pub(super) fn queue_retry_after(&self, call: &Call) -> Duration {
        let queue = self.edge.queue(&call.service);
        let wait = queue.expected_wait(&call.demand()).unwrap_or_default();
        refusal::busy_retry_after(wait, rand::random())
    }
}
