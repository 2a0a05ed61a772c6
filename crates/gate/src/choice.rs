//! Selection of an endpoint for each attempt.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agate_limit::mention::Mention;
use agate_limit::permit::Answer;
use agate_model::endpoint::{Endpoint, Kind};
use agate_model::id::{EndpointId, PoolId, Tier, ZoneId};
use agate_notice::Notices;
use agate_pick::{Criteria, Picker, Report, selection};
use agate_queue::Room;
use agate_wire::engine::Load;
use agate_wire::permit::Question;
use agate_wire::sync::Statement;
use futures_util::future::LocalBoxFuture;

use crate::config::View;
use crate::limits::Limits;
use crate::work::Work;

/// Outcome of an attempt, from which the picker learns the latency and failures of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response was received.
    Responded {
        /// Time from sending the request to the end of the response.
        total: Duration,
        /// Tokens of the prompt, as the engine counts them; zero if unknown.
        prompt_tokens: u64,
        /// Tokens of the response; one for a response that is not streamed.
        answer_tokens: u64,
    },
    /// The endpoint failed or could not be reached.
    Failed,
    /// The caller disconnected, or a hedged attempt returned first.
    Abandoned,
}

/// Selects endpoints by the load, latency and failures that it has recorded for them.
pub trait Choice {
    /// Returns, for each kind of endpoint, the lowest tier that has room in these pools now; `None`
    /// if no tier has. `waiting` returns the number of requests that may start on a kind of endpoint.
    fn room(&self, pools: &[PoolId], waiting: &dyn Fn(Kind) -> usize) -> Option<Room>;

    /// Selects an endpoint for `work` that is not in `excluded` and counts an attempt in flight on
    /// it. Whether an endpoint has room depends on the tier `urgency`.
    fn choose(
        self: Rc<Self>,
        work: &Work,
        urgency: Tier,
        excluded: &[EndpointId],
    ) -> Option<Flight>;

    /// Records the outcome of an attempt and removes it from those in flight.
    fn finish(&self, flight: agate_pick::InFlight, outcome: Outcome);

    /// Applies a new configuration or number of live hosts.
    fn configure(&self, view: &View, live_hosts: u32);

    /// Records the load that an engine reports.
    fn report(&self, endpoint: &EndpointId, load: &Load);

    /// Sends no request to an endpoint for as long as it asks for in a refusal.
    fn pause(self: Rc<Self>, endpoint: &EndpointId, wait: Duration);

    /// Returns whether an endpoint has asked for a pause that is not over.
    fn is_paused(&self, endpoint: &EndpointId) -> bool;

    /// Records what a response to a request that was sent at `sent` says of the limit of its endpoint.
    fn observe_limit(&self, endpoint: &EndpointId, mention: Mention, sent: tokio::time::Instant);

    /// Applies what endpoints have said of their limits, by a response of the control process that was
    /// received now.
    fn apply_limits(&self, limits: &[Statement]);

    /// Returns what responses of endpoints have lately said of their limits.
    fn limits(&self) -> Vec<Statement>;

    /// Uses a permit if an endpoint has named a limit. Returns whether a request may be sent there.
    fn take_permit(&self, endpoint: &EndpointId) -> bool;

    /// Waits until the control process is to be asked for permits. Cancel safe.
    fn next_question(&self) -> LocalBoxFuture<'_, Question>;

    /// Records the answer to a question for permits; `None` if no control process has answered. Returns
    /// when requests that wait should look for an endpoint again.
    fn record_answer(&self, endpoint: &EndpointId, answer: Option<Answer>) -> tokio::time::Instant;

    /// Returns the number of attempts from this host in flight on the endpoint.
    fn in_flight(&self, endpoint: &EndpointId) -> u32;
}

/// One attempt in flight on an endpoint. Dropping it records [`Outcome::Abandoned`].
pub struct Flight {
    choice: Rc<dyn Choice>,
    endpoint: Rc<Endpoint>,
    flight: Option<agate_pick::InFlight>,
    /// Whether a permit was used for it, as the endpoint had named a limit.
    has_permit: bool,
}

impl Flight {
    /// Returns the endpoint of the attempt.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Returns whether the request may still be sent, also if the endpoint has named a limit since it was
    /// chosen.
    pub fn may_be_sent(&self) -> bool {
        self.has_permit || self.choice.take_permit(&self.endpoint.id)
    }

