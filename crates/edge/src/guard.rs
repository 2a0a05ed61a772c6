//! Keeps requests from endpoints that their prompts would crash.
//!
//! A lost request is evidence only if its endpoint has crashed, that is, accepts no connection any more:
//! connections also end by network faults and by endpoints that reset some requests. The evidence is
//! published with the heartbeat of the host.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{EndpointId, RequestId};
use agate_poison::pace::Pace;
use agate_poison::report::Report;
use agate_poison::{Detector, Loss, MIN_AGE, PartId, Time, Tuning, Verdict, Work};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::client;
use crate::clock;
use crate::edge::Edge;
use crate::metrics::{Outcome, count, value};
use crate::roster::Endpoint;

/// Time within which an endpoint that runs accepts a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first event of a response from which its endpoint counts as able to answer: a crash
/// may follow the first bytes.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Heartbeats that are sent before their time one after the other, and the interval of further ones: with
/// more news the regular ones carry it.
const HEARTBEAT_BURST: u32 = 8;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Reads of hosts' rows before their time, likewise: the time of six crashes a second apart.
const READ_BURST: u32 = 20;
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two log lines on the work that evidence takes.
const WORK_INTERVAL: Duration = Duration::from_secs(10);

/// When a response began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Onset(Option<Instant>);

impl Onset {
    /// Records the first event or byte of the body; later calls have no effect.
    pub fn begin(&mut self) {
        self.0.get_or_insert_with(Instant::now);
    }

    /// Returns whether the response has begun.
    pub fn has_begun(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether the endpoint has survived the beginning of the response.
    pub fn is_settled(&self) -> bool {
        self.0.is_some_and(|at| at.elapsed() >= SETTLE_TIME)
    }
}

/// A request that may have been lost in a crash.
struct Candidate {
    request: RequestId,
    loss: Loss,
    /// Parts that the endpoint has answered unless it has crashed.
    answered: Vec<PartId>,
}

/// Evidence on parts of prompts, and what is refused by it.
pub struct Guard {
    detector: RefCell<Detector>,
    /// Endpoints that are being checked, with the requests lost there.
    checks: RefCell<HashMap<EndpointId, Vec<Candidate>>>,
    /// Notified when a heartbeat is needed before its time.
    changed: Notify,
    /// Limits such heartbeats.
    heartbeats: RefCell<Pace>,
    /// Limits reads of hosts' rows before their time.
    reads: RefCell<Pace>,
    /// Work that was logged last, and when.
    logged: Cell<(Time, Work)>,
    /// Time since boot minus the store's clock, as another host told it; `None` before it did.
    offset: Cell<Option<i64>>,
}

impl Default for Guard {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Guard {
    /// Creates a guard without evidence.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            detector: RefCell::new(Detector::new(tuning)),
            checks: RefCell::default(),
            changed: Notify::new(),
            heartbeats: RefCell::new(Pace::new(HEARTBEAT_BURST, HEARTBEAT_INTERVAL)),
            reads: RefCell::new(Pace::new(READ_BURST, READ_INTERVAL)),
            logged: Cell::default(),
            offset: Cell::default(),
        }
    }

    /// Records the store's clock, in milliseconds, as another host told it at the time `boot` since
    /// boot. It is late by the duration of the call, which is short beside the time between crashes.
    pub fn observe_clock(&self, boot: Duration, store_millis: u64) {
        let store = i64::try_from(store_millis).unwrap_or(i64::MAX);
        self.offset.set(Some(clock::millis(boot) - store));
    }

    /// Requests a heartbeat before its time.
    pub fn hurry(&self) {
        self.changed.notify_one();
    }
}

impl Edge {
    /// Returns the time on the clock that all hosts share; `None` before the store's first response.
    pub fn shared_time(&self) -> Option<Time> {
        let boot = clock::boot();
        let told = || Some(clock::millis(boot) - self.guard.offset.get()?);
        let millis = self.store_clock.get().now(boot).or_else(told)?;
        Some(Duration::from_millis(u64::try_from(millis).unwrap_or(0)))
    }

