//! The loop over simulated time.

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
use super::event::{EngineNo, Event, Queue, RequestNo};
use super::fleet::Fleet;
use super::host::Host;
use super::metric::{Counted, End, Meter, Outcome};
use super::traffic::Request;
use super::{BUCKET, fault};
use crate::experiment::{Experiment, Policy};

/// Time between two exchanges among hosts.
const GOSSIP: Duration = Duration::from_millis(500);
/// How long a host heeds what another one shed.
const FLOOR_TIME: Duration = Duration::from_millis(1500);

/// A queue: host and pool.
pub(crate) type LaneNo = (usize, usize);

/// State of a request.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) arrival: Instant,
    pub(crate) deadline: Instant,
    pub(crate) charge: Option<Charge>,
    pub(crate) active: Vec<attempt::Key>,
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) sends: u32,
    pub(crate) urgency: Tier,
    pub(crate) first_token: Option<Instant>,
    done: bool,
}

impl Run {
    pub(crate) fn is_done(&self) -> bool {
        self.done
    }
}

pub(crate) struct World<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) policy: Policy,
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) events: Queue,
    pub(crate) classes: Vec<Class>,
    pub(crate) pools: Vec<PoolId>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) names: HashMap<EndpointId, EngineNo>,
    pub(crate) requests: Vec<Request>,
    pub(crate) runs: Vec<Run>,
    pub(crate) attempts: SlotMap<attempt::Key, Attempt>,
    pub(crate) fleet: Fleet,
    pub(crate) meter: Meter,
    pub(crate) lost_zones: Vec<String>,
    /// Queues that may have something to start.
    stirred: VecDeque<LaneNo>,
}

impl<'a> World<'a> {
    pub(crate) fn new(experiment: &'a Experiment, policy: Policy, requests: Vec<Request>) -> Self {
        let start = Instant::now();
        let classes: Vec<Class> = experiment.classes.iter().map(class).collect();
        let names: Vec<_> = classes.iter().map(|it| (it.id.clone(), it.tier)).collect();
        let buckets = experiment.duration.as_secs().div_ceil(BUCKET.as_secs()) as usize;
        let run = |request: &Request| Run {
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
            pools: experiment.pools.iter().map(|it| it.id.clone()).collect(),
            hosts: (0..experiment.hosts.len())
                .map(|n| Host::new(experiment, policy, n))
                .collect(),
            engines: Vec::new(),
            names: HashMap::new(),
            runs: requests.iter().map(run).collect(),
            requests,
            classes,
            attempts: SlotMap::with_key(),
            fleet: Fleet::new(experiment, policy),
            meter: Meter::new(&names, buckets),
            lost_zones: Vec::new(),
            stirred: VecDeque::new(),
        };
        world.prepare();
        world
    }

