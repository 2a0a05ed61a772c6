//! Sizes the pools for the demand of all hosts and orders endpoints accordingly.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_fleet::demand::Demand;
use agate_fleet::machine::{Machine, Place, State};
use agate_fleet::plan::{Plan, Planner, Size, Target, Tuning, Zone};
use agate_fleet::reconcile::reconcile;
use agate_model::class::Class;
use agate_model::endpoint::Kind;
use agate_model::id::{Epoch, PoolId, ZoneId};
use agate_model::pool::Pool;
use agate_model::snapshot::Snapshot;
use agate_store::Error;
use agate_wire::order;
use tokio::time::sleep;

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::demand::Total;
use crate::duty::order::Register;
use crate::duty::tenure::{Failure, now};

/// Number of requests that an ordered endpoint serves concurrently.
const ENDPOINT_SLOTS: u32 = 8;
/// Maximum number of orders sent in one round.
const ORDER_LIMIT: usize = 32;
/// Service time assumed for a pool until one can be estimated.
const DEFAULT_SERVICE: Duration = Duration::from_secs(2);
/// Lowest and highest estimate of the service time, in seconds.
const SERVICE_SECONDS: (f64, f64) = (0.02, 300.0);
/// Wait target of a pool to which no class is routed.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Planner and demand estimate of one pool.
#[derive(Debug)]
struct Sizing {
    planner: Planner,
    /// Last estimate of the mean service time.
    service: Duration,
}

/// Pool sizing and endpoint orders of one epoch of the lease.
#[derive(Debug)]
pub struct Fleet {
    register: Register,
    pools: BTreeMap<PoolId, Sizing>,
}

/// Takes a step per interval while this process holds the lease, until the task is aborted.
pub async fn run(context: Context) {
    let mut fleet: Option<Fleet> = None;
    loop {
        sleep(jittered(context.settings.intervals.fleet)).await;
        let Some(epoch) = context.duty.tenure.epoch() else {
            fleet = None;
            continue;
        };
        let current = fleet.take().filter(|fleet| fleet.register.epoch() == epoch);
        let fleet = fleet.insert(current.unwrap_or_else(|| Fleet::new(epoch)));
        fleet.step(&context).await;
    }
}

impl Fleet {
    /// Creates the state for a new epoch, without orders and demand.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            register: Register::new(epoch),
            pools: BTreeMap::new(),
        }
    }

    /// Compares the planned with the listed endpoints and sends the orders for the difference.
    /// An error ends the step early; the next one starts anew.
    pub async fn step(&mut self, context: &Context) {
        if let Err(err) = self.try_step(context).await {
            tracing::debug!(event = "fleet_step_failed", error = %err);
        }
    }

    async fn try_step(&mut self, context: &Context) -> Result<(), Failure> {
        let machines = list_machines(context).await.map_err(Failure::Store)?;
        self.register
            .refresh(context)
            .await
            .map_err(Failure::Store)?;
        let snapshot = context.copy.snapshot();
        let zones = self.zones(context, &machines);
        let mut targets = self.targets(context, &snapshot, &machines, &zones);
        if context.copy.proof_age().is_some() {
            targets.extend(undeclared(&snapshot, &machines));
        }
        let records = self.register.records();
        let orders = reconcile(self.register.epoch(), &targets, Some(&machines), &records);
        for order in orders.iter().take(ORDER_LIMIT) {
            self.register.send(context, order).await?;
        }
        self.register.prune(context).await
    }

    fn targets(
        &mut self,
        context: &Context,
        snapshot: &Snapshot,
        machines: &[Machine],
        zones: &[Zone],
    ) -> Plan {
        let totals = context
            .duty
            .demand
            .totals(context.settings.intervals.demand);
        let mut targets = Plan::new();
        for pool in snapshot.pools().filter(|pool| pool.max_endpoints > 0) {
            let total = totals.get(&pool.id).copied().unwrap_or_default();
            let sizing = self.pools.entry(pool.id.clone()).or_insert_with(|| Sizing {
                planner: Planner::new(Tuning::default()),
                service: DEFAULT_SERVICE,
            });
            let demand = sizing.demand(snapshot, pool, &total);
            let size = |kind| {
                let pending = self.register.pending(&pool.id, kind, machines);
                count_staying(pool, kind, machines).saturating_add(pending)
            };
            let current = Size {
                standard: size(Kind::Standard),
                reclaimable: size(Kind::Reclaimable),
            };
            let plan = sizing
                .planner
                .plan(now(), pool, ENDPOINT_SLOTS, current, &demand, zones);
            targets.extend(plan);
        }
        self.pools.retain(|id, _| snapshot.pool(id).is_some());
        targets
    }

    /// Returns the availability zones of hosts and endpoints. A kind of endpoint that the platform
    /// refused there recently counts as not available.
    fn zones(&self, context: &Context, machines: &[Machine]) -> Vec<Zone> {
        let hosts = context
            .members
            .peers()
            .into_iter()
            .map(|member| member.host.zone);
        let places = machines.iter().map(|machine| machine.place.zone.clone());
        let own = [context.host.zone.clone()];
        let names: BTreeSet<ZoneId> = hosts.chain(places).chain(own).collect();
        let refused: Vec<Place> = self.register.refused().collect();
        let is_available = |id: &ZoneId, kind: Kind| {
            let is_same = |place: &Place| place.zone == *id && place.kind == kind;
            !refused.iter().any(is_same)
        };
        let zone = |id: ZoneId| Zone {
            reclaimable: is_available(&id, Kind::Reclaimable),
            standard: is_available(&id, Kind::Standard),
            id,
        };
        names.into_iter().map(zone).collect()
    }
}

