//! State of the simulation and the loop that handles its events.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use agate_model::class::Class;
use agate_model::endpoint::Kind;
use agate_model::id::{EndpointId, PoolId, Tier};
use agate_model::refusal::Reason;
use agate_model::resource::Spec;
use agate_queue::{Charge, Item, Offer, Room};
use agate_wire::manifest::Manifest;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use super::attempt::{self, Attempt};
use super::engine::{Engine, State};
use super::event::{EngineIndex, Event, Queue, RequestIndex};
use super::fleet::Fleet;
use super::host::Host;
use super::metric::{Counted, End, Meter, Outcome};
use super::traffic::Request;
use super::{BUCKET, fault};
use crate::experiment::{Experiment, Policy};

/// Time between two exchanges of shed tiers among the hosts.
const GOSSIP: Duration = Duration::from_millis(500);
/// Time for which a host applies the tier that another one sheds; it covers three exchanges.
const FLOOR_TIME: Duration = Duration::from_millis(1500);

/// Identifies a queue by the positions of its host and its pool.
pub(crate) type QueueIndex = (usize, usize);

/// Mutable state of a request, from its arrival to its end.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) arrival: Instant,
    /// Time by which the whole response is due.
    pub(crate) deadline: Instant,
    /// Charge to be settled at the end; `None` while the request is queued, after its end and under
    /// a policy whose queue charges nothing.
    pub(crate) charge: Option<Charge>,
    /// Attempts in flight.
    pub(crate) active: Vec<attempt::Key>,
    /// Endpoints chosen for attempts so far.
    pub(crate) tried: Vec<EndpointId>,
    /// Number of attempts that reached an engine.
    pub(crate) sends: u32,
    /// Tier with which the queue started the request.
    pub(crate) urgency: Tier,
    /// Time at which the first token reached the host; `None` before.
    pub(crate) first_token: Option<Instant>,
    /// Whether the end of the request has been recorded.
    done: bool,
}

impl Progress {
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }
}

/// The whole simulation: one experiment under one policy.
pub(crate) struct World<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) policy: Policy,
    /// Simulated time zero.
    pub(crate) start: Instant,
    /// Current simulated time.
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) events: Queue,
    pub(crate) classes: Vec<Class>,
    pub(crate) pools: Vec<PoolId>,
    pub(crate) hosts: Vec<Host>,
    /// All engines ever started, also those that are down.
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_by_id: HashMap<EndpointId, EngineIndex>,
    pub(crate) requests: Vec<Request>,
    /// State of each request, at the same position as in `requests`.
    pub(crate) progress: Vec<Progress>,
    pub(crate) attempts: SlotMap<attempt::Key, Attempt>,
    pub(crate) fleet: Fleet,
    pub(crate) meter: Meter,
    /// Availability zones in which no reclaimable endpoint can be had now.
    pub(crate) lost_zones: Vec<String>,
    /// Queues that may have a request to start, each at most once.
    ready_queues: VecDeque<QueueIndex>,
}

impl<'a> World<'a> {
    pub(crate) fn new(experiment: &'a Experiment, policy: Policy, requests: Vec<Request>) -> Self {
        let start = Instant::now();
        let classes: Vec<Class> = experiment.classes.iter().map(class).collect();
        let tiers: Vec<_> = classes
            .iter()
            .map(|class| (class.id.clone(), class.tier))
            .collect();
        let buckets = experiment.duration.as_secs().div_ceil(BUCKET.as_secs()) as usize;
        let progress = |request: &Request| Progress {
            arrival: start + request.at,
            deadline: start + request.at + classes[request.class].target.deadline,
            charge: None,
            active: Vec::new(),
            tried: Vec::new(),
            sends: 0,
            urgency: 0,
            first_token: None,
            done: false,
        };
        let mut world = Self {
            experiment,
            policy,
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(experiment.seed),
            events: Queue::default(),
            pools: experiment
                .pools
                .iter()
                .map(|pool| pool.id.clone())
                .collect(),
            hosts: (0..experiment.hosts.len())
                .map(|n| Host::new(experiment, policy, n))
                .collect(),
            engines: Vec::new(),
            engine_by_id: HashMap::new(),
            progress: requests.iter().map(progress).collect(),
            requests,
            classes,
            attempts: SlotMap::with_key(),
            fleet: Fleet::new(experiment, policy),
            meter: Meter::new(&tiers, buckets),
            lost_zones: Vec::new(),
            ready_queues: VecDeque::new(),
        };
        world.schedule_initial();
        world
    }