    /// Returns how long a request with these parts is refused; `None` if it may be sent.
    pub fn blocked(&self, parts: &[PartId]) -> Option<Duration> {
        let now = self.shared_time()?;
        self.guard.detector.borrow().blocked(now, parts)
    }

    /// Records that an endpoint has answered a request with these parts.
    pub fn record_answer(&self, parts: &[PartId]) {
        let Some(now) = self.shared_time() else {
            return;
        };
        let parts = parts.iter().copied();
        self.update(now, |detector| detector.answer(now, parts));
    }

    /// Changes the evidence, writes what follows from it to log and metrics, and requests a heartbeat if other
    /// hosts should learn of it at once.
    fn update(&self, now: Time, change: impl FnOnce(&mut Detector) -> Vec<Verdict>) {
        let started = Instant::now();
        let (verdicts, has_news) = {
            let mut detector = self.guard.detector.borrow_mut();
            let before = detector.news();
            (change(&mut detector), detector.news() != before)
        };
        if !verdicts.is_empty() {
            self.apply_verdicts(now, &verdicts);
        }
        if has_news {
            self.guard.hurry();
        }
        self.record_time(started);
    }

    /// Adds the time since `started` to what evidence takes.
    fn record_time(&self, started: Instant) {
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.metrics.evidence_micros.inc_by(micros);
    }

    /// Records that the connection of a request ended before the request was answered. It counts once
    /// the endpoint turns out to have crashed.
    pub fn record_loss(
        self: &Rc<Self>,
        request: &RequestId,
        endpoint: &Endpoint,
        parts: &[PartId],
    ) {
        self.record_unframed_end(request, endpoint, parts, &[]);
    }

    /// Records that a response ended with its connection soon after it began. Counts as a loss of a
    /// request with these `parts` if the endpoint turns out to have crashed, and as a response to
    /// `answered` otherwise.
    pub fn record_unframed_end(
        self: &Rc<Self>,
        request: &RequestId,
        endpoint: &Endpoint,
        parts: &[PartId],
        answered: &[PartId],
    ) {
        let Some(at) = self.shared_time().filter(|_| !parts.is_empty()) else {
            return;
        };
        let candidate = Candidate {
            request: request.clone(),
            loss: Loss {
                at,
                endpoint: endpoint.address,
                parts: parts.to_vec(),
            },
            answered: answered.to_vec(),
        };
        let mut checks = self.guard.checks.borrow_mut();
        if let Some(candidates) = checks.get_mut(&endpoint.id) {
            candidates.push(candidate);
            return;
        }
        checks.insert(endpoint.id.clone(), vec![candidate]);
        actix_rt::spawn(check(self.clone(), endpoint.clone()));
    }

    /// Takes over the evidence of other hosts. Returns whether it says anything new.
    pub fn learn_evidence(&self, reports: Vec<Report>) -> bool {
        let Some(now) = self.shared_time() else {
            return false;
        };
        let mut is_new = false;
        self.update(now, |detector| {
            let before = detector.revision();
            let verdicts = detector.learn(now, reports);
            is_new = detector.revision() != before;
            verdicts
        });
        is_new
    }

    /// Returns whether news of other hosts matter so much that their rows are read before their time: crashes
    /// are not explained yet, and there were few such reads so far.
    pub fn takes_urgent_read(&self) -> bool {
        let Some(now) = self.shared_time() else {
            return false;
        };
        if !self.guard.detector.borrow().is_suspicious(now) {
            return false;
        }
        let is_allowed = self.guard.reads.borrow_mut().try_take(now);
        let kind = if is_allowed { "read" } else { "read_held" };
        count(&self.metrics.evidence, kind);
        is_allowed
    }

    /// Waits until other hosts should learn of changed evidence before the next regular heartbeat.
    pub async fn wait_urgent(&self) {
        loop {
            self.guard.changed.notified().await;
            let now = self.shared_time().unwrap_or_default();
            if self.guard.heartbeats.borrow_mut().try_take(now) {
                count(&self.metrics.evidence, "heartbeat");
                return;
            }
            count(&self.metrics.evidence, "heartbeat_held");
        }
    }

