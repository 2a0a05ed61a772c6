//! Forwards one request: admission, queueing, attempts at endpoints with retries, and delivery of
//! the response.

mod acquire;
mod admit;
mod delivery;
mod progress;
mod reservation;

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use agate_memory::{Budget as Memory, Listener};
use agate_pick::capacity::Sample;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, timeout_at};

use self::admit::Call;
use self::delivery::{Delivery, Transfer};
use self::progress::Progress;
use self::reservation::Reservation;
use crate::balancer::{Assignment, Criteria, Outcome};
use crate::client::{self, Error, Exchange, Outgoing};
use crate::config::Limits;
use crate::edge::{Edge, InFlight};
use crate::guard;
use crate::interface::Context;
use crate::metrics::{self, count};
use crate::record::Record;
use crate::refusal::{MIN_RETRY_AFTER, Reason, Refusal};
use crate::sabotage::{self, Variant};
use crate::server::{End, Handler, Incoming, ResponseWriter, Unanswered};

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Attempts for one request after which it is refused if the last one sent no byte.
const MAX_ATTEMPTS: u32 = 4;
/// Longest idle time of a pooled connection that carries a request which must not run twice. An
/// endpoint may close an idle connection just as the request is sent, so the limit is short.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(900);
/// Longest idle time of a pooled connection that carries any other request.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// `Retry-After` of a refusal because no configuration is known to be current.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// `Retry-After` of a refusal because the host is stopping: another host can take the request at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// A request with less time than this before its deadline is refused instead of sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Requests that a host may have in flight at one endpoint, as a multiple of an equal share of
/// the endpoint's slots among the hosts.
const MAX_SHARE: f64 = 2.5;
/// Requests that a host may always have in flight at one endpoint.
const MIN_LIMIT: u32 = 3;

/// Handles callers' requests by forwarding them to endpoints.
pub struct Forwarder {
    edge: Rc<Edge>,
}

/// Result of one attempt at an endpoint.
enum Attempt {
    /// The endpoint sent the head of a response; its body is still to be read.
    Responded(Box<(Exchange, ResponseHead)>),
    /// No byte of the request was sent, so it has not run.
    Unsent,
    /// The endpoint states that it has not run the request.
    Declined,
    /// The request was sent without a usable response and may have run.
    Lost,
    /// The deadline passed before the head of the response arrived.
    TimedOut,
}

impl Forwarder {
    /// Creates a forwarder that uses the shared state of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    /// Chooses an endpoint with a free slot for this host; None if there is none.
    fn try_acquire(&self, call: &Call, progress: &Progress) -> Option<Assignment> {
        let hosts = self.edge.sharing_hosts();
        let zone = self.edge.settings.borrow().zone.clone();
        let criteria = Criteria {
            zone: &zone,
            service: &call.service,
            prefix: call.prefix,
            cost: call.cost,
            tokens: call.tokens,
            subset: call.subset,
            hosts,
            excluded: &progress.tried,
        };
        let mut balancer = self.edge.board.borrow_mut();
        let slots = if call.is_engine {
            call.slots
        } else {
            balancer.slots(&call.service)
        };
        let limit = (f64::from(slots) * MAX_SHARE / hosts as f64).ceil() as u32;
        let chosen = balancer.choose(Instant::now(), &criteria, limit.max(MIN_LIMIT));
        drop(balancer);
        self.edge.ask_for_permits();
        chosen
    }

    /// Releases the slot of an attempt, closes the idle connections to an endpoint that this
    /// ejects, and wakes the first request in the queue.
    fn release(&self, call: &Call, assignment: &Assignment, outcome: Outcome) {
        let now = Instant::now();
        let is_ejected = self
            .edge
            .board
            .borrow_mut()
            .finish(now, assignment, outcome);
        if is_ejected {
            tracing::warn!(
                event = "endpoint_left_out",
                endpoint = assignment.endpoint.id,
                request = call.info.id,
                outcome = ?outcome,
            );
            self.edge.pool.borrow_mut().remove(&assignment.endpoint.id);
        }
        self.edge.grant(&call.service);
    }

    /// Records the times of a complete response of a model engine.
    fn observe(&self, assignment: &Assignment, sample: &Sample) {
        let now = Instant::now();
        let has_changed = {
            let mut balancer = self.edge.board.borrow_mut();
            balancer.observe(now, assignment, sample)
        };
        if has_changed {
            self.edge.report_speed(now, &assignment.endpoint.id);
        }
    }

