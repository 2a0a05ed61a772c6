//! Orders endpoints according to the work that is offered to all hosts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::ZoneId;
use agate_store::Error;
use tokio::time::{Instant, sleep};

use super::checkpoint::Checkpoint;
use super::demand::{Capability, Demand};
use super::plan::{Inputs, Plan, Size, plan, retain_standard};
use super::{CALL_TIMEOUT, lease};
use crate::clock;
use crate::config::{Service, ServiceId};
use crate::edge::Edge;
use crate::hosts;
use crate::interface::Order;
use crate::metrics::count;

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a group that refused an order counts as exhausted and gets no further orders.
const EXHAUSTED_TTL: Duration = Duration::from_secs(4);
/// Time after which an order is sent again if its endpoints are not listed.
const REORDER_AFTER: Duration = Duration::from_secs(8);
/// Interval between two checkpoints of the demand for the next lease holder.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(3);

/// Endpoints that are ordered together: service, zone, and whether they are reclaimable.
type Group = (ServiceId, ZoneId, bool);

/// State of this lease holder: its orders and the observed demand.
#[derive(Default)]
struct State {
    /// Last order of each group: number of endpoints, and when it was sent.
    ordered: HashMap<Group, (u32, Instant)>,
    /// Groups that refused an order, with the time until which they count as exhausted.
    exhausted: HashMap<Group, Instant>,
    /// Observed demand by service.
    demand: HashMap<ServiceId, Demand>,
    /// When the last checkpoint was written or tried; `None` before the first.
    saved_at: Option<Instant>,
}

impl State {
    /// Returns a state that starts with the demand in the previous holder's checkpoint.
    async fn restore(edge: &Edge) -> Result<Self, Error> {
        let (loads, age) = Checkpoint::read(edge).await?;
        let mut state = Self::default();
        let now = Instant::now();
        for (service, load) in loads {
            tracing::info!(
                event = "demand_recalled",
                service,
                load,
                age_ms = age.as_millis()
            );
            let demand = state.demand.entry(service).or_default();
            demand.restore(now, load, age);
        }
        Ok(state)
    }

    /// Writes a checkpoint of the demand for the next holder, unless the last one is recent or no
    /// demand was observed for long enough.
    async fn save(&mut self, edge: &Edge) {
        let now = Instant::now();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < CHECKPOINT_INTERVAL;
        if self.saved_at.is_some_and(is_fresh) {
            return;
        }
        let known = self.demand.iter();
        let loads: HashMap<ServiceId, f64> = known
            .filter_map(|(service, demand)| Some((service.clone(), demand.peak(now)?)))
            .collect();
        if loads.is_empty() {
            return;
        }
        self.saved_at = Some(now);
        if let Err(err) = Checkpoint::write(edge, loads).await {
            tracing::warn!(event = "demand_not_left", error = %err);
        }
    }
}

/// Orders endpoints while this host holds the lease, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let mut state = State::default();
    let mut epoch = None;
    loop {
        sleep(PLAN_INTERVAL).await;
        let Some(config) = edge.config() else {
            continue;
        };
        let Some(permit) = edge.lease.permit() else {
            epoch = None;
            continue;
        };
        if epoch != Some(permit.epoch()) {
            state = match State::restore(&edge).await {
                Ok(state) => state,
                Err(err) => {
                    tracing::warn!(event = "demand_unknown", error = %err);
                    continue;
                }
            };
            epoch = Some(permit.epoch());
        }
        for service in config.services.values() {
            step(&edge, service, &mut state).await;
        }
        state.save(&edge).await;
    }
}

