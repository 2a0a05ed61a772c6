//! Responses to the sync calls of gates.

use std::time::SystemTime;

use agate_model::id::{Version, Window};
use agate_wire::change::Snapshot;
use agate_wire::sync::{Request, Response, Update};
use tokio::time::Instant;

use crate::context::Context;
use crate::directory;
use crate::gossip::rumours;
use crate::limits;
use crate::rpc::peer::millis;

/// Maximum number of changes sent singly; a gate that is further behind gets a snapshot.
const CHANGE_LIMIT: usize = 64;

/// Maximum number of other control processes named to a gate.
const PEER_LIMIT: usize = 8;

/// Records what a gate reports, and returns the changes and endpoint states that it lacks.
pub fn respond(context: &Context, request: Request) -> Response {
    let version = request.version;
    let endpoint_revision = request.endpoint_revision;
    rumours::publish_limits(context, &request.limits);
    let limits = limits::statements(context);
    context.inbox.record(request, Instant::now());
    Response {
        version: context.copy.version(),
        proof_age_ms: context.copy.proof_age().map(millis),
        update: update(context, version),
        endpoints: context.endpoints.since(endpoint_revision),
        hosts: context.members.entries(),
        peers: peers(context),
        live_hosts: directory::live_hosts(context),
        pressure: context.floors.current(),
        limits,
        window: open_window(context, SystemTime::now()),
    }
}

fn update(context: &Context, known: Version) -> Option<Update> {
    if known >= context.copy.version() {
        return None;
    }
    let entries = context.copy.entries_above(known);
    match entries.filter(|entries| entries.len() <= CHANGE_LIMIT) {
        Some(entries) => {
            let changes = entries.into_iter().map(|entry| entry.change).collect();
            Some(Update::Changes(changes))
        }
        None => Some(Update::Snapshot(Snapshot::from(&*context.copy.snapshot()))),
    }
}

/// Returns the addresses of live peers, those of this host's availability zone first.
fn peers(context: &Context) -> Vec<String> {
    let mut live = context.members.live();
    live.sort_by_key(|member| member.host.zone != context.host.zone);
    live.truncate(PEER_LIMIT);
    live.iter()
        .map(|member| member.host.steer.to_string())
        .collect()
}

/// Returns the start of the reporting window that contains `now`, in seconds since the Unix epoch.
pub fn open_window(context: &Context, now: SystemTime) -> Window {
    let since = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let length = context.settings.window.as_secs();
    since.as_secs() / length * length
}