    /// Sends the request to one endpoint and reads the head of its response.
    async fn attempt(
        &self,
        call: &Call,
        reservation: &Reservation<'_>,
        last_event: Option<&str>,
    ) -> Attempt {
        let endpoint = &reservation.assignment().endpoint;
        let max_idle = match call.route.kind.is_retryable() {
            true => MAX_IDLE,
            false => ONCE_MAX_IDLE,
        };
        let idle = self.edge.pool.borrow_mut().take(endpoint, max_idle);
        let is_reused = idle.is_some();
        let stream = match idle {
            Some(stream) => stream,
            None => {
                let remaining = call.deadline.saturating_duration_since(Instant::now());
                self.edge.pool.borrow_mut().count_opened();
                match client::connect(endpoint.address, CONNECT_TIMEOUT.min(remaining)).await {
                    Ok(stream) => stream,
                    Err(err) => return self.attempt_failed(call, reservation, &err, false),
                }
            }
        };
        // The configuration may have changed while the connection was opened.
        if self.recheck(call).is_err() {
            reservation.is_excused.set(true);
            return Attempt::Unsent;
        }
        // The endpoint may have asked for a pause, or its zone may be evacuated, meanwhile.
        let assignment = reservation.assignment();
        if !self.edge.board.borrow().is_open(Instant::now(), assignment) {
            reservation.is_excused.set(true);
            return Attempt::Unsent;
        }
        let dialect = &self.edge.remote.dialect;
        let head = call.incoming.request.head();
        let mark = Context {
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            endpoint: &endpoint.id,
            account: call.account.as_ref().map(|account| &account.id),
            tier: call.is_engine.then_some(call.tier),
            last_event,
        };
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let outgoing = Outgoing {
            method: head.method.clone(),
            target: target.to_owned(),
            headers: dialect.endpoint_headers(&head.headers, &mark),
            body: call.incoming.body.clone(),
        };
        let is_own = |head: &ResponseHead| {
            let reply = dialect.response(head);
            match reply.request {
                Some(id) => id == call.info.id || sabotage::is(Variant::AnyAnswer),
                None => !reply.signed && !head.status.is_success(),
            }
        };
        let sent_at = Instant::now();
        let exchange = Exchange::start(stream, outgoing, &is_own);
        match timeout_at(call.deadline, exchange).await {
            Err(_) => Attempt::TimedOut,
            Ok(Err(err)) => self.attempt_failed(call, reservation, &err, false),
            Ok(Ok((exchange, head))) => {
                let reply = dialect.response(&head);
                let edge = &self.edge;
                let is_paused = edge.heed(&call.info.id, assignment, head.status, &reply);
                reservation.is_excused.set(is_paused);
                edge.observe_limit(&call.info.id, assignment, sent_at, &reply);
                // It may be a response to an earlier request, which says nothing of this one.
                if is_reused && reply.request.is_none() {
                    let error = Error::Malformed("no request id on a kept connection".to_owned());
                    return self.attempt_failed(call, reservation, &error, false);
                }
                if reply.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
                    exchange.close(&mut self.edge.pool.borrow_mut(), endpoint);
                    return Attempt::Declined;
                }
                self.edge.count_usage(mark.account);
                if head.status.is_success() && !reply.signed {
                    let error = Error::Malformed("a success without signature".to_owned());
                    return self.attempt_failed(call, reservation, &error, false);
                }
                if means_not_run(head.status) && !reply.signed {
                    tracing::warn!(
                        event = "promise_unsigned",
                        request = call.info.id,
                        endpoint = endpoint.id,
                        status = head.status.as_u16(),
                    );
                    return Attempt::Lost;
                }
                Attempt::Responded(Box::new((exchange, head)))
            }
        }
    }

    /// Logs a failed exchange and returns what it means for the request. `is_answering` tells whether
    /// the endpoint had answered for long enough that the request can't have crashed it.
    fn attempt_failed(
        &self,
        call: &Call,
        reservation: &Reservation<'_>,
        error: &Error,
        is_answering: bool,
    ) -> Attempt {
        tracing::info!(
            event = "attempt_failed",
            request = call.info.id,
            endpoint = reservation.assignment().endpoint.id,
            error = %error,
            is_answering,
            parts = guard::hex_list(call.parts.iter()),
        );
        if let Error::Endless { part, .. } = error {
            count(&self.edge.metrics.endless, part);
        }
        let is_closed =
            matches!(error, Error::Interrupted(err) if err.kind() != ErrorKind::TimedOut);
        if is_closed && !is_answering {
            let endpoint = &reservation.assignment().endpoint;
            self.edge.record_loss(&call.info.id, endpoint, &call.parts);
        }
        match error {
            Error::Unsent(_) => Attempt::Unsent,
            Error::Interrupted(_) | Error::Malformed(_) | Error::Endless { .. } => Attempt::Lost,
        }
    }

    /// Forwards a request. If the process is about to end, the request is given up, so that its caller
    /// gets a final response in place of a closed connection.
    async fn forward_until_stop(
        &self,
        call: &Call,
        writer: &mut ResponseWriter<'_>,
        record: &mut Record,
    ) -> Result<End, Refusal> {
        let end = tokio::select! {
            biased;
            end = self.forward(call, writer, record) => Some(end),
            () = self.edge.wait_last_response() => None,
        };
        match end {
            Some(end) => end,
            None if record.has_attempts() => Err(Refusal::new(Reason::TimedOut)),
            None => Err(Refusal::retry_after(Reason::Leaving, LEAVING_RETRY_AFTER)),
        }
    }

    /// Makes attempts until one is delivered or no further attempt is allowed.
    async fn forward(
        &self,
        call: &Call,
        writer: &mut ResponseWriter<'_>,
        record: &mut Record,
    ) -> Result<End, Refusal> {
        let mut progress = Progress::default();
        let mut delivery = Delivery::new(call);
        loop {
            self.recheck(call)
                .map_err(|refusal| progress.adjust(refusal))?;
            let remaining = call.deadline.saturating_duration_since(Instant::now());
            if remaining < MIN_TIME_LEFT {
                return Err(progress.adjust(Refusal::new(Reason::TooLate)));
            }
            let acquired = self.acquire(call, &progress, record).await;
            let acquired = acquired.map_err(|refusal| progress.adjust(refusal))?;
            let reservation = Reservation::new(self, call, acquired);
            let started = Instant::now();
            let is_limited = {
                let board = self.edge.board.borrow();
                board.is_limited(reservation.assignment().incarnation())
            };
            record.add_attempt(&reservation.assignment().endpoint, is_limited);
            let id = reservation.assignment().endpoint.id.clone();
            let attempt = self
                .attempt(call, &reservation, delivery.last_event())
                .await;
            progress.record(id, &attempt);
            match attempt {
                Attempt::Responded(response) => {
                    let (exchange, head) = *response;
                    let is_failure = head.status.is_server_error();
                    if head.status.is_success() {
                        let queue = self.edge.queue(&call.service);
                        queue.observe(&call.demand(), started.elapsed());
                    }
                    if is_failure && self.may_retry(call, &progress, "status") {
                        reservation.close(Outcome::Failed);
                        continue;
                    }
                    let transfer = delivery
                        .transfer(self, call, exchange, head, &reservation, writer, record)
                        .await;
                    match transfer {
                        Transfer::Complete => {
                            reservation.close(if is_failure {
                                Outcome::Failed
                            } else {
                                Outcome::Answered
                            });
                            return Ok(End::Complete);
                        }
                        Transfer::CallerClosed => return Ok(End::Aborted),
                        Transfer::TimedOut => {
                            reservation.close(Outcome::Abandoned);
                            record.outcome = Reason::TimedOut.code();
                        }
                        Transfer::EndpointFailed => {
                            reservation.close(Outcome::Failed);
                            if delivery.can_resume() && self.may_retry(call, &progress, "broken") {
                                continue;
                            }
                            record.outcome = "endpoint_broke";
                        }
                    }
                    if writer.is_started() {
                        return Ok(End::Aborted);
                    }
                    let reason = match record.outcome {
                        "endpoint_broke" => Reason::EndpointFailed,
                        _ => Reason::TimedOut,
                    };
                    return Err(Refusal::new(reason));
                }
                Attempt::Unsent => {
                    reservation.close(Outcome::Unreached);
                    if progress.attempts >= MAX_ATTEMPTS {
                        let refusal = Refusal::retry_after(Reason::NoEndpoint, MIN_RETRY_AFTER);
                        return Err(progress.adjust(refusal));
                    }
                    count(&self.edge.metrics.retries, "unreached");
                }
                Attempt::Declined => {
                    reservation.close(Outcome::Full);
                    if !self.may_retry(call, &progress, "declined") {
                        let refusal =
                            Refusal::retry_after(Reason::Declined, self.queue_retry_after(call));
                        return Err(progress.adjust(refusal));
                    }
                }
                Attempt::Lost => {
                    reservation.close(Outcome::Failed);
                    let is_retryable = self.is_retryable(call);
                    if !is_retryable || !self.may_retry(call, &progress, "lost") {
                        if writer.is_started() {
                            return Ok(End::Aborted);
                        }
                        let reason = match sabotage::is(Variant::FalseRefusal) {
                            true => Reason::Declined,
                            false => Reason::EndpointFailed,
                        };
                        return Err(Refusal::new(reason));
                    }
                }
                Attempt::TimedOut => {
                    reservation.close(Outcome::Failed);
                    if writer.is_started() {
                        return Ok(End::Aborted);
                    }
                    return Err(Refusal::new(Reason::TimedOut));
                }
            }
            if writer.is_started() && !delivery.can_resume() {
                return Ok(End::Aborted);
            }
        }
    }

    /// Returns whether the route allows a retry after an attempt that may have run the request.
    fn is_retryable(&self, call: &Call) -> bool {
        call.route.kind.is_retryable() || sabotage::is(Variant::RepeatOnce)
    }

    /// Returns whether another endpoint may be tried after one that may have received the
    /// request, and takes the retry from the service's budget. `reason` labels the retry in logs
    /// and metrics.
    fn may_retry(&self, call: &Call, progress: &Progress, reason: &'static str) -> bool {
        let is_allowed = self.is_retryable(call) || !progress.may_have_run;
        let has_attempts = progress.sends < call.route.attempts
            || sabotage::is(Variant::RepeatOnce) && progress.sends < 2;
        let is_retried = is_allowed && has_attempts && self.edge.may_retry(&call.service);
        if is_retried {
            count(&self.edge.metrics.retries, reason);
            tracing::info!(
                event = "repeat",
                request = call.info.id,
                why = reason,
                sends = progress.sends
            );
        }
        is_retried
    }
}

