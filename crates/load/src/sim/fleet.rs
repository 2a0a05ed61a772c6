//! Sizing of the pools in simulated time.

use std::time::{Duration, Instant};

use agate_fleet::demand::Demand;
use agate_fleet::machine::{Action, Machine, Place, State as MachineState};
use agate_fleet::plan::{Planner, Size, Tuning, Zone};
use agate_fleet::reconcile::reconcile;
use agate_model::endpoint::Kind;
use agate_model::pool::Pool;

use super::engine::{Engine, State};
use super::event::{EngineNo, Event};
use super::metric::Meter;
use super::world::World;
use crate::experiment::{Experiment, Policy};

/// Time between two plans.
const INTERVAL: Duration = Duration::from_secs(5);
/// Weight of a request in the mean time that requests hold a slot.
const SERVICE_GAIN: f64 = 0.01;
/// Time in which a queue should be worked off.
const WAIT_TARGET: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Arrivals {
    count: u32,
    /// Answer tokens.
    work: u64,
    /// Of these, tokens that may come from reclaimable endpoints.
    reclaimable: u64,
}

pub(crate) struct Fleet {
    planners: Vec<Option<Planner>>,
    arrivals: Vec<Arrivals>,
    /// Mean time that a request holds a slot, in seconds.
    service: Vec<f64>,
    paid: Option<Instant>,
    start: Option<Instant>,
}

impl Fleet {
    pub(crate) fn new(experiment: &Experiment, policy: Policy) -> Self {
        let tuning = Tuning {
            price_ratio: experiment.reclaimable_price,
            ..Tuning::default()
        };
        let planner = |pool: &crate::experiment::Pool| {
            let sized = pool.max > 0 && policy != Policy::FixedFleet;
            sized.then(|| Planner::new(tuning))
        };
        Self {
            planners: experiment.pools.iter().map(planner).collect(),
            arrivals: experiment
                .pools
                .iter()
                .map(|_| Arrivals::default())
                .collect(),
            service: vec![0.0; experiment.pools.len()],
            paid: None,
            start: None,
        }
    }

    pub(crate) fn note_arrival(&mut self, pool: usize, answer: u64, reclaimable: bool) {
        let arrivals = &mut self.arrivals[pool];
        arrivals.count += 1;
        arrivals.work += answer;
        arrivals.reclaimable += if reclaimable { answer } else { 0 };
    }

    /// Takes up the time that a request held a slot.
    pub(crate) fn note_service(&mut self, pool: usize, time: Duration) {
        let mean = &mut self.service[pool];
        *mean += SERVICE_GAIN * (time.as_secs_f64() - *mean);
    }

    /// Pays for the endpoints since the last call.
    pub(crate) fn pay(
        &mut self,
        now: Instant,
        engines: &[Engine],
        meter: &mut Meter,
        experiment: &Experiment,
    ) {
        let start = *self.start.get_or_insert(now);
        let last = self.paid.unwrap_or(now);
        if now.saturating_duration_since(last) < Duration::from_millis(200) && self.paid.is_some() {
            return;
        }
        self.paid = Some(now);
        if now < start + experiment.warm_up {
            return;
        }
        let price = |engine: &Engine| match (engine.state, engine.endpoint.kind) {
            (State::Down, _) => 0.0,
            (_, Kind::Standard) => 1.0,
            (_, Kind::Reclaimable) => experiment.reclaimable_price,
        };
        let sum: f64 = engines.iter().map(price).sum();
        meter.cost += sum * (now - last).as_secs_f64();
    }
}