    /// Ends the attempt with this outcome.
    pub fn close(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        // A refusal with the wish for a pause is no failure.
        let outcome = match outcome {
            Outcome::Failed if self.choice.is_paused(&self.endpoint.id) => Outcome::Abandoned,
            outcome => outcome,
        };
        if let Some(flight) = self.flight.take() {
            self.choice.finish(flight, outcome);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}

/// Endpoint selection with the picker of `agate-pick`.
pub struct Balancer {
    zone: ZoneId,
    picker: RefCell<Picker>,
    endpoints: RefCell<HashMap<EndpointId, Rc<Endpoint>>>,
    draining: RefCell<HashSet<EndpointId>>,
    notices: RefCell<Notices<EndpointId>>,
    limits: Limits,
}

impl Balancer {
    /// Creates the selection of a host in `zone`, without endpoints until it is configured.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            picker: RefCell::default(),
            endpoints: RefCell::default(),
            draining: RefCell::default(),
            notices: RefCell::default(),
            limits: Limits::default(),
        }
    }

    /// Returns whether an endpoint gets no new work.
    fn is_closed(&self, endpoint: &EndpointId) -> bool {
        self.draining.borrow().contains(endpoint)
            || self.is_paused(endpoint)
            || !self.limits.is_open(endpoint)
    }

    /// Tells the picker whether an endpoint takes new work.
    fn refresh(&self, endpoint: &EndpointId) {
        let is_known = self.endpoints.borrow().contains_key(endpoint);
        let is_closed = self.is_closed(endpoint);
        let mut picker = self.picker.borrow_mut();
        picker.set_leaving(endpoint, is_closed || !is_known);
    }

    /// Tells the picker which endpoints of these pools with limits may get a request now, and asks for
    /// permits for the others. `waiting` returns the number of requests that may start on a kind of
    /// endpoint. Returns the endpoints that may get one.
    fn refresh_limited(
        &self,
        pools: &[PoolId],
        waiting: &dyn Fn(Kind) -> usize,
    ) -> Vec<EndpointId> {
        let mut limited = self.limits.limited();
        limited.retain(|id| {
            let endpoint = self.endpoints.borrow().get(id).cloned();
            let endpoint = endpoint.filter(|endpoint| pools.contains(&endpoint.pool));
            let count = endpoint.map_or(0, |endpoint| waiting(endpoint.kind));
            if count > 0 && !self.draining.borrow().contains(id) && !self.is_paused(id) {
                self.limits.want(id, count);
            }
            self.refresh(id);
            count > 0 && !self.is_closed(id)
        });
        limited
    }

    /// Chooses an endpoint with a limit for which there is a permit. It is preferred, since only a response
    /// tells whether the limit still holds.
    fn choose_limited(&self, now: Instant, criteria: &Criteria<'_>) -> Option<agate_pick::Choice> {
        let waiting = |kind| usize::from(kind == Kind::Standard || criteria.reclaimable);
        let mut open = self.refresh_limited(criteria.pools, &waiting).into_iter();
        open.find_map(|id| {
            if criteria.excluded.contains(&id) {
                return None;
            }
            let known = self.endpoints.borrow();
            let others: Vec<EndpointId> = known.keys().filter(|key| **key != id).cloned().collect();
            let criteria = Criteria {
                excluded: &others,
                ..*criteria
            };
            let mut picker = self.picker.borrow_mut();
            picker.choose(now, &criteria, &mut rand::rng())
        })
    }

    fn remove_unused(&self) {
        let mut picker = self.picker.borrow_mut();
        let used = |id: &EndpointId| picker.key(id).is_some_and(|key| picker.in_flight(key) > 0);
        let known = self.endpoints.borrow();
        let unused: Vec<EndpointId> = known.keys().filter(|id| !used(id)).cloned().collect();
        drop(known);
        for id in unused {
            picker.remove(&id);
            self.endpoints.borrow_mut().remove(&id);
        }
    }
}

impl Choice for Balancer {
    fn room(&self, pools: &[PoolId], waiting: &dyn Fn(Kind) -> usize) -> Option<Room> {
        self.refresh_limited(pools, waiting);
        let room = self.picker.borrow_mut().room(now(), pools);
        let room = Room {
            standard: room.standard,
            reclaimable: room.reclaimable,
        };
        (!room.is_full()).then_some(room)
    }

