//! Orders that follow from targets, with lost orders, lost responses and a lagging list.

mod common;

use std::collections::{BTreeMap, HashSet};

use agate_check::runner;
use agate_fleet::machine::{Action, Machine, Order, Place, Progress, Record, State, stop_id};
use agate_fleet::plan::Target;
use agate_fleet::reconcile::reconcile;
use agate_model::endpoint::Kind;
use proptest::prelude::*;

fn place() -> Place {
    Place {
        pool: "pool".to_owned(),
        zone: "z".to_owned(),
        kind: Kind::Standard,
    }
}

fn target(count: u32) -> Vec<Target> {
    vec![Target {
        place: place(),
        count,
    }]
}

fn record(order: Order, progress: Progress) -> Record {
    Record {
        order,
        progress,
        resend: false,
        settled: false,
    }
}

#[test]
fn nothing_is_ordered_while_the_platform_is_unreachable() {
    assert!(reconcile(1, &target(3), None, &[]).is_empty());
}

#[test]
fn order_without_response_is_retried_and_never_duplicated() {
    let first = reconcile(1, &target(1), Some(&[]), &[]);
    let [order] = first.as_slice() else {
        panic!("expected one order, got {first:?}");
    };
    let mut record = record(order.clone(), Progress::Open);
    assert!(reconcile(1, &target(1), Some(&[]), std::slice::from_ref(&record)).is_empty());
    record.resend = true;
    let retried = reconcile(2, &target(1), Some(&[]), &[record]);
    assert_eq!(retried, first);
}

#[test]
fn new_epoch_uses_new_order_identities() {
    let first = reconcile(1, &target(2), Some(&[]), &[]);
    let next = reconcile(2, &target(2), Some(&[]), &[]);
    let ids: HashSet<_> = first.iter().chain(&next).map(|order| &order.id).collect();
    assert_eq!(ids.len(), 4);
}

#[test]
fn surplus_endpoints_are_stopped_one_at_a_time_and_only_once() {
    let machine = |n: u32, state| Machine {
        id: format!("m{n}"),
        order: format!("start/1/pool/z/standard/{n}"),
        place: place(),
        state,
    };
    let machines = [
        machine(1, State::Running),
        machine(2, State::Starting),
        machine(3, State::Running),
    ];
    let orders = reconcile(1, &target(1), Some(&machines), &[]);
    let expected = Order {
        id: stop_id(&"m2".to_owned()),
        action: Action::Stop("m2".to_owned()),
    };
    assert_eq!(orders, std::slice::from_ref(&expected));
    let records = [record(expected, Progress::Open)];
    let orders = reconcile(1, &target(2), Some(&machines), &records);
    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn places_without_target_are_emptied_and_other_pools_stay() {
    let mut other_zone = place();
    other_zone.zone = "y".to_owned();
    let mut other_pool = place();
    other_pool.pool = "other".to_owned();
    let machine = |id: &str, place| Machine {
        id: id.to_owned(),
        order: format!("start/1/x/{id}"),
        place,
        state: State::Running,
    };
    let machines = [machine("a", other_zone), machine("b", other_pool)];
    let orders = reconcile(1, &target(0), Some(&machines), &[]);
    let stopped: Vec<_> = orders.iter().map(|order| order.id.as_str()).collect();
    assert_eq!(stopped, ["stop/a"]);
}

/// Guards against a pool without running endpoints while it moves from standard to reclaimable
/// ones: the same demand starts the new endpoints and makes the old ones surplus, and the
/// platform's list shows a stopped endpoint as leaving before it shows a started one as running.
#[test]
fn running_endpoint_is_stopped_only_after_its_replacement_runs() {
    let place = |zone: &str, kind| Place {
        pool: "pool".to_owned(),
        zone: zone.to_owned(),
        kind,
    };
    let machine = |id: &str, place: &Place, state| Machine {
        id: id.to_owned(),
        order: format!("order-{id}"),
        place: place.clone(),
        state,
    };
    let (old_a, old_b) = (place("a", Kind::Standard), place("b", Kind::Standard));
    let (new_a, new_b) = (place("a", Kind::Reclaimable), place("b", Kind::Reclaimable));
    let target = |place: &Place, count| Target {
        place: place.clone(),
        count,
    };
    let targets = [
        target(&old_a, 0),
        target(&old_b, 0),
        target(&new_a, 1),
        target(&new_b, 1),
    ];
    let mut machines = vec![
        machine("s1", &old_a, State::Running),
        machine("s2", &old_b, State::Running),
    ];
    let stops = |machines: &[Machine]| -> Vec<String> {
        let orders = reconcile(1, &targets, Some(machines), &[]);
        let stops = orders.into_iter().filter_map(|order| match order.action {
            Action::Stop(id) => Some(id),
            Action::Start(_) => None,
        });
        stops.collect()
    };
    assert_eq!(stops(&machines), [""; 0], "no replacement is listed yet");
    machines.push(machine("r1", &new_a, State::Starting));
    machines.push(machine("r2", &new_b, State::Starting));
    assert_eq!(stops(&machines), [""; 0], "both replacements still boot");
    machines[2].state = State::Running;
    assert_eq!(stops(&machines).len(), 1, "one of two replacements runs");
    machines[3].state = State::Running;
    assert_eq!(stops(&machines).len(), 2, "both replacements run");
}

#[derive(Clone, Debug)]
enum Step {
    /// The lease holder reconciles; its orders or their responses may be lost.
    Round {
        wanted: u32,
        lose_order: bool,
        lose_response: bool,
    },
    /// The platform's list catches up.
    List,
    /// Another lease holder takes over with the next epoch.
    Takeover,
    /// The platform reclaims an endpoint.
    Reclaim,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..6u32, any::<bool>(), any::<bool>()).prop_map(|(wanted, lose_order, lose_response)| {
            Step::Round { wanted, lose_order, lose_response }
        }),
        2 => Just(Step::List),
        1 => Just(Step::Takeover),
        1 => Just(Step::Reclaim),
    ]
}

