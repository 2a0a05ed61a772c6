//! Sends requests to engines and decides on retries and hedges.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::refusal::Reason;
use agate_pick::selection::work_tokens;
use agate_pick::{Criteria, InFlight, Latency, Outcome};
use agate_retry::backoff::Backoff;
use agate_retry::decision::{self, History, Next};

use super::engine::{Emission, State};
use super::event::{EngineIndex, Event, RequestIndex};
use super::metric::End;
use super::world::World;
use crate::experiment::Policy;

slotmap::new_key_type! {
    /// Identifies an attempt in [`World::attempts`].
    pub(crate) struct Key;
}

/// Multiple of the first-token target after which an attempt without a token times out.
const TIMEOUT_TARGETS: u32 = 2;
/// Delay before a retry that found no free endpoint is tried again.
const RETRY_POLL: Duration = Duration::from_millis(50);

/// One attempt of a request at one engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestIndex,
    pub(crate) engine: EngineIndex,
    /// Slot held at the host's placement; `None` once the attempt has ended.
    flight: Option<InFlight>,
    /// Time at which the host sent the request.
    sent: Instant,
    /// Whether the attempt runs beside an earlier one that has no token yet.
    is_hedge: bool,
}

impl World<'_> {
    /// Sends a request to an endpoint of its pool and returns whether one was free.
    ///
    /// Endpoints that the request has tried are used again only if no other is free, and not for
    /// a hedge.
    pub(crate) fn send(&mut self, index: RequestIndex, is_hedge: bool) -> bool {
        let now = self.now;
        let request = &self.requests[index];
        let progress = &self.progress[index];
        let class = &self.classes[request.class];
        let host = &mut self.hosts[request.host];
        let expected = host.classes[request.class].expected_tokens();
        let criteria = Criteria {
            pools: std::slice::from_ref(&self.pools[request.pool]),
            prefix: &request.blocks,
            zone: &host.zone,
            tier: progress.urgency,
            reclaimable: class.reclaimable,
            excluded: &progress.tried,
            tokens: work_tokens(u64::from(request.prompt_tokens), expected),
        };
        let mut choice = host.placement.choose(now, &criteria, &mut self.rng);
        if choice.is_none() && !progress.tried.is_empty() && !is_hedge {
            let criteria = Criteria {
                excluded: &[],
                ..criteria
            };
            choice = host.placement.choose(now, &criteria, &mut self.rng);
        }
        let Some(choice) = choice else { return false };
        let flight = host.placement.start(now, choice.key);
        let engine = self.engine_by_id[&choice.id];
        self.meter.cached += u64::from(choice.cached);
        let attempt = Attempt {
            request: index,
            engine,
            flight: Some(flight),
            sent: now,
            is_hedge,
        };
        let key = self.attempts.insert(attempt);
        let progress = &mut self.progress[index];
        progress.tried.push(choice.id);
        progress.active.push(key);
        self.events
            .push(now + self.experiment.network, Event::Deliver(key));
        self.schedule_timers(key, index);
        true
    }

    /// Schedules the timeout and the hedge of a new attempt, if its class is idempotent.
    fn schedule_timers(&mut self, key: Key, index: RequestIndex) {
        let request = &self.requests[index];
        let class = &self.classes[request.class];
        if !class.idempotent {
            return;
        }
        let timeout = class.target.first_token * TIMEOUT_TARGETS;
        self.events.push(self.now + timeout, Event::Timeout(key));
        if !class.hedge || self.attempts[key].is_hedge {
            return;
        }
        let state = &self.hosts[request.host].classes[request.class];
        if let Some(delay) = state.hedge_delay.get() {
            self.events.push(self.now + delay, Event::Hedge(key));
        }
    }

    /// Submits an attempt that has reached its engine; it fails if the engine is down.
    pub(crate) fn deliver(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (index, engine) = (attempt.request, attempt.engine);
        if self.engines[engine].state == State::Down {
            self.fail_attempt(key, decision::Outcome::Unconnected);
            return;
        }
        let request = &self.requests[index];
        self.progress[index].sends += 1;
        let tier = match self.policy {
            Policy::Fifo => 0,
            _ => self.classes[request.class].tier,
        };
        self.engines[engine].submit(key, tier, request);
        self.start_step(engine);
    }

    /// Records a token of an attempt. The first one cancels the other attempts of the request,
    /// the last one completes it.
    pub(crate) fn handle_emission(&mut self, emission: Emission) {
        let (Emission::Token(key) | Emission::End(key)) = emission;
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let index = attempt.request;
        if self.is_counted(index) {
            self.meter.generated += 1;
        }
        if self.progress[index].first_token.is_none() {
            self.progress[index].first_token = Some(self.now + self.experiment.network);
            self.cancel_others(index, key);
        }
        if matches!(emission, Emission::End(_)) {
            self.complete(index, key);
        }
    }

    /// Cancels all attempts of a request except the one that gave the first token.
    fn cancel_others(&mut self, index: RequestIndex, winner: Key) {
        let others: Vec<_> = self.progress[index]
            .active
            .iter()
            .copied()
            .filter(|&key| key != winner)
            .collect();
        for key in others {
            self.end_attempt(key, Outcome::Cancelled, true);
        }
    }

    /// Ends a request whose last token was generated and judges it by the targets of its class.
    fn complete(&mut self, index: RequestIndex, key: Key) {
        let request = &self.requests[index];
        let (prompt_tokens, response_tokens) = (request.prompt_tokens, request.response_tokens);
        let attempt = &self.attempts[key];
        let total = self.now + self.experiment.network - attempt.sent;
        let tokens = work_tokens(u64::from(prompt_tokens), u64::from(response_tokens));
        self.fleet.record_service(request.pool, total);
        let is_reclaimable = self.engines[attempt.engine].endpoint.kind == Kind::Reclaimable;
        let sent = attempt.sent;
        self.end_attempt(key, Outcome::Success(Latency { total, tokens }), false);
        let first = self.progress[index]
            .first_token
            .expect("a completed request has a first token");
        let end = self.now + self.experiment.network;
        let first_token = first - self.progress[index].arrival;
        let request = &self.requests[index];
        let class = &self.classes[request.class];
        let between = (end - first) / (response_tokens.max(2) - 1);
        let attained = first_token <= class.target.first_token
            && between <= class.target.between_tokens
            && end <= self.progress[index].deadline;
        let state = &mut self.hosts[request.host].classes[request.class];
        state.observe(response_tokens, first_token, end - first);
        state
            .wait_budget
            .observe(first.saturating_duration_since(sent));
        let used = u64::from(prompt_tokens) + u64::from(response_tokens);
        self.finish(
            index,
            End::Completed {
                attained,
                first_token,
                is_reclaimable,
            },
            used,
        );
    }

    /// Ends an attempt: reports `outcome` to the host's placement and, if `cancel` is set, removes
    /// its work from the engine.
    pub(crate) fn end_attempt(&mut self, key: Key, outcome: Outcome, cancel: bool) {
        let Some(mut attempt) = self.attempts.remove(key) else {
            return;
        };
        if cancel {
            self.engines[attempt.engine].cancel(key);
        }
        let request = &self.requests[attempt.request];
        let host = &mut self.hosts[request.host];
        if let Some(flight) = attempt.flight.take() {
            host.placement.finish(self.now, flight, outcome);
        }
        self.progress[attempt.request]
            .active
            .retain(|&active| active != key);
        let queue = (request.host, request.pool);
        self.mark_ready(queue);
    }

    /// Ends a failed attempt. If it was the last one in flight, the request is retried or fails.
    pub(crate) fn fail_attempt(&mut self, key: Key, outcome: decision::Outcome) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let index = attempt.request;
        self.end_attempt(key, Outcome::Failure, true);
        if !self.progress[index].active.is_empty() {
            return;
        }
        if self.progress[index].first_token.is_some() {
            self.finish(index, End::Failed(Reason::EndpointFailed), 0);
            return;
        }
        match self.decide(index, outcome) {
            Next::Retry { wait } => self.events.push(self.now + wait, Event::Retry(index)),
            Next::Resume { .. } => self.finish(index, End::Failed(Reason::EndpointFailed), 0),
            Next::Fail(reason) if self.progress[index].sends == 0 => {
                self.finish(index, End::Refused(reason), 0);
            }
            Next::Fail(reason) => self.finish(index, End::Failed(reason), 0),
        }
    }

    /// Returns what follows a failed or timed-out attempt.
    ///
    /// [`Policy::NoBudget`] uses a new budget of 100 percent with 4 requests each time, which
    /// always allows a retry.
    fn decide(&mut self, index: RequestIndex, outcome: decision::Outcome) -> Next {
        let request = &self.requests[index];
        let progress = &self.progress[index];
        let history = History {
            idempotent: self.classes[request.class].idempotent,
            resumable: false,
            connects: progress.tried.len() as u32,
            sends: progress.sends,
            resumes: 0,
            deadline: progress.deadline,
            min_execution: Duration::ZERO,
        };
        let state = &mut self.hosts[request.host].classes[request.class];
        let backoff = Backoff::default();
        if self.policy == Policy::NoBudget {
            let mut unlimited = agate_retry::budget::Budget::new(100);
            for _ in 0..4 {
                unlimited.request(self.now);
            }
            return decision::next(
                self.now,
                outcome,
                &history,
                &mut unlimited,
                &backoff,
                &mut self.rng,
            );
        }
        decision::next(
            self.now,
            outcome,
            &history,
            &mut state.budget,
            &backoff,
            &mut self.rng,
        )
    }

    /// Handles an attempt without a first token at its timeout.
    ///
    /// It ends if another attempt is in flight; otherwise it is replaced if the retry budget
    /// allows one and goes on if not.
    pub(crate) fn time_out(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let index = attempt.request;
        if self.progress[index].first_token.is_some() {
            return;
        }
        if self.progress[index].active.len() > 1 {
            self.end_attempt(key, Outcome::Failure, true);
            return;
        }
        if let Next::Retry { wait } = self.decide(index, decision::Outcome::TimedOut) {
            self.end_attempt(key, Outcome::Failure, true);
            self.events.push(self.now + wait, Event::Retry(index));
        }
    }

    /// Sends a second attempt if the first has no token yet and the retry budget allows one.
    pub(crate) fn hedge(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let index = attempt.request;
        let request = &self.requests[index];
        if self.progress[index].first_token.is_some() || self.progress[index].active.len() > 1 {
            return;
        }
        let state = &mut self.hosts[request.host].classes[request.class];
        let is_unlimited = self.policy == Policy::NoBudget;
        if !is_unlimited && !state.budget.withdraw(self.now) {
            return;
        }
        if self.send(index, true) {
            self.meter.hedges += 1;
        }
    }

    /// Sends a request again; waits for [`RETRY_POLL`] if no endpoint is free.
    pub(crate) fn retry(&mut self, index: RequestIndex) {
        if self.progress[index].is_done() || !self.progress[index].active.is_empty() {
            return;
        }
        if self.send(index, false) {
            self.meter.retries += 1;
        } else {
            self.events.push(self.now + RETRY_POLL, Event::Retry(index));
        }
    }
}
