//! Guards against requests that are lost when the platform reclaims all reclaimable endpoints of an
//! availability zone while streams run on them, some of them longer than the notice.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_fake::platform::orders::Reclaim;
use agate_proof::caller::{chat, completion, expected_text, stream};
use agate_proof::deployment::{Deployment, IDLE_ARGS, Options, SHORT_INTERVALS};
use agate_proof::resources::ordered_pool;
use agate_proof::wait::until;
use agate_wire::manifest::EndpointKind;
use agate_wire::order::{Machine, State};

/// Minimum number of endpoints, which run even without demand.
const MIN_ENDPOINTS: u32 = 2;

/// Maximum number of endpoints.
const MAX_ENDPOINTS: u32 = 12;

/// Time that the platform leaves between the notice and the end of the endpoints, in milliseconds.
const NOTICE_MS: u64 = 3000;

/// Timeout for endpoints to be ordered and to start, and for a reclaimed zone to become empty.
const SCALING_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of concurrent callers, each of which sends one streamed request after the other.
const CALLERS: usize = 24;

fn options() -> Options {
    let mut platform_args: Vec<String> = IDLE_ARGS.map(str::to_owned).to_vec();
    let further_args = ["--list-lag", "500ms", "--boot", "300ms", "--step", "10ms"];
    platform_args.extend(further_args.map(str::to_owned));
    Options {
        hosts: 3,
        engine_args: Vec::new(),
        platform_args,
        steer_settings: SHORT_INTERVALS.to_owned(),
        ..Options::default()
    }
}

/// Sends streamed requests until `stop` is set and checks that each response is complete; returns
/// their number.
async fn send_streams(
    gates: Vec<SocketAddr>,
    key: String,
    caller: usize,
    stop: Rc<Cell<bool>>,
) -> usize {
    let mut count = 0;
    while !stop.get() {
        // Some responses take longer than the notice.
        let tokens = if caller.is_multiple_of(4) { 500 } else { 100 };
        let completion = completion(&format!("caller {caller}, stream {count}"), tokens, true);
        let request = chat(gates[(caller + count) % gates.len()], &key, &completion);
        let transcript = stream(&request, |_| {}).await;
        assert!(transcript.is_complete, "stream is complete: {transcript:?}");
        assert_eq!(transcript.text, expected_text(&completion));
        count += 1;
    }
    count
}

/// Returns the running reclaimable endpoints.
async fn running_reclaimable(deployment: &Deployment) -> Vec<Machine> {
    let mut machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
    machines.retain(|machine| {
        machine.state == State::Running && machine.kind == EndpointKind::Reclaimable
    });
    machines
}

#[actix_rt::test]
async fn reclaiming_a_zone_interrupts_no_stream() {
    let deployment = Deployment::start(options()).await;
    let pool = ordered_pool(MIN_ENDPOINTS, MAX_ENDPOINTS, true);
    deployment.operator(0).apply(&[pool]).await;
    let key = deployment.grant_key("reclaim").await;
    let gates: Vec<SocketAddr> = (0..3).map(|host| deployment.gate(host)).collect();
    until(
        "the first endpoints serve every gate",
        SCALING_TIMEOUT,
        || async {
            for gate in &gates {
                let request = chat(*gate, &key, &completion("try", 1, false));
                request
                    .send()
                    .await
                    .ok()
                    .filter(|response| response.status == 200)?;
            }
            Some(())
        },
    )
    .await;
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            actix_rt::spawn(send_streams(
                gates.clone(),
                key.clone(),
                caller,
                stop.clone(),
            ))
        })
        .collect();
    let zone = until(
        "demand starts reclaimable endpoints",
        SCALING_TIMEOUT,
        || async {
            running_reclaimable(&deployment)
                .await
                .pop()
                .map(|machine| machine.zone)
        },
    )
    .await;
    // Gives streams time to start on these endpoints before the notice.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reclaim = Reclaim {
        zone: zone.clone(),
        notice_ms: NOTICE_MS,
    };
    deployment.platform.reclaim(&reclaim).await;
    until(
        "no endpoint of the zone is leaving",
        SCALING_TIMEOUT,
        || async {
            let machines: Vec<Machine> = deployment.platform.read("/endpoints").await;
            let is_reclaimed =
                |machine: &Machine| machine.state == State::Leaving && machine.zone == zone;
            (!machines.iter().any(is_reclaimed)).then_some(())
        },
    )
    .await;
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    stop.set(true);
    let mut completed = 0;
    for caller in callers {
        completed += caller
            .await
            .expect("every stream of the caller is complete");
    }
    assert!(
        completed > CALLERS,
        "{completed} streams completed, expected more than {CALLERS}"
    );
}
