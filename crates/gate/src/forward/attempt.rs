//! Attempts: choosing an endpoint, sending, and deciding what follows a failure.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use agate_model::endpoint::Endpoint;
use agate_model::id::EndpointId;
use agate_model::refusal::Reason;
use awc::ClientResponse;
use rand::Rng as _;
use tokio::time::Instant;

use super::cancel::Cancel;
use super::client::{Cause, Outgoing};
use super::headers;
use crate::choice::{Flight, Outcome};
use crate::gate::Gate;
use crate::metrics::Retry;
use crate::refusal::{Denial, Progress, Refusal};
use crate::work::Work;

/// Attempts to connect for one request; they cost endpoints nothing.
const MAX_CONNECTS: u32 = 4;
/// Times that one request is sent.
const MAX_SENDS: u32 = 3;
/// Media type of streamed answers.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Upper bound of the first wait between attempts; it doubles with each.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// An answer whose head has arrived.
pub struct Answered {
    /// The answer.
    pub response: ClientResponse,
    /// The attempt that brought it.
    pub flight: Flight,
    /// Cancels the request unless it is closed.
    pub cancel: Cancel,
    /// Time from sending to the head of the answer.
    pub latency: Duration,
}

impl Answered {
    /// Whether the endpoint streams the answer.
    pub fn is_event_stream(&self) -> bool {
        let value = self.response.headers().get(header::CONTENT_TYPE);
        let text = value.and_then(|it| it.to_str().ok()).unwrap_or_default();
        self.response.status() == StatusCode::OK && text.starts_with(EVENT_STREAM)
    }
}

/// All attempts for one request.
pub struct Attempts {
    gate: Rc<Gate>,
    work: Rc<Work>,
    tried: Vec<EndpointId>,
    connects: u32,
    sends: u32,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(gate: Rc<Gate>, work: Rc<Work>) -> Self {
        Self {
            gate,
            work,
            tried: Vec::new(),
            connects: 0,
            sends: 0,
        }
    }

    /// Tries until an endpoint answers or nothing more may be tried.
    pub async fn run(&mut self, mut progress: Progress) -> Result<(Answered, Progress), Refusal> {
        loop {
            let flight = match self.choose() {
                Ok(flight) => flight,
                Err(denial) => return Err(progress.refuse(denial)),
            };
            let (retry, failed) = match self.attempt(flight, progress).await {
                Ok((answered, progress)) if !self.is_worth_retrying(&answered) => {
                    return Ok((answered, progress));
                }
                Ok((answered, sent)) => {
                    let denial = Denial::new(Reason::EndpointFailed, "the endpoint is overloaded");
                    if !self.may_resend(&sent) {
                        return Ok((answered, sent));
                    }
                    answered.cancel.close();
                    answered.flight.close(Outcome::Failed);
                    (Retry::Status, (sent, denial))
                }
                Err((sent, cause)) => (retry(cause), (sent, denial(cause))),
            };
            progress = self.pause(retry, failed).await?;
        }
    }

    async fn pause(
        &mut self,
        retry: Retry,
        (progress, denial): (Progress, Denial),
    ) -> Result<Progress, Refusal> {
        let allowed = match retry {
            Retry::Unreachable if !progress.is_sent() => self.connects < MAX_CONNECTS,
            _ => self.may_resend(&progress),
        };
        if !allowed {
            return Err(progress.refuse(denial));
        }
        self.gate.metrics.retried(retry);
        tracing::info!(event = "retry", request = %self.work.id, reason = retry.code());
        tokio::time::sleep(self.backoff()).await;
        Ok(progress)
    }

    fn may_resend(&self, progress: &Progress) -> bool {
        if !progress.is_sent() {
            return true;
        }
        self.work.class.idempotent && self.sends < MAX_SENDS
    }

    fn backoff(&self) -> Duration {
        let doublings = (self.connects + self.sends).saturating_sub(1).min(6);
        let bound = BACKOFF_BASE * 2u32.pow(doublings);
        bound.mul_f64(rand::rng().random::<f64>())
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
    pub fn choose(&mut self) -> Result<Flight, Denial> {
        self.gate.recheck(&self.work)?;
        let candidates = self.candidates();
        if candidates.is_empty() {
            let message = "no endpoint of this route takes new work";
            return Err(Denial::new(Reason::NoEndpoint, message));
        }
        let chosen = self.gate.choice.choose(&self.work, &candidates);
        let none = || Denial::new(Reason::NoEndpoint, "no endpoint takes work now");
        let endpoint = chosen.ok_or_else(none)?;
        self.tried.push(endpoint.id.clone());
        Ok(Flight::begin(self.gate.choice.clone(), endpoint))
    }

    /// Endpoints of the first pool that has any, those not tried yet first.
    fn candidates(&self) -> Vec<Rc<Endpoint>> {
        let view = self.gate.view();
        let untried = |it: &&Rc<Endpoint>| !self.tried.contains(&it.id);
        for pool in &self.work.route.pools {
            let fresh: Vec<_> = view
                .endpoints(pool)
                .iter()
                .filter(untried)
                .cloned()
                .collect();
            if !fresh.is_empty() {
                return fresh;
            }
        }
        let pools = &self.work.route.pools;
        pools
            .iter()
            .flat_map(|pool| view.endpoints(pool))
            .cloned()
            .collect()
    }

    /// Sends the request once.
    pub async fn attempt(
        &mut self,
        flight: Flight,
        progress: Progress,
    ) -> Result<(Answered, Progress), (Progress, Cause)> {
        let attempt_id = self.attempt_id();
        let now = Instant::now();
        let outgoing = self.outgoing(flight.endpoint(), &attempt_id, now);
        let endpoint = flight.endpoint().clone();
        let cancel = Cancel::new(self.gate.clone(), &self.work, endpoint, attempt_id);
        self.gate.metrics.attempted(&flight.endpoint().id);
        self.connects += 1;
        match self.gate.client.send(outgoing, progress).await {
            Ok((response, sent)) => {
                self.sends += 1;
                let answered = Answered {
                    response,
                    flight,
                    cancel,
                    latency: now.elapsed(),
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
                flight.close(Outcome::Failed);
                if failure.cause == Cause::Unreachable {
                    cancel.close();
                }
                Err((failure.progress, failure.cause))
            }
        }
    }

    /// Counts a broken answer as a failed sending, and says whether another one is allowed.
    pub async fn again(
        &mut self,
        retry: Retry,
        progress: Progress,
        denial: Denial,
    ) -> Result<Progress, Refusal> {
        self.pause(retry, (progress, denial)).await
    }

    fn attempt_id(&self) -> String {
        match self.connects {
            0 => self.work.id.clone(),
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

fn denial(cause: Cause) -> Denial {
    match cause {
        Cause::Unreachable => Denial::new(
            Reason::EndpointUnreachable,
            "no endpoint accepted a connection",
        ),
        Cause::Broken => Denial::new(
            Reason::EndpointFailed,
            "the endpoint closed the connection without a whole answer",
        ),
        Cause::Timeout => Denial::new(
            Reason::EndpointTimeout,
            "the endpoint did not answer in time",
        ),
    }
}
