//! The way of one request: to its route, into line, to endpoints, and back.

mod admit;
mod passage;
mod progress;

use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, timeout_at};

use self::admit::Work;
use self::passage::{Passage, Passed};
use self::progress::Progress;
use crate::channel::{self, Error, Exchange, Outgoing};
use crate::config::Limits;
use crate::edge::Edge;
use crate::front::{Answer, End, Handler, Incoming};
use crate::interface::Context;
use crate::metrics::{self, count};
use crate::place::{Outcome, Ticket, Wish};
use crate::record::Record;
use crate::refusal::{Reason, Refusal};
use crate::sabotage::{self, Variant};

/// Longest time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Connections that are tried for one request before it is refused.
const CONNECTS: u32 = 4;
/// A request that may not run twice uses only connections that were in use this recently, since
/// an endpoint may close an idle one at the moment at which the request is sent.
const UNREPEATABLE_FRESHNESS: Duration = Duration::from_millis(900);
/// Age up to which other requests use idle connections.
const FRESHNESS: Duration = Duration::from_secs(3);
/// Wait that is named to callers while the configuration can't be shown to be current.
const STALE_WAIT: Duration = Duration::from_millis(1000);
/// Wait that is named to callers of a service without an endpoint.
const NO_ENDPOINT_WAIT: Duration = Duration::from_millis(800);
/// Shortest wait that is named to callers of a busy service.
const BUSY_WAIT: Duration = Duration::from_millis(250);
/// A request with less time left than this is not sent any more.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Part of the requests of one endpoint that a host may hold, relative to an equal share.
const SHARE: f64 = 2.5;
/// Requests that a host may always hold at one endpoint.
const LEAST_SHARE: u32 = 3;

/// Forwards requests of callers.
pub struct Forwarder {
    edge: Rc<Edge>,
}

/// What an attempt brought.
enum Attempt {
    /// The head of an answer.
    Answered(Box<(Exchange, ResponseHead)>),
    /// No byte was sent.
    Unsent,
    /// The endpoint states that it has not run the request.
    Declined,
    /// The request may have run.
    Lost,
    /// The time ran out.
    TimedOut,
}

impl Forwarder {
    /// Forwards with the state of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    /// Chooses an endpoint, after waiting in line if all are taken.
    async fn place(
        &self,
        work: &Work,
        progress: &Progress,
        record: &mut Record,
    ) -> Result<Ticket, Refusal> {
        let line = self.edge.queue(&work.service);
        let is_first = progress.sends == 0;
        if (!is_first || !line.is_behind(work.tier))
            && let Some(ticket) = self.choose(work, progress)
        {
            return Ok(ticket);
        }
        let until = work
            .deadline
            .min(work.incoming.arrival + work.route.target / 2);
        let spot = line.join(work.tier);
        record.waited = true;
        loop {
            if timeout_at(until, spot.called()).await.is_err() {
                let board = self.edge.board.borrow();
                let reason = match board.ready_count(&work.service) {
                    0 => Refusal::retry(Reason::NoEndpoint, NO_ENDPOINT_WAIT),
                    _ => Refusal::retry(Reason::Full, self.busy_wait(work)),
                };
                return Err(reason);
            }
            if let Some(ticket) = self.choose(work, progress) {
                return Ok(ticket);
            }
        }
    }

    /// Time in which the line before a service will probably have moved on.
    fn busy_wait(&self, work: &Work) -> Duration {
        let ahead = self.edge.queue(&work.service).len() as u32;
        let (running, _) = self.edge.board.borrow().running(&work.service);
        let turn = work.route.target / 2;
        BUSY_WAIT + turn * ahead / running.max(1)
    }

    fn choose(&self, work: &Work, progress: &Progress) -> Option<Ticket> {
        let hosts = self.edge.sharing_hosts();
        let zone = self.edge.settings.borrow().zone.clone();
        let wish = Wish {
            zone: &zone,
            service: &work.service,
            prefix: work.prefix,
            work: work.cost,
            lane: work.lane,
            hosts,
            excluded: &progress.tried,
        };
        let mut board = self.edge.board.borrow_mut();
        let slots = if work.is_engine {
            work.slots
        } else {
            board.slots(&work.service)
        };
        let share = (f64::from(slots) * SHARE / hosts as f64).ceil() as u32;
        board.choose(Instant::now(), &wish, share.max(LEAST_SHARE))
    }

    fn finish(&self, work: &Work, ticket: &Ticket, outcome: Outcome) {
        let now = Instant::now();
        let is_out = self.edge.board.borrow_mut().finish(now, ticket, outcome);
        if is_out {
            tracing::warn!(
                event = "endpoint_left_out",
                endpoint = ticket.endpoint.id,
                request = work.ask.id,
                outcome = ?outcome,
            );
            self.edge.pool.borrow_mut().forget(&ticket.endpoint.id);
        }
        self.edge.queue(&work.service).call();
    }

