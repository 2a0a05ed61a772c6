//! Declarations that witnesses have ended.

use std::collections::BTreeSet;

use agate_conf::acceptance::Standing;
use agate_conf::witness::Witness;
use agate_model::operator::Role;
use agate_model::snapshot::Snapshot;

use crate::api::answer::{Answer, Failure};
use crate::api::auth::Caller;
use crate::api::change::{commit_and_distribute, nonce};
use crate::api::request::Request;
use crate::config::commit::{self, Plan, Proposal};
use crate::config::copy::peer_witness;
use crate::context::Context;

/// Declares that the runs of `host` that are not heard any more have ended.
pub async fn end(
    context: &Context,
    caller: &Caller,
    request: &Request,
    host: &str,
) -> Result<Answer, Failure> {
    caller.require(Role::Admin)?;
    let edits = |snapshot: &Snapshot| {
        if caller.role_in(snapshot) != Some(Role::Admin) {
            return Err(commit::Failure::Forbidden(Role::Admin));
        }
        let ended = silent_runs(context, host);
        if ended.is_empty() {
            return Err(commit::Failure::NotFound(format!("silent run of {host}")));
        }
        Ok(Plan {
            ended: ended.into_iter().map(peer_witness).collect(),
            ..Plan::default()
        })
    };
    let proposal = Proposal {
        author: &caller.id,
        nonce: nonce(caller, request),
        digest: host.to_owned(),
        edits: &edits,
    };
    let outcome = commit_and_distribute(context, &proposal).await?;
    Ok(Answer::json(&outcome))
}

/// Runs of a host in any set in use that this host does not hear.
fn silent_runs(context: &Context, host: &str) -> BTreeSet<Witness> {
    let sets = context.copy.sets();
    let members = sets.sets().iter().flat_map(|(_, set)| &set.members);
    let of_host = members.filter(|it| it.host == host);
    let silent = of_host.filter(|it| !is_heard(context, it) && !sets.has_ended(it));
    silent.cloned().collect()
}

fn is_heard(context: &Context, witness: &Witness) -> bool {
    let own = &context.host;
    let is_own = witness.host == own.id && witness.incarnation == own.incarnation;
    let standing = context
        .members
        .standing(&witness.host, &witness.incarnation);
    is_own || (matches!(standing, Standing::Has(_)) && context.members.is_responding(&witness.host))
}
