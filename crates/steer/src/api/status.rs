//! Status of hosts, endpoints and the lease, as known to this host.

use std::net::SocketAddr;

use agate_wire::api::{self, Status};
use agate_wire::peer::{self, Announce, HostStatus};
use futures_util::StreamExt as _;
use futures_util::stream;

use crate::api::response::{Failure, Response};
use crate::context::Context;
use crate::rpc::peer::{millis, standing};

/// Maximum number of calls to peers in flight for one request.
const CALL_CONCURRENCY: usize = 32;

/// Requests the state of all peers, then returns the status. Unreachable peers are returned with
/// their last known state.
pub async fn get(context: &Context) -> Result<Response, Failure> {
    let peers = context.members.peers();
    stream::iter(peers)
        .for_each_concurrent(CALL_CONCURRENCY, |member| {
            request_standing(context, member.host.steer)
        })
        .await;
    let lease = context.lease.borrow().clone();
    Ok(Response::json(&Status {
        host: context.host.id.clone(),
        version: context.copy.version(),
        accepted: context.copy.accepted(),
        proof_age_ms: context.copy.proof_age().map(millis),
        store_age_ms: context.members.store_age().map(millis),
        lease: lease.map(|lease| api::Lease {
            holder: lease.holder,
            epoch: lease.epoch,
        }),
        hosts: hosts(context),
        endpoints: endpoints(context),
    }))
}

/// Announces this host to a peer, and records the state that the peer returns. A failure is only
/// logged.
pub async fn request_standing(context: &Context, address: SocketAddr) {
    let announce = Announce {
        host: context.members.own(),
    };
    let response: Result<HostStatus, _> =
        context.peers.call(address, peer::STANDING, &announce).await;
    match response {
        Ok(standing) => context.members.record_standing(&standing),
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
    let others = context.members.peers().into_iter().map(|member| api::Host {
        witness: witnesses
            .position(&member.host.id, &member.host.incarnation)
            .is_some(),
        id: member.host.id,
        zone: member.host.zone,
        gate: member.host.gate.to_string(),
        version: member.version,
        gate_version: member.gate_version,
        proof_age_ms: member.proof_age.map(millis),
        heard_ms: member.last_heard.map(|at| millis(at.elapsed())),
        leaving: member.host.leaving,
    });
    let mut hosts: Vec<api::Host> = others.chain([own]).collect();
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    hosts
}

fn endpoints(context: &Context) -> Vec<api::Endpoint> {
    let leaving = context.endpoints.leaving();
    let snapshot = context.copy.snapshot();
    let declared = snapshot.endpoints().map(|endpoint| api::Endpoint {
        id: endpoint.id.clone(),
        pool: endpoint.pool.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address.to_string(),
        ordered: false,
        leaving: endpoint.leaving || leaving.contains(&endpoint.id),
    });
    let ordered = context.endpoints.ordered();
    let ordered = ordered.into_iter().map(|endpoint| api::Endpoint {
        leaving: endpoint.leaving || leaving.contains(&endpoint.id),
        id: endpoint.id,
        pool: endpoint.pool,
        zone: endpoint.zone,
        address: endpoint.address.to_string(),
        ordered: true,
    });
    declared.chain(ordered).collect()
}
