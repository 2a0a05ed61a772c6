//! Attempts: selects an endpoint, sends the request, and decides whether to retry a failure.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use agate_model::endpoint::Endpoint;
use agate_model::id::EndpointId;
use agate_model::refusal::Reason;
use agate_notice::retry_after;
use agate_retry::decision::{History, Outcome};
use awc::ClientResponse;
use tokio::time::Instant;

use super::cancel::Cancel;
use super::client::{Cause, Outgoing};
use super::headers;
use crate::choice::{self, Flight};
use crate::gate::Gate;
use crate::limits;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Wait between two searches for an endpoint while none has room.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);
/// Media type of streamed responses.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A response whose head has been received, and the attempt that it belongs to.
pub struct Exchange {
    /// Response with a body that has not been read.
    pub response: ClientResponse,
    /// Attempt in flight, closed with its outcome once the body has been read.
    pub flight: Flight,
    /// Cancels the request on the engine unless it is closed.
    pub cancel: Cancel,
    /// When the attempt was started.
    pub started: Instant,
}

impl Exchange {
    /// Returns whether the response is a successful event stream.
    pub fn is_event_stream(&self) -> bool {
        let value = self.response.headers().get(header::CONTENT_TYPE);
        let text = value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        self.response.status() == StatusCode::OK && text.starts_with(EVENT_STREAM)
    }
}

/// Endpoints that attempts of one request have used, shared with its hedge.
type Tried = Rc<RefCell<Vec<EndpointId>>>;

/// State of the attempts for one request: endpoints used, connections tried and requests sent.
pub struct Attempts {
    gate: Rc<Gate>,
    work: Rc<Work>,
    reserved: Option<Flight>,
    tried: Tried,
    connects: u32,
    sends: u32,
}

impl Attempts {
    /// Starts without an attempt and counts the request towards the retry budget of its class. The
    /// first attempt uses the endpoint of `reserved` if there is one.
    pub fn new(gate: Rc<Gate>, work: Rc<Work>, reserved: Option<Flight>) -> Self {
        gate.budgets.request(&work.class);
        Self {
            gate,
            work,
            reserved,
            tried: Tried::default(),
            connects: 0,
            sends: 0,
        }
    }

    /// Reserves an endpoint that no attempt has used. Returns whether there is one.
    pub fn reserve(&mut self) -> bool {
        let choice = self.gate.choice.clone();
        self.reserved = choice.choose(&self.work, self.work.class.tier, &self.tried.borrow());
        self.reserved.is_some()
    }

    /// Creates the attempts of a hedge, which share the list of endpoints already used.
    pub fn for_hedge(&self) -> Self {
        Self {
            gate: self.gate.clone(),
            work: self.work.clone(),
            reserved: None,
            tried: self.tried.clone(),
            connects: 0,
            sends: 0,
        }
    }

    /// Makes attempts until an endpoint responds or no further attempt is allowed.
    pub async fn run(&mut self, mut progress: Progress) -> Result<(Exchange, Progress), Refusal> {
        loop {
            let flight = match self.choose().await {
                Ok(flight) => flight,
                Err(denial) => return Err(progress.refuse(denial)),
            };
            let (retry, failure) = match self.attempt(flight, progress).await {
                Ok((exchange, sent)) => {
                    if !self.is_worth_retrying(&exchange) {
                        return Ok((exchange, sent));
                    }
                    // A response is better for the caller than a refusal, so it is kept unless a
                    // retry is allowed.
                    let Ok(wait) = self.next_wait(Outcome::Declined) else {
                        return Ok((exchange, sent));
                    };
                    exchange.cancel.close();
                    exchange.flight.close(choice::Outcome::Failed);
                    self.pause(Retry::Status, wait).await;
                    progress = sent;
                    continue;
                }
                Err((progress, cause)) => (retry_reason(cause), (progress, failure_outcome(cause))),
            };
            let (sent, outcome) = failure;
            progress = self.prepare_retry(retry, sent, outcome).await?;
        }
    }

    /// Waits until the next attempt after a failed one may start, or refuses the request if no
    /// retry is allowed.
    pub async fn prepare_retry(
        &mut self,
        retry: Retry,
        progress: Progress,
        outcome: Outcome,
    ) -> Result<Progress, Refusal> {
        match self.next_wait(outcome) {
            Ok(wait) => {
                self.pause(retry, wait).await;
                Ok(progress)
            }
            Err(reason) => {
                Err(progress.refuse(Denial::new(reason, denial_message(reason, outcome))))
            }
        }
    }

    async fn pause(&self, retry: Retry, wait: Duration) {
        self.gate.metrics.retried(retry);
        tracing::info!(event = "retry", request = %self.work.id, reason = retry.code());
        tokio::time::sleep(wait).await;
    }

    /// Returns the wait before the next attempt, or the reason why no attempt follows.
    fn next_wait(&self, outcome: Outcome) -> Result<Duration, Reason> {
        let history = History {
            idempotent: self.work.class.idempotent,
            resumable: false,
            connects: self.connects,
            sends: self.sends,
            resumes: 0,
            deadline: self.work.deadline.into_std(),
            min_execution: Duration::ZERO,
        };
        self.gate.budgets.next(&self.work.class, outcome, &history)
    }

    fn is_worth_retrying(&self, exchange: &Exchange) -> bool {
        let retryable = matches!(
            exchange.response.status(),
            StatusCode::TOO_MANY_REQUESTS
                | StatusCode::BAD_GATEWAY
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::GATEWAY_TIMEOUT
        );
        retryable && self.work.class.idempotent
    }

