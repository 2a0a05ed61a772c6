//! Requests that change resources.

use std::collections::BTreeSet;

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_model::operator::Role;
use agate_model::resource::{Edit, Kind, Name, Spec};
use agate_model::snapshot::Snapshot;
use agate_wire::api::{Apply, Conflict, Item, Outcome, State};
use agate_wire::change;
use agate_wire::manifest::Manifest;
use sha2::{Digest as _, Sha256};

use crate::api::auth::Operator;
use crate::api::read;
use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::config::commit::{self, Plan, Proposal};
use crate::config::{archive, distribution};
use crate::context::Context;

/// One validated edit with its condition.
#[derive(Clone, Debug)]
pub struct Step {
    /// Resource to be stored, or name of the resource to be deleted.
    pub edit: Edit,
    /// Version that the resource must have, 0 if it must not exist; `None` without a condition.
    pub expected: Option<Version>,
}

impl Step {
    fn name(&self) -> Name {
        match &self.edit {
            Edit::Put(spec) => spec.name(),
            Edit::Delete(name) => name.clone(),
        }
    }

    fn conflict(&self, snapshot: &Snapshot) -> Option<Conflict> {
        let expected = self.expected?;
        let name = self.name();
        let current = snapshot.get(&name);
        if current.map_or(0, |resource| resource.version) == expected {
            return None;
        }
        let yours = match &self.edit {
            Edit::Put(spec) => Some(Manifest::from(spec.clone())),
            Edit::Delete(_) => None,
        };
        Some(Conflict {
            kind: name.kind.as_str().to_owned(),
            id: name.id,
            expected,
            yours,
            current: current.cloned().map(change::Resource::from),
        })
    }

    fn changes(&self, snapshot: &Snapshot) -> bool {
        match &self.edit {
            Edit::Put(spec) => {
                snapshot.get(&spec.name()).map(|resource| &resource.spec) != Some(spec)
            }
            Edit::Delete(name) => snapshot.get(name).is_some(),
        }
    }
}

/// Handles `PUT` of one resource. The body's name must equal the path's.
pub async fn put(
    context: &Context,
    operator: &Operator,
    request: &Request,
    kind: &str,
    id: &str,
) -> Result<Response, Failure> {
    let name = read::name(kind, id)?;
    let manifest: Manifest = request.json()?;
    let spec: Spec = manifest.try_into().map_err(Failure::invalid)?;
    if spec.name() != name {
        let found = spec.name();
        return Err(Failure::bad_request(format!(
            "the path names {name}, the body {found}"
        )));
    }
    let step = Step {
        edit: Edit::Put(spec),
        expected: expected(request)?,
    };
    commit_request(context, operator, request, vec![step]).await
}

/// Handles `DELETE` of one resource.
pub async fn delete(
    context: &Context,
    operator: &Operator,
    request: &Request,
    kind: &str,
    id: &str,
) -> Result<Response, Failure> {
    let step = Step {
        edit: Edit::Delete(read::name(kind, id)?),
        expected: expected(request)?,
    };
    commit_request(context, operator, request, vec![step]).await
}

/// Handles several edits as one change, or validates them without a change in a dry run.
pub async fn apply(
    context: &Context,
    operator: &Operator,
    request: &Request,
) -> Result<Response, Failure> {
    let apply: Apply = request.json()?;
    let steps = steps(apply.items).map_err(Failure::invalid)?;
    if apply.dry_run {
        return dry_run(context, operator, &steps);
    }
    commit_request(context, operator, request, steps).await
}

fn steps(items: Vec<Item>) -> Result<Vec<Step>, Report> {
    let mut report = Report::default();
    let mut names = BTreeSet::new();
    let mut steps = Vec::with_capacity(items.len());
    for item in items {
        let edit: Edit = match item.edit.try_into() {
            Ok(edit) => edit,
            Err(faults) => {
                report.merge(faults);
                continue;
            }
        };
        let step = Step {
            edit,
            expected: item.expected,
        };
        if !names.insert(step.name()) {
            report.push(step.name().to_string(), "stands twice in the request");
        }
        steps.push(step);
    }
    if steps.is_empty() && report.is_empty() {
        report.push("items", "needs at least one edit");
    }
    report.into_result(steps)
}

/// Returns the expected version from `If-Match`, or 0 for `If-None-Match: *`.
fn expected(request: &Request) -> Result<Option<Version>, Failure> {
    if let Some(text) = request.header("if-match") {
        let fault = |_| Failure::bad_request("If-Match needs a version such as \"12\"");
        return text.trim_matches('"').parse().map(Some).map_err(fault);
    }
    match request.header("if-none-match") {
        None => Ok(None),
        Some("*") => Ok(Some(0)),
        Some(_) => Err(Failure::bad_request("If-None-Match needs to be *")),
    }
}

