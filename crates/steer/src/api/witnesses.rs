//! Request that declares witnesses of a host as ended, so that acceptance doesn't wait for them.

use std::collections::BTreeSet;

use agate_conf::acceptance::Standing;
use agate_conf::witness::Witness;
use agate_model::operator::Role;
use agate_model::snapshot::Snapshot;

use crate::api::auth::Operator;
use crate::api::change::{commit_and_distribute, nonce};
use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::config::commit::{self, Plan, Proposal};
use crate::config::copy::peer_witness;
use crate::context::Context;

/// Declares that the unreachable incarnations of `host` have ended. Needs the role admin, which is
/// checked again in the configuration that is changed.
pub async fn end(
    context: &Context,
    operator: &Operator,
    request: &Request,
    host: &str,
) -> Result<Response, Failure> {
    operator.require(Role::Admin)?;
    let edits = |snapshot: &Snapshot| {
        if operator.role_in(snapshot) != Some(Role::Admin) {
            return Err(commit::Failure::Forbidden(Role::Admin));
        }
        let ended = silent_incarnations(context, host);
        if ended.is_empty() {
            return Err(commit::Failure::NotFound(format!("silent run of {host}")));
        }
        Ok(Plan {
            ended: ended.into_iter().map(peer_witness).collect(),
            ..Plan::default()
        })
    };
    let proposal = Proposal {
        author: &operator.id,
        nonce: nonce(operator, request),
        digest: host.to_owned(),
        edits: &edits,
    };
    let outcome = commit_and_distribute(context, &proposal).await?;
    Ok(Response::json(&outcome))
}

/// Returns the incarnations of `host` in any witness set in use that are unreachable from here and
/// not yet declared as ended.
fn silent_incarnations(context: &Context, host: &str) -> BTreeSet<Witness> {
    let sets = context.copy.sets();
    let members = sets.sets().iter().flat_map(|(_, set)| &set.members);
    let of_host = members.filter(|witness| witness.host == host);
    let silent =
        of_host.filter(|witness| !is_reachable(context, witness) && !sets.has_ended(witness));
    silent.cloned().collect()
}

fn is_reachable(context: &Context, witness: &Witness) -> bool {
    let own = &context.host;
    let is_own = witness.host == own.id && witness.incarnation == own.incarnation;
    let standing = context
        .members
        .standing(&witness.host, &witness.incarnation);
    is_own || (matches!(standing, Standing::Has(_)) && context.members.is_responding(&witness.host))
}