/// Returns whether a status states that the request has not run.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl Handler for Forwarder {
    fn handle<'a>(
        &'a self,
        incoming: Incoming,
        writer: &'a mut ResponseWriter<'_>,
    ) -> LocalBoxFuture<'a, End> {
        Box::pin(async move {
            let mut record = Record::new(self.edge.clone(), incoming.arrival);
            let end = match self.admit(incoming, &mut record) {
                Ok(call) => self.forward_until_stop(&call, writer, &mut record).await,
                Err(refusal) => Err(refusal),
            };
            match end {
                Ok(End::Complete) => {
                    let status = StatusCode::from_u16(record.status).unwrap_or_default();
                    record.outcome = metrics::response_outcome(status);
                    End::Complete
                }
                Ok(End::Aborted) => End::Aborted,
                Err(refusal) if writer.is_started() => {
                    // The head of the stream is already written, so no refusal can follow it.
                    record.outcome = refusal.reason.code();
                    End::Aborted
                }
                Err(refusal) => {
                    let status = refusal.reason.status();
                    record.status = status.as_u16();
                    record.outcome = refusal.reason.code();
                    record.retry_after = refusal.retry_after;
                    let headers = refusal.headers();
                    match writer.send(status, headers, Bytes::new()).await {
                        Ok(()) => End::Complete,
                        Err(_) => End::Aborted,
                    }
                }
            }
        })
    }

    fn limits(&self) -> Limits {
        self.edge
            .config()
            .map_or_else(Limits::default, |config| config.limits)
    }

    fn memory(&self) -> Rc<Memory> {
        self.edge.memory.clone()
    }

    fn listener(&self) -> Listener {
        Listener::Callers
    }

    fn is_closing(&self) -> bool {
        self.edge.is_leaving()
    }

    fn closing(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(self.edge.wait_idle_end())
    }

    fn last_call(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(self.edge.wait_last_response())
    }

    fn track(&self) -> Option<InFlight> {
        Some(self.edge.track_request())
    }

    fn rejected(&self, status: StatusCode, fault: &str) {
        let reason = match status {
            StatusCode::SERVICE_UNAVAILABLE if self.edge.is_leaving() => Reason::Leaving,
            StatusCode::SERVICE_UNAVAILABLE => Reason::NoMemory,
            _ => Reason::Malformed,
        };
        count(&self.edge.metrics.requests, reason.code());
        tracing::info!(
            event = "request_unreadable",
            status = status.as_u16(),
            fault
        );
    }

    fn unanswered(&self, what: Unanswered) {
        count(&self.edge.metrics.unanswered, what.code());
        if what == Unanswered::Partial {
            tracing::warn!(event = "request_incomplete", reason = "the process ends");
        }
    }
}
