//! Computes the orders that bring a pool's endpoints to their targets.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use agate_model::id::{EndpointId, Epoch, PoolId};

use crate::machine::{
    Action, Machine, Order, OrderId, Place, Progress, Record, State, start_id, start_number,
    stop_id,
};
use crate::plan::Target;

/// Most endpoints of one place that one call of [`reconcile`] stops.
const MAX_STOPS: usize = 1;

/// Returns the orders that bring the endpoints to the targets, retries of overdue orders first.
///
/// `machines` is the platform's list, or `None` while the platform is unreachable; then nothing is
/// ordered. `records` holds the unsettled orders of all epochs and all orders of this epoch.
///
/// A start order without a response counts as an endpoint and is retried under its own identity,
/// so a lost response never leads to a second endpoint. The identities of new orders follow from
/// the records, so a lease holder that calls this again with the same records gets the same orders.
///
/// A running endpoint is stopped only while at least as many others of its pool run as its targets
/// ask for. Otherwise a pool that moves to other kinds or zones would have no running endpoint
/// while the new ones boot.
pub fn reconcile(
    epoch: Epoch,
    targets: &[Target],
    machines: Option<&[Machine]>,
    records: &[Record],
) -> Vec<Order> {
    let Some(machines) = machines else {
        return Vec::new();
    };
    let fleet = Fleet::new(machines, records);
    let mut orders = overdue(records);
    let wanted = fleet.wanted(targets);
    let mut spare = fleet.spare(&wanted);
    for (place, wanted) in wanted {
        let spare = spare.entry(place.pool.clone()).or_default();
        fleet.adjust(epoch, &place, wanted, spare, &mut orders);
    }
    orders
}

/// Returns the orders whose response is overdue, to be sent again.
fn overdue(records: &[Record]) -> Vec<Order> {
    let is_due = |record: &&Record| record.progress == Progress::Open && record.resend;
    let due = records.iter().filter(is_due);
    due.map(|record| record.order.clone()).collect()
}

/// Listed endpoints and recorded orders that one call of [`reconcile`] works from.
struct Fleet<'a> {
    machines: &'a [Machine],
    records: &'a [Record],
    /// Start orders whose endpoint the list shows.
    listed: HashSet<&'a OrderId>,
    /// Endpoints with a stop order that the platform has not refused.
    stopping: HashSet<&'a EndpointId>,
}

impl<'a> Fleet<'a> {
    fn new(machines: &'a [Machine], records: &'a [Record]) -> Self {
        let stops = records
            .iter()
            .filter_map(|record| match &record.order.action {
                Action::Stop(endpoint) if record.progress != Progress::Refused => Some(endpoint),
                _ => None,
            });
        Self {
            machines,
            records,
            listed: machines.iter().map(|machine| &machine.order).collect(),
            stopping: stops.collect(),
        }
    }

    /// Returns the target count of each place. Places of the planned pools that have endpoints but
    /// no target get zero.
    fn wanted(&self, targets: &[Target]) -> BTreeMap<Place, usize> {
        let pools: BTreeSet<_> = targets.iter().map(|target| &target.place.pool).collect();
        let used = self.machines.iter().map(|machine| &machine.place);
        let used = used.filter(|place| pools.contains(&place.pool));
        let mut wanted: BTreeMap<_, _> = used.map(|place| (place.clone(), 0)).collect();
        for target in targets {
            wanted.insert(target.place.clone(), target.count as usize);
        }
        wanted
    }

    /// Returns for each pool how many more endpoints run than its targets ask for.
    fn spare(&self, wanted: &BTreeMap<Place, usize>) -> BTreeMap<PoolId, usize> {
        let mut spare = BTreeMap::new();
        for place in wanted.keys() {
            let retained = self.retained(place).into_iter();
            let running = retained
                .filter(|machine| machine.state == State::Running)
                .count();
            *spare.entry(place.pool.clone()).or_insert(0) += running;
        }
        for (place, wanted) in wanted {
            let spare = spare.entry(place.pool.clone()).or_insert(0);
            *spare = spare.saturating_sub(*wanted);
        }
        spare
    }

    /// Adds the start or stop orders of one place to `orders`. `spare` is the number of running
    /// endpoints that the pool can still lose, and falls with each running endpoint stopped.
    fn adjust(
        &self,
        epoch: Epoch,
        place: &Place,
        wanted: usize,
        spare: &mut usize,
        orders: &mut Vec<Order>,
    ) {
        let mut retained = self.retained(place);
        let pending = self.pending(place);
        let total = retained.len() + pending;
        if total < wanted {
            self.order_starts(epoch, place, wanted - total, orders);
            return;
        }
        retained.sort_by_key(|machine| (machine.state == State::Running, &machine.id));
        let surplus = (total - wanted).min(MAX_STOPS);
        for machine in retained.into_iter().take(surplus) {
            if machine.state == State::Running {
                let Some(remaining) = spare.checked_sub(1) else {
                    return;
                };
                *spare = remaining;
            }
            orders.push(stop_order(machine));
        }
    }

    /// Returns the listed endpoints of a place that neither leave nor have a stop order.
    fn retained(&self, place: &Place) -> Vec<&'a Machine> {
        let is_retained = |machine: &&Machine| {
            &machine.place == place
                && machine.state != State::Leaving
                && !self.stopping.contains(&machine.id)
        };
        self.machines.iter().filter(is_retained).collect()
    }

    /// Returns the number of start orders of a place whose endpoint may exist without being listed
    /// yet.
    fn pending(&self, place: &Place) -> usize {
        let is_pending = |record: &&Record| {
            let is_here =
                matches!(&record.order.action, Action::Start(ordered) if ordered == place);
            is_here && !self.listed.contains(&record.order.id) && self.may_exist(record)
        };
        self.records.iter().filter(is_pending).count()
    }

    /// Returns whether the endpoint of an unlisted start order may exist and is to stay.
    fn may_exist(&self, record: &Record) -> bool {
        match &record.progress {
            Progress::Open => true,
            Progress::Done(endpoint) => !record.settled && !self.stopping.contains(endpoint),
            Progress::Refused => false,
        }
    }

    /// Adds `count` start orders for a place, numbered after all known ones of this epoch.
    fn order_starts(&self, epoch: Epoch, place: &Place, count: usize, orders: &mut Vec<Order>) {
        let recorded = self.records.iter().map(|record| &record.order.id);
        let known = recorded.chain(self.machines.iter().map(|machine| &machine.order));
        let numbers = known.filter_map(|id| start_number(epoch, place, id));
        let last = numbers.max().unwrap_or(0);
        for number in (last + 1..).take(count) {
            orders.push(Order {
                id: start_id(epoch, place, number),
                action: Action::Start(place.clone()),
            });
        }
    }
}

fn stop_order(machine: &Machine) -> Order {
    Order {
        id: stop_id(&machine.id),
        action: Action::Stop(machine.id.clone()),
    }
}