/// Plans the endpoints of one service and sends the orders that differ from the last ones.
async fn step(edge: &Edge, service: &Service, state: &mut State) {
    let Some(scale) = &service.scale else { return };
    let scale = &edge.evacuations.borrow().open_part(scale);
    let now = Instant::now();
    let listed = listed_plan(edge, &service.id);
    let demand = state.demand.entry(service.id.clone()).or_default();
    demand.set_bounds(Capability::default(), scale);
    {
        let live: HashSet<String> = edge
            .hosts
            .borrow()
            .live(now)
            .into_iter()
            .map(hosts::Row::key)
            .collect();
        let ledger = edge.ledger.borrow();
        if !ledger.is_known() {
            return;
        }
        let rows: Vec<_> = ledger
            .rows()
            .filter(|row| live.contains(&row.run))
            .collect();
        let listed_count = listed.values().map(|size| size.standard + size.reclaimable);
        demand.observe(now, &service.id, &rows, listed_count.sum());
    }
    let Some(needed) = demand.endpoints(now) else {
        return;
    };
    state.exhausted.retain(|_, until| *until > now);
    let exhausted: BTreeMap<ZoneId, u32> = state
        .exhausted
        .keys()
        .filter(|(id, zone, reclaimable)| {
            *id == service.id && *reclaimable && scale.zone_prices.contains_key(zone)
        })
        .map(|(_, zone, _)| (zone.clone(), count_in(&listed, zone, true)))
        .collect();
    let inputs = Inputs {
        scale,
        needed: needed.total,
        minimum: needed.minimum,
        base: needed.base,
        exhausted: &exhausted,
    };
    let mut plan = plan(&inputs);
    let min_remaining = if needed.is_provisional {
        u32::MAX
    } else {
        needed.present
    };
    retain_standard(
        &mut plan,
        &listed,
        &ordered_plan(state, &service.id, now),
        min_remaining,
    );
    let planned: u32 = plan
        .values()
        .map(|size| size.standard + size.reclaimable)
        .sum();
    for order in orders(service, &plan) {
        let group = (order.service.clone(), order.zone.clone(), order.reclaimable);
        let listed_count = count_in(&listed, &order.zone, order.reclaimable);
        let is_listed = listed_count == order.count;
        let is_known = state.ordered.get(&group).is_some_and(|(count, at)| {
            let age = now.saturating_duration_since(*at);
            *count == order.count && (is_listed || age < REORDER_AFTER)
        });
        let is_exhausted = state.exhausted.contains_key(&group);
        if is_known || is_exhausted {
            continue;
        }
        match send(edge, &order).await {
            Ok(()) => {
                tracing::info!(
                    event = "endpoints_ordered",
                    service = order.service,
                    zone = order.zone,
                    reclaimable = order.reclaimable,
                    count = order.count,
                    listed = listed_count,
                    needed = needed.total,
                    planned,
                    present = needed.present,
                    base = needed.base,
                    load = needed.load,
                );
                state.ordered.insert(group, (order.count, now));
            }
            Err(Error::Refused { status: 409, .. }) => {
                tracing::info!(
                    event = "endpoints_not_to_be_had",
                    service = order.service,
                    zone = order.zone,
                    reclaimable = order.reclaimable,
                    count = order.count,
                );
                state.ordered.remove(&group);
                state.exhausted.insert(group, now + EXHAUSTED_TTL);
            }
            Err(err) => {
                tracing::warn!(event = "order_failed", service = order.service, error = %err);
                state.ordered.remove(&group);
                return;
            }
        }
    }
}

/// Returns the number of listed endpoints of a service that are not draining, without those of
/// evacuated zones.
fn listed_plan(edge: &Edge, service: &str) -> Plan {
    let mut listed = Plan::new();
    let roster = edge.roster.borrow();
    let evacuations = edge.evacuations.borrow();
    for endpoint in roster.endpoints() {
        let is_evacuated = evacuations.contains(&endpoint.zone);
        if endpoint.service == service && !endpoint.draining && !is_evacuated {
            let size = listed.entry(endpoint.zone.clone()).or_default();
            *size.count_mut(endpoint.reclaimable) += 1;
        }
    }
    listed
}

/// Returns the counts of orders sent within `REORDER_AFTER`: their endpoints may still be booting.
fn ordered_plan(state: &State, service: &str, now: Instant) -> Plan {
    let mut plan = Plan::new();
    for ((id, zone, reclaimable), (count, at)) in &state.ordered {
        if id == service && now.saturating_duration_since(*at) < REORDER_AFTER {
            let size = plan.entry(zone.clone()).or_default();
            *size.count_mut(*reclaimable) = *count;
        }
    }
    plan
}

/// Returns the number of endpoints of one kind in a zone; 0 if the plan lacks the zone.
fn count_in(plan: &Plan, zone: &str, reclaimable: bool) -> u32 {
    let size = plan.get(zone).copied().unwrap_or_default();
    match reclaimable {
        true => size.reclaimable,
        false => size.standard,
    }
}

/// Returns one order for each zone and kind. Reclaimable endpoints are ordered first, so that a
/// service is never short of endpoints while one kind replaces the other.
fn orders(service: &Service, plan: &Plan) -> Vec<Order> {
    let is_split = service
        .scale
        .as_ref()
        .is_some_and(|scale| scale.reclaimable_price.is_some());
    let order = |zone: &ZoneId, reclaimable: bool, count: u32| Order {
        service: service.id.clone(),
        zone: zone.clone(),
        reclaimable,
        count,
    };
    let mut orders = Vec::new();
    for (zone, Size { reclaimable, .. }) in plan {
        if is_split {
            orders.push(order(zone, true, *reclaimable));
        }
    }
    for (zone, Size { standard, .. }) in plan {
        orders.push(order(zone, false, *standard));
    }
    orders
}

/// Sends an order under the current lease; fails without sending if the lease is not held.
async fn send(edge: &Edge, order: &Order) -> Result<(), Error> {
    let expired = || {
        Error::Unreached("the order was not sent: this host does not hold a valid lease".to_owned())
    };
    let permit = edge.lease.permit().ok_or_else(expired)?;
    let fencing_token = lease::fencing_token(edge, &permit);
    let Some(duties) = &edge.remote.duties else {
        return Ok(());
    };
    let may_send = || permit.is_valid(clock::steady());
    let outcome = duties
        .order(&fencing_token, order, CALL_TIMEOUT, &may_send)
        .await;
    count(
        &edge.metrics.calls,
        if outcome.is_ok() {
            "order"
        } else {
            "order_failed"
        },
    );
    outcome
}
