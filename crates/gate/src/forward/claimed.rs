//! Non-idempotent calls with an idempotency key: claimed in the store, run once.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use agate_model::refusal::{Execution, Reason};
use bytes::Bytes;

use super::plain::{self, Whole};
use crate::choice::Flight;
use crate::claim::{Claims, Declined, End};
use crate::gate::Gate;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Fetches the answer of the one execution.
///
/// Runs as a task of its own: an execution that has begun is finished and
/// recorded even if the caller goes away.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    first: Option<Flight>,
    key: &str,
) -> Result<Whole, Refusal> {
    let Some(claims) = gate.claims() else {
        let message = "this host has no store for claims";
        let denial = Denial::new(Reason::ClaimUnavailable, message);
        return Err(Progress::received(false).refuse(denial));
    };
    let task = execute(gate.clone(), work.clone(), first, claims, key.to_owned());
    match actix_rt::spawn(task).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::claimed(Denial::new(
            Reason::ClaimUnknown,
            "the execution was aborted",
        ))),
    }
}

async fn execute(
    gate: Rc<Gate>,
    work: Rc<Work>,
    first: Option<Flight>,
    claims: Claims,
    key: String,
) -> Result<Whole, Refusal> {
    let _held = gate.activity.hold();
    let account = work.account().map_or("", String::as_str);
    let request = agate_claim::digest::request(work.method.as_str(), &work.target, &work.body);
    let is_live = |host: &String| gate.is_live(host);
    let claim = match claims.claim(account, &key, request, &is_live).await {
        Ok(claim) => claim,
        Err(Declined::Replay(answer)) => return Ok(replayed(answer)),
        Err(Declined::Refused(denial)) => return Err(Refusal::claimed(denial)),
    };
    let result = plain::fetch(&gate, &work, first).await;
    let end = match &result {
        Ok(whole) => End::Done(kept(whole)),
        Err(refusal) if refusal.execution() == Execution::NotRun => End::NotRun,
        Err(_) => End::Unknown,
    };
    let held = gate.activity.hold();
    actix_rt::spawn(async move {
        claim.close(end).await;
        drop(held);
    });
    result
}

fn kept(whole: &Whole) -> agate_claim::Response {
    let headers = whole
        .headers
        .iter()
        .map(|(name, value)| agate_claim::Header {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        });
    agate_claim::Response {
        status: whole.status.as_u16(),
        headers: headers.collect(),
        body: whole.body.to_vec(),
    }
}

fn replayed(answer: agate_claim::Response) -> Whole {
    let mut headers = HeaderMap::new();
    for header in answer.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::from(answer.body),
        replayed: true,
    }
}