impl World<'_> {
    /// Sizes all pools.
    pub(crate) fn size(&mut self) {
        self.events.push(self.now + INTERVAL, Event::Size);
        for pool in 0..self.pools.len() {
            let arrivals = std::mem::take(&mut self.fleet.arrivals[pool]);
            if self.fleet.planners[pool].is_some() && self.now > self.start {
                self.size_pool(pool, &arrivals);
            }
        }
    }

    fn size_pool(&mut self, pool: usize, arrivals: &Arrivals) {
        let declared = &self.experiment.pools[pool];
        let spec = Pool {
            id: declared.id.clone(),
            model: None,
            min_endpoints: 1,
            max_endpoints: declared.max,
            reclaimable: true,
        };
        let demand = self.demand(pool, arrivals);
        let zone = |id: &String| Zone {
            id: id.clone(),
            reclaimable: !self.lost_zones.contains(id),
            standard: true,
        };
        let zones: Vec<_> = self.experiment.zones.iter().map(zone).collect();
        let machines = self.machines(pool);
        let count = |kind| {
            let stays = |it: &&Machine| it.place.kind == kind && it.state != MachineState::Leaving;
            machines.iter().filter(stays).count() as u32
        };
        let current = Size {
            standard: count(Kind::Standard),
            reclaimable: count(Kind::Reclaimable),
        };
        let planner = self.fleet.planners[pool]
            .as_mut()
            .expect("the pool is sized");
        let plan = planner.plan(self.now, &spec, declared.slots, current, &demand, &zones);
        for order in reconcile(1, &plan, Some(&machines), &[]) {
            self.carry_out(pool, &order.action);
        }
    }

    fn demand(&self, pool: usize, arrivals: &Arrivals) -> Demand {
        let engines = self
            .engines
            .iter()
            .filter(|it| it.pool == pool && it.state == State::Up);
        let running: u32 = engines.map(|it| it.running() + it.queued()).sum();
        let queued: usize = self
            .hosts
            .iter()
            .map(|host| host.lanes[pool].queue.len())
            .sum();
        let rate = f64::from(arrivals.count) / INTERVAL.as_secs_f64();
        Demand {
            arrivals: rate,
            service: Duration::from_secs_f64(self.fleet.service[pool]),
            queued: queued as f64,
            running: f64::from(running),
            reclaimable: arrivals.reclaimable as f64 / arrivals.work.max(1) as f64,
            wait_target: WAIT_TARGET,
        }
    }

    fn machines(&self, pool: usize) -> Vec<Machine> {
        let engines = self.engines.iter().enumerate();
        let listed = engines.filter(|(_, it)| it.pool == pool && it.state != State::Down);
        let machine = |(no, engine): (usize, &Engine)| Machine {
            id: engine.endpoint.id.clone(),
            order: format!("order-{no}"),
            place: Place {
                pool: engine.endpoint.pool.clone(),
                zone: engine.endpoint.zone.clone(),
                kind: engine.endpoint.kind,
            },
            state: match engine.state {
                State::Booting => MachineState::Starting,
                State::Up => MachineState::Running,
                State::Leaving | State::Down => MachineState::Leaving,
            },
        };
        listed.map(machine).collect()
    }

    fn carry_out(&mut self, pool: usize, action: &Action) {
        match action {
            Action::Start(place) => {
                let zone = self
                    .experiment
                    .zones
                    .iter()
                    .position(|it| *it == place.zone);
                let zone = zone.expect("plans name the experiment's zones");
                let no = self.add_engine(pool, zone, place.kind, State::Booting);
                let boot = self.experiment.pools[pool].boot;
                self.events.push(self.now + boot, Event::Boot(no));
            }
            Action::Stop(id) => {
                let no = self.names[id];
                match self.engines[no].state {
                    State::Booting => self.engines[no].state = State::Down,
                    _ => self.set_leaving(no),
                }
                self.release_if_empty(no);
            }
        }
    }

    pub(crate) fn boot(&mut self, no: EngineNo) {
        if self.engines[no].state == State::Booting {
            self.engines[no].state = State::Up;
            self.announce(no);
        }
    }

    /// Lets a leaving engine go once it has no work.
    pub(crate) fn release_if_empty(&mut self, no: EngineNo) {
        if self.engines[no].state == State::Leaving && self.engines[no].is_idle() {
            self.engines[no].state = State::Down;
            self.forget(no);
        }
    }
}
