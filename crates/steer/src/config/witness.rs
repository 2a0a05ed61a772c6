//! Keeps this run among the witnesses, and removes runs that have ended.

use std::time::Duration;

use agate_conf::witness::{Set, Witness};
use tokio::time::sleep;

use crate::config::commit::{self, Failure, Plan, Proposal};
use crate::config::copy::peer_witness;
use crate::config::{archive, handout, reader};
use crate::context::Context;

/// Time between looks at the witnesses.
const INTERVAL: Duration = Duration::from_secs(2);

/// Joins the witnesses and removes ended ones, until the task is aborted.
pub async fn run(context: Context) {
    loop {
        if context.leaving.get() {
            return;
        }
        if wanted(&context).is_some() {
            change(&context).await;
        }
        sleep(reader::jittered(INTERVAL)).await;
    }
}

/// Takes this host out of the witnesses before it ends.
pub async fn leave(context: &Context) {
    change(context).await;
}

/// The set that this host wants, or `None` if it is content.
fn wanted(context: &Context) -> Option<Set> {
    let set = context.copy.witnesses();
    if context.leaving.get() {
        return set.without(&context.host.id);
    }
    if let Some(ended) = ended(context, &set) {
        return set.without(&ended);
    }
    set.joined(&own(context))
}

/// This run.
pub fn own(context: &Context) -> Witness {
    Witness {
        host: context.host.id.clone(),
        incarnation: context.host.incarnation.clone(),
        zone: context.host.zone.clone(),
        gossip: context.host.gossip,
    }
}

/// A host that the platform lists as gone, if this host is the first remaining witness.
fn ended(context: &Context, set: &Set) -> Option<String> {
    let is_gone = |it: &&Witness| context.members.is_gone(&it.host);
    let first = set.members.iter().find(|it| !is_gone(it))?;
    if first.host != context.host.id {
        return None;
    }
    set.members.iter().find(is_gone).map(|it| it.host.clone())
}

async fn change(context: &Context) {
    let plan = |_: &_| match wanted(context) {
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
        Ok(done) => {
            let entries = context.copy.entries_above(done.version.saturating_sub(1));
            handout::hand_out(context, entries.unwrap_or_default(), done.version).await;
            archive::store_accepted(context, done.version).await;
            archive::store_snapshot(context, done.version).await;
            tracing::info!(event = "witnesses_changed", version = done.version);
        }
        Err(Failure::Unchanged) => {}
        Err(err) => tracing::debug!(event = "witnesses_not_changed", error = %err),
    }
}
