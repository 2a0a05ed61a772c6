//! Copies of usage totals to a peer in another availability zone.

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
use crate::duty::books::Origin;
use crate::duty::metrics::count;
use crate::duty::usage::{absorb, is_plausible};

/// Longest time for the last copy at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The peer that has the copies.
#[derive(Debug, Default)]
pub struct Mirror {
    peer: Option<Peer>,
}

/// One run of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    host: HostId,
    incarnation: Incarnation,
}

/// Copies totals until the task is aborted.
pub async fn run(context: Context) {
    let mut mirror = Mirror::default();
    loop {
        sleep(jittered(context.settings.intervals.mirror)).await;
        mirror.step(&context, SystemTime::now()).await;
    }
}

/// Copies everything once more.
pub async fn flush(context: &Context, now: SystemTime) {
    let mut mirror = Mirror::default();
    let _ = timeout(FLUSH_TIMEOUT, mirror.step(context, now)).await;
}

/// Takes up the totals of a peer.
pub fn take(context: &Context, push: Push, now: SystemTime) -> Ack {
    let heard = Instant::now();
    for gate in push.gates {
        let source = Source {
            host: gate.host,
            incarnation: gate.incarnation,
        };
        let mut totals = Row::from(gate.totals);
        totals
            .counters
            .retain(|part, _| is_plausible(context, part.origin, now));
        context
            .duty
            .books
            .take(source, &totals, heard, Origin::Mirror);
    }
    Ack {}
}

impl Mirror {
    /// Sends what the peer has not acknowledged. An empty message shows that this host lives.
    pub async fn step(&mut self, context: &Context, now: SystemTime) {
        absorb(context, now);
        let Some(host) = choose(context) else { return };
        self.meet(context, &host);
        let books = &context.duty.books;
        let copies = books.uncopied();
        let push = Push {
            gates: copies.iter().map(totals).collect(),
        };
        let answer: Result<Ack, _> = context.peers.call(host.steer, mirror::METHOD, &push).await;
        match answer {
            Ok(Ack {}) => {
                count(&context.duty.metrics.mirror, "done");
                books.copied(&copies);
            }
            Err(err) => {
                count(&context.duty.metrics.mirror, "failed");
                tracing::debug!(event = "mirror_failed", peer = host.id, error = %err);
            }
        }
    }

    /// Notes the peer; a new one has no copies.
    fn meet(&mut self, context: &Context, host: &Host) {
        let peer = Some(Peer {
            host: host.id.clone(),
            incarnation: host.incarnation.clone(),
        });
        if self.peer != peer {
            self.peer = peer;
            context.duty.books.copy_all();
        }
    }
}

fn totals((source, row): (&Source, &Row)) -> Totals {
    Totals {
        host: source.host.clone(),
        incarnation: source.incarnation.clone(),
        totals: usage::Row::from(row),
    }
}

/// A live peer, in another availability zone if there is one. The choice stays
/// the same while the peer lives, and is spread over the peers.
fn choose(context: &Context) -> Option<Host> {
    let live = context.members.live();
    let hosts = live.into_iter().map(|it| it.host);
    hosts.min_by_key(|it| {
        let pair = format!("{}/{}", context.host.id, it.id);
        (it.zone == context.host.zone, rank(&pair), it.id.clone())
    })
}

/// Rank in rendezvous hashing (FNV-1a).
pub(crate) fn rank(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
