//! Keeps this process incarnation in the witness set, and removes hosts that have ended.

use std::time::Duration;

use agate_conf::witness::{Set, Witness};
use tokio::time::sleep;

use crate::config::commit::{self, Failure, Plan, Proposal};
use crate::config::copy::peer_witness;
use crate::config::{archive, distribution, reader};
use crate::context::Context;

/// Mean time between checks of the witness set.
const INTERVAL: Duration = Duration::from_secs(2);

/// Joins the witness set and removes ended hosts from it, until this host shuts down or the task
/// is aborted.
pub async fn run(context: Context) {
    loop {
        if context.leaving.get() {
            return;
        }
        if desired_set(&context).is_some() {
            change(&context).await;
        }
        sleep(reader::jittered(INTERVAL)).await;
    }
}

/// Removes this host from the witness set before the process ends.
pub async fn leave(context: &Context) {
    change(context).await;
}

/// Returns the witness set that this host should propose, or `None` if the set is right as it is.
fn desired_set(context: &Context) -> Option<Set> {
    let set = context.copy.witnesses();
    if context.leaving.get() {
        return set.without(&context.host.id);
    }
    if let Some(host) = ended_host(context, &set) {
        return set.without(&host);
    }
    set.joined(&own(context))
}

/// Returns this process incarnation as a witness.
pub fn own(context: &Context) -> Witness {
    Witness {
        host: context.host.id.clone(),
        incarnation: context.host.incarnation.clone(),
        zone: context.host.zone.clone(),
        gossip: context.host.gossip,
    }
}

/// Returns a witness host that the platform lists as terminated, if this host is the first
/// remaining witness. Only that one removes hosts.
fn ended_host(context: &Context, set: &Set) -> Option<String> {
    let is_terminated = |witness: &&Witness| context.members.is_terminated(&witness.host);
    let first = set.members.iter().find(|witness| !is_terminated(witness))?;
    if first.host != context.host.id {
        return None;
    }
    set.members
        .iter()
        .find(is_terminated)
        .map(|witness| witness.host.clone())
}

async fn change(context: &Context) {
    let plan = |_: &_| match desired_set(context) {
        Some(set) => Ok(Plan {
            witnesses: Some(set.members.into_iter().map(peer_witness).collect()),
            ..Plan::default()
        }),
        None => Err(Failure::Unchanged),
    };
    let proposal = Proposal {
        author: &context.host.id,
        nonce: hex::encode(rand::random::<[u8; 16]>()),
        digest: String::new(),
        edits: &plan,
    };
    match commit::commit(context, &proposal).await {
        Ok(committed) => {
            let entries = context
                .copy
                .entries_above(committed.version.saturating_sub(1));
            distribution::distribute(context, entries.unwrap_or_default(), committed.version).await;
            archive::store_accepted(context, committed.version).await;
            archive::store_snapshot(context, committed.version).await;
            tracing::info!(event = "witnesses_changed", version = committed.version);
        }
        Err(Failure::Unchanged) => {}
        Err(err) => tracing::debug!(event = "witnesses_not_changed", error = %err),
    }
}