    /// Returns the evidence for the next heartbeat.
    pub fn evidence_report(&self) -> Report {
        let Some(now) = self.shared_time() else {
            return Report::default();
        };
        let hosts = self.hosts.borrow_mut().sharing_hosts(Instant::now());
        let mut report = Report::default();
        self.update(now, |detector| {
            detector.set_hosts(hosts);
            let (published, verdicts) = detector.publish(now);
            report = published;
            verdicts
        });
        self.log_work(now);
        report
    }

    /// Writes the work that evidence took to log and metrics, if there was any.
    fn log_work(&self, now: Time) {
        let work = self.guard.detector.borrow().work();
        let (at, last) = self.guard.logged.get();
        if work == last || now.saturating_sub(at) < WORK_INTERVAL {
            return;
        }
        self.guard.logged.set((now, work));
        let kinds = [
            ("evaluated", work.evaluations - last.evaluations),
            ("deferred", work.deferrals - last.deferrals),
            ("learned", work.learned - last.learned),
        ];
        for (outcome, more) in kinds {
            let counter = self.metrics.evidence.get_or_create(&Outcome { outcome });
            counter.inc_by(more);
        }
        let total = |kind| value(&self.metrics.evidence, kind);
        tracing::info!(
            event = "evidence_work",
            evaluated = work.evaluations,
            deferred = work.deferrals,
            learned = work.learned,
            heartbeats = total("heartbeat"),
            heartbeats_held = total("heartbeat_held"),
            reads = total("read"),
            reads_held = total("read_held"),
            took_ms = self.metrics.evidence_micros.get() / 1000,
        );
    }

    /// Writes changes of what is refused to log and metrics.
    fn apply_verdicts(&self, now: Time, verdicts: &[Verdict]) {
        for verdict in verdicts {
            let (event, block) = match verdict {
                Verdict::Blocked(block) => ("prompt_blocked", block),
                Verdict::Lifted(block) => ("prompt_block_lifted", block),
            };
            count(&self.metrics.changes, event);
            tracing::warn!(
                event,
                parts = hex_list(block.parts.iter()),
                first_crash_ms = millis(block.since),
                last_crash_ms = millis(block.last),
                hold_s = block.hold.as_secs(),
            );
        }
        let blocks = self.guard.detector.borrow().block_count(now);
        let blocks = i64::try_from(blocks).unwrap_or(i64::MAX);
        self.metrics.blocked_prompts.set(blocks);
    }
}

/// Finds out whether an endpoint has crashed, and records the requests lost there if it has.
async fn check(edge: Rc<Edge>, endpoint: Endpoint) {
    let is_alive = matches!(
        timeout(
            CHECK_TIMEOUT,
            client::connect(endpoint.address, CHECK_TIMEOUT)
        )
        .await,
        Ok(Ok(_))
    );
    let candidates = edge.guard.checks.borrow_mut().remove(&endpoint.id);
    let candidates = candidates.unwrap_or_default();
    if is_alive {
        tracing::info!(
            event = "endpoint_alive",
            endpoint = endpoint.id,
            lost = candidates.len()
        );
        for candidate in candidates {
            edge.record_answer(&candidate.answered);
        }
        return;
    }
    count(&edge.metrics.changes, "endpoint_crashed");
    for candidate in candidates {
        tracing::info!(
            event = "endpoint_crashed",
            endpoint = endpoint.id,
            request = candidate.request,
            parts = hex_list(candidate.loss.parts.iter()),
        );
        let Some(now) = edge.shared_time() else {
            return;
        };
        edge.update(now, |detector| detector.lose(now, candidate.loss));
    }
    sleep(MIN_AGE).await;
    edge.learn_evidence(Vec::new());
}

/// Returns ids in hexadecimal, separated by commas.
pub fn hex_list<'a>(ids: impl Iterator<Item = &'a PartId>) -> String {
    let ids = ids.map(|id| format!("{id:x}"));
    ids.collect::<Vec<_>>().join(",")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