    fn choose(
        self: Rc<Self>,
        work: &Work,
        urgency: Tier,
        excluded: &[EndpointId],
    ) -> Option<Flight> {
        let now = now();
        let criteria = Criteria {
            pools: &work.route.pools,
            prefix: &work.prefix,
            tier: urgency,
            zone: &self.zone,
            reclaimable: work.class.reclaimable,
            excluded,
            tokens: selection::work_tokens(
                work.estimate.prompt_tokens,
                work.estimate.answer_tokens,
            ),
        };
        let preferred = self.choose_limited(now, &criteria);
        let mut picker = self.picker.borrow_mut();
        let choice = match preferred {
            Some(choice) => choice,
            None => picker.choose(now, &criteria, &mut rand::rng())?,
        };
        let endpoint = self.endpoints.borrow().get(&choice.id)?.clone();
        if !self.limits.take(&choice.id) {
            return None;
        }
        let flight = picker.start(now, choice.key);
        drop(picker);
        Some(Flight {
            has_permit: self.limits.is_limited(&choice.id),
            choice: self,
            endpoint,
            flight: Some(flight),
        })
    }

    fn finish(&self, flight: agate_pick::InFlight, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Responded {
                total,
                prompt_tokens,
                answer_tokens,
            } => agate_pick::Outcome::Success(agate_pick::Latency {
                total,
                tokens: selection::work_tokens(prompt_tokens, answer_tokens),
            }),
            Outcome::Failed => agate_pick::Outcome::Failure,
            Outcome::Abandoned => agate_pick::Outcome::Cancelled,
        };
        self.picker.borrow_mut().finish(now(), flight, outcome);
    }

    fn configure(&self, view: &View, live_hosts: u32) {
        let now = now();
        let mut picker = self.picker.borrow_mut();
        picker.set_live_hosts(live_hosts);
        for id in self.endpoints.borrow().keys() {
            picker.set_leaving(id, true);
        }
        for endpoint in view.pools().flat_map(|(_, endpoints)| endpoints) {
            picker.upsert(now, endpoint);
            picker.set_leaving(&endpoint.id, self.is_closed(&endpoint.id));
        }
        drop(picker);
        // Endpoints that were removed stay known while attempts are in flight on them.
        let current = view.pools().flat_map(|(_, endpoints)| endpoints);
        let current: HashMap<_, _> = current
            .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
            .collect();
        self.endpoints
            .borrow_mut()
            .retain(|id, _| !current.contains_key(id));
        self.remove_unused();
        self.endpoints.borrow_mut().extend(current);
    }

    fn report(&self, endpoint: &EndpointId, load: &Load) {
        let changed = match load.draining {
            true => self.draining.borrow_mut().insert(endpoint.clone()),
            false => self.draining.borrow_mut().remove(endpoint),
        };
        let mut picker = self.picker.borrow_mut();
        if changed {
            picker.set_leaving(endpoint, self.is_closed(endpoint));
        }
        let report = Report {
            running: load.running,
            queued: load.queued,
            age: Duration::from_millis(load.age_ms),
        };
        picker.report(now(), endpoint, &report);
    }

    fn pause(self: Rc<Self>, endpoint: &EndpointId, wait: Duration) {
        let Some(end) = self.notices.borrow_mut().pause(now(), endpoint, wait) else {
            return;
        };
        tracing::info!(event = "endpoint_paused", endpoint = %endpoint, wait = ?wait);
        self.picker.borrow_mut().set_leaving(endpoint, true);
        let endpoint = endpoint.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(end.into()).await;
            tracing::info!(event = "endpoint_resumed", endpoint = %endpoint);
            self.refresh(&endpoint);
        });
    }

    fn is_paused(&self, endpoint: &EndpointId) -> bool {
        !self.notices.borrow().is_open(now(), endpoint)
    }

    fn observe_limit(&self, endpoint: &EndpointId, mention: Mention, sent: tokio::time::Instant) {
        if self.limits.observe(endpoint, mention, sent).is_some() {
            self.refresh(endpoint);
        }
    }

    fn apply_limits(&self, limits: &[Statement]) {
        for statement in limits {
            let change = self.limits.apply(statement, tokio::time::Instant::now());
            if change.is_some() {
                self.refresh(&statement.endpoint);
            }
        }
    }

    fn limits(&self) -> Vec<Statement> {
        self.limits.report()
    }

    fn take_permit(&self, endpoint: &EndpointId) -> bool {
        self.limits.take(endpoint)
    }

    fn next_question(&self) -> LocalBoxFuture<'_, Question> {
        Box::pin(self.limits.next_question())
    }

    fn record_answer(&self, endpoint: &EndpointId, answer: Option<Answer>) -> tokio::time::Instant {
        self.limits.record_answer(endpoint, answer)
    }

    fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        let picker = self.picker.borrow();
        picker.key(endpoint).map_or(0, |key| picker.in_flight(key))
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