async fn commit_request(
    context: &Context,
    operator: &Operator,
    request: &Request,
    steps: Vec<Step>,
) -> Result<Response, Failure> {
    let nonce = nonce(operator, request);
    let digest = hex::encode(Sha256::digest(request.body()));
    let outcome = commit_steps(context, operator, nonce, digest, &steps).await?;
    Ok(Response::json(&outcome))
}

/// Commits the steps as one change and distributes it.
pub async fn commit_steps(
    context: &Context,
    operator: &Operator,
    nonce: String,
    digest: String,
    steps: &[Step],
) -> Result<Outcome, Failure> {
    let edits = |snapshot: &Snapshot| plan(operator, steps, snapshot);
    let proposal = Proposal {
        author: &operator.id,
        nonce,
        digest,
        edits: &edits,
    };
    commit_and_distribute(context, &proposal).await
}

/// Commits a change, distributes it, and waits for its acceptance up to the timeout.
///
/// A proposal that changes nothing returns the outcome of the present version. Acceptance and
/// snapshot are stored after the response.
pub async fn commit_and_distribute(
    context: &Context,
    proposal: &Proposal<'_>,
) -> Result<Outcome, Failure> {
    let committed = match commit::commit(context, proposal).await {
        Ok(committed) => committed,
        Err(commit::Failure::Unchanged) => {
            let version = context.copy.version();
            return Ok(distribution::outcome(context, version));
        }
        Err(failure) => return Err(failure.into()),
    };
    tracing::info!(
        event = "change_made",
        version = committed.version,
        operator = proposal.author,
        repeated = committed.repeated
    );
    let entries = context
        .copy
        .entries_above(committed.version.saturating_sub(1));
    let entries = entries.unwrap_or_default();
    let mut outcome = distribution::distribute(context, entries, committed.version).await;
    outcome.repeated = committed.repeated;
    let context = context.clone();
    actix_rt::spawn(async move {
        archive::store_accepted(&context, committed.version).await;
        archive::store_snapshot(&context, committed.version).await;
    });
    Ok(outcome)
}

/// Returns the nonce of a change: derived from the operator and the request's idempotency key, or
/// random without a key.
pub fn nonce(operator: &Operator, request: &Request) -> String {
    let Some(key) = request.header("idempotency-key") else {
        return hex::encode(rand::random::<[u8; 16]>());
    };
    let mut digest = Sha256::new();
    digest.update((operator.id.len() as u64).to_be_bytes());
    digest.update(operator.id.as_bytes());
    digest.update(key.as_bytes());
    hex::encode(digest.finalize())
}

fn plan(operator: &Operator, steps: &[Step], snapshot: &Snapshot) -> Result<Plan, commit::Failure> {
    check_role(operator, steps, snapshot)?;
    let conflicts: Vec<Conflict> = steps
        .iter()
        .filter_map(|step| step.conflict(snapshot))
        .collect();
    if !conflicts.is_empty() {
        return Err(commit::Failure::Conflict(conflicts));
    }
    if let [
        Step {
            edit: Edit::Delete(name),
            ..
        },
    ] = steps
        && snapshot.get(name).is_none()
    {
        return Err(commit::Failure::NotFound(name.to_string()));
    }
    let changing = steps.iter().filter(|step| step.changes(snapshot));
    let edits: Vec<Edit> = changing.map(|step| step.edit.clone()).collect();
    if edits.is_empty() {
        return Err(commit::Failure::Unchanged);
    }
    Ok(Plan {
        edits,
        ..Plan::default()
    })
}

/// Checks the operator's role again, in the configuration that is about to be changed.
fn check_role(
    operator: &Operator,
    steps: &[Step],
    snapshot: &Snapshot,
) -> Result<(), commit::Failure> {
    let touches_operators = steps.iter().any(|step| step.name().kind == Kind::Operator);
    let needed = if touches_operators {
        Role::Admin
    } else {
        Role::Editor
    };
    match operator.role_in(snapshot) {
        Some(role) if role >= needed => Ok(()),
        _ => Err(commit::Failure::Forbidden(needed)),
    }
}

fn dry_run(context: &Context, operator: &Operator, steps: &[Step]) -> Result<Response, Failure> {
    let snapshot = context.copy.snapshot();
    match plan(operator, steps, &snapshot) {
        Ok(plan) => {
            let change = agate_model::resource::Change {
                version: snapshot.version() + 1,
                edits: plan.edits,
            };
            commit::check(&snapshot, &change)?;
        }
        Err(commit::Failure::Unchanged) => {}
        Err(failure) => return Err(failure.into()),
    }
    let version = snapshot.version();
    let (hosts_in_force, hosts) = context.members.in_force(version, version);
    Ok(Response::json(&Outcome {
        version,
        state: State::Accepted,
        hosts_in_force,
        hosts,
        repeated: false,
        dry_run: true,
    }))
}