impl Sizing {
    /// Converts totals to demand. The mean service time follows from Little's law; without
    /// arrivals or running requests the last estimate stays.
    fn demand(&mut self, snapshot: &Snapshot, pool: &Pool, total: &Total) -> Demand {
        let running = f64::from(total.running);
        if total.arrivals > 0.0 && running > 0.0 {
            let (low, high) = SERVICE_SECONDS;
            let seconds = (running / total.arrivals).clamp(low, high);
            self.service = Duration::from_secs_f64(seconds);
        }
        let classes: Vec<&Class> = classes(snapshot, pool);
        let wait = classes.iter().map(|class| class.target.first_token).min();
        Demand {
            arrivals: total.arrivals,
            service: self.service,
            queued: f64::from(total.queued),
            running,
            reclaimable: reclaimable_share(&classes),
            wait_target: wait.unwrap_or(DEFAULT_WAIT),
        }
    }
}

/// Returns the classes of all routes that lead to a pool.
fn classes<'a>(snapshot: &'a Snapshot, pool: &Pool) -> Vec<&'a Class> {
    let routes = snapshot
        .routes()
        .filter(|route| route.pools.contains(&pool.id));
    let ids: BTreeSet<_> = routes.map(|route| &route.class).collect();
    ids.into_iter()
        .filter_map(|id| snapshot.class(id))
        .collect()
}

/// Returns the share of the classes, 0 to 1, whose requests may run on reclaimable endpoints.
fn reclaimable_share(classes: &[&Class]) -> f64 {
    if classes.is_empty() {
        return 0.0;
    }
    let count = classes.iter().filter(|class| class.reclaimable).count();
    count as f64 / classes.len() as f64
}

/// Counts the listed endpoints of a pool and kind that are not leaving.
fn count_staying(pool: &Pool, kind: Kind, machines: &[Machine]) -> u32 {
    let is_staying = |machine: &&Machine| {
        let is_match = machine.place.pool == pool.id && machine.place.kind == kind;
        is_match && machine.state != State::Leaving
    };
    u32::try_from(machines.iter().filter(is_staying).count()).unwrap_or(u32::MAX)
}

/// Returns targets of zero for the endpoints of pools that no longer exist or may have none.
fn undeclared(snapshot: &Snapshot, machines: &[Machine]) -> Plan {
    let may_have_endpoints =
        |id: &PoolId| snapshot.pool(id).is_some_and(|pool| pool.max_endpoints > 0);
    let places: BTreeSet<Place> = machines
        .iter()
        .filter(|machine| !may_have_endpoints(&machine.place.pool))
        .map(|machine| machine.place.clone())
        .collect();
    let empty = |place| Target { place, count: 0 };
    places.into_iter().map(empty).collect()
}

async fn list_machines(context: &Context) -> Result<Vec<Machine>, Error> {
    let machines = context.platform.orders.machines().await?;
    Ok(machines.into_iter().map(machine).collect())
}

fn machine(listed: order::Machine) -> Machine {
    Machine {
        id: listed.id,
        order: listed.order,
        place: Place {
            pool: listed.pool,
            zone: listed.zone,
            kind: listed.kind.into(),
        },
        state: match listed.state {
            order::State::Starting => State::Starting,
            order::State::Running => State::Running,
            order::State::Leaving => State::Leaving,
        },
    }
}
