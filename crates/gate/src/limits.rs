//! Limits that endpoints name for all hosts together, and this gate's permits to send to them.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use agate_limit::Time;
use agate_limit::book::{Book, Change, Statement};
use agate_limit::mention::{self, Mention};
use agate_limit::permit::{Answer, Wallet};
use agate_model::id::EndpointId;
use agate_wire::permit::Question;
use agate_wire::sync;
use awc::ClientResponse;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Header in which an endpoint names the requests a second that it takes from all hosts together.
const HEADER: &str = "server-limit";
/// Time for which a gate reports what a response has told it.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Permits that a gate asks for at once.
const MAX_WANTED: usize = 64;

/// Limits of endpoints as responses and the control process have told them.
pub struct Limits {
    started: Instant,
    book: RefCell<Book<EndpointId>>,
    /// Permits for the endpoints that have limits.
    wallets: RefCell<HashMap<EndpointId, Wallet>>,
    /// Questions that the control process has not been asked yet.
    questions: RefCell<VecDeque<Question>>,
    has_question: Notify,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            book: RefCell::default(),
            wallets: RefCell::default(),
            questions: RefCell::default(),
            has_question: Notify::new(),
        }
    }
}

impl Limits {
    /// Returns a time of this process. Statements from before its start count from that.
    fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.started)
    }

    fn record(&self, endpoint: &EndpointId, statement: Statement) -> Option<Change> {
        let now = self.time(Instant::now());
        let change = self.book.borrow_mut().record(now, endpoint, statement)?;
        match change {
            Change::Limited(rate) => {
                let mut wallets = self.wallets.borrow_mut();
                wallets.entry(endpoint.clone()).or_default();
                tracing::info!(event = "endpoint_limited", endpoint = %endpoint, rate);
            }
            Change::Lifted => {
                self.wallets.borrow_mut().remove(endpoint);
                tracing::info!(event = "endpoint_limit_lifted", endpoint = %endpoint);
            }
        }
        Some(change)
    }

    /// Records what a response to a request that was sent at `sent` says. Returns what changes by that.
    pub fn observe(
        &self,
        endpoint: &EndpointId,
        mention: Mention,
        sent: Instant,
    ) -> Option<Change> {
        let (rate, at) = match mention {
            Mention::Named(rate) => (Some(rate), Instant::now()),
            Mention::Absent => (None, sent),
            Mention::Malformed => return None,
        };
        let statement = Statement {
            rate,
            at: self.time(at),
            is_own: true,
        };
        self.record(endpoint, statement)
    }

    /// Records what the control process says in a response that was received at `received`. Returns the
    /// change of the limit.
    pub fn apply(&self, told: &sync::Statement, received: Instant) -> Option<Change> {
        let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        if !told.rate.is_none_or(is_valid) {
            tracing::warn!(event = "limit_malformed", endpoint = %told.endpoint);
            return None;
        }
        let age = Duration::from_millis(told.age_ms);
        let statement = Statement {
            rate: told.rate,
            at: self.time(received.checked_sub(age).unwrap_or(self.started)),
            is_own: false,
        };
        self.record(&told.endpoint, statement)
    }

    /// Returns what responses have lately told this gate.
    pub fn report(&self) -> Vec<sync::Statement> {
        let now = self.time(Instant::now());
        let mut book = self.book.borrow_mut();
        book.expire(now);
        let recent = book.statements().filter(|(_, statement)| {
            statement.is_own && now.saturating_sub(statement.at) < REPORT_TIME
        });
        let statements = recent.map(|(endpoint, statement)| sync::Statement {
            endpoint: endpoint.clone(),
            rate: statement.rate,
            age_ms: u64::try_from(now.saturating_sub(statement.at).as_millis()).unwrap_or(u64::MAX),
        });
        statements.collect()
    }

    /// Returns whether an endpoint has a limit.
    pub fn is_limited(&self, endpoint: &EndpointId) -> bool {
        self.wallets.borrow().contains_key(endpoint)
    }

    /// Returns the endpoints that have limits.
    pub fn limited(&self) -> Vec<EndpointId> {
        self.wallets.borrow().keys().cloned().collect()
    }

    /// Returns whether a request may be sent to an endpoint now.
    pub fn is_open(&self, endpoint: &EndpointId) -> bool {
        let wallets = self.wallets.borrow();
        let wallet = wallets.get(endpoint);
        wallet.is_none_or(|wallet| wallet.has_permit(now()))
    }

    /// Uses a permit if an endpoint has a limit. Returns whether a request may be sent there.
    pub fn take(&self, endpoint: &EndpointId) -> bool {
        let mut wallets = self.wallets.borrow_mut();
        let wallet = wallets.get_mut(endpoint);
        wallet.is_none_or(|wallet| wallet.take(now()))
    }

    /// Asks for permits that `count` requests could use, unless there are some or they have been asked for.
    pub fn want(&self, endpoint: &EndpointId, count: usize) {
        let mut wallets = self.wallets.borrow_mut();
        let Some(wallet) = wallets.get_mut(endpoint) else {
            return;
        };
        if wallet.start_asking(now()) {
            self.questions.borrow_mut().push_back(Question {
                endpoint: endpoint.clone(),
                wanted: u32::try_from(count.clamp(1, MAX_WANTED)).unwrap_or(1),
            });
            self.has_question.notify_one();
        }
    }

    /// Waits until the control process is to be asked for permits. Cancel safe.
    pub async fn next_question(&self) -> Question {
        loop {
            let question = self.questions.borrow_mut().pop_front();
            match question {
                Some(question) => return question,
                None => self.has_question.notified().await,
            }
        }
    }

    /// Records the answer to a question; `None` if no control process has answered. Returns when a request
    /// may be sent or the next question asked.
    pub fn record_answer(&self, endpoint: &EndpointId, answer: Option<Answer>) -> Instant {
        let now = now();
        let mut wallets = self.wallets.borrow_mut();
        let Some(wallet) = wallets.get_mut(endpoint) else {
            return now.into();
        };
        let draw = rand::random();
        match answer {
            Some(answer) => wallet.record(now, answer, draw),
            None => wallet.fail(now, draw),
        }
        wallet.opening(now).into()
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns what a response says of the limit of its endpoint.
pub fn mention(response: &ClientResponse) -> Mention {
    let Some(value) = response.headers().get(HEADER) else {
        return Mention::Absent;
    };
    let rate = value.to_str().map_err(|_| mention::Malformed);
    let rate = rate.and_then(mention::parse);
    rate.map_or_else(
        |err| {
            tracing::debug!(event = "notice_malformed", error = %err);
            Mention::Malformed
        },
        Mention::Named,
    )
}