    /// Handles all events up to the end of the experiment and returns the results.
    pub(crate) fn run(mut self) -> Outcome {
        let end = self.start + self.experiment.duration;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.fleet
                .add_cost(at, &self.engines, &mut self.meter, self.experiment);
            self.now = at;
            self.handle(event);
            self.dispatch_ready();
        }
        let weights: HashMap<_, _> = self
            .experiment
            .accounts
            .iter()
            .map(|account| (account.id.as_str(), f64::from(account.weight)))
            .collect();
        let weight = |id: &str| weights.get(id).copied().unwrap_or(1.0);
        let disturbance = fault::last_disturbance(self.experiment);
        let disturbed = (disturbance.as_secs() / BUCKET.as_secs()) as usize;
        let time = self.experiment.duration - self.experiment.warm_up;
        self.meter.finish(self.policy, time, &weight, disturbed)
    }

    /// Starts the engines of the experiment and schedules its requests and faults.
    fn schedule_initial(&mut self) {
        for (pool_index, pool) in self.experiment.pools.iter().enumerate() {
            let kinds = [
                (Kind::Standard, pool.standard),
                (Kind::Reclaimable, pool.reclaimable),
            ];
            for (kind, count) in kinds {
                for n in 0..count as usize {
                    self.add_engine(pool_index, n % self.experiment.zones.len(), kind, State::Up);
                }
            }
        }
        for index in 0..self.requests.len() {
            self.events
                .push(self.progress[index].arrival, Event::Arrive(index));
        }
        for n in 0..self.experiment.faults.len() {
            self.events.push(
                self.start + self.experiment.faults[n].from,
                Event::FaultStart(n),
            );
            self.events.push(
                self.start + self.experiment.faults[n].to,
                Event::FaultEnd(n),
            );
        }
        self.events.push(self.start, Event::Gossip);
        self.events.push(self.start, Event::Resize);
    }

    /// Adds an engine to a pool in an availability zone, both given by position, and returns its
    /// position.
    pub(crate) fn add_engine(
        &mut self,
        pool: usize,
        zone: usize,
        kind: Kind,
        state: State,
    ) -> EngineIndex {
        let index = self.engines.len();
        let zone_id = &self.experiment.zones[zone];
        let mut engine = Engine::new(index, pool, &self.experiment.pools[pool], zone_id, kind);
        engine.state = state;
        self.engine_by_id.insert(engine.endpoint.id.clone(), index);
        self.engines.push(engine);
        if state == State::Up {
            self.announce(index);
        }
        index
    }

    /// Makes an engine known to the hosts and starts its load reports.
    pub(crate) fn announce(&mut self, index: EngineIndex) {
        let endpoint = &self.engines[index].endpoint;
        for host in &mut self.hosts {
            host.placement.upsert(self.now, endpoint);
        }
        self.events.push(self.now, Event::Measure(index));
        self.mark_pool_ready(self.engines[index].pool);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Deliver(key) => self.deliver(key),
            Event::Step(engine, step) => self.step(engine, step),
            Event::Measure(engine) => self.measure(engine),
            Event::Report(engine, report) => self.report(engine, &report),
            Event::Timeout(key) => self.time_out(key),
            Event::Hedge(key) => self.hedge(key),
            Event::Retry(index) => self.retry(index),
            Event::Deadline(index) => self.expire(index),
            Event::FaultStart(n) => self.start_fault(n),
            Event::NoticeEnd(n) => self.end_notice(n),
            Event::FaultEnd(n) => self.end_fault(n),
            Event::Gossip => self.gossip(),
            Event::Resize => self.resize_pools(),
            Event::Boot(engine) => self.boot(engine),
        }
    }

    /// Offers a request to the queue of its pool on its host.
    fn arrive(&mut self, index: RequestIndex) {
        let request = &self.requests[index];
        let class = &self.classes[request.class];
        let accounts = &self.experiment.accounts;
        let account = accounts
            .iter()
            .find(|account| account.id == request.account);
        let state = &mut self.hosts[request.host].classes[request.class];
        state.budget.request(self.now);
        let expected_tokens = state.expected_tokens();
        self.fleet
            .record_arrival(request.pool, expected_tokens, class.reclaimable);
        let item = Item {
            account: Some(request.account.clone()),
            class: class.id.clone(),
            tier: class.tier,
            class_weight: class.weight,
            account_weight: account.map_or(1, |account| account.weight),
            queue_limit: class.queue_limit,
            arrival: self.now,
            deadline: self.progress[index].deadline,
            start_by: self.now + state.wait_budget.max_wait(class.target.first_token),
            work: state.min_execution(),
            tokens: u64::from(request.prompt_tokens) + state.expected_tokens(),
            idempotent: class.idempotent,
            reclaimable: class.reclaimable,
        };
        let queue_index = (request.host, request.pool);
        let queue = &mut self.hosts[queue_index.0].queues[queue_index.1];
        match queue.admission.offer(self.now, item) {
            Offer::Refused(reason) => self.finish(index, End::Refused(reason), 0),
            Offer::Queued { ticket, displaced } => {
                queue.tickets.insert(ticket, index);
                let victim = displaced.and_then(|ticket| queue.tickets.remove(&ticket));
                self.events
                    .push(self.progress[index].deadline, Event::Deadline(index));
                if let Some(victim) = victim {
                    self.finish(victim, End::Refused(Reason::Shed), 0);
                }
                self.mark_ready(queue_index);
            }
        }
    }

    /// Records that a queue may have a request to start.
    pub(crate) fn mark_ready(&mut self, queue: QueueIndex) {
        if !self.ready_queues.contains(&queue) {
            self.ready_queues.push_back(queue);
        }
    }

    /// Records that the queues of a pool may have requests to start, on all hosts.
    pub(crate) fn mark_pool_ready(&mut self, pool: usize) {
        for host in 0..self.hosts.len() {
            self.mark_ready((host, pool));
        }
    }

    /// Starts requests from all queues that may have some.
    fn dispatch_ready(&mut self) {
        while let Some(queue) = self.ready_queues.pop_front() {
            self.dispatch_queue(queue);
        }
    }

    /// Starts requests of a queue while endpoints are free.
    fn dispatch_queue(&mut self, (host_index, pool): QueueIndex) {
        loop {
            let host = &mut self.hosts[host_index];
            let room = host
                .placement
                .room(self.now, std::slice::from_ref(&self.pools[pool]));
            let room = Room {
                standard: room.standard,
                reclaimable: room.reclaimable,
            };
            if room.is_full() {
                return;
            }
            let queue = &mut host.queues[pool];
            let Some(dispatch) = queue.admission.next(self.now, room) else {
                return;
            };
            let index = queue
                .tickets
                .remove(&dispatch.ticket)
                .expect("every ticket belongs to a request");
            if dispatch.item.deadline <= self.now {
                self.finish(index, End::Refused(Reason::DeadlinePassed), 0);
                continue;
            }
            self.progress[index].urgency = dispatch.urgency;
            if !self.send(index, false) {
                let queue = &mut self.hosts[host_index].queues[pool];
                let ticket = queue.admission.put_back(dispatch);
                queue.tickets.insert(ticket, index);
                return;
            }
            self.progress[index].charge = dispatch.charge;
        }
    }

    /// Records the end of a request and settles its charge with the tokens used; does nothing if
    /// it has ended before.
    pub(crate) fn finish(&mut self, index: RequestIndex, end: End, used: u64) {
        if std::mem::replace(&mut self.progress[index].done, true) {
            return;
        }
        let request = &self.requests[index];
        if let Some(charge) = self.progress[index].charge.take() {
            self.hosts[request.host].queues[request.pool]
                .admission
                .settle(charge, used);
        }
        if !self.is_counted(index) {
            return;
        }
        let request = &self.requests[index];
        let counted = Counted {
            class: request.class,
            account: &request.account,
            prompt_tokens: request.prompt_tokens,
            response_tokens: request.response_tokens,
            bucket: (request.at.as_secs() / BUCKET.as_secs()) as usize,
        };
        self.meter.count(&counted, end);
    }

    /// Returns whether a request counts in the results: those that arrive during the warm-up and
    /// those whose deadline lies after the end of the experiment do not.
    pub(crate) fn is_counted(&self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let deadline = self.progress[index].deadline - self.start;
        request.at >= self.experiment.warm_up && deadline <= self.experiment.duration
    }

    /// Ends a request at its deadline: cancels its attempts and removes expired requests from its
    /// queue.
    fn expire(&mut self, index: RequestIndex) {
        if self.progress[index].done {
            return;
        }
        let request = &self.requests[index];
        let queue = &mut self.hosts[request.host].queues[request.pool];
        let expired = queue.admission.expire(self.now);
        let expired: Vec<_> = expired
            .iter()
            .filter_map(|ticket| queue.tickets.remove(ticket))
            .collect();
        for request in expired {
            self.finish(request, End::Refused(Reason::DeadlinePassed), 0);
        }
        let active = std::mem::take(&mut self.progress[index].active);
        for key in active {
            self.end_attempt(key, agate_pick::Outcome::Cancelled, true);
        }
        let end = match self.progress[index].sends {
            0 => End::Refused(Reason::DeadlinePassed),
            _ => End::Failed(Reason::EndpointTimeout),
        };
        self.finish(index, end, 0);
    }

    /// Starts the next step of an engine that is between steps and has work.
    pub(crate) fn start_step(&mut self, index: EngineIndex) {
        let engine = &mut self.engines[index];
        if engine.is_stepping {
            return;
        }
        if let Some(time) = engine.start_step() {
            self.events
                .push(self.now + time, Event::Step(index, engine.step_number));
        }
    }

    /// Ends a step of an engine, unless a crash cut it short, and starts the next.
    fn step(&mut self, index: EngineIndex, step: u64) {
        let engine = &mut self.engines[index];
        if engine.step_number != step || !engine.is_stepping {
            return;
        }
        let emissions = engine.finish_step();
        engine.step_number += 1;
        engine.is_stepping = false;
        for emission in emissions {
            self.handle_emission(emission);
        }
        self.start_step(index);
        self.stop_if_idle(index);
    }

    /// Takes a load report, which reaches the hosts after the lag. A slow engine reports one
    /// running request and an empty queue.
    fn measure(&mut self, index: EngineIndex) {
        let engine = &self.engines[index];
        if engine.state == State::Down {
            return;
        }
        let hides_load = engine.factor > 1.0;
        let lag = self.experiment.reports.lag;
        let report = agate_pick::Report {
            running: if hides_load { 1 } else { engine.running() },
            queued: if hides_load { 0 } else { engine.queued() },
            age: lag,
        };
        self.events
            .push(self.now + lag, Event::Report(index, report));
        self.events.push(
            self.now + self.experiment.reports.every,
            Event::Measure(index),
        );
    }

    /// Hands a load report to all hosts.
    fn report(&mut self, index: EngineIndex, report: &agate_pick::Report) {
        let engine = &self.engines[index];
        for host in &mut self.hosts {
            host.placement.report(self.now, &engine.endpoint.id, report);
        }
        self.mark_pool_ready(engine.pool);
    }

    /// Sets the floor of each queue to the highest tier that another host sheds for the same pool.
    fn gossip(&mut self) {
        self.events.push(self.now + GOSSIP, Event::Gossip);
        if self.policy == Policy::NoFloor {
            return;
        }
        for pool in 0..self.pools.len() {
            let shed = |host: &Host| host.queues[pool].admission.pressure(self.now);
            let shed: Vec<_> = self.hosts.iter().map(shed).collect();
            for (n, host) in self.hosts.iter_mut().enumerate() {
                let others = shed.iter().enumerate().filter(|&(other, _)| other != n);
                if let Some(tier) = others.filter_map(|(_, tier)| *tier).min() {
                    host.queues[pool]
                        .admission
                        .set_floor(tier, self.now + FLOOR_TIME);
                }
            }
        }
    }
}

/// Converts a class of the experiment file.
fn class(manifest: &agate_wire::manifest::Class) -> Class {
    match Spec::try_from(Manifest::Class(manifest.clone())) {
        Ok(Spec::Class(class)) => class,
        _ => unreachable!("the classes of a checked experiment are valid"),
    }
}
