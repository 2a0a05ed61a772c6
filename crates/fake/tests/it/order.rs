//! Tests of orders to the platform and to engines: fencing, retries, capacity, reclaim.

use agate_fake::engine;
use agate_fake::platform::orders::{Reclaim, Spend};
use agate_fake::platform::{self, Settings};
use agate_wire::engine as engine_wire;
use agate_wire::fault::Faults;
use agate_wire::manifest::{EndpointKind, Fencing};
use agate_wire::order::{Action, Machine, Order, Receipt, State};
use rstest::rstest;
use tokio::net::TcpStream;

use crate::client::{ANY_PORT, Client, until_response};
use crate::platform::settings;

fn start_order(id: &str, epoch: u64, kind: EndpointKind) -> Order {
    Order {
        id: id.to_owned(),
        epoch,
        sender: "entry-1".to_owned(),
        action: Action::Start {
            pool: "chat".to_owned(),
            zone: "perth-a".to_owned(),
            kind,
        },
    }
}

#[rstest]
#[case::checked(Fencing::Checked, false)]
#[case::ignored(Fencing::Ignored, true)]
#[actix_rt::test]
async fn platform_refuses_old_epochs_if_checked(#[case] fencing: Fencing, #[case] executed: bool) {
    let platform = platform::start(&Settings {
        fencing,
        ..settings()
    })
    .expect("platform starts");
    let client = Client::new(platform.address);
    let kind = EndpointKind::Standard;
    client
        .post("/endpoints/orders", &start_order("a", 7, kind))
        .await;
    let old = client
        .post("/endpoints/orders", &start_order("b", 6, kind))
        .await;
    let receipt: Receipt = old.json();
    assert_eq!(matches!(receipt, Receipt::Done { .. }), executed);
    assert_eq!(receipt == Receipt::Fenced { epoch: 7 }, !executed);
    let effective: Vec<bool> = platform
        .orders()
        .iter()
        .map(|order| order.effective)
        .collect();
    assert_eq!(effective, [true, executed]);
    platform.close();
}

#[rstest]
#[case::checked(Fencing::Checked, 409)]
#[case::ignored(Fencing::Ignored, 200)]
#[actix_rt::test]
async fn engine_refuses_old_epochs_if_checked(#[case] fencing: Fencing, #[case] status: u16) {
    let engine = engine::start(&engine::Settings {
        fencing,
        ..engine::Settings::new(ANY_PORT, 1)
    })
    .expect("engine starts");
    let client = Client::new(engine.address);
    let order = |id: &str, epoch: u64| engine_wire::Order {
        id: id.to_owned(),
        epoch,
        sender: "entry-1".to_owned(),
        action: engine_wire::Action::Drain,
    };
    assert_eq!(client.post("/orders", &order("a", 7)).await.status, 200);
    assert_eq!(client.post("/orders", &order("b", 6)).await.status, status);
    assert_eq!(client.post("/orders", &order("a", 7)).await.status, 200);
    let effective: Vec<bool> = engine
        .orders()
        .iter()
        .map(|order| order.effective)
        .collect();
    assert_eq!(effective, [true, status == 200, false]);
    engine.close();
}

#[actix_rt::test]
async fn retried_order_starts_one_endpoint() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    let order = start_order("a", 1, EndpointKind::Standard);
    client
        .set_faults(&Faults {
            lose_answer_rate: 1.0,
            ..Faults::default()
        })
        .await;
    assert!(client.try_post("/endpoints/orders", &order).await.is_err());
    client.set_faults(&Faults::default()).await;
    client.post("/endpoints/orders", &order).await;
    let is_running =
        |list: &Vec<Machine>| list.iter().any(|machine| machine.state == State::Running);
    let machines = until_response(&client, "/endpoints", is_running).await;
    assert_eq!(machines.len(), 1);
    assert_eq!(
        Client::new(machines[0].address).get("/load").await.status,
        200
    );
    platform.close();
}

#[actix_rt::test]
async fn reclaimable_endpoints_are_limited_by_zone_capacity() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    let mut receipts = Vec::new();
    for id in ["a", "b", "c"] {
        let order = start_order(id, 1, EndpointKind::Reclaimable);
        receipts.push(
            client
                .post("/endpoints/orders", &order)
                .await
                .json::<Receipt>(),
        );
    }
    assert!(matches!(receipts[1], Receipt::Done { .. }));
    assert_eq!(receipts[2], Receipt::Unavailable);
    let spend: Spend = client.get("/admin/spend").await.json();
    assert_eq!(spend.cost_milli, spend.reclaimable_ms * 300);
    platform.close();
}

#[actix_rt::test]
async fn reclaimed_endpoints_end_after_their_notice() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    for (id, kind) in [
        ("a", EndpointKind::Reclaimable),
        ("b", EndpointKind::Reclaimable),
        ("c", EndpointKind::Standard),
    ] {
        client
            .post("/endpoints/orders", &start_order(id, 1, kind))
            .await;
    }
    let all_run = |list: &Vec<Machine>| {
        list.iter()
            .filter(|machine| machine.state == State::Running)
            .count()
            == 3
    };
    let before = until_response(&client, "/endpoints", all_run).await;
    let reclaim = Reclaim {
        zone: "perth-a".to_owned(),
        notice_ms: 1500,
    };
    assert_eq!(client.post("/admin/reclaim", &reclaim).await.status, 200);
    let two_leave = |list: &Vec<Machine>| {
        list.iter()
            .filter(|machine| machine.state == State::Leaving)
            .count()
            == 2
    };
    until_response(&client, "/endpoints", two_leave).await;
    until_response(&client, "/endpoints", |list: &Vec<Machine>| list.len() == 1).await;
    for machine in before {
        let is_reachable = TcpStream::connect(machine.address).await.is_ok();
        assert_eq!(is_reachable, machine.kind == EndpointKind::Standard);
    }
    platform.close();
}
