//! Choice of an endpoint for one attempt.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agate_model::endpoint::Endpoint;
use agate_model::id::{EndpointId, PoolId, Tier, ZoneId};
use agate_pick::{Criteria, Picker, Report, selection};
use agate_queue::Room;
use agate_wire::engine::Load;

use crate::config::View;
use crate::work::Work;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// From sending to its end.
        total: Duration,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Answer tokens.
        answer_tokens: u64,
    },
    /// The endpoint failed or could not be reached.
    Failed,
    /// The caller went away or a faster attempt won.
    Abandoned,
}

/// Chooses endpoints and learns from attempts.
pub trait Choice {
    /// Which endpoints of the pools take a request now, if any do.
    fn room(&self, pools: &[PoolId]) -> Option<Room>;

    /// An endpoint for `work` other than those in `excluded`, counted as in use.
    /// Room is judged by the tier `urgency`.
    fn choose(
        self: Rc<Self>,
        work: &Work,
        urgency: Tier,
        excluded: &[EndpointId],
    ) -> Option<Flight>;

    /// An attempt has ended.
    fn finish(&self, flight: agate_pick::InFlight, outcome: Outcome);

    /// A new configuration or number of live hosts is in force.
    fn configure(&self, view: &View, live_hosts: u32);

    /// An engine has reported its load.
    fn report(&self, endpoint: &EndpointId, load: &Load);

    /// Attempts in flight from this host.
    fn in_flight(&self, endpoint: &EndpointId) -> u32;
}

/// One attempt in flight; dropping it counts as abandoned.
pub struct Flight {
    choice: Rc<dyn Choice>,
    endpoint: Rc<Endpoint>,
    flight: Option<agate_pick::InFlight>,
}

impl Flight {
    /// Endpoint of the attempt.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Ends the attempt.
    pub fn close(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
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

/// Choice by the picker of `agate-pick`.
pub struct Picked {
    zone: ZoneId,
    picker: RefCell<Picker>,
    endpoints: RefCell<HashMap<EndpointId, Rc<Endpoint>>>,
    draining: RefCell<HashSet<EndpointId>>,
}

impl Picked {
    /// A choice for a host in `zone` that knows no endpoint yet.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            picker: RefCell::default(),
            endpoints: RefCell::default(),
            draining: RefCell::default(),
        }
    }

    fn forget_unused(&self) {
        let mut picker = self.picker.borrow_mut();
        let used = |id: &EndpointId| picker.key(id).is_some_and(|key| picker.in_flight(key) > 0);
        let known = self.endpoints.borrow();
        let gone: Vec<EndpointId> = known.keys().filter(|id| !used(id)).cloned().collect();
        drop(known);
        for id in gone {
            picker.remove(&id);
            self.endpoints.borrow_mut().remove(&id);
        }
    }
}

impl Choice for Picked {
    fn room(&self, pools: &[PoolId]) -> Option<Room> {
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
        let wish = Criteria {
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
        let mut picker = self.picker.borrow_mut();
        let choice = picker.choose(now, &wish, &mut rand::rng())?;
        let endpoint = self.endpoints.borrow().get(&choice.id)?.clone();
        let flight = picker.start(now, choice.key);
        drop(picker);
        Some(Flight {
            choice: self,
            endpoint,
            flight: Some(flight),
        })
    }

    fn finish(&self, flight: agate_pick::InFlight, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Answered {
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
        let draining = self.draining.borrow();
        for endpoint in view.pools().flat_map(|(_, endpoints)| endpoints) {
            picker.upsert(now, endpoint);
            picker.set_leaving(&endpoint.id, draining.contains(&endpoint.id));
        }
        drop(picker);
        // Those that have left stay known while requests run on them.
        let current = view.pools().flat_map(|(_, endpoints)| endpoints);
        let current: HashMap<_, _> = current.map(|it| (it.id.clone(), it.clone())).collect();
        self.endpoints
            .borrow_mut()
            .retain(|id, _| !current.contains_key(id));
        self.forget_unused();
        self.endpoints.borrow_mut().extend(current);
    }

    fn report(&self, endpoint: &EndpointId, load: &Load) {
        let mut draining = self.draining.borrow_mut();
        let changed = match load.draining {
            true => draining.insert(endpoint.clone()),
            false => draining.remove(endpoint),
        };
        let mut picker = self.picker.borrow_mut();
        if changed {
            picker.set_leaving(endpoint, load.draining);
        }
        let report = Report {
            running: load.running,
            queued: load.queued,
            age: Duration::from_millis(load.age_ms),
        };
        picker.report(now(), endpoint, &report);
    }

    fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        let picker = self.picker.borrow();
        picker.key(endpoint).map_or(0, |key| picker.in_flight(key))
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
