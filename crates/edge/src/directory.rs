//! Addresses for callers, and whether this host is ready.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use agate_model::id::ZoneId;
use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use crate::edge::Edge;
use crate::headers;
use crate::interface::Question;
use crate::response::{Responder, Response};
use crate::server::Incoming;

/// How long callers may keep an answer: short, so that a host that leaves is soon forgotten.
const VALIDITY: Duration = Duration::from_secs(2);

/// Answers questions for addresses; any other request is asked whether this host is ready.
pub struct Directory {
    edge: Rc<Edge>,
}

impl Directory {
    /// Answers with the state of `edge`.
    pub fn new(edge: Rc<Edge>) -> Self {
        Self { edge }
    }

    /// Addresses of hosts that callers may use: those of the caller's zone if there are enough of
    /// them, so that requests stay within the zone, else all live ones, and this one at least
    /// while it serves.
    fn addresses(&self, question: &Question) -> Vec<SocketAddr> {
        let settings = self.edge.settings.borrow();
        let hosts = self.edge.hosts.borrow();
        let live = hosts.live(Instant::now());
        let others = live
            .iter()
            .filter(|row| row.ready && row.host != settings.host);
        let mut named: Vec<(&ZoneId, SocketAddr)> =
            others.map(|row| (&row.zone, row.address)).collect();
        if self.edge.is_ready() || named.is_empty() && !self.edge.is_leaving() {
            named.push((&settings.zone, settings.listen.front));
        }
        nearest(&named, question.zone.as_ref())
    }
}

/// Fewest hosts of a zone, as a part of an equal share, that take the callers of their zone alone.
const ENOUGH: f64 = 0.7;
/// Fewest hosts of a zone that do.
const LEAST: usize = 2;

/// Hosts of the caller's zone, if these are about as many as in other zones, or all.
pub fn nearest(named: &[(&ZoneId, SocketAddr)], zone: Option<&ZoneId>) -> Vec<SocketAddr> {
    let zones: HashSet<&ZoneId> = named.iter().map(|it| it.0).collect();
    let own = named.iter().filter(|it| Some(it.0) == zone);
    let own: Vec<SocketAddr> = own.map(|it| it.1).collect();
    let share = named.len() as f64 / zones.len().max(1) as f64;
    if own.len() >= LEAST && own.len() as f64 >= share * ENOUGH {
        return own;
    }
    named.iter().map(|it| it.1).collect()
}

impl Responder for Directory {
    fn respond<'a>(&'a self, incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        let dialect = &self.edge.remote.dialect;
        let page = if let Some(question) = dialect.question(incoming.request.head()) {
            let addresses = self.addresses(&question);
            let (media, body) = dialect.addresses(&addresses, VALIDITY);
            let status = match addresses.is_empty() {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            let headers = headers::content_type(media);
            Response {
                status,
                headers,
                body,
            }
        } else if self.edge.is_ready() {
            Response::bare(StatusCode::OK)
        } else {
            Response::bare(StatusCode::SERVICE_UNAVAILABLE)
        };
        Box::pin(std::future::ready(page))
    }
}
