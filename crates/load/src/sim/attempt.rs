//! Sending of requests to engines, with retries and hedges.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::refusal::Reason;
use agate_pick::selection::work_tokens;
use agate_pick::{Criteria, InFlight, Latency, Outcome};
use agate_retry::backoff::Backoff;
use agate_retry::decision::{self, History, Next};

use super::engine::{Emission, State};
use super::event::{EngineNo, Event, RequestNo};
use super::metric::End;
use super::world::World;
use crate::experiment::Policy;

slotmap::new_key_type! {
    /// An attempt.
    pub(crate) struct Key;
}

/// First-token targets after which an attempt counts as timed out.
const TIMEOUT_TARGETS: u32 = 2;
/// Wait before a retry looks for a free endpoint again.
const RETRY_POLL: Duration = Duration::from_millis(50);

/// One sending of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestNo,
    pub(crate) engine: EngineNo,
    flight: Option<InFlight>,
    sent: Instant,
    is_hedge: bool,
}

impl World<'_> {
    /// Sends a request to an endpoint of its pool; false if none is free.
    pub(crate) fn send(&mut self, no: RequestNo, is_hedge: bool) -> bool {
        let now = self.now;
        let request = &self.requests[no];
        let run = &self.runs[no];
        let class = &self.classes[request.class];
        let host = &mut self.hosts[request.host];
        let expected = host.classes[request.class].expected();
        let wish = Criteria {
            pools: std::slice::from_ref(&self.pools[request.pool]),
            prefix: &request.blocks,
            zone: &host.zone,
            tier: run.urgency,
            reclaimable: class.reclaimable,
            excluded: &run.tried,
            tokens: work_tokens(u64::from(request.prompt), expected),
        };
        let mut choice = host.placement.choose(now, &wish, &mut self.rng);
        if choice.is_none() && !run.tried.is_empty() && !is_hedge {
            let wish = Criteria {
                excluded: &[],
                ..wish
            };
            choice = host.placement.choose(now, &wish, &mut self.rng);
        }
        let Some(choice) = choice else { return false };
        let flight = host.placement.start(now, choice.key);
        let engine = self.names[&choice.id];
        self.meter.cached += u64::from(choice.cached);
        let attempt = Attempt {
            request: no,
            engine,
            flight: Some(flight),
            sent: now,
            is_hedge,
        };
        let key = self.attempts.insert(attempt);
        let run = &mut self.runs[no];
        run.tried.push(choice.id);
        run.active.push(key);
        self.events
            .push(now + self.experiment.network, Event::Deliver(key));
        self.watch(key, no);
        true
    }

    /// Sets the timeout and the hedge of a new attempt.
    fn watch(&mut self, key: Key, no: RequestNo) {
        let request = &self.requests[no];
        let class = &self.classes[request.class];
        if !class.idempotent {
            return;
        }
        let patience = class.target.first_token * TIMEOUT_TARGETS;
        self.events.push(self.now + patience, Event::Timeout(key));
        if !class.hedge || self.attempts[key].is_hedge {
            return;
        }
        let state = &self.hosts[request.host].classes[request.class];
        if let Some(delay) = state.delay.get() {
            self.events.push(self.now + delay, Event::Hedge(key));
        }
    }

    pub(crate) fn deliver(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (no, engine) = (attempt.request, attempt.engine);
        if self.engines[engine].state == State::Down {
            self.break_off(key, decision::Outcome::Unconnected);
            return;
        }
        let request = &self.requests[no];
        self.runs[no].sends += 1;
        let tier = match self.policy {
            Policy::Fifo => 0,
            _ => self.classes[request.class].tier,
        };
        self.engines[engine].submit(key, tier, request);
        self.kick(engine);
    }

    /// Takes up the tokens of an engine's step.
    pub(crate) fn emit(&mut self, emission: Emission) {
        let (Emission::Token(key) | Emission::End(key)) = emission;
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let no = attempt.request;
        if self.is_counted(no) {
            self.meter.generated += 1;
        }
        if self.runs[no].first_token.is_none() {
            self.runs[no].first_token = Some(self.now + self.experiment.network);
            self.cancel_others(no, key);
        }
        if matches!(emission, Emission::End(_)) {
            self.complete(no, key);
        }
    }

    fn cancel_others(&mut self, no: RequestNo, winner: Key) {
        let others: Vec<_> = self.runs[no]
            .active
            .iter()
            .copied()
            .filter(|&it| it != winner)
            .collect();
        for key in others {
            self.end_attempt(key, Outcome::Cancelled, true);
        }
    }

    fn complete(&mut self, no: RequestNo, key: Key) {
        let request = &self.requests[no];
        let (prompt, answer) = (request.prompt, request.answer);
        let attempt = &self.attempts[key];
        let total = self.now + self.experiment.network - attempt.sent;
        let tokens = work_tokens(u64::from(prompt), u64::from(answer));
        self.fleet.note_service(request.pool, total);
        let cheap = self.engines[attempt.engine].endpoint.kind == Kind::Reclaimable;
        let sent = attempt.sent;
        self.end_attempt(key, Outcome::Success(Latency { total, tokens }), false);
        let first = self.runs[no]
            .first_token
            .expect("an answer has a first token");
        let end = self.now + self.experiment.network;
        let first_token = first - self.runs[no].arrival;
        let request = &self.requests[no];
        let class = &self.classes[request.class];
        let between = (end - first) / (answer.max(2) - 1);
        let attained = first_token <= class.target.first_token
            && between <= class.target.between_tokens
            && end <= self.runs[no].deadline;
        let state = &mut self.hosts[request.host].classes[request.class];
        state.observe(answer, first_token, end - first);
        state
            .patience
            .observe(first.saturating_duration_since(sent));
        let used = u64::from(prompt) + u64::from(answer);
        self.finish(
            no,
            End::Answered {
                attained,
                first_token,
                cheap,
            },
            used,
        );
    }

    /// Ends an attempt on its engine and in its host's books.
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
        self.runs[attempt.request].active.retain(|&it| it != key);
        let lane = (request.host, request.pool);
        self.stir(lane);
    }

    /// An attempt failed; decides what follows.
    pub(crate) fn break_off(&mut self, key: Key, outcome: decision::Outcome) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let no = attempt.request;
        self.end_attempt(key, Outcome::Failure, true);
        if !self.runs[no].active.is_empty() {
            return;
        }
        if self.runs[no].first_token.is_some() {
            self.finish(no, End::Failed(Reason::EndpointFailed), 0);
            return;
        }
        match self.decide(no, outcome) {
            Next::Retry { wait } => self.events.push(self.now + wait, Event::Retry(no)),
            Next::Resume { .. } => self.finish(no, End::Failed(Reason::EndpointFailed), 0),
            Next::Fail(reason) if self.runs[no].sends == 0 => {
                self.finish(no, End::Refused(reason), 0);
            }
            Next::Fail(reason) => self.finish(no, End::Failed(reason), 0),
        }
    }

    fn decide(&mut self, no: RequestNo, outcome: decision::Outcome) -> Next {
        let request = &self.requests[no];
        let run = &self.runs[no];
        let history = History {
            idempotent: self.classes[request.class].idempotent,
            resumable: false,
            connects: run.tried.len() as u32,
            sends: run.sends,
            resumes: 0,
            deadline: run.deadline,
            min_execution: Duration::ZERO,
        };
        let state = &mut self.hosts[request.host].classes[request.class];
        let backoff = Backoff::default();
        if self.policy == Policy::NoBudget {
            let mut endless = agate_retry::budget::Budget::new(100);
            for _ in 0..4 {
                endless.request(self.now);
            }
            return decision::next(
                self.now,
                outcome,
                &history,
                &mut endless,
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

    /// No first token came in time: the attempt is replaced if the budget allows it.
    pub(crate) fn time_out(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let no = attempt.request;
        if self.runs[no].first_token.is_some() {
            return;
        }
        if self.runs[no].active.len() > 1 {
            self.end_attempt(key, Outcome::Failure, true);
            return;
        }
        if let Next::Retry { wait } = self.decide(no, decision::Outcome::TimedOut) {
            self.end_attempt(key, Outcome::Failure, true);
            self.events.push(self.now + wait, Event::Retry(no));
        }
    }

    pub(crate) fn hedge(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let no = attempt.request;
        let request = &self.requests[no];
        if self.runs[no].first_token.is_some() || self.runs[no].active.len() > 1 {
            return;
        }
        let state = &mut self.hosts[request.host].classes[request.class];
        let is_free = self.policy == Policy::NoBudget;
        if !is_free && !state.budget.withdraw(self.now) {
            return;
        }
        if self.send(no, true) {
            self.meter.hedges += 1;
        }
    }

    pub(crate) fn retry(&mut self, no: RequestNo) {
        if self.runs[no].is_done() || !self.runs[no].active.is_empty() {
            return;
        }
        if self.send(no, false) {
            self.meter.retries += 1;
        } else {
            self.events.push(self.now + RETRY_POLL, Event::Retry(no));
        }
    }
}
