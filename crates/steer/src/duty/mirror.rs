//! Mirrors usage totals to a peer, in another availability zone if there is one.

use std::time::{Duration, SystemTime};

use agate_model::host::Host;
use agate_model::id::{HostId, Incarnation};
use agate_usage::Row;
use agate_usage::row::Source;
use agate_wire::mirror::{self, Ack, Push, Totals};
use agate_wire::usage;
use tokio::time::{Instant, sleep, timeout};

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::ledgers::Origin;
use crate::duty::metrics::count;
use crate::duty::usage::{collect, is_plausible};

/// Timeout for mirroring the remaining totals at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Peer to which totals are mirrored; `None` until the first step that finds one.
#[derive(Debug, Default)]
pub struct Mirror {
    peer: Option<Peer>,
}

/// Process incarnation of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    host: HostId,
    incarnation: Incarnation,
}

/// Takes a step per interval until the task is aborted.
pub async fn run(context: Context) {
    let mut mirror = Mirror::default();
    loop {
        sleep(jittered(context.settings.intervals.mirror)).await;
        mirror.step(&context, SystemTime::now()).await;
    }
}

/// Sends all totals of the gates of this host to the peer, also those that it has.
pub async fn flush(context: &Context, now: SystemTime) {
    let mut mirror = Mirror::default();
    let _ = timeout(FLUSH_TIMEOUT, mirror.step(context, now)).await;
}

/// Merges the totals that a peer has sent into the ledgers. Totals of implausible windows are
/// dropped.
pub fn receive(context: &Context, push: Push, now: SystemTime) -> Ack {
    let heard_at = Instant::now();
    for gate in push.gates {
        let source = Source {
            host: gate.host,
            incarnation: gate.incarnation,
        };
        let mut totals = Row::from(gate.totals);
        totals
            .counters
            .retain(|bucket, _| is_plausible(context, bucket.origin, now));
        context
            .duty
            .ledgers
            .merge(source, &totals, heard_at, Origin::Mirror);
    }
    Ack {}
}

impl Mirror {
    /// Sends the totals that the peer has not acknowledged. It sends also when there are none: the
    /// message then shows that this host is live.
    pub async fn step(&mut self, context: &Context, now: SystemTime) {
        collect(context, now);
        let Some(host) = choose_peer(context) else {
            return;
        };
        self.set_peer(context, &host);
        let ledgers = &context.duty.ledgers;
        let unmirrored = ledgers.unmirrored();
        let push = Push {
            gates: unmirrored.iter().map(wire_totals).collect(),
        };
        let response: Result<Ack, _> = context.peers.call(host.steer, mirror::METHOD, &push).await;
        match response {
            Ok(Ack {}) => {
                count(&context.duty.metrics.mirror, "done");
                ledgers.acknowledge(&unmirrored);
            }
            Err(err) => {
                count(&context.duty.metrics.mirror, "failed");
                tracing::debug!(event = "mirror_failed", peer = host.id, error = %err);
            }
        }
    }

    /// Sets the peer. A new peer or incarnation has no totals yet, so all are sent to it.
    fn set_peer(&mut self, context: &Context, host: &Host) {
        let peer = Some(Peer {
            host: host.id.clone(),
            incarnation: host.incarnation.clone(),
        });
        if self.peer != peer {
            self.peer = peer;
            context.duty.ledgers.mark_unmirrored();
        }
    }
}

fn wire_totals((source, row): (&Source, &Row)) -> Totals {
    Totals {
        host: source.host.clone(),
        incarnation: source.incarnation.clone(),
        totals: usage::Row::from(row),
    }
}

/// Chooses a live peer, in another availability zone if there is one. The choice stays the same
/// until that peer is no longer live or a peer of lower rank joins. Hosts rank the peers
/// differently, so that their choices are spread over the peers.
fn choose_peer(context: &Context) -> Option<Host> {
    let live = context.members.live();
    let hosts = live.into_iter().map(|member| member.host);
    hosts.min_by_key(|peer| {
        let pair = format!("{}/{}", context.host.id, peer.id);
        (peer.zone == context.host.zone, rank(&pair), peer.id.clone())
    })
}

/// Returns the rank of `text` in rendezvous hashing, its FNV-1a hash.
pub(crate) fn rank(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
