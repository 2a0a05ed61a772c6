//! Hand-out of changes to peers, and acceptance.

use std::time::Duration;

use agate_conf::acceptance::{Standing, is_accepted};
use agate_conf::witness::Witness;
use agate_model::id::Version;
use agate_wire::api::{Outcome, State};
use agate_wire::peer::{self, Entry, Fetch, Fetched, Push};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, timeout, timeout_at};

use crate::context::Context;
use crate::member::Member;

/// Calls to peers at the same time.
const PUSH_CONCURRENCY: usize = 32;

/// Time between looks at the acceptance of a change.
const ACCEPTANCE_POLL: Duration = Duration::from_millis(20);

/// Starts handing `entries` to all peers, and waits until the last one is accepted
/// or the acceptance timeout has passed.
pub async fn hand_out(context: &Context, entries: Vec<Entry>, version: Version) -> Outcome {
    let until = Instant::now() + context.settings.timeouts.acceptance;
    actix_rt::spawn(push_to_all(context.clone(), entries));
    let _ = timeout_at(until, accepted(context, version)).await;
    outcome(context, version)
}

/// What is known of a change.
pub fn outcome(context: &Context, version: Version) -> Outcome {
    let is_final = settle(context, version);
    let (hosts_in_force, hosts) = context.members.in_force(version, context.copy.version());
    Outcome {
        version,
        state: if is_final {
            State::Accepted
        } else {
            State::Pending
        },
        hosts_in_force,
        hosts,
        repeated: false,
        dry_run: false,
    }
}

async fn accepted(context: &Context, version: Version) {
    while !settle(context, version) {
        let _ = timeout(ACCEPTANCE_POLL, context.members.changed()).await;
    }
}

/// Whether `version` is accepted, as far as is known here.
pub fn settle(context: &Context, version: Version) -> bool {
    if version <= context.copy.accepted() {
        return true;
    }
    if context.copy.version() < version {
        return false;
    }
    let standing = |witness: &Witness| standing(context, witness);
    let is_final = is_accepted(version, &context.copy.sets(), &standing);
    if is_final {
        context.copy.accept(version);
    }
    is_final
}

fn standing(context: &Context, witness: &Witness) -> Standing {
    if witness.host == context.host.id && witness.incarnation == context.host.incarnation {
        return Standing::Has(context.copy.version());
    }
    context
        .members
        .standing(&witness.host, &witness.incarnation)
}

async fn push_to_all(context: Context, entries: Vec<Entry>) {
    let push = Push {
        entries,
        accepted: context.copy.accepted(),
    };
    let mut waiting = context.members.peers().into_iter();
    let mut running = FuturesUnordered::new();
    loop {
        while running.len() < PUSH_CONCURRENCY {
            let Some(member) = waiting.next() else { break };
            running.push(push_to(&context, member, &push));
        }
        if running.next().await.is_none() {
            return;
        }
    }
}

async fn push_to(context: &Context, member: Member, push: &Push) {
    let answer: Result<peer::Standing, _> = context
        .peers
        .call(member.host.steer, peer::PUSH, push)
        .await;
    match answer {
        Ok(standing) => context.members.hear(&standing),
        Err(err) => {
            tracing::debug!(event = "push_failed", host = member.host.id, error = %err);
        }
    }
}

/// Reads what is missing from a peer, when the store is out or slow.
pub async fn fetch_from(context: &Context, member: &Member) {
    let fetch = Fetch {
        above: context.copy.version(),
    };
    let answer: Result<Fetched, _> = context
        .peers
        .call(member.host.steer, peer::FETCH, &fetch)
        .await;
    let outcome = match answer {
        Ok(Fetched::Entries(entries)) => context.copy.extend(entries),
        Ok(Fetched::Copy(copy)) => context.copy.replace(*copy),
        Err(err) => {
            tracing::debug!(event = "fetch_failed", host = member.host.id, error = %err);
            return;
        }
    };
    if let Err(err) = outcome {
        tracing::warn!(event = "change_not_taken_up", error = %err);
    }
}