    /// Selects an endpoint, after checking key, configuration and deadline again.
    async fn choose(&mut self) -> Result<Flight, Denial> {
        self.gate.recheck(&self.work)?;
        let reserved = self.reserved.take();
        let flight = match reserved.filter(Flight::may_be_sent) {
            Some(flight) => flight,
            None => self.choose_for_retry().await?,
        };
        let id = flight.endpoint().id.clone();
        self.tried.borrow_mut().push(id);
        Ok(flight)
    }

    /// Waits until an endpoint has room, and prefers one that no attempt has used.
    async fn choose_for_retry(&self) -> Result<Flight, Denial> {
        loop {
            let choice = &self.gate.choice;
            let tier = self.work.class.tier;
            let untried = choice
                .clone()
                .choose(&self.work, tier, &self.tried.borrow());
            let found = untried.or_else(|| choice.clone().choose(&self.work, tier, &[]));
            if let Some(flight) = found {
                return Ok(flight);
            }
            let now = Instant::now();
            if now + ROOM_INTERVAL >= self.work.deadline || !self.has_endpoint() {
                let message = "no endpoint of this route takes new work";
                return Err(Denial::new(Reason::NoEndpoint, message));
            }
            tokio::time::sleep(ROOM_INTERVAL).await;
            self.gate.recheck(&self.work)?;
        }
    }

    fn has_endpoint(&self) -> bool {
        let view = self.gate.view();
        let mut pools = self.work.route.pools.iter();
        pools.any(|pool| !view.endpoints(pool).is_empty())
    }

    /// Sends the request once, on the endpoint of `flight`.
    async fn attempt(
        &mut self,
        flight: Flight,
        progress: Progress,
    ) -> Result<(Exchange, Progress), (Progress, Cause)> {
        let permit = match progress.permit_send() {
            Ok(permit) => permit,
            Err(progress) => return Err((progress, Cause::Broken)),
        };
        let attempt_id = self.attempt_id();
        let now = Instant::now();
        let outgoing = self.outgoing(flight.endpoint(), &attempt_id, now);
        let endpoint = flight.endpoint().clone();
        let cancel = Cancel::new(self.gate.clone(), &self.work, endpoint, attempt_id);
        self.gate.metrics.attempted(&flight.endpoint().id);
        self.gate.load.record_attempt(&flight.endpoint().id);
        self.connects += 1;
        match self.gate.client.send(outgoing, permit).await {
            Ok((response, sent)) => {
                self.sends += 1;
                let mention = limits::mention(&response);
                let choice = &self.gate.choice;
                choice.observe_limit(&flight.endpoint().id, mention, now);
                if let Some(wait) = pause(&response) {
                    self.gate.choice.clone().pause(&flight.endpoint().id, wait);
                }
                let exchange = Exchange {
                    response,
                    flight,
                    cancel,
                    started: now,
                };
                Ok((exchange, Progress::Sent(sent)))
            }
            Err(failure) => {
                if failure.cause != Cause::Unreachable {
                    self.sends += 1;
                }
                tracing::info!(
                    event = "attempt_failed",
                    request = %self.work.id,
                    endpoint = %flight.endpoint().id,
                    cause = ?failure.cause,
                );
                flight.close(choice::Outcome::Failed);
                if failure.cause == Cause::Unreachable {
                    cancel.close();
                }
                Err((failure.progress, failure.cause))
            }
        }
    }

    fn attempt_id(&self) -> String {
        match self.tried.borrow().len() {
            0 | 1 => self.work.id.clone(),
            count => format!("{}-{count}", self.work.id),
        }
    }

    fn outgoing(&self, endpoint: &Endpoint, attempt_id: &str, now: Instant) -> Outgoing {
        Outgoing {
            address: endpoint.address,
            method: self.work.method.clone(),
            target: self.work.target.clone(),
            headers: headers::outgoing(&self.work, endpoint, attempt_id, now),
            body: self.work.body.clone(),
            timeout: self.work.remaining(now),
            reuse: self.work.class.idempotent,
        }
    }
}

/// Returns how long an endpoint asks to be left alone; `None` if it does not ask.
fn pause(response: &ClientResponse) -> Option<Duration> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = |name| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    let wait = retry_after::parse(text(header::RETRY_AFTER)?, text(header::DATE));
    let wait = wait.inspect_err(|err| tracing::debug!(event = "notice_malformed", error = %err));
    wait.ok().filter(|wait| !wait.is_zero())
}

fn retry_reason(cause: Cause) -> Retry {
    match cause {
        Cause::Unreachable => Retry::Unreachable,
        Cause::Broken => Retry::Broken,
        Cause::Timeout => Retry::Timeout,
    }
}

fn failure_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Unreachable => Outcome::Unconnected,
        Cause::Broken => Outcome::Failed,
        Cause::Timeout => Outcome::TimedOut,
    }
}

/// Returns the denial for a failed attempt that is not retried.
pub fn denial(outcome: Outcome) -> Denial {
    let reason = outcome.reason();
    Denial::new(reason, denial_message(reason, outcome))
}

fn denial_message(reason: Reason, outcome: Outcome) -> &'static str {
    match (reason, outcome) {
        (Reason::RetryBudget, _) => "the attempt failed and the retry budget of the class is spent",
        (Reason::DeadlineUnreachable, _) => {
            "no connection was made, and no time is left for another"
        }
        (_, Outcome::Unconnected) => "no endpoint accepted a connection",
        (_, Outcome::TimedOut) => "the endpoint did not answer in time",
        _ => "the endpoint failed before its answer was whole",
    }
}
