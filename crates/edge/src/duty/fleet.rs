//! Orders of endpoints, from the work that all hosts are offered.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::ZoneId;
use agate_store::Error;
use tokio::time::{Instant, sleep};

use super::memo::Memo;
use super::plan::{Plan, Situation, Size, hold, plan};
use super::{FLIGHT, seat};
use crate::clock;
use crate::config::{Service, ServiceId};
use crate::edge::Edge;
use crate::hosts;
use crate::interface::Order;
use crate::metrics::count;

/// Between two plans.
const STEP: Duration = Duration::from_millis(1000);
/// A place that refused an order has no endpoint of that kind for this long.
const DRY: Duration = Duration::from_secs(4);
/// An order whose endpoints are not listed after this long is repeated.
const REPEAT: Duration = Duration::from_secs(8);
/// Between two writes of what the next holder is to know.
const MEMO: Duration = Duration::from_secs(3);

type Place = (ServiceId, ZoneId, bool);

/// What this holder has ordered.
#[derive(Default)]
struct Book {
    ordered: HashMap<Place, (u32, Instant)>,
    dry: HashMap<Place, Instant>,
    demand: HashMap<ServiceId, super::demand::Demand>,
    /// When the work was left to the next holder.
    left: Option<Instant>,
}

impl Book {
    /// A book that knows of the work what the holder before knew.
    async fn recall(edge: &Edge) -> Result<Self, Error> {
        let (loads, age) = Memo::read(edge).await?;
        let mut book = Self::default();
        let now = Instant::now();
        for (service, load) in loads {
            tracing::info!(
                event = "demand_recalled",
                service,
                load,
                age_ms = age.as_millis()
            );
            let demand = book.demand.entry(service).or_default();
            demand.recall(now, load, age);
        }
        Ok(book)
    }

    /// Leaves what is known of the work to the next holder.
    async fn leave(&mut self, edge: &Edge) {
        let now = Instant::now();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < MEMO;
        if self.left.is_some_and(is_fresh) {
            return;
        }
        let known = self.demand.iter();
        let loads: HashMap<ServiceId, f64> = known
            .filter_map(|(service, demand)| Some((service.clone(), demand.peak(now)?)))
            .collect();
        if loads.is_empty() {
            return;
        }
        self.left = Some(now);
        if let Err(err) = Memo::write(edge, loads).await {
            tracing::warn!(event = "demand_not_left", error = %err);
        }
    }
}

/// Orders endpoints while this host holds the lease, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let mut book = Book::default();
    let mut epoch = None;
    loop {
        sleep(STEP).await;
        let Some(config) = edge.config() else {
            continue;
        };
        let Some(permit) = edge.seat.permit() else {
            epoch = None;
            continue;
        };
        if epoch != Some(permit.epoch()) {
            book = match Book::recall(&edge).await {
                Ok(book) => book,
                Err(err) => {
                    tracing::warn!(event = "demand_unknown", error = %err);
                    continue;
                }
            };
            epoch = Some(permit.epoch());
        }
        for service in config.services.values() {
            step(&edge, service, &mut book).await;
        }
        book.leave(&edge).await;
    }
}

async fn step(edge: &Edge, service: &Service, book: &mut Book) {
    let Some(scale) = &service.scale else { return };
    let now = Instant::now();
    let listed = listed(edge, &service.id);
    let demand = book.demand.entry(service.id.clone()).or_default();
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
        let rows: Vec<_> = ledger.rows().filter(|it| live.contains(&it.run)).collect();
        let there = listed.values().map(|it| it.standard + it.reclaimable);
        demand.observe(now, &service.id, &rows, there.sum());
    }
    let Some(needed) = demand.endpoints(now) else {
        return;
    };
    book.dry.retain(|_, until| *until > now);
    let dry: BTreeMap<ZoneId, u32> = book
        .dry
        .keys()
        .filter(|(id, _, reclaimable)| *id == service.id && *reclaimable)
        .map(|(_, zone, _)| (zone.clone(), count_of(&listed, zone, true)))
        .collect();
    let situation = Situation {
        scale,
        needed: needed.total,
        least: needed.least,
        base: needed.base,
        dry: &dry,
    };
    let mut plan = plan(&situation);
    let staying = if needed.is_early {
        u32::MAX
    } else {
        needed.least
    };
    hold(
        &mut plan,
        &listed,
        &ordered(book, &service.id, now),
        staying,
    );
    for order in orders(service, &plan) {
        let place = (order.service.clone(), order.zone.clone(), order.reclaimable);
        let there = count_of(&listed, &order.zone, order.reclaimable);
        let is_there = there == order.count;
        let is_known = book.ordered.get(&place).is_some_and(|(count, at)| {
            let age = now.saturating_duration_since(*at);
            *count == order.count && (is_there || age < REPEAT)
        });
        let is_dry = book.dry.contains_key(&place);
        if is_known || is_dry {
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
                    listed = there,
                    needed = needed.total,
                    base = needed.base,
                    load = needed.load,
                );
                book.ordered.insert(place, (order.count, now));
            }
            Err(Error::Refused { status: 409, .. }) => {
                tracing::info!(
                    event = "endpoints_not_to_be_had",
                    service = order.service,
                    zone = order.zone,
                    reclaimable = order.reclaimable,
                    count = order.count,
                );
                book.ordered.remove(&place);
                book.dry.insert(place, now + DRY);
            }
            Err(err) => {
                tracing::warn!(event = "order_failed", service = order.service, error = %err);
                book.ordered.remove(&place);
                return;
            }
        }
    }
}

/// Listed endpoints of a service.
fn listed(edge: &Edge, service: &str) -> Plan {
    let mut listed = Plan::new();
    let roster = edge.roster.borrow();
    for endpoint in roster.endpoints() {
        if endpoint.service == service && !endpoint.draining {
            let size = listed.entry(endpoint.zone.clone()).or_default();
            *of(size, endpoint.reclaimable) += 1;
        }
    }
    listed
}

/// What the zones were told to have lately: the endpoints may be booting.
fn ordered(book: &Book, service: &str, now: Instant) -> Plan {
    let mut plan = Plan::new();
    for ((id, zone, reclaimable), (count, at)) in &book.ordered {
        if id == service && now.saturating_duration_since(*at) < REPEAT {
            *of(plan.entry(zone.clone()).or_default(), *reclaimable) = *count;
        }
    }
    plan
}

fn of(size: &mut Size, reclaimable: bool) -> &mut u32 {
    match reclaimable {
        true => &mut size.reclaimable,
        false => &mut size.standard,
    }
}

fn count_of(plan: &Plan, zone: &str, reclaimable: bool) -> u32 {
    let size = plan.get(zone).copied().unwrap_or_default();
    match reclaimable {
        true => size.reclaimable,
        false => size.standard,
    }
}

/// One order for each place and kind; what is to grow comes first, so that a service never runs
/// short while the kinds change places.
fn orders(service: &Service, plan: &Plan) -> Vec<Order> {
    let is_split = service
        .scale
        .as_ref()
        .is_some_and(|it| it.reclaimable_price.is_some());
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

async fn send(edge: &Edge, order: &Order) -> Result<(), Error> {
    let lapsed = || Error::Unreached("the lease has run out".to_owned());
    let permit = edge.seat.permit().ok_or_else(lapsed)?;
    let seal = seat::seal(edge, &permit);
    let Some(duties) = &edge.remote.duties else {
        return Ok(());
    };
    let may_send = || permit.is_valid(clock::steady());
    let outcome = duties.order(&seal, order, FLIGHT, &may_send).await;
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
