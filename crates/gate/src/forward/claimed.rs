//! Non-idempotent calls with an idempotency key: claimed in the store and executed at most once.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use agate_model::refusal::{Execution, Reason};
use bytes::Bytes;

use super::plain::{self, BufferedResponse};
use crate::choice::Flight;
use crate::claim::{Claims, Declined, End};
use crate::gate::Gate;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Executes the request if it can be claimed, or returns the recorded response of an earlier
/// submission.
///
/// Runs in a separate task, so that an execution that has started is completed and recorded even
/// if the caller disconnects.
pub async fn fetch(
    gate: &Rc<Gate>,
    work: &Rc<Work>,
    reserved: Option<Flight>,
    key: &str,
) -> Result<BufferedResponse, Refusal> {
    let Some(claims) = gate.claims() else {
        let message = "this host has no store for claims";
        let denial = Denial::new(Reason::ClaimUnavailable, message);
        return Err(Progress::received(false).refuse(denial));
    };
    let guard = gate.activity.start_task();
    let execution = execute(gate.clone(), work.clone(), reserved, claims, key.to_owned());
    let task = actix_rt::spawn(async move {
        let result = execution.await;
        drop(guard);
        result
    });
    match task.await {
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
    reserved: Option<Flight>,
    claims: Claims,
    key: String,
) -> Result<BufferedResponse, Refusal> {
    let account = work.account().map_or("", String::as_str);
    let request = agate_claim::digest::request(work.method.as_str(), &work.target, &work.body);
    let is_live = |host: &String| gate.is_live(host);
    let claim = match claims.claim(account, &key, request, &is_live).await {
        Ok(claim) => claim,
        Err(Declined::Replay(recorded)) => return Ok(from_record(recorded)),
        Err(Declined::Refused(denial)) => return Err(Refusal::claimed(denial)),
    };
    let result = plain::fetch(&gate, &work, reserved).await;
    let end = match &result {
        Ok(buffered) => End::Done(to_record(buffered)),
        Err(refusal) if refusal.execution() == Execution::NotRun => End::NotRun,
        Err(_) => End::Unknown,
    };
    let guard = gate.activity.start_task();
    actix_rt::spawn(async move {
        claim.close(end).await;
        drop(guard);
    });
    result
}

fn to_record(buffered: &BufferedResponse) -> agate_claim::Response {
    let headers = buffered
        .headers
        .iter()
        .map(|(name, value)| agate_claim::Header {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        });
    agate_claim::Response {
        status: buffered.status.as_u16(),
        headers: headers.collect(),
        body: buffered.body.to_vec(),
    }
}

fn from_record(recorded: agate_claim::Response) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    for header in recorded.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    BufferedResponse {
        status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::from(recorded.body),
        replayed: true,
    }
}