/// A platform that carries out each order identity once and whose list lags behind.
#[derive(Default)]
struct Platform {
    machines: BTreeMap<String, Machine>,
    executed: BTreeMap<String, String>,
    list: Vec<Machine>,
}

impl Platform {
    fn execute(&mut self, order: &Order) -> String {
        if let Some(id) = self.executed.get(&order.id) {
            return id.clone();
        }
        let id = match &order.action {
            Action::Start(place) => {
                let id = format!("m{:04}", self.executed.len());
                let machine = Machine {
                    id: id.clone(),
                    order: order.id.clone(),
                    place: place.clone(),
                    state: State::Running,
                };
                self.machines.insert(id.clone(), machine);
                id
            }
            Action::Stop(id) => {
                self.machines.remove(id);
                id.clone()
            }
        };
        self.executed.insert(order.id.clone(), id.clone());
        id
    }
}

#[test]
fn lost_orders_and_responses_never_cause_surplus_endpoints() {
    let steps = proptest::collection::vec(step(), 1..120);
    runner(200)
        .run(&steps, |steps| {
            let mut epoch = 1;
            let mut platform = Platform::default();
            let mut records: Vec<Record> = Vec::new();
            let mut max_wanted = 0;
            for step in steps {
                match step {
                    Step::Round {
                        wanted,
                        lose_order,
                        lose_response,
                    } => {
                        max_wanted = max_wanted.max(wanted);
                        let orders =
                            reconcile(epoch, &target(wanted), Some(&platform.list), &records);
                        let ids: HashSet<_> = orders.iter().map(|order| &order.id).collect();
                        prop_assert_eq!(ids.len(), orders.len());
                        for order in &orders {
                            if !records.iter().any(|record| record.order.id == order.id) {
                                records.push(record(order.clone(), Progress::Open));
                            }
                            if lose_order {
                                continue;
                            }
                            let endpoint = platform.execute(order);
                            let record = records
                                .iter_mut()
                                .find(|record| record.order.id == order.id);
                            let record = record.expect("every order is recorded before it is sent");
                            if !lose_response {
                                record.progress = Progress::Done(endpoint);
                            }
                        }
                        let stopping = |id: &String| {
                            records.iter().any(|record| record.order.id == stop_id(id))
                        };
                        let kept = platform.machines.keys().filter(|id| !stopping(id)).count();
                        prop_assert!(
                            kept <= max_wanted as usize,
                            "{kept} endpoints, at most {max_wanted} wanted"
                        );
                    }
                    Step::List => {
                        platform.list = platform.machines.values().cloned().collect();
                        for record in &mut records {
                            record.resend = true;
                            record.settled = record.progress != Progress::Open;
                        }
                    }
                    Step::Takeover => epoch += 1,
                    Step::Reclaim => {
                        platform.machines.pop_first();
                    }
                }
            }
            for _ in 0..40 {
                for order in reconcile(epoch, &target(3), Some(&platform.list), &records) {
                    let endpoint = platform.execute(&order);
                    records.retain(|record| record.order.id != order.id);
                    records.push(record(order, Progress::Done(endpoint)));
                }
                platform.list = platform.machines.values().cloned().collect();
                for record in &mut records {
                    record.settled = record.progress != Progress::Open;
                    record.resend = true;
                }
            }
            prop_assert_eq!(platform.machines.len(), 3);
            Ok(())
        })
        .unwrap();
}
