//! Limits that endpoints name for all hosts together.
//!
//! A host that receives a limit tells the others with its heartbeat. Requests are sent to such an endpoint
//! only with a permit, for which the host asks the endpoint's owners among the hosts.

pub mod wire;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use agate_limit::book::{Change, Statement};
use agate_limit::mention::Mention;
use agate_limit::owner;
use agate_limit::permit::Answer;
use agate_limit::schedule::Schedules;
use agate_model::id::RequestId;
use bytes::Bytes;
use rand::seq::SliceRandom as _;
use tokio::time::{Instant, sleep};

use self::wire::{Entry, Question, Reply};
use crate::balancer::Assignment;
use crate::edge::Edge;
use crate::hosts::Row;
use crate::interface::ResponseInfo;
use crate::metrics::count;
use crate::peer::{Client, Error, Request};
use crate::roster::{Endpoint, Incarnation};
use crate::sabotage::{self, Variant};

/// Path of the request for permits.
pub const PATH: &str = "/permits";
/// Time for which a host publishes what a response has told it.
const PUBLISH_TIME: Duration = Duration::from_secs(10);
/// Endpoints whose limits a host publishes at once; the newest statements come first.
const MAX_PUBLISHED: usize = 64;
/// Permits that a host asks for at once.
const MAX_WANTED: usize = 64;
/// Wait of a host that asks one which is no owner: tables of hosts agree again after it.
const NO_OWNER_WAIT: Duration = Duration::from_secs(1);
/// Hosts to which connections are kept.
const MAX_LINKS: usize = 32;

/// State of the permits that this host grants and asks for.
#[derive(Default)]
pub struct Limits {
    schedules: RefCell<Schedules<Incarnation>>,
    /// Clients of owners by their addresses.
    links: RefCell<HashMap<SocketAddr, Rc<Client>>>,
}

impl Limits {
    fn link(&self, address: SocketAddr) -> Rc<Client> {
        let mut links = self.links.borrow_mut();
        if links.len() >= MAX_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        links.entry(address).or_default().clone()
    }
}

/// Who grants permits for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    /// This host.
    Own,
    /// The host with this address for other hosts.
    Peer(SocketAddr),
}

impl Edge {
    /// Records what a response to a request that was sent at `sent_at` says of its endpoint's limit.
    pub fn observe_limit(
        &self,
        request: &RequestId,
        assignment: &Assignment,
        sent_at: Instant,
        info: &ResponseInfo,
    ) {
        let Some(now) = self
            .shared_time()
            .filter(|_| !sabotage::is(Variant::IgnoreLimits))
        else {
            return;
        };
        let (rate, at) = match info.limit {
            Mention::Named(rate) => (Some(rate), now),
            // Whoever does not repeat the id of the request may not be the endpoint itself.
            Mention::Absent if info.request.is_some() => {
                (None, now.saturating_sub(sent_at.elapsed()))
            }
            Mention::Absent | Mention::Malformed => return,
        };
        let statement = Statement {
            rate,
            at,
            is_own: true,
        };
        if self.record_limit(assignment.incarnation(), statement, request) {
            self.guard.hurry();
        }
    }

    /// Takes over what another host says of limits. Returns whether that is news.
    pub fn learn_limits(&self, limits: &[Entry], source: &str) -> bool {
        let mut is_news = false;
        for entry in limits {
            match <(Incarnation, Statement)>::try_from(entry) {
                Ok((incarnation, statement)) => {
                    is_news |= self.record_limit(&Rc::new(incarnation), statement, "");
                }
                Err(err) => {
                    tracing::warn!(event = "limit_malformed", host = source, error = %err);
                }
            }
        }
        is_news
    }

