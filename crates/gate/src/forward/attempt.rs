//! Attempts: choosing an endpoint, sending, and deciding what follows a failure.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use agate_model::endpoint::Endpoint;
use agate_model::id::EndpointId;
use agate_model::refusal::Reason;
use agate_retry::decision::{History, Outcome};
use awc::ClientResponse;
use tokio::time::Instant;

use super::cancel::Cancel;
use super::client::{Cause, Outgoing};
use super::headers;
use crate::choice::{self, Flight};
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Pause before an endpoint is looked for again when none has room.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);
/// Media type of streamed answers.
pub const EVENT_STREAM: &str = "text/event-stream";

/// An answer whose head has arrived.
pub struct Answered {
    /// The answer.
    pub response: ClientResponse,
    /// The attempt that brought it.
    pub flight: Flight,
    /// Cancels the request unless it is closed.
    pub cancel: Cancel,
    /// When it was sent.
    pub sent: Instant,
}

impl Answered {
    /// Whether the endpoint streams the answer.
    pub fn is_event_stream(&self) -> bool {
        let value = self.response.headers().get(header::CONTENT_TYPE);
        let text = value.and_then(|it| it.to_str().ok()).unwrap_or_default();
        self.response.status() == StatusCode::OK && text.starts_with(EVENT_STREAM)
    }
}

/// Endpoints tried for one request.
type Tried = Rc<RefCell<Vec<EndpointId>>>;

/// All attempts for one request.
pub struct Attempts {
    gate: Rc<Gate>,
    work: Rc<Work>,
    first: Option<Flight>,
    tried: Tried,
    connects: u32,
    sends: u32,
}

impl Attempts {
    /// No attempt yet. The request counts towards the retry budget of its class.
    pub fn new(gate: Rc<Gate>, work: Rc<Work>, first: Option<Flight>) -> Self {
        gate.budgets.request(&work.class);
        Self {
            gate,
            work,
            first,
            tried: Tried::default(),
            connects: 0,
            sends: 0,
        }
    }

    /// Reserves an endpoint that was not tried. Returns whether there is one.
    pub fn reserve(&mut self) -> bool {
        let choice = self.gate.choice.clone();
        self.first = choice.choose(&self.work, self.work.class.tier, &self.tried.borrow());
        self.first.is_some()
    }

    /// Attempts next to these, for a hedge. They share the endpoints that were tried.
    pub fn beside(&self) -> Self {
        Self {
            gate: self.gate.clone(),
            work: self.work.clone(),
            first: None,
            tried: self.tried.clone(),
            connects: 0,
            sends: 0,
        }
    }

    /// Tries until an endpoint answers or nothing more may be tried.
    pub async fn run(&mut self, mut progress: Progress) -> Result<(Answered, Progress), Refusal> {
        loop {
            let flight = match self.choose().await {
                Ok(flight) => flight,
                Err(denial) => return Err(progress.refuse(denial)),
            };
            let (retry, failed) = match self.attempt(flight, progress).await {
                Ok((answered, sent)) => {
                    if !self.is_worth_retrying(&answered) {
                        return Ok((answered, sent));
                    }
                    // An answer is better than a refusal, so it is kept until a retry is granted.
                    let Ok(wait) = self.next(Outcome::Declined) else {
                        return Ok((answered, sent));
                    };
                    answered.cancel.close();
                    answered.flight.close(choice::Outcome::Failed);
                    self.pause(Retry::Status, wait).await;
                    progress = sent;
                    continue;
                }
                Err((progress, cause)) => (retry(cause), (progress, outcome(cause))),
            };
            let (sent, outcome) = failed;
            progress = self.again(retry, sent, outcome).await?;
        }
    }

    /// Waits for the next attempt after a failed one, if there may be one.
    pub async fn again(
        &mut self,
        retry: Retry,
        progress: Progress,
        outcome: Outcome,
    ) -> Result<Progress, Refusal> {
        match self.next(outcome) {
            Ok(wait) => {
                self.pause(retry, wait).await;
                Ok(progress)
            }
            Err(reason) => Err(progress.refuse(Denial::new(reason, explain(reason, outcome)))),
        }
    }

    async fn pause(&self, retry: Retry, wait: Duration) {
        self.gate.metrics.retried(retry);
        tracing::info!(event = "retry", request = %self.work.id, reason = retry.code());
        tokio::time::sleep(wait).await;
    }

    /// Wait before the next attempt, or the reason for there being none.
    fn next(&self, outcome: Outcome) -> Result<Duration, Reason> {
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

    fn is_worth_retrying(&self, answered: &Answered) -> bool {
        let retryable = matches!(
            answered.response.status(),
            StatusCode::TOO_MANY_REQUESTS
                | StatusCode::BAD_GATEWAY
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::GATEWAY_TIMEOUT
        );
        retryable && self.work.class.idempotent
    }

    /// Chooses an endpoint. Key, configuration and deadline are checked again first.
    async fn choose(&mut self) -> Result<Flight, Denial> {
        self.gate.recheck(&self.work)?;
        let flight = match self.first.take() {
            Some(flight) => flight,
            None => self.choose_again().await?,
        };
        let id = flight.endpoint().id.clone();
        self.tried.borrow_mut().push(id);
        Ok(flight)
    }

    /// Waits until an endpoint has room; those not tried yet come first.
    async fn choose_again(&self) -> Result<Flight, Denial> {
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
            if now + ROOM_INTERVAL >= self.work.deadline || !self.is_served() {
                let message = "no endpoint of this route takes new work";
                return Err(Denial::new(Reason::NoEndpoint, message));
            }
            tokio::time::sleep(ROOM_INTERVAL).await;
            self.gate.recheck(&self.work)?;
        }
    }

    fn is_served(&self) -> bool {
        let view = self.gate.view();
        let mut pools = self.work.route.pools.iter();
        pools.any(|pool| !view.endpoints(pool).is_empty())
    }

    /// Sends the request once.
    async fn attempt(
        &mut self,
        flight: Flight,
        progress: Progress,
    ) -> Result<(Answered, Progress), (Progress, Cause)> {
        let handed = match progress.hand_over() {
            Ok(handed) => handed,
            Err(progress) => return Err((progress, Cause::Broken)),
        };
        let attempt_id = self.attempt_id();
        let now = Instant::now();
        let outgoing = self.outgoing(flight.endpoint(), &attempt_id, now);
        let endpoint = flight.endpoint().clone();
        let cancel = Cancel::new(self.gate.clone(), &self.work, endpoint, attempt_id);
        self.gate.metrics.attempted(&flight.endpoint().id);
        self.gate.load.note(&flight.endpoint().id);
        self.connects += 1;
        match self.gate.client.send(outgoing, handed).await {
            Ok((response, sent)) => {
                self.sends += 1;
                let answered = Answered {
                    response,
                    flight,
                    cancel,
                    sent: now,
                };
                Ok((answered, Progress::Sent(sent)))
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

fn retry(cause: Cause) -> Retry {
    match cause {
        Cause::Unreachable => Retry::Unreachable,
        Cause::Broken => Retry::Broken,
        Cause::Timeout => Retry::Timeout,
    }
}

fn outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Unreachable => Outcome::Unconnected,
        Cause::Broken => Outcome::Failed,
        Cause::Timeout => Outcome::TimedOut,
    }
}

/// A denial after a failed attempt that is not followed by another one.
pub fn denial(outcome: Outcome) -> Denial {
    let reason = outcome.reason();
    Denial::new(reason, explain(reason, outcome))
}

fn explain(reason: Reason, outcome: Outcome) -> &'static str {
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