    /// Sends a request to one endpoint and reads the head of its answer.
    async fn attempt(&self, work: &Work, held: &Held<'_>, last_event: Option<&str>) -> Attempt {
        let endpoint = &held.ticket().endpoint;
        let freshness = match work.route.kind.is_retryable() {
            true => FRESHNESS,
            false => UNREPEATABLE_FRESHNESS,
        };
        let idle = self.edge.pool.borrow_mut().take(endpoint, freshness);
        let stream = match idle {
            Some(stream) => stream,
            None => {
                let left = work.deadline.saturating_duration_since(Instant::now());
                self.edge.pool.borrow_mut().count_opened();
                match channel::connect(endpoint.address, CONNECT_TIMEOUT.min(left)).await {
                    Ok(stream) => stream,
                    Err(err) => return self.failed(work, held, &err),
                }
            }
        };
        // Time has passed while the connection was opened.
        if self.recheck(work).is_err() {
            return Attempt::Unsent;
        }
        let dialect = &self.edge.remote.dialect;
        let head = work.incoming.request.head();
        let mark = Context {
            time_left: work.deadline.saturating_duration_since(Instant::now()),
            endpoint: &endpoint.id,
            account: work.account.as_ref().map(|it| &it.id),
            tier: work.is_engine.then_some(work.tier),
            last_event,
        };
        let target = head.uri.path_and_query().map_or("/", |it| it.as_str());
        let outgoing = Outgoing {
            method: head.method.clone(),
            target: target.to_owned(),
            headers: dialect.endpoint_headers(&head.headers, &mark),
            body: work.incoming.body.clone(),
        };
        let is_own = |head: &ResponseHead| {
            let reply = dialect.response(head);
            match reply.request {
                Some(id) => id == work.ask.id || sabotage::is(Variant::AnyAnswer),
                None => !reply.signed && !head.status.is_success(),
            }
        };
        let exchange = Exchange::start(stream, outgoing, &is_own);
        match timeout_at(work.deadline, exchange).await {
            Err(_) => Attempt::TimedOut,
            Ok(Err(err)) => self.failed(work, held, &err),
            Ok(Ok((exchange, head))) => {
                let reply = dialect.response(&head);
                if reply.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
                    exchange.close(&mut self.edge.pool.borrow_mut(), endpoint);
                    return Attempt::Declined;
                }
                self.edge.count_usage(mark.account);
                if promises(head.status) && !reply.signed {
                    tracing::warn!(
                        event = "promise_unsigned",
                        request = work.ask.id,
                        endpoint = endpoint.id,
                        status = head.status.as_u16(),
                    );
                    return Attempt::Lost;
                }
                Attempt::Answered(Box::new((exchange, head)))
            }
        }
    }

    fn failed(&self, work: &Work, held: &Held<'_>, error: &Error) -> Attempt {
        tracing::info!(
            event = "attempt_failed",
            request = work.ask.id,
            endpoint = held.ticket().endpoint.id,
            error = %error,
        );
        match error {
            Error::Unsent(_) => Attempt::Unsent,
            Error::Cut(_) | Error::Malformed(_) => Attempt::Lost,
        }
    }

    /// Attempts until there is an answer, or none may follow.
    async fn run(
        &self,
        work: &Work,
        answer: &mut Answer<'_>,
        record: &mut Record,
    ) -> Result<End, Refusal> {
        let mut progress = Progress::default();
        let mut passage = Passage::new(work);
        loop {
            self.recheck(work)
                .map_err(|refusal| progress.refuse(refusal))?;
            let left = work.deadline.saturating_duration_since(Instant::now());
            if left < LEAST_TIME {
                return Err(progress.refuse(Refusal::new(Reason::TooLate)));
            }
            let placed = self.place(work, &progress, record).await;
            let ticket = placed.map_err(|refusal| progress.refuse(refusal))?;
            let held = Held::new(self, work, ticket);
            record.attempt(&held.ticket().endpoint);
            let id = held.ticket().endpoint.id.clone();
            let attempt = self.attempt(work, &held, passage.last_event()).await;
            progress.note(id, &attempt);
            match attempt {
                Attempt::Answered(it) => {
                    let (exchange, head) = *it;
                    let is_failure = head.status.is_server_error();
                    if is_failure && self.may_go_on(work, &progress, "status") {
                        held.close(Outcome::Failed);
                        continue;
                    }
                    let passed = passage
                        .pass(self, work, exchange, head, &held, answer, record)
                        .await;
                    match passed {
                        Passed::Whole => {
                            held.close(if is_failure {
                                Outcome::Failed
                            } else {
                                Outcome::Answered
                            });
                            return Ok(End::Whole);
                        }
                        Passed::CallerBroke => return Ok(End::Broken),
                        Passed::TimedOut => {
                            held.close(Outcome::Abandoned);
                            record.outcome = Reason::TimedOut.code();
                        }
                        Passed::EndpointBroke => {
                            held.close(Outcome::Failed);
                            if passage.may_go_on() && self.may_go_on(work, &progress, "broken") {
                                continue;
                            }
                            record.outcome = "endpoint_broke";
                        }
                    }
                    if answer.is_begun() {
                        return Ok(End::Broken);
                    }
                    let reason = match record.outcome {
                        "endpoint_broke" => Reason::EndpointFailed,
                        _ => Reason::TimedOut,
                    };
                    return Err(Refusal::new(reason));
                }
                Attempt::Unsent => {
                    held.close(Outcome::Unreached);
                    if progress.connects >= CONNECTS {
                        let refusal = Refusal::retry(Reason::NoEndpoint, BUSY_WAIT);
                        return Err(progress.refuse(refusal));
                    }
                    count(&self.edge.metrics.retries, "unreached");
                }
                Attempt::Declined => {
                    held.close(Outcome::Full);
                    if !self.may_go_on(work, &progress, "declined") {
                        let refusal = Refusal::retry(Reason::Declined, self.busy_wait(work));
                        return Err(progress.refuse(refusal));
                    }
                }
                Attempt::Lost => {
                    held.close(Outcome::Failed);
                    let may = self.is_repeatable(work);
                    if !may || !self.may_go_on(work, &progress, "lost") {
                        if answer.is_begun() {
                            return Ok(End::Broken);
                        }
                        let reason = match sabotage::is(Variant::FalseRefusal) {
                            true => Reason::Declined,
                            false => Reason::EndpointFailed,
                        };
                        return Err(Refusal::new(reason));
                    }
                }
                Attempt::TimedOut => {
                    held.close(Outcome::Failed);
                    if answer.is_begun() {
                        return Ok(End::Broken);
                    }
                    return Err(Refusal::new(Reason::TimedOut));
                }
            }
            if answer.is_begun() && !passage.may_go_on() {
                return Ok(End::Broken);
            }
        }
    }

    fn is_repeatable(&self, work: &Work) -> bool {
        work.route.kind.is_retryable() || sabotage::is(Variant::RepeatOnce)
    }

    /// Whether another endpoint may be tried after one that may have got the request.
    fn may_go_on(&self, work: &Work, progress: &Progress, why: &'static str) -> bool {
        let kind_allows = self.is_repeatable(work) || !progress.may_have_run;
        let is_left = progress.sends < work.route.attempts
            || sabotage::is(Variant::RepeatOnce) && progress.sends < 2;
        let may = kind_allows && is_left && self.edge.may_retry(&work.service);
        if may {
            count(&self.edge.metrics.retries, why);
            tracing::info!(
                event = "repeat",
                request = work.ask.id,
                why,
                sends = progress.sends
            );
        }
        may
    }
}

