//! Sizing of the pools in simulated time.

use std::time::{Duration, Instant};

use agate_fleet::demand::Demand;
use agate_fleet::machine::{Action, Machine, Place, State as MachineState};
use agate_fleet::plan::{Planner, Tuning, Zone};
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
/// Time in which a queue should be worked off.
const WAIT_TARGET: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Arrivals {
    all: u32,
    reclaimable: u32,
}

pub(crate) struct Fleet {
    planners: Vec<Option<Planner>>,
    arrivals: Vec<Arrivals>,
    paid: Option<Instant>,
    start: Option<Instant>,
}

impl Fleet {
    pub(crate) fn new(experiment: &Experiment, policy: Policy) -> Self {
        let tuning = Tuning {
            price: experiment.reclaimable_price,
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
            paid: None,
            start: None,
        }
    }

    pub(crate) fn note_arrival(&mut self, pool: usize, reclaimable: bool) {
        self.arrivals[pool].all += 1;
        self.arrivals[pool].reclaimable += u32::from(reclaimable);
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
        let current = machines
            .iter()
            .filter(|it| it.state != MachineState::Leaving)
            .count() as u32;
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
        let rate = f64::from(arrivals.all) / INTERVAL.as_secs_f64();
        Demand {
            arrivals: rate,
            service: self.service(pool),
            queued: queued as f64,
            running: f64::from(running),
            reclaimable: f64::from(arrivals.reclaimable) / f64::from(arrivals.all.max(1)),
            wait_target: WAIT_TARGET,
        }
    }

    /// Time that a request holds a slot, from the declared engine and load.
    fn service(&self, pool: usize) -> Duration {
        let declared = &self.experiment.pools[pool];
        let loads = self
            .experiment
            .load
            .iter()
            .filter(|it| it.pool == declared.id);
        let (mut tokens, mut rate) = (0.0, 0.0);
        for load in loads {
            tokens += load.rate * f64::from(load.answer);
            rate += load.rate;
        }
        let batch = declared.slots / 2;
        let step = declared.step.base + declared.step.per_request * batch;
        step.mul_f64(tokens / f64::max(rate, f64::MIN_POSITIVE))
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
