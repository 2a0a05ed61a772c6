//! What hosts tell one another of limits, as it is serialised. Times are in milliseconds.

use std::net::SocketAddr;
use std::time::Duration;

use agate_limit::book::Statement;
use agate_model::id::EndpointId;
use agate_wire::permit;
use serde::{Deserialize, Serialize};

use crate::roster::Incarnation;

/// What one endpoint has said of its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    endpoint: EndpointId,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born: Option<u64>,
    address: SocketAddr,
    /// Requests a second; `None` if there is no limit any more.
    rate: Option<f64>,
    /// When the endpoint said so, by the store's clock.
    at: u64,
}

/// A limit that is no number of requests a second.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("endpoint {endpoint} has the limit {rate}")]
pub struct Malformed {
    endpoint: EndpointId,
    rate: f64,
}

impl From<(&Incarnation, &Statement)> for Entry {
    fn from((incarnation, statement): (&Incarnation, &Statement)) -> Self {
        Self {
            endpoint: incarnation.id().clone(),
            born: incarnation.born(),
            address: incarnation.address(),
            rate: statement.rate,
            at: millis(statement.at),
        }
    }
}

impl TryFrom<&Entry> for (Incarnation, Statement) {
    type Error = Malformed;

    fn try_from(entry: &Entry) -> Result<Self, Malformed> {
        if let Some(rate) = entry.rate.filter(|rate| !rate.is_finite() || *rate < 0.0) {
            let endpoint = entry.endpoint.clone();
            return Err(Malformed { endpoint, rate });
        }
        let statement = Statement {
            rate: entry.rate,
            at: Duration::from_millis(entry.at),
            is_own: false,
        };
        let incarnation = Incarnation::new(entry.endpoint.clone(), entry.born, entry.address);
        Ok((incarnation, statement))
    }
}

/// Question of a host to an owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// What the host knows of the limit.
    pub limit: Entry,
    /// Number of permits that the host could use.
    pub wanted: u32,
}

/// Reply of an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The permits.
    #[serde(flatten)]
    pub permits: permit::Reply,
    /// What the owner knows of the limit.
    pub limit: Option<Entry>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
