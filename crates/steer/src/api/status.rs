//! State of the system as this host sees it.

use std::net::SocketAddr;

use agate_wire::api::{self, Status};
use agate_wire::peer::{self, Announce, Standing};
use futures_util::StreamExt as _;
use futures_util::stream;

use crate::api::answer::{Answer, Failure};
use crate::context::Context;
use crate::rpc::peer::{millis, standing};

/// Calls to peers at the same time.
const CALL_CONCURRENCY: usize = 32;

/// Asks all peers for their state, then answers.
pub async fn get(context: &Context) -> Result<Answer, Failure> {
    let peers = context.members.peers();
    stream::iter(peers)
        .for_each_concurrent(CALL_CONCURRENCY, |member| ask(context, member.host.steer))
        .await;
    let lease = context.lease.borrow().clone();
    Ok(Answer::json(&Status {
        host: context.host.id.clone(),
        version: context.copy.version(),
        accepted: context.copy.accepted(),
        proof_age_ms: context.copy.proof_age().map(millis),
        store_age_ms: context.members.store_age().map(millis),
        lease: lease.map(|it| api::Lease {
            holder: it.holder,
            epoch: it.epoch,
        }),
        hosts: hosts(context),
        endpoints: endpoints(context),
    }))
}

/// Asks one peer and records its answer.
pub async fn ask(context: &Context, address: SocketAddr) {
    let announce = Announce {
        host: context.members.own(),
    };
    let answer: Result<Standing, _> = context.peers.call(address, peer::STANDING, &announce).await;
    match answer {
        Ok(answer) => context.members.record_standing(&answer),
        Err(err) => tracing::debug!(event = "status_failed", peer = %address, error = %err),
    }
}

fn hosts(context: &Context) -> Vec<api::Host> {
    let witnesses = context.copy.witnesses();
    let own = standing(context, false);
    let own = api::Host {
        id: own.host,
        zone: context.host.zone.clone(),
        gate: context.host.gate.to_string(),
        version: own.version,
        gate_version: own.gate_version,
        proof_age_ms: own.proof_age_ms,
        heard_ms: Some(0),
        leaving: context.members.is_leaving(),
        witness: witnesses
            .position(&context.host.id, &context.host.incarnation)
            .is_some(),
    };
    let others = context.members.peers().into_iter().map(|it| api::Host {
        witness: witnesses
            .position(&it.host.id, &it.host.incarnation)
            .is_some(),
        id: it.host.id,
        zone: it.host.zone,
        gate: it.host.gate.to_string(),
        version: it.version,
        gate_version: it.gate_version,
        proof_age_ms: it.proof_age.map(millis),
        heard_ms: it.last_heard.map(|at| millis(at.elapsed())),
        leaving: it.host.leaving,
    });
    let mut hosts: Vec<api::Host> = others.chain([own]).collect();
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    hosts
}

fn endpoints(context: &Context) -> Vec<api::Endpoint> {
    let leaving = context.endpoints.leaving();
    let snapshot = context.copy.snapshot();
    let declared = snapshot.endpoints().map(|it| api::Endpoint {
        id: it.id.clone(),
        pool: it.pool.clone(),
        zone: it.zone.clone(),
        address: it.address.to_string(),
        ordered: false,
        leaving: it.leaving || leaving.contains(&it.id),
    });
    let ordered = context.endpoints.ordered();
    let ordered = ordered.into_iter().map(|it| api::Endpoint {
        leaving: it.leaving || leaving.contains(&it.id),
        id: it.id,
        pool: it.pool,
        zone: it.zone,
        address: it.address.to_string(),
        ordered: true,
    });
    declared.chain(ordered).collect()
}
