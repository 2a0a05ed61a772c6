//! Resizes the pools with the planner of `agate-fleet` and adds up the price of the endpoints.

use std::time::{Duration, Instant};

use agate_fleet::demand::Demand;
use agate_fleet::machine::{Action, Machine, Place, State as MachineState};
use agate_fleet::plan::{Planner, Size, Tuning, Zone};
use agate_fleet::reconcile::reconcile;
use agate_model::endpoint::Kind;
use agate_model::pool::Pool;

use super::engine::{Engine, State};
use super::event::{EngineIndex, Event};
use super::metric::Meter;
use super::world::World;
use crate::experiment::{Experiment, Policy};

/// Time between two plans of a pool.
const INTERVAL: Duration = Duration::from_secs(5);
/// Weight of a new request in the moving average of the time that requests hold a slot.
const SERVICE_GAIN: f64 = 0.01;
/// Time within which the planner should size a pool to clear its queue.
const WAIT_TARGET: Duration = Duration::from_secs(10);

/// Requests that arrived for one pool since its last plan.
#[derive(Debug, Default)]
struct Arrivals {
    count: u32,
    /// Expected response tokens.
    tokens: u64,
    /// Expected response tokens that reclaimable endpoints may serve.
    reclaimable_tokens: u64,
}

/// Demand and cost of all pools; lists have one entry for each pool of the experiment.
pub(crate) struct Fleet {
    /// `None` for a pool of fixed size.
    planners: Vec<Option<Planner>>,
    arrivals: Vec<Arrivals>,
    /// Moving average of the time that a request holds a slot, in seconds.
    service: Vec<f64>,
    /// Time up to which the cost has been added; `None` before the first call of
    /// [`Fleet::add_cost`].
    paid: Option<Instant>,
    /// Time of the first call of [`Fleet::add_cost`].
    start: Option<Instant>,
}

impl Fleet {
    pub(crate) fn new(experiment: &Experiment, policy: Policy) -> Self {
        let tuning = Tuning {
            price_ratio: experiment.reclaimable_price,
            ..Tuning::default()
        };
        let planner = |pool: &crate::experiment::Pool| {
            let is_resized = pool.max > 0 && policy != Policy::FixedFleet;
            is_resized.then(|| Planner::new(tuning))
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

    /// Records a request that arrived for a pool, with its expected response length.
    pub(crate) fn record_arrival(&mut self, pool: usize, tokens: u64, reclaimable: bool) {
        let arrivals = &mut self.arrivals[pool];
        arrivals.count += 1;
        arrivals.tokens += tokens;
        arrivals.reclaimable_tokens += if reclaimable { tokens } else { 0 };
    }

    /// Records the time that a request held a slot of a pool.
    pub(crate) fn record_service(&mut self, pool: usize, time: Duration) {
        let mean = &mut self.service[pool];
        *mean += SERVICE_GAIN * (time.as_secs_f64() - *mean);
    }

    /// Adds the price of all endpoints since the last addition to the cost, at most every 200 ms
    /// and not for the warm-up.
    pub(crate) fn add_cost(
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
    /// Resizes all pools that have a planner; does nothing at the start of the experiment.
    pub(crate) fn resize_pools(&mut self) {
        self.events.push(self.now + INTERVAL, Event::Resize);
        for pool in 0..self.pools.len() {
            let arrivals = std::mem::take(&mut self.fleet.arrivals[pool]);
            if self.fleet.planners[pool].is_some() && self.now > self.start {
                self.resize_pool(pool, &arrivals);
            }
        }
    }

    /// Plans the size of a pool and carries out the orders.
    fn resize_pool(&mut self, pool: usize, arrivals: &Arrivals) {
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
            let is_staying = |machine: &&Machine| {
                machine.place.kind == kind && machine.state != MachineState::Leaving
            };
            machines.iter().filter(is_staying).count() as u32
        };
        let current = Size {
            standard: count(Kind::Standard),
            reclaimable: count(Kind::Reclaimable),
        };
        let planner = self.fleet.planners[pool]
            .as_mut()
            .expect("only pools with a planner are resized");
        let plan = planner.plan(self.now, &spec, declared.slots, current, &demand, &zones);
        for order in reconcile(1, &plan, Some(&machines), &[]) {
            self.carry_out(pool, &order.action);
        }
    }

    /// Returns the demand on a pool since the last plan.
    fn demand(&self, pool: usize, arrivals: &Arrivals) -> Demand {
        let engines = self
            .engines
            .iter()
            .filter(|engine| engine.pool == pool && engine.state == State::Up);
        let running: u32 = engines
            .map(|engine| engine.running() + engine.queued())
            .sum();
        let queued: usize = self
            .hosts
            .iter()
            .map(|host| host.queues[pool].admission.len())
            .sum();
        let rate = f64::from(arrivals.count) / INTERVAL.as_secs_f64();
        Demand {
            arrivals: rate,
            service: Duration::from_secs_f64(self.fleet.service[pool]),
            queued: queued as f64,
            running: f64::from(running),
            reclaimable: arrivals.reclaimable_tokens as f64 / arrivals.tokens.max(1) as f64,
            wait_target: WAIT_TARGET,
        }
    }

    /// Returns the engines of a pool that are not down, as the reconciler lists machines.
    fn machines(&self, pool: usize) -> Vec<Machine> {
        let engines = self.engines.iter().enumerate();
        let listed =
            engines.filter(|(_, engine)| engine.pool == pool && engine.state != State::Down);
        let machine = |(index, engine): (usize, &Engine)| Machine {
            id: engine.endpoint.id.clone(),
            order: format!("order-{index}"),
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

    /// Starts or stops an engine as ordered.
    fn carry_out(&mut self, pool: usize, action: &Action) {
        match action {
            Action::Start(place) => {
                let zone = self
                    .experiment
                    .zones
                    .iter()
                    .position(|zone| *zone == place.zone);
                let zone = zone.expect("a plan uses only zones of the experiment");
                let index = self.add_engine(pool, zone, place.kind, State::Booting);
                let boot = self.experiment.pools[pool].boot;
                self.events.push(self.now + boot, Event::Boot(index));
            }
            Action::Stop(id) => {
                let index = self.engine_by_id[id];
                match self.engines[index].state {
                    State::Booting => self.engines[index].state = State::Down,
                    _ => self.set_leaving(index),
                }
                self.stop_if_idle(index);
            }
        }
    }

    /// Makes an engine available that has booted and was not stopped meanwhile.
    pub(crate) fn boot(&mut self, index: EngineIndex) {
        if self.engines[index].state == State::Booting {
            self.engines[index].state = State::Up;
            self.announce(index);
        }
    }

    /// Stops a leaving engine once it has no work.
    pub(crate) fn stop_if_idle(&mut self, index: EngineIndex) {
        if self.engines[index].state == State::Leaving && self.engines[index].is_idle() {
            self.engines[index].state = State::Down;
            self.remove_from_hosts(index);
        }
    }
}
