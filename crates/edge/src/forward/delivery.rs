//! Delivers the responses of endpoints to one caller.

use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use agate_memory::Purpose;
use agate_pick::capacity::Sample;
use bytes::{Bytes, BytesMut};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use super::Forwarder;
use super::admit::Call;
use super::reservation::Reservation;
use crate::client::{Error, Exchange};
use crate::config::Kind;
use crate::event::{self, Gauge, Splitter};
use crate::guard::Onset;
use crate::headers;
use crate::record::Record;
use crate::server::ResponseWriter;

/// Largest response body that is buffered, in bytes; a longer one counts as a failure of the
/// endpoint.
const MAX_BUFFERED: usize = 4 << 20;

/// Result of passing on the response of one endpoint.
pub(super) enum Transfer {
    /// The response was passed on completely.
    Complete,
    /// Writing to the caller failed.
    CallerClosed,
    /// The endpoint failed before the response was complete.
    EndpointFailed,
    /// The deadline passed before the response was complete.
    TimedOut,
}

/// State of the delivery to one caller, kept across attempts so that a stream can be resumed.
pub(super) struct Delivery {
    is_resumable: bool,
    splitter: Splitter,
    caller_last_event: Option<String>,
    /// Content type of the stream; `None` before it has begun or if it has none.
    content_type: Option<HeaderValue>,
}

impl Delivery {
    /// Creates the state before any response was passed on.
    pub(super) fn new(call: &Call) -> Self {
        Self {
            is_resumable: call.route.kind == Kind::Stream { resumable: true },
            splitter: Splitter::default(),
            caller_last_event: call.info.last_event.clone(),
            content_type: None,
        }
    }

    /// Returns the id of the event after which the next endpoint resumes: the last complete one
    /// passed on, or the one that the caller named. None starts the stream from its beginning.
    pub(super) fn last_event(&self) -> Option<&str> {
        self.splitter
            .last_id()
            .or(self.caller_last_event.as_deref())
    }

    /// Returns whether another endpoint can resume the stream where the last one failed.
    pub(super) fn can_resume(&self) -> bool {
        self.is_resumable
    }

    /// Passes on the response of one endpoint: a stream event by event, anything else once it is
    /// buffered completely.
    #[expect(clippy::too_many_arguments, reason = "each is a party to one response")]
    pub(super) async fn transfer(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        exchange: Exchange,
        head: ResponseHead,
        reservation: &Reservation<'_>,
        writer: &mut ResponseWriter<'_>,
        record: &mut Record,
    ) -> Transfer {
        let is_stream = call.route.kind.is_stream() && head.status == StatusCode::OK;
        record.status = head.status.as_u16();
        record.time_to_first_byte = Some(call.incoming.arrival.elapsed());
        // An earlier attempt may have left its part.
        writer.share().give(Purpose::Responses, usize::MAX);
        if is_stream {
            self.stream(forwarder, call, exchange, &head, reservation, writer)
                .await
        } else if writer.is_started() {
            // A response of another kind can't continue a stream.
            Transfer::EndpointFailed
        } else {
            buffered(forwarder, call, exchange, &head, reservation, writer).await
        }
    }

    async fn stream(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        mut exchange: Exchange,
        head: &ResponseHead,
        reservation: &Reservation<'_>,
        writer: &mut ResponseWriter<'_>,
    ) -> Transfer {
        if self.splitter.is_partial() {
            self.splitter.discard_partial();
        }
        let content_type = head.headers.get(CONTENT_TYPE);
        if writer.is_started() && content_type != self.content_type.as_ref() {
            // A text about an error continues no stream, whatever its status.
            return Transfer::EndpointFailed;
        }
        self.content_type = content_type.cloned();
        let mut gauge = Gauge::default();
        let mut onset = Onset::default();
        let mut timing = Timing::default();
        let mut is_recorded = false;
        loop {
            let next = timeout_at(call.deadline, exchange.next()).await;
            let bytes = match next {
                Err(_) => return Transfer::TimedOut,
                Ok(Err(err)) => {
                    forwarder.attempt_failed(call, reservation, &err, onset.is_settled());
                    return Transfer::EndpointFailed;
                }
                Ok(Ok(bytes)) => bytes,
            };
            let Some(bytes) = bytes else { break };
            if hold(call, writer, bytes.len()).await.is_err() {
                return Transfer::TimedOut;
            }
            let events = match self.is_resumable {
                true => self.splitter.push(&bytes),
                false => gauge.push(&bytes).map(|()| bytes),
            };
            let Ok(events) = events else {
                let (part, limit) = ("event", event::MAX_EVENT_BYTES);
                let err = Error::Endless { part, limit };
                forwarder.attempt_failed(call, reservation, &err, onset.is_settled());
                self.splitter.discard_partial();
                return Transfer::EndpointFailed;
            };
            let has_event = match self.is_resumable {
                true => !events.is_empty(),
                false => gauge.has_event(),
            };
            if has_event {
                onset.begin();
                timing.record(Instant::now(), &events);
            }
            if onset.is_settled() && !std::mem::replace(&mut is_recorded, true) {
                forwarder.edge.record_answer(call.shared_parts());
            }
            if events.is_empty() {
                // What is kept of an incomplete event stays taken.
                continue;
            }
            if !writer.is_started() {
                let headers = headers::for_caller(&head.headers);
                if writer.head(head.status, headers, None).await.is_err() {
                    return Transfer::CallerClosed;
                }
            }
            if writer.chunk(events).await.is_err() {
                return Transfer::CallerClosed;
            }
            writer.share().give(Purpose::Responses, usize::MAX);
        }
        // The end of a connection may be the end of a body, but not of an event, nor of a stream that
        // has none.
        let is_partial = self.splitter.is_partial() || gauge.is_partial();
        if is_partial || exchange.is_unframed() && !onset.has_begun() {
            let err = match exchange.is_unframed() {
                true => Error::closed(),
                false => Error::Malformed("the stream ends inside an event".to_owned()),
            };
            forwarder.attempt_failed(call, reservation, &err, onset.is_settled());
            return Transfer::EndpointFailed;
        }
        if onset.has_begun() {
            record_end(forwarder, call, reservation, &exchange, onset);
        }
        if call.is_engine
            && let Some(sample) = timing.sample(reservation.created_at, call.prefill_tokens)
        {
            forwarder.observe(reservation.assignment(), &sample);
        }
        exchange.close(
            &mut forwarder.edge.pool.borrow_mut(),
            &reservation.assignment().endpoint,
        );
        if !writer.is_started() {
            let headers = headers::for_caller(&head.headers);
            let sent = writer.send(head.status, headers, Bytes::new()).await;
            return if sent.is_ok() {
                Transfer::Complete
            } else {
                Transfer::CallerClosed
            };
        }
        if writer.finish().await.is_err() {
            return Transfer::CallerClosed;
        }
        Transfer::Complete
    }
}