/// Whether a status states that the request has not run.
fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A place at an endpoint; dropping it counts as abandoned by the caller.
struct Held<'a> {
    forwarder: &'a Forwarder,
    work: &'a Work,
    ticket: Ticket,
    outcome: Outcome,
}

impl<'a> Held<'a> {
    fn new(forwarder: &'a Forwarder, work: &'a Work, ticket: Ticket) -> Self {
        Self {
            forwarder,
            work,
            ticket,
            outcome: Outcome::Abandoned,
        }
    }

    fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    fn close(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let edge = &self.forwarder.edge;
        let outcome = match self.outcome {
            Outcome::Answered => "answered",
            Outcome::Failed => "failed",
            Outcome::Unreached => "unreached",
            Outcome::Full => "full",
            Outcome::Abandoned => "abandoned",
        };
        count(&edge.metrics.attempts, outcome);
        self.forwarder.finish(self.work, &self.ticket, self.outcome);
    }
}

impl Handler for Forwarder {
    fn handle<'a>(
        &'a self,
        incoming: Incoming,
        answer: &'a mut Answer<'_>,
    ) -> LocalBoxFuture<'a, End> {
        Box::pin(async move {
            let _running = self.edge.track_request();
            let mut record = Record::new(self.edge.clone(), incoming.arrival);
            let ended = match self.accept(incoming, &mut record) {
                Ok(work) => self.run(&work, answer, &mut record).await,
                Err(refusal) => Err(refusal),
            };
            match ended {
                Ok(End::Whole) => {
                    let status = StatusCode::from_u16(record.status).unwrap_or_default();
                    record.outcome = metrics::response_outcome(status);
                    End::Whole
                }
                Ok(End::Broken) => End::Broken,
                Err(refusal) if answer.is_begun() => {
                    // Nothing can follow a stream that has begun but its own end.
                    record.outcome = refusal.reason.code();
                    End::Broken
                }
                Err(refusal) => {
                    let status = refusal.reason.status();
                    record.status = status.as_u16();
                    record.outcome = refusal.reason.code();
                    record.retry_after = refusal.retry_after;
                    let headers = refusal.headers();
                    match answer.whole(status, headers, Bytes::new()).await {
                        Ok(()) => End::Whole,
                        Err(_) => End::Broken,
                    }
                }
            }
        })
    }

    fn limits(&self) -> Limits {
        self.edge
            .config()
            .map_or_else(Limits::default, |it| it.limits)
    }

    fn is_closing(&self) -> bool {
        self.edge.is_leaving()
    }

    fn closing(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(self.edge.wait_leaving())
    }

    fn refuse(&self, status: StatusCode, fault: &str) {
        count(&self.edge.metrics.requests, Reason::Malformed.code());
        tracing::info!(
            event = "request_unreadable",
            status = status.as_u16(),
            fault
        );
    }
}
