//! Orders, with lost answers and a lagging list.

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
fn nothing_is_ordered_while_the_platform_is_out() {
    assert!(reconcile(1, &target(3), None, &[]).is_empty());
}

#[test]
fn an_order_without_an_answer_is_repeated_and_never_doubled() {
    let first = reconcile(1, &target(1), Some(&[]), &[]);
    let [order] = first.as_slice() else {
        panic!("one order: {first:?}");
    };
    let mut record = record(order.clone(), Progress::Open);
    assert!(reconcile(1, &target(1), Some(&[]), std::slice::from_ref(&record)).is_empty());
    record.resend = true;
    let again = reconcile(2, &target(1), Some(&[]), &[record]);
    assert_eq!(again, first);
}

#[test]
fn a_new_epoch_uses_new_identities() {
    let first = reconcile(1, &target(2), Some(&[]), &[]);
    let next = reconcile(2, &target(2), Some(&[]), &[]);
    let ids: HashSet<_> = first.iter().chain(&next).map(|order| &order.id).collect();
    assert_eq!(ids.len(), 4);
}

#[test]
fn surplus_endpoints_are_stopped_one_by_one_and_only_once() {
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
fn places_outside_the_plan_are_emptied_and_other_pools_left_alone() {
    let mut elsewhere = place();
    elsewhere.zone = "y".to_owned();
    let mut other = place();
    other.pool = "other".to_owned();
    let machine = |id: &str, place| Machine {
        id: id.to_owned(),
        order: format!("start/1/x/{id}"),
        place,
        state: State::Running,
    };
    let machines = [machine("a", elsewhere), machine("b", other)];
    let orders = reconcile(1, &target(0), Some(&machines), &[]);
    let stopped: Vec<_> = orders.iter().map(|order| order.id.as_str()).collect();
    assert_eq!(stopped, ["stop/a"]);
}

/// The kinds change places: the demand that brings reclaimable endpoints lets the standard ones
/// of the start go. The platform's list shows an endpoint that was stopped as leaving before it
/// shows one that was started as running.
#[test]
fn no_running_endpoint_is_stopped_before_those_that_replace_it_run() {
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
    assert_eq!(stops(&machines), [""; 0], "nothing has been started yet");
    machines.push(machine("r1", &new_a, State::Starting));
    machines.push(machine("r2", &new_b, State::Starting));
    assert_eq!(stops(&machines), [""; 0], "both still boot");
    machines[2].state = State::Running;
    assert_eq!(stops(&machines).len(), 1, "one of two runs");
    machines[3].state = State::Running;
    assert_eq!(stops(&machines).len(), 2, "both run");
}

#[derive(Clone, Debug)]
enum Step {
    /// A holder plans; some orders and some answers are lost.
    Round {
        wanted: u32,
        lose_order: bool,
        lose_answer: bool,
    },
    /// The list catches up.
    List,
    /// Another holder takes over.
    Takeover,
    /// The platform takes an endpoint back.
    Reclaim,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..6u32, any::<bool>(), any::<bool>()).prop_map(|(wanted, lose_order, lose_answer)| {
            Step::Round { wanted, lose_order, lose_answer }
        }),
        2 => Just(Step::List),
        1 => Just(Step::Takeover),
        1 => Just(Step::Reclaim),
    ]
}

/// A platform that carries out each order identity once, with a lagging list.
#[derive(Default)]
struct Platform {
    machines: BTreeMap<String, Machine>,
    done: BTreeMap<String, String>,
    list: Vec<Machine>,
}

impl Platform {
    fn carry_out(&mut self, order: &Order) -> String {
        if let Some(id) = self.done.get(&order.id) {
            return id.clone();
        }
        let id = match &order.action {
            Action::Start(place) => {
                let id = format!("m{:04}", self.done.len());
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
        self.done.insert(order.id.clone(), id.clone());
        id
    }
}

#[test]
fn there_is_never_more_than_one_order_for_a_missing_endpoint() {
    let steps = proptest::collection::vec(step(), 1..120);
    runner(200)
        .run(&steps, |steps| {
            let mut epoch = 1;
            let mut platform = Platform::default();
            let mut records: Vec<Record> = Vec::new();
            let mut most = 0;
            for step in steps {
                match step {
                    Step::Round {
                        wanted,
                        lose_order,
                        lose_answer,
                    } => {
                        most = most.max(wanted);
                        let orders =
                            reconcile(epoch, &target(wanted), Some(&platform.list), &records);
                        let ids: HashSet<_> = orders.iter().map(|order| &order.id).collect();
                        prop_assert_eq!(ids.len(), orders.len());
                        for order in &orders {
                            if !records.iter().any(|it| it.order.id == order.id) {
                                records.push(record(order.clone(), Progress::Open));
                            }
                            if lose_order {
                                continue;
                            }
                            let endpoint = platform.carry_out(order);
                            let record = records.iter_mut().find(|it| it.order.id == order.id);
                            let record = record.expect("every order is recorded first");
                            if !lose_answer {
                                record.progress = Progress::Done(endpoint);
                            }
                        }
                        let stopping =
                            |id: &String| records.iter().any(|it| it.order.id == stop_id(id));
                        let kept = platform.machines.keys().filter(|id| !stopping(id)).count();
                        prop_assert!(kept <= most as usize, "{kept} endpoints, {most} wanted");
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
                    let endpoint = platform.carry_out(&order);
                    records.retain(|it| it.order.id != order.id);
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
