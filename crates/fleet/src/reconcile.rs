//! From targets to orders.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use agate_model::id::{EndpointId, Epoch, PoolId};

use crate::machine::{
    Action, Machine, Order, OrderId, Place, Progress, Record, State, start_id, start_number,
    stop_id,
};
use crate::plan::Target;

/// Endpoints of one place stopped in one round.
const MAX_STOPS: usize = 1;

/// Orders that bring the endpoints to the targets.
///
/// `machines` is the platform's list, or `None` while the platform does not
/// answer: then nothing is ordered. `records` holds the orders of all epochs that are
/// not yet settled, and all those of this epoch.
///
/// A start order without an answer counts as an endpoint and is repeated under
/// its own identity, so a lost answer never leads to a second endpoint. The
/// identities of new orders follow from the records, so a holder that repeats
/// this step with the same records repeats the same orders.
///
/// A running endpoint is stopped only if as many as the targets of its pool ask for run beside
/// it. Otherwise a pool whose kinds or zones change places would have none while the new ones
/// boot.
pub fn reconcile(
    epoch: Epoch,
    targets: &[Target],
    machines: Option<&[Machine]>,
    records: &[Record],
) -> Vec<Order> {
    let Some(machines) = machines else {
        return Vec::new();
    };
    let state = Fleet::new(machines, records);
    let mut orders = repeats(records);
    let wanted = state.wanted(targets);
    let mut spare = state.spare(&wanted);
    for (place, wanted) in wanted {
        let spare = spare.entry(place.pool.clone()).or_default();
        state.adjust(epoch, &place, wanted, spare, &mut orders);
    }
    orders
}

/// Orders whose answer is overdue.
fn repeats(records: &[Record]) -> Vec<Order> {
    let is_due = |record: &&Record| record.progress == Progress::Open && record.resend;
    let due = records.iter().filter(is_due);
    due.map(|record| record.order.clone()).collect()
}

struct Fleet<'a> {
    machines: &'a [Machine],
    records: &'a [Record],
    /// Orders whose endpoint the list shows.
    listed: HashSet<&'a OrderId>,
    /// Endpoints that have been ordered to stop.
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

    /// Targets by place, with zero for places that are only in use.
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

    /// Running endpoints of each pool beyond those that its targets ask for.
    fn spare(&self, wanted: &BTreeMap<Place, usize>) -> BTreeMap<PoolId, usize> {
        let mut spare = BTreeMap::new();
        for place in wanted.keys() {
            let serving = self.serving(place).into_iter();
            let running = serving.filter(|it| it.state == State::Running).count();
            *spare.entry(place.pool.clone()).or_insert(0) += running;
        }
        for (place, wanted) in wanted {
            let spare = spare.entry(place.pool.clone()).or_insert(0);
            *spare = spare.saturating_sub(*wanted);
        }
        spare
    }

    fn adjust(
        &self,
        epoch: Epoch,
        place: &Place,
        wanted: usize,
        spare: &mut usize,
        orders: &mut Vec<Order>,
    ) {
        let mut have = self.serving(place);
        let pending = self.pending(place);
        let total = have.len() + pending;
        if total < wanted {
            self.start(epoch, place, wanted - total, orders);
            return;
        }
        have.sort_by_key(|machine| (machine.state == State::Running, &machine.id));
        let surplus = (total - wanted).min(MAX_STOPS);
        for machine in have.into_iter().take(surplus) {
            if machine.state == State::Running {
                let Some(rest) = spare.checked_sub(1) else {
                    return;
                };
                *spare = rest;
            }
            orders.push(stop(machine));
        }
    }

    /// Listed endpoints of a place that are to stay.
    fn serving(&self, place: &Place) -> Vec<&'a Machine> {
        let stays = |machine: &&Machine| {
            &machine.place == place
                && machine.state != State::Leaving
                && !self.stopping.contains(&machine.id)
        };
        self.machines.iter().filter(stays).collect()
    }

    /// Start orders of a place whose endpoint may exist without being listed yet.
    fn pending(&self, place: &Place) -> usize {
        let is_pending = |record: &&Record| {
            let is_here = matches!(&record.order.action, Action::Start(it) if it == place);
            is_here && !self.listed.contains(&record.order.id) && self.may_appear(record)
        };
        self.records.iter().filter(is_pending).count()
    }

    fn may_appear(&self, record: &Record) -> bool {
        match &record.progress {
            Progress::Open => true,
            Progress::Done(endpoint) => !record.settled && !self.stopping.contains(endpoint),
            Progress::Refused => false,
        }
    }

    fn start(&self, epoch: Epoch, place: &Place, count: usize, orders: &mut Vec<Order>) {
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

fn stop(machine: &Machine) -> Order {
    Order {
        id: stop_id(&machine.id),
        action: Action::Stop(machine.id.clone()),
    }
}