    /// Records a statement on a limit, with the request whose response made it, if that was one of this
    /// host. Returns whether the limit has changed.
    fn record_limit(
        &self,
        incarnation: &Rc<Incarnation>,
        statement: Statement,
        request: &str,
    ) -> bool {
        let Some(now) = self.shared_time() else {
            return false;
        };
        let change = {
            let mut board = self.board.borrow_mut();
            board.record_limit(now, incarnation, statement)
        };
        let endpoint = incarnation.id();
        match change {
            None => return false,
            Some(Change::Limited(rate)) => {
                count(&self.metrics.notices, "limited");
                tracing::info!(event = "endpoint_limited", endpoint, rate, request);
            }
            Some(Change::Lifted) => {
                self.limits.schedules.borrow_mut().remove(&**incarnation);
                count(&self.metrics.notices, "limit_lifted");
                tracing::info!(event = "endpoint_limit_lifted", endpoint, request);
                self.wake_queues();
            }
        }
        let limited = i64::try_from(self.board.borrow().limited_count()).unwrap_or(i64::MAX);
        self.metrics.limited_endpoints.set(limited);
        true
    }

    /// Returns what this host publishes of limits: what responses have told it lately, and all that it
    /// knows of the endpoints that it owns, so that hosts which start learn of them.
    pub fn limit_report(&self) -> Vec<Entry> {
        let Some(now) = self.shared_time() else {
            return Vec::new();
        };
        let mut known = self.board.borrow_mut().limit_statements(now);
        known.retain(|(incarnation, statement)| {
            let is_recent = now.saturating_sub(statement.at) < PUBLISH_TIME;
            statement.is_own && is_recent || self.owners(incarnation.id()).contains(&Owner::Own)
        });
        known.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.at));
        known.truncate(MAX_PUBLISHED);
        let entries = known.iter();
        entries
            .map(|(incarnation, statement)| Entry::from((&**incarnation, statement)))
            .collect()
    }

    /// Calls `f` with the hosts among which the owners of endpoints are chosen.
    fn with_electorate<T>(&self, f: impl FnOnce(&[&Row]) -> T) -> T {
        let hosts = self.hosts.borrow();
        let mut rows = hosts.live(Instant::now());
        let is_own = |row: &Row| row.incarnation == self.incarnation;
        rows.retain(|row| !row.leaving && (row.relay.is_some() || is_own(row)));
        f(&rows)
    }

    fn owners(&self, endpoint: &str) -> Vec<Owner> {
        self.with_electorate(|rows| {
            let names: Vec<&str> = rows.iter().map(|row| row.host.as_str()).collect();
            let owners = owner::owners(endpoint, &names).into_iter();
            let owners = owners.filter_map(|name| {
                let row = rows.iter().find(|row| row.host == name)?;
                match row.incarnation == self.incarnation {
                    true => Some(Owner::Own),
                    false => row.relay.map(Owner::Peer),
                }
            });
            owners.collect()
        })
    }

    /// Answers a host, this one included, that wants permits for an endpoint.
    fn grant_permits(&self, incarnation: &Rc<Incarnation>, wanted: u32) -> Answer {
        let now = Instant::now();
        let rate = {
            let board = self.board.borrow();
            let statement = board.limit_statement(incarnation);
            statement.and_then(|statement| statement.rate)
        };
        let Some(rate) = rate else {
            let wait = Duration::ZERO;
            return Answer::Denied { wait };
        };
        let sharing = self.sharing_hosts();
        let part = match self.may_own(now) {
            true => self.with_electorate(|rows| {
                let names: Vec<&str> = rows.iter().map(|row| row.host.as_str()).collect();
                owner::part(
                    incarnation.id(),
                    &self.settings.borrow().host,
                    &names,
                    sharing,
                )
            }),
            false => 0.0,
        };
        if part <= 0.0 {
            let wait = NO_OWNER_WAIT;
            return Answer::Denied { wait };
        }
        let rate = owner::granted_rate(rate, part, self.has_current_hosts());
        let mut schedules = self.limits.schedules.borrow_mut();
        let answer = schedules.ask(incarnation, now.into_std(), rate, wanted);
        let outcome = match answer {
            Answer::Granted { .. } => "granted",
            Answer::Denied { .. } => "denied",
        };
        count(&self.metrics.permits, outcome);
        answer
    }

    /// Returns the reply to another host's request for permits; `None` if it is malformed.
    pub fn reply_to(&self, body: &Bytes) -> Option<Reply> {
        let question: Result<Question, _> = serde_json::from_slice(body);
        let question = question
            .inspect_err(|err| tracing::warn!(event = "permit_malformed", error = %err))
            .ok()?;
        let decoded = <(Incarnation, Statement)>::try_from(&question.limit);
        let (incarnation, statement) = decoded
            .inspect_err(|err| tracing::warn!(event = "permit_malformed", error = %err))
            .ok()?;
        let incarnation = Rc::new(incarnation);
        self.record_limit(&incarnation, statement, "");
        let answer = self.grant_permits(&incarnation, question.wanted);
        let board = self.board.borrow();
        let known = board.limit_statement(&incarnation);
        let limit = known.map(|statement| Entry::from((&*incarnation, &statement)));
        Some(Reply {
            permits: answer.into(),
            limit,
        })
    }

    /// Asks owners for the permits that requests of this host want.
    pub fn ask_for_permits(self: &Rc<Self>) {
        let wanted = self.board.borrow_mut().take_wanted();
        for endpoint in wanted {
            actix_rt::spawn(ask(self.clone(), endpoint));
        }
    }

    /// Asks the owners of an endpoint, in random order, until one grants permits. Returns the answer with
    /// the shortest wait; `None` if no owner has answered.
    async fn find_permits(&self, endpoint: &Endpoint) -> Option<Answer> {
        let incarnation = Rc::new(Incarnation::from(endpoint));
        let mut owners = self.owners(&endpoint.id);
        owners.shuffle(&mut rand::rng());
        let wanted = self.queue(&endpoint.service).len().clamp(1, MAX_WANTED);
        let wanted = u32::try_from(wanted).unwrap_or(1);
        let mut shortest: Option<Duration> = None;
        for owner in owners {
            let answer = match owner {
                Owner::Own => self.grant_permits(&incarnation, wanted),
                Owner::Peer(address) => {
                    match self.call_owner(address, &incarnation, wanted).await {
                        Ok(answer) => answer,
                        Err(err) => {
                            count(&self.metrics.permits, "unanswered");
                            tracing::info!(
                                event = "owner_lost",
                                endpoint = endpoint.id,
                                owner = %address,
                                error = %err,
                            );
                            continue;
                        }
                    }
                }
            };
            match answer {
                Answer::Granted { .. } => return Some(answer),
                Answer::Denied { wait } => {
                    shortest = Some(shortest.map_or(wait, |known| known.min(wait)));
                }
            }
        }
        shortest.map(|wait| Answer::Denied { wait })
    }

    /// Asks another host for permits, and takes over what it knows of the limit.
    async fn call_owner(
        &self,
        address: SocketAddr,
        incarnation: &Rc<Incarnation>,
        wanted: u32,
    ) -> Result<Answer, Error> {
        let statement = self.board.borrow().limit_statement(incarnation);
        let Some(statement) = statement else {
            // The limit was lifted meanwhile.
            let wait = Duration::ZERO;
            return Ok(Answer::Denied { wait });
        };
        let question = Question {
            limit: Entry::from((&**incarnation, &statement)),
            wanted,
        };
        let body =
            serde_json::to_vec(&question).map_err(|err| Error::Malformed(err.to_string()))?;
        let request = Request {
            method: Method::POST,
            target: PATH.to_owned(),
            body: Bytes::from(body),
            wait: Duration::ZERO,
        };
        let reply: Reply = self.limits.link(address).call(address, request).await?;
        self.learn_limits(reply.limit.as_slice(), "owner");
        Ok(reply.permits.into())
    }
}

/// Asks for permits for an endpoint, and wakes the requests that wait once they can be used.
async fn ask(edge: Rc<Edge>, endpoint: Rc<Endpoint>) {
    let answer = edge.find_permits(&endpoint).await;
    let incarnation = Incarnation::from(&*endpoint);
    edge.board
        .borrow_mut()
        .record_permits(Instant::now(), &incarnation, answer);
    if let Some(Answer::Granted { after, .. }) = answer {
        count(&edge.metrics.permits, "received");
        sleep(after).await;
        edge.grant(&endpoint.service);
    }
}
