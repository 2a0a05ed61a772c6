//! Distribution of changes to peers, and their acceptance by the witnesses.

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

/// Maximum number of push calls in flight for one change.
const PUSH_CONCURRENCY: usize = 32;

/// Longest time between checks whether a change is accepted.
const ACCEPTANCE_POLL: Duration = Duration::from_millis(20);

/// Starts a push of `entries` to all peers, and waits until `version` is accepted or the acceptance
/// timeout has passed. The push continues after the timeout.
pub async fn distribute(context: &Context, entries: Vec<Entry>, version: Version) -> Outcome {
    let deadline = Instant::now() + context.settings.timeouts.acceptance;
    actix_rt::spawn(push_to_all(context.clone(), entries));
    let _ = timeout_at(deadline, wait_accepted(context, version)).await;
    outcome(context, version)
}

/// Returns whether `version` is accepted, and on how many hosts it is known to be in force.
pub fn outcome(context: &Context, version: Version) -> Outcome {
    let accepted = update_acceptance(context, version);
    let (hosts_in_force, hosts) = context.members.in_force(version, context.copy.version());
    Outcome {
        version,
        state: if accepted {
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

async fn wait_accepted(context: &Context, version: Version) {
    while !update_acceptance(context, version) {
        let _ = timeout(ACCEPTANCE_POLL, context.members.changed()).await;
    }
}

/// Returns whether `version` is known to be accepted, after it has evaluated what is known of the
/// witnesses and recorded a new acceptance.
pub fn update_acceptance(context: &Context, version: Version) -> bool {
    if version <= context.copy.accepted() {
        return true;
    }
    if context.copy.version() < version {
        return false;
    }
    let standing = |witness: &Witness| standing(context, witness);
    let accepted = is_accepted(version, &context.copy.sets(), &standing);
    if accepted {
        context.copy.accept(version);
    }
    accepted
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
    let mut queued = context.members.peers().into_iter();
    let mut in_flight = FuturesUnordered::new();
    loop {
        while in_flight.len() < PUSH_CONCURRENCY {
            let Some(member) = queued.next() else { break };
            in_flight.push(push_to(&context, member, &push));
        }
        if in_flight.next().await.is_none() {
            return;
        }
    }
}

async fn push_to(context: &Context, member: Member, push: &Push) {
    let response: Result<peer::HostStatus, _> = context
        .peers
        .call(member.host.steer, peer::PUSH, push)
        .await;
    match response {
        Ok(standing) => context.members.record_standing(&standing),
        Err(err) => {
            tracing::debug!(event = "push_failed", host = member.host.id, error = %err);
        }
    }
}

/// Fetches the missing entries, or a full copy, from a peer. It is used when the store is
/// unavailable or slow. A failure is only logged.
pub async fn fetch_from(context: &Context, member: &Member) {
    let fetch = Fetch {
        above: context.copy.version(),
    };
    let response: Result<Fetched, _> = context
        .peers
        .call(member.host.steer, peer::FETCH, &fetch)
        .await;
    let outcome = match response {
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