/// Times at which the events of one stream arrive.
#[derive(Default)]
struct Timing {
    first: Option<Instant>,
    last: Option<Instant>,
    /// Number of events after the first arrival.
    events: u32,
}

impl Timing {
    /// Records the arrival of bytes that complete one or more events.
    fn record(&mut self, now: Instant, bytes: &[u8]) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.events += u32::try_from(event::count(bytes)).unwrap_or(u32::MAX);
        }
        self.last = Some(now);
    }

    /// Returns the times of the whole stream; `None` without an event.
    fn sample(&self, sent_at: Instant, prompt_tokens: f64) -> Option<Sample> {
        let (first, last) = self.first.zip(self.last)?;
        Some(Sample {
            first: first.saturating_duration_since(sent_at),
            prompt_tokens,
            rest: last.saturating_duration_since(first),
            events: self.events,
        })
    }
}

/// Records that an endpoint has answered a request. The end of a response without a length may be that of
/// the endpoint, so it counts once the endpoint has survived it.
fn record_end(
    forwarder: &Forwarder,
    call: &Call,
    reservation: &Reservation<'_>,
    exchange: &Exchange,
    onset: Onset,
) {
    let edge = &forwarder.edge;
    if !exchange.is_unframed() || onset.is_settled() {
        edge.record_answer(call.shared_parts());
        return;
    }
    let endpoint = &reservation.assignment().endpoint;
    edge.record_unframed_end(&call.info.id, endpoint, &call.parts, call.shared_parts());
}

/// Takes bytes of the memory for a response, and waits for room until the deadline. Nothing is read from the
/// endpoint meanwhile.
async fn hold(call: &Call, writer: &ResponseWriter<'_>, bytes: usize) -> Result<(), Elapsed> {
    let taken = writer
        .share()
        .wait(Purpose::Responses, bytes, Instant::now());
    timeout_at(call.deadline, taken).await
}

/// Returns the length of a response body that its head states, at most [`MAX_BUFFERED`]; 0 without one.
fn announced_length(head: &ResponseHead) -> usize {
    let value = head.headers.get(CONTENT_LENGTH);
    let length = value.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    length.unwrap_or(0).min(MAX_BUFFERED)
}

/// Buffers the response of one endpoint and passes it on once it is complete.
async fn buffered(
    forwarder: &Forwarder,
    call: &Call,
    mut exchange: Exchange,
    head: &ResponseHead,
    reservation: &Reservation<'_>,
    writer: &mut ResponseWriter<'_>,
) -> Transfer {
    let announced = announced_length(head);
    // All of it is taken at once, so that responses do not wait for each other's halves.
    if hold(call, writer, announced).await.is_err() {
        return Transfer::TimedOut;
    }
    let mut held = announced;
    let mut body = BytesMut::with_capacity(announced);
    let mut onset = Onset::default();
    loop {
        match timeout_at(call.deadline, exchange.next()).await {
            Err(_) => return Transfer::TimedOut,
            Ok(Ok(Some(bytes))) => {
                let length = body.len() + bytes.len();
                if length > MAX_BUFFERED {
                    let (part, limit) = ("body", MAX_BUFFERED);
                    let err = Error::Endless { part, limit };
                    forwarder.attempt_failed(call, reservation, &err, onset.is_settled());
                    return Transfer::EndpointFailed;
                }
                if length > held {
                    if hold(call, writer, length - held).await.is_err() {
                        return Transfer::TimedOut;
                    }
                    held = length;
                }
                body.extend_from_slice(&bytes);
                onset.begin();
            }
            Ok(Ok(None)) => break,
            Ok(Err(err)) => {
                forwarder.attempt_failed(call, reservation, &err, onset.is_settled());
                return Transfer::EndpointFailed;
            }
        }
    }
    if head.status.is_success() {
        if exchange.is_unframed() && body.is_empty() {
            // The endpoint may have crashed after the head.
            forwarder.attempt_failed(call, reservation, &Error::closed(), false);
            return Transfer::EndpointFailed;
        }
        record_end(forwarder, call, reservation, &exchange, onset);
    }
    exchange.close(
        &mut forwarder.edge.pool.borrow_mut(),
        &reservation.assignment().endpoint,
    );
    let headers = headers::for_caller(&head.headers);
    match writer.send(head.status, headers, body.freeze()).await {
        Ok(()) => Transfer::Complete,
        Err(_) => Transfer::CallerClosed,
    }
}
