//! Endpoint orders and engine orders.

use std::rc::Rc;
use std::time::Duration;

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};
use agate_model::pool::Pool;
use agate_model::resource::{Change, Edit, Spec};
use agate_steer::duty::engine::Loader;
use agate_steer::duty::fleet::Fleet;
use agate_wire::change;
use agate_wire::peer::Entry;
use tokio::time::advance;

use crate::world::{Host, Link, World};

const ENDPOINTS: u32 = 3;
const ROUND: Duration = Duration::from_secs(5);

/// Declares a pool of [`ENDPOINTS`] endpoints with a model, and one engine in it.
pub(crate) fn declare_pool(host: &Host) {
    let pool = Pool {
        id: "p".to_owned(),
        model: Some("m".to_owned()),
        min_endpoints: ENDPOINTS,
        max_endpoints: ENDPOINTS,
        reclaimable: false,
    };
    let engine = Endpoint {
        id: "engine".to_owned(),
        pool: "p".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid socket address"),
        zone: "a".to_owned(),
        kind: Kind::Standard,
        fencing: Fencing::Ignored,
        protocol: Protocol::Engine,
        slots: 8,
        credential: None,
        leaving: false,
    };
    let change = Change {
        version: 1,
        edits: vec![
            Edit::Put(Spec::Pool(pool)),
            Edit::Put(Spec::Endpoint(engine)),
        ],
    };
    let entry = Entry {
        change: change::Change::from(change),
        nonce: "n".to_owned(),
        author: "test".to_owned(),
        witnesses: None,
        ended: Vec::new(),
    };
    host.context
        .copy
        .extend(vec![entry])
        .expect("first change must apply");
}

async fn holder(world: &Rc<World>, id: &str, wait: Duration) -> Host {
    let mut host = Host::new(world, id, "a");
    declare_pool(&host);
    host.run_for(wait).await;
    assert!(host.is_holder());
    host
}

async fn rounds(host: &mut Host, fleet: &mut Fleet, count: usize) {
    for _ in 0..count {
        fleet.step(&host.context).await;
        host.run_for(ROUND).await;
    }
}

#[actix_rt::test]
async fn lost_order_response_does_not_start_a_second_endpoint() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.link.set(Link::ResponseLost);
    rounds(&mut host, &mut fleet, 8).await;
    assert_eq!(world.machines.borrow().len(), 3);
    assert!(
        world.orders.borrow().len() > 3,
        "orders without a response must be sent again"
    );
    world.link.set(Link::Up);
    rounds(&mut host, &mut fleet, 8).await;
    world.publish();
    rounds(&mut host, &mut fleet, 20).await;
    assert_eq!(world.machines.borrow().len(), 3);
}

#[actix_rt::test]
async fn order_whose_record_is_in_doubt_is_not_sent() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.lose_commit_responses.set(true);
    rounds(&mut host, &mut fleet, 1).await;
    assert!(world.orders.borrow().is_empty());
    world.lose_commit_responses.set(false);
    rounds(&mut host, &mut fleet, 4).await;
    assert_eq!(world.machines.borrow().len(), 3);
}

#[actix_rt::test]
async fn holder_that_is_paused_between_check_and_send_sends_nothing() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.link.set(Link::Frozen(Duration::from_secs(12)));
    fleet.step(&host.context).await;
    assert!(world.orders.borrow().is_empty());
    world.link.set(Link::Up);
    host.run_for(ROUND).await;
    rounds(&mut host, &mut fleet, 4).await;
    assert_eq!(world.machines.borrow().len(), 3);
}

#[actix_rt::test]
async fn successor_resends_open_orders_with_the_same_ids() {
    let world = World::new();
    let host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.link.set(Link::ResponseLost);
    fleet.step(&host.context).await;
    world.link.set(Link::Up);
    let mut successor = holder(&world, "h2", Duration::from_secs(25)).await;
    let mut fleet = Fleet::new(2);
    rounds(&mut successor, &mut fleet, 4).await;
    world.publish();
    rounds(&mut successor, &mut fleet, 20).await;
    assert_eq!(world.machines.borrow().len(), 3);
    let orders = world.orders.borrow();
    let epochs: Vec<u64> = orders.iter().map(|order| order.epoch).collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
    assert!(epochs.contains(&2));
}

#[actix_rt::test]
async fn process_without_the_lease_orders_nothing() {
    let world = World::new();
    let host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    advance(Duration::from_secs(30)).await;
    fleet.step(&host.context).await;
    assert!(world.orders.borrow().is_empty());
}

#[actix_rt::test]
async fn endpoints_start_after_a_store_outage_and_refusals() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.set_down(true);
    rounds(&mut host, &mut fleet, 6).await;
    assert!(world.orders.borrow().is_empty());
    world.set_down(false);
    world.unavailable.set(true);
    rounds(&mut host, &mut fleet, 6).await;
    assert!(world.machines.borrow().is_empty());
    let refused = world.orders.borrow().len();
    assert!(
        refused <= 6,
        "a refused place must not be ordered again at once: {refused} orders"
    );
    world.unavailable.set(false);
    for _ in 0..20 {
        rounds(&mut host, &mut fleet, 1).await;
        world.publish();
    }
    assert_eq!(world.machines.borrow().len(), 3);
}

#[actix_rt::test]
async fn busy_platform_is_sent_the_same_orders_again() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut fleet = Fleet::new(1);
    world.link.set(Link::Busy);
    rounds(&mut host, &mut fleet, 2).await;
    world.link.set(Link::Up);
    rounds(&mut host, &mut fleet, 4).await;
    let machines = world.machines.borrow();
    let orders: Vec<&str> = machines.keys().map(String::as_str).collect();
    let expected = ["1", "2", "3"].map(|number| format!("start/1/p/a/standard/{number}"));
    assert_eq!(orders, expected);
}

#[actix_rt::test]
async fn engine_is_ordered_once_to_load_its_model() {
    let world = World::new();
    let mut host = holder(&world, "h1", ROUND).await;
    let mut loader = Loader::new(1);
    for _ in 0..10 {
        loader.step(&host.context).await;
        host.run_for(ROUND).await;
    }
    let orders = world.engine_orders.borrow();
    assert_eq!(orders.len(), 1);
    assert_eq!(
        (orders[0].epoch, orders[0].id.as_str()),
        (1, "load/1/engine/m/0")
    );
}
