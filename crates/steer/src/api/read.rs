//! Reads of resources and changes.

use std::time::Duration;

use agate_model::operator::Role;
use agate_model::resource::{Kind, Name};
use agate_wire::api::{Listing, Watch};
use agate_wire::change::{Change, Edit, Resource};
use agate_wire::manifest::Manifest;
use tokio::time::timeout;

use crate::api::answer::{Answer, Failure};
use crate::api::auth::Caller;
use crate::api::request::Request;
use crate::config::distribution;
use crate::context::Context;
use crate::rpc::peer::millis;

const WATCH_DEFAULT: Duration = Duration::from_secs(25);
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// All resources, or those of one kind.
pub fn list(context: &Context, caller: &Caller, request: &Request) -> Result<Answer, Failure> {
    let kind = match request.query("kind") {
        Some(text) => Some(parse_kind(&text)?),
        None => None,
    };
    let snapshot = context.copy.snapshot();
    let resources = snapshot
        .resources()
        .filter(|it| kind.is_none_or(|kind| it.spec.name().kind == kind))
        .map(|it| Resource::from(it.clone()))
        .map(|it| Resource {
            version: it.version,
            manifest: visible(caller, it.manifest),
        })
        .collect();
    Ok(Answer::json(&Listing {
        version: snapshot.version(),
        proof_age_ms: context.copy.proof_age().map(millis),
        resources,
    }))
}

/// One resource.
pub fn get(context: &Context, caller: &Caller, kind: &str, id: &str) -> Result<Answer, Failure> {
    let name = name(kind, id)?;
    let snapshot = context.copy.snapshot();
    let found = snapshot
        .get(&name)
        .ok_or_else(|| Failure::not_found(&name))?;
    let mut resource = Resource::from(found.clone());
    resource.manifest = visible(caller, resource.manifest);
    let mut answer = Answer::json(&resource);
    answer.etag = Some(resource.version.to_string());
    Ok(answer)
}

/// State of an earlier change.
pub fn outcome(context: &Context, version: &str) -> Result<Answer, Failure> {
    let fault = |_| Failure::bad_request("the version needs to be a number");
    let version = version.parse().map_err(fault)?;
    if version > context.copy.version() {
        return Err(Failure::not_found(format!("version {version}")));
    }
    Ok(Answer::json(&distribution::outcome(context, version)))
}

/// Changes above a version, once there are some.
pub async fn watch(
    context: &Context,
    caller: &Caller,
    request: &Request,
) -> Result<Answer, Failure> {
    let from = request.number("from")?.unwrap_or(0);
    let wait = request.number("wait")?.map(Duration::from_secs);
    let wait = wait.unwrap_or(WATCH_DEFAULT).min(WATCH_LIMIT);
    let mut versions = context.copy.watch();
    let newer = versions.wait_for(|version| *version > from);
    let _ = timeout(wait, newer).await;
    let entries = context.copy.entries_above(from);
    let reset = entries.is_none();
    let changes = entries.unwrap_or_default().into_iter();
    Ok(Answer::json(&Watch {
        version: context.copy.version(),
        changes: changes
            .map(|it| visible_change(caller, it.change))
            .collect(),
        reset,
    }))
}

/// A resource name from path segments.
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

fn visible_change(caller: &Caller, mut change: Change) -> Change {
    for edit in &mut change.edits {
        if let Edit::Put { manifest } = edit {
            *manifest = visible(caller, manifest.clone());
        }
    }
    change
}

/// Credentials of endpoints are shown only to those who may set them.
fn visible(caller: &Caller, mut manifest: Manifest) -> Manifest {
    if let Manifest::Endpoint(endpoint) = &mut manifest
        && caller.role < Role::Editor
    {
        endpoint.credential = None;
    }
    manifest
}