    pub(crate) fn run(mut self) -> Outcome {
        let end = self.start + self.experiment.duration;
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.fleet
                .pay(at, &self.engines, &mut self.meter, self.experiment);
            self.now = at;
            self.handle(event);
            self.settle_lanes();
        }
        let weights: HashMap<_, _> = self
            .experiment
            .accounts
            .iter()
            .map(|it| (it.id.as_str(), f64::from(it.weight)))
            .collect();
        let weight = |id: &str| weights.get(id).copied().unwrap_or(1.0);
        let calm = fault::last_disturbance(self.experiment);
        let calm = (calm.as_secs() / BUCKET.as_secs()) as usize;
        let time = self.experiment.duration - self.experiment.warm_up;
        self.meter.finish(self.policy, time, &weight, calm)
    }

    fn prepare(&mut self) {
        for (pool_no, pool) in self.experiment.pools.iter().enumerate() {
            let kinds = [
                (Kind::Standard, pool.standard),
                (Kind::Reclaimable, pool.reclaimable),
            ];
            for (kind, count) in kinds {
                for n in 0..count as usize {
                    self.add_engine(pool_no, n % self.experiment.zones.len(), kind, State::Up);
                }
            }
        }
        for no in 0..self.requests.len() {
            self.events.push(self.runs[no].arrival, Event::Arrive(no));
        }
        for n in 0..self.experiment.faults.len() {
            self.events
                .push(self.start + self.experiment.faults[n].from, Event::Begin(n));
            self.events
                .push(self.start + self.experiment.faults[n].to, Event::End(n));
        }
        self.events.push(self.start, Event::Gossip);
        self.events.push(self.start, Event::Size);
    }

    pub(crate) fn add_engine(
        &mut self,
        pool: usize,
        zone: usize,
        kind: Kind,
        state: State,
    ) -> EngineNo {
        let no = self.engines.len();
        let zone_id = &self.experiment.zones[zone];
        let mut engine = Engine::new(no, pool, &self.experiment.pools[pool], zone_id, kind);
        engine.state = state;
        self.names.insert(engine.endpoint.id.clone(), no);
        self.engines.push(engine);
        if state == State::Up {
            self.announce(no);
        }
        no
    }

    /// Makes an engine known to the hosts.
    pub(crate) fn announce(&mut self, no: EngineNo) {
        let endpoint = &self.engines[no].endpoint;
        for host in &mut self.hosts {
            host.placement.upsert(self.now, endpoint);
        }
        self.events.push(self.now, Event::Measure(no));
        self.stir_pool(self.engines[no].pool);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(no) => self.arrive(no),
            Event::Deliver(key) => self.deliver(key),
            Event::Step(engine, step) => self.step(engine, step),
            Event::Measure(engine) => self.measure(engine),
            Event::Report(engine, report) => self.report(engine, &report),
            Event::Timeout(key) => self.time_out(key),
            Event::Hedge(key) => self.hedge(key),
            Event::Retry(no) => self.retry(no),
            Event::Deadline(no) => self.expire(no),
            Event::Begin(n) => self.begin_fault(n),
            Event::Notice(n) => self.end_notice(n),
            Event::End(n) => self.end_fault(n),
            Event::Gossip => self.gossip(),
            Event::Size => self.size(),
            Event::Boot(engine) => self.boot(engine),
        }
    }

    fn arrive(&mut self, no: RequestNo) {
        let request = &self.requests[no];
        let class = &self.classes[request.class];
        let weights = &self.experiment.accounts;
        let account = weights.iter().find(|it| it.id == request.account);
        let state = &mut self.hosts[request.host].classes[request.class];
        state.budget.request(self.now);
        let expected = state.expected();
        self.fleet
            .note_arrival(request.pool, expected, class.reclaimable);
        let item = Item {
            account: Some(request.account.clone()),
            class: class.id.clone(),
            tier: class.tier,
            class_weight: class.weight,
            account_weight: account.map_or(1, |it| it.weight),
            queue_limit: class.queue_limit,
            arrival: self.now,
            deadline: self.runs[no].deadline,
            start_by: self.now + state.patience.max_wait(class.target.first_token),
            work: state.work(),
            tokens: u64::from(request.prompt) + state.expected(),
            idempotent: class.idempotent,
            reclaimable: class.reclaimable,
        };
        let lane = (request.host, request.pool);
        let queue = &mut self.hosts[lane.0].lanes[lane.1];
        match queue.queue.offer(self.now, item) {
            Offer::Refused(reason) => self.finish(no, End::Refused(reason), 0),
            Offer::Queued { ticket, displaced } => {
                queue.tickets.insert(ticket, no);
                let victim = displaced.and_then(|ticket| queue.tickets.remove(&ticket));
                self.events
                    .push(self.runs[no].deadline, Event::Deadline(no));
                if let Some(victim) = victim {
                    self.finish(victim, End::Refused(Reason::Shed), 0);
                }
                self.stir(lane);
            }
        }
    }

    /// Notes that a queue may have something to start.
    pub(crate) fn stir(&mut self, lane: LaneNo) {
        if !self.stirred.contains(&lane) {
            self.stirred.push_back(lane);
        }
    }

    pub(crate) fn stir_pool(&mut self, pool: usize) {
        for host in 0..self.hosts.len() {
            self.stir((host, pool));
        }
    }

    fn settle_lanes(&mut self) {
        while let Some(lane) = self.stirred.pop_front() {
            self.drain(lane);
        }
    }

    /// Starts queued requests while endpoints are free.
    fn drain(&mut self, (host_no, pool): LaneNo) {
        loop {
            let host = &mut self.hosts[host_no];
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
            let lane = &mut host.lanes[pool];
            let Some(begun) = lane.queue.next(self.now, room) else {
                return;
            };
            let no = lane
                .tickets
                .remove(&begun.ticket)
                .expect("a ticket has a request");
            if begun.item.deadline <= self.now {
                self.finish(no, End::Refused(Reason::DeadlinePassed), 0);
                continue;
            }
            self.runs[no].urgency = begun.urgency;
            if !self.send(no, false) {
                let lane = &mut self.hosts[host_no].lanes[pool];
                let ticket = lane.queue.put_back(begun);
                lane.tickets.insert(ticket, no);
                return;
            }
            self.runs[no].charge = begun.charge;
        }
    }

    /// Ends a request.
    pub(crate) fn finish(&mut self, no: RequestNo, end: End, used: u64) {
        if std::mem::replace(&mut self.runs[no].done, true) {
            return;
        }
        let request = &self.requests[no];
        if let Some(charge) = self.runs[no].charge.take() {
            self.hosts[request.host].lanes[request.pool]
                .queue
                .settle(charge, used);
        }
        if !self.is_counted(no) {
            return;
        }
        let request = &self.requests[no];
        let counted = Counted {
            class: request.class,
            account: &request.account,
            prompt: request.prompt,
            answer: request.answer,
            bucket: (request.at.as_secs() / BUCKET.as_secs()) as usize,
        };
        self.meter.count(&counted, end);
    }

    /// Whether a request counts: those of the warm-up and those whose deadline
    /// lies after the end do not.
    pub(crate) fn is_counted(&self, no: RequestNo) -> bool {
        let request = &self.requests[no];
        let last = self.runs[no].deadline - self.start;
        request.at >= self.experiment.warm_up && last <= self.experiment.duration
    }

    fn expire(&mut self, no: RequestNo) {
        if self.runs[no].done {
            return;
        }
        let request = &self.requests[no];
        let lane = &mut self.hosts[request.host].lanes[request.pool];
        let expired = lane.queue.expire(self.now);
        let expired: Vec<_> = expired
            .iter()
            .filter_map(|it| lane.tickets.remove(it))
            .collect();
        for late in expired {
            self.finish(late, End::Refused(Reason::DeadlinePassed), 0);
        }
        let active = std::mem::take(&mut self.runs[no].active);
        for key in active {
            self.end_attempt(key, agate_pick::Outcome::Cancelled, true);
        }
        let end = match self.runs[no].sends {
            0 => End::Refused(Reason::DeadlinePassed),
            _ => End::Failed(Reason::EndpointTimeout),
        };
        self.finish(no, end, 0);
    }

    /// Begins an engine's next step if it is idle.
    pub(crate) fn kick(&mut self, no: EngineNo) {
        let engine = &mut self.engines[no];
        if engine.is_stepping {
            return;
        }
        if let Some(time) = engine.begin() {
            self.events
                .push(self.now + time, Event::Step(no, engine.step_no));
        }
    }

    fn step(&mut self, no: EngineNo, step: u64) {
        let engine = &mut self.engines[no];
        if engine.step_no != step || !engine.is_stepping {
            return;
        }
        let emissions = engine.end();
        engine.step_no += 1;
        engine.is_stepping = false;
        for emission in emissions {
            self.emit(emission);
        }
        self.kick(no);
        self.release_if_empty(no);
    }

    fn measure(&mut self, no: EngineNo) {
        let engine = &self.engines[no];
        if engine.state == State::Down {
            return;
        }
        let hides = engine.factor > 1.0;
        let lag = self.experiment.reports.lag;
        let report = agate_pick::Report {
            running: if hides { 1 } else { engine.running() },
            queued: if hides { 0 } else { engine.queued() },
            age: lag,
        };
        self.events.push(self.now + lag, Event::Report(no, report));
        self.events
            .push(self.now + self.experiment.reports.every, Event::Measure(no));
    }

    fn report(&mut self, no: EngineNo, report: &agate_pick::Report) {
        let engine = &self.engines[no];
        for host in &mut self.hosts {
            host.placement.report(self.now, &engine.endpoint.id, report);
        }
        self.stir_pool(engine.pool);
    }

    fn gossip(&mut self) {
        self.events.push(self.now + GOSSIP, Event::Gossip);
        if self.policy == Policy::NoFloor {
            return;
        }
        for pool in 0..self.pools.len() {
            let shed = |host: &Host| host.lanes[pool].queue.pressure(self.now);
            let shed: Vec<_> = self.hosts.iter().map(shed).collect();
            for (n, host) in self.hosts.iter_mut().enumerate() {
                let others = shed.iter().enumerate().filter(|&(it, _)| it != n);
                if let Some(tier) = others.filter_map(|(_, tier)| *tier).min() {
                    host.lanes[pool]
                        .queue
                        .set_floor(tier, self.now + FLOOR_TIME);
                }
            }
        }
    }
}

fn class(manifest: &agate_wire::manifest::Class) -> Class {
    match Spec::try_from(Manifest::Class(manifest.clone())) {
        Ok(Spec::Class(class)) => class,
        _ => unreachable!("classes are checked with the experiment"),
    }
}
