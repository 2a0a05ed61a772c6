//! The platform takes back an availability zone of the cheaper kind.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_fake::platform::orders::Reclaim;
use agate_proof::caller::{chat, completion, expected, stream};
use agate_proof::deployment::{Deployment, IDLE, Options, QUICK};
use agate_proof::resources::ordered_pool;
use agate_proof::wait::until;
use agate_wire::manifest::EndpointKind;
use agate_wire::order::{Machine, State};

/// Endpoints that are kept without demand.
const KEPT: u32 = 2;

/// Endpoints that are never exceeded.
const LIMIT: u32 = 12;

/// Notice of the platform.
const NOTICE_MS: u64 = 3000;

/// Time for demand to bring endpoints of the cheaper kind.
const GROWTH: Duration = Duration::from_secs(40);

/// Callers, each of which sends one streamed request after the other.
const CALLERS: usize = 24;

fn options() -> Options {
    let mut platform: Vec<String> = IDLE.map(str::to_owned).to_vec();
    let more = ["--list-lag", "500ms", "--boot", "300ms", "--step", "10ms"];
    platform.extend(more.map(str::to_owned));
    Options {
        hosts: 3,
        engines: Vec::new(),
        platform,
        steer: QUICK.to_owned(),
        ..Options::default()
    }
}

/// Sends streamed requests until told to stop; answers how many there were.
async fn call(gates: Vec<SocketAddr>, key: String, name: usize, stop: Rc<Cell<bool>>) -> usize {
    let mut count = 0;
    while !stop.get() {
        // Some answers take longer than the notice.
        let tokens = if name.is_multiple_of(4) { 500 } else { 100 };
        let completion = completion(&format!("caller {name}, stream {count}"), tokens, true);
        let request = chat(gates[(name + count) % gates.len()], &key, &completion);
        let streamed = stream(&request, |_| {}).await;
        assert!(streamed.whole, "stream is not whole: {streamed:?}");
        assert_eq!(streamed.text, expected(&completion));
        count += 1;
    }
    count
}

/// Running endpoints of the cheaper kind.
async fn cheaper(deployment: &Deployment) -> Vec<Machine> {
    let mut machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    machines.retain(|it| it.state == State::Running && it.kind == EndpointKind::Reclaimable);
    machines
}

#[actix_rt::test]
async fn reclaimed_zone_harms_no_request() {
    let deployment = Deployment::start(options()).await;
    let pool = ordered_pool(KEPT, LIMIT, true);
    deployment.operator(0).apply(&[pool]).await;
    let key = deployment.key("reclaim").await;
    let gates: Vec<SocketAddr> = (0..3).map(|it| deployment.gate(it)).collect();
    until("the first endpoints serve", GROWTH, || async {
        for gate in &gates {
            let request = chat(*gate, &key, &completion("try", 1, false));
            request.send().await.ok().filter(|it| it.status == 200)?;
        }
        Some(())
    })
    .await;
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|name| actix_rt::spawn(call(gates.clone(), key.clone(), name, stop.clone())))
        .collect();
    let zone = until("demand brings the cheaper kind", GROWTH, || async {
        cheaper(&deployment).await.pop().map(|it| it.zone)
    })
    .await;
    // Streams run on these endpoints when the notice comes.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reclaim = Reclaim {
        zone: zone.clone(),
        notice_ms: NOTICE_MS,
    };
    deployment.platform.reclaim(&reclaim).await;
    until("the zone is empty", GROWTH, || async {
        let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
        let is_taken = |it: &Machine| it.state == State::Leaving && it.zone == zone;
        (!machines.iter().any(is_taken)).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    stop.set(true);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("every stream was whole");
    }
    assert!(answered > CALLERS, "{answered} streams");
}
