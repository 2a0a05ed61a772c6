//! Requests that read resources and changes.

use std::time::Duration;

use agate_model::operator::Role;
use agate_model::resource::{Kind, Name};
use agate_wire::api::{Listing, Watch};
use agate_wire::change::{Change, Edit, Resource};
use agate_wire::manifest::Manifest;
use tokio::time::timeout;

use crate::api::auth::Operator;
use crate::api::request::Request;
use crate::api::response::{Failure, Response};
use crate::config::distribution;
use crate::context::Context;
use crate::rpc::peer::millis;

/// Time for which a watch waits if the request names none.
const WATCH_DEFAULT: Duration = Duration::from_secs(25);
/// Longest time for which a watch waits.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Returns all resources, or those of the kind in the query.
pub fn list(
    context: &Context,
    operator: &Operator,
    request: &Request,
) -> Result<Response, Failure> {
    let kind = match request.query("kind") {
        Some(text) => Some(parse_kind(&text)?),
        None => None,
    };
    let snapshot = context.copy.snapshot();
    let resources = snapshot
        .resources()
        .filter(|resource| kind.is_none_or(|kind| resource.spec.name().kind == kind))
        .map(|resource| Resource::from(resource.clone()))
        .map(|resource| Resource {
            version: resource.version,
            manifest: visible(operator, resource.manifest),
        })
        .collect();
    Ok(Response::json(&Listing {
        version: snapshot.version(),
        proof_age_ms: context.copy.proof_age().map(millis),
        resources,
    }))
}

/// Returns one resource, with its version as the entity tag.
pub fn get(
    context: &Context,
    operator: &Operator,
    kind: &str,
    id: &str,
) -> Result<Response, Failure> {
    let name = name(kind, id)?;
    let snapshot = context.copy.snapshot();
    let found = snapshot
        .get(&name)
        .ok_or_else(|| Failure::not_found(&name))?;
    let mut resource = Resource::from(found.clone());
    resource.manifest = visible(operator, resource.manifest);
    let mut response = Response::json(&resource);
    response.etag = Some(resource.version.to_string());
    Ok(response)
}

/// Returns whether an earlier change is accepted, and on how many hosts it is in force.
pub fn outcome(context: &Context, version: &str) -> Result<Response, Failure> {
    let fault = |_| Failure::bad_request("the version needs to be a number");
    let version = version.parse().map_err(fault)?;
    if version > context.copy.version() {
        return Err(Failure::not_found(format!("version {version}")));
    }
    Ok(Response::json(&distribution::outcome(context, version)))
}

/// Handles a long poll for changes above a version.
///
/// Returns without changes when the wait ends, and with `reset` set if some of the changes are no
/// longer kept.
pub async fn watch(
    context: &Context,
    operator: &Operator,
    request: &Request,
) -> Result<Response, Failure> {
    let from = request.number("from")?.unwrap_or(0);
    let wait = request.number("wait")?.map(Duration::from_secs);
    let wait = wait.unwrap_or(WATCH_DEFAULT).min(WATCH_LIMIT);
    let mut versions = context.copy.watch();
    let newer = versions.wait_for(|version| *version > from);
    let _ = timeout(wait, newer).await;
    let entries = context.copy.entries_above(from);
    let reset = entries.is_none();
    let changes = entries.unwrap_or_default().into_iter();
    Ok(Response::json(&Watch {
        version: context.copy.version(),
        changes: changes
            .map(|entry| visible_change(operator, entry.change))
            .collect(),
        reset,
    }))
}

/// Parses a resource name from path segments.
pub fn name(kind: &str, id: &str) -> Result<Name, Failure> {
    if id.is_empty() {
        return Err(Failure::bad_request("the path needs a name"));
    }
    Ok(Name {
        kind: parse_kind(kind)?,
        id: id.to_owned(),
    })
}

fn parse_kind(text: &str) -> Result<Kind, Failure> {
    Kind::parse(text).ok_or_else(|| Failure::not_found(format!("kind {text:?}")))
}

fn visible_change(operator: &Operator, mut change: Change) -> Change {
    for edit in &mut change.edits {
        if let Edit::Put { manifest } = edit {
            *manifest = visible(operator, manifest.clone());
        }
    }
    change
}

/// Removes the credential of an endpoint unless the operator may set it.
fn visible(operator: &Operator, mut manifest: Manifest) -> Manifest {
    if let Manifest::Endpoint(endpoint) = &mut manifest
        && operator.role < Role::Editor
    {
        endpoint.credential = None;
    }
    manifest
}
