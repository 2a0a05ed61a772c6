//! Explains to operators how a request would be handled, without running it.

use std::time::SystemTime;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use agate_model::key::Key;
use agate_model::resource::{Kind, Name, Spec};
use agate_model::route::{Access, Route};
use serde::Serialize;
use tokio::time::Instant;

use crate::config::View;
use crate::front::{auth, reply};
use crate::gate::Gate;

/// Body of the response to `GET /explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Version of the configuration in force.
    pub version: u64,
    /// Age of the evidence for that version, in milliseconds; `None` without evidence.
    pub proof_age_ms: Option<u64>,
    /// Whether the evidence is fresh enough to serve keyed work.
    pub current: bool,
    /// State of the key: `missing`, `unknown`, `expired` or `valid`.
    pub key: &'static str,
    /// Account of the key, also of an expired one; `None` if the key is missing or unknown.
    pub account: Option<String>,
    /// Id of the route that matches the model or the path; `None` if none does.
    pub route: Option<String>,
    /// Class that applies without the header `x-agate-class`; `None` without a route.
    pub class: Option<String>,
    /// Pools of the route with their endpoints, in order of preference.
    pub pools: Vec<Pool>,
    /// Outcome in words: admission, or refusal with its reason.
    pub verdict: String,
}

/// Pool of the matching route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Id of the pool.
    pub pool: String,
    /// Candidates first, then declared endpoints that are leaving.
    pub endpoints: Vec<Endpoint>,
}

/// Endpoint of a pool, and why it is a candidate or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Whether new requests may be sent to it.
    pub candidate: bool,
    /// Requests in flight and slots of a candidate, or why the endpoint is none.
    pub reason: String,
}

/// Responds to `GET /explain?path=&model=&method=&key_id=`. The method is ignored, and the model
/// takes precedence over the path.
pub fn respond(gate: &Gate, request: &Request) -> Response<BoxBody> {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let view = gate.view();
    let key = find_key(&view, &query, request);
    let explanation = explain(gate, &view, &query, key);
    reply::json(StatusCode::OK, &explanation)
}

/// Query parameters; `None` if missing or empty.
#[derive(Default)]
struct Query {
    path: Option<String>,
    model: Option<String>,
    key_id: Option<String>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for pair in text.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = Some(auth::percent_decode(&value.replace('+', " ")))
                .filter(|value| !value.is_empty());
            match name {
                "path" => query.path = value,
                "model" => query.model = value,
                "key_id" => query.key_id = value,
                _ => {}
            }
        }
        query
    }
}

/// Result of looking up the key to explain.
#[derive(Clone, Copy)]
enum KeyLookup<'a> {
    Missing,
    Unknown,
    /// The key is declared, but may have expired.
    Known(&'a Key),
}

/// Returns the key that the query names by id, or else the one that the request headers present.
fn find_key<'a>(view: &'a View, query: &Query, request: &Request) -> KeyLookup<'a> {
    if let Some(id) = &query.key_id {
        let name = Name {
            kind: Kind::Key,
            id: id.clone(),
        };
        return match view.snapshot.get(&name).map(|resource| &resource.spec) {
            Some(Spec::Key(key)) => KeyLookup::Known(key),
            _ => KeyLookup::Unknown,
        };
    }
    match auth::presented_key(request.head()) {
        Ok(None) => KeyLookup::Missing,
        Ok(Some(secret)) => view
            .snapshot
            .key(&secret.digest())
            .map_or(KeyLookup::Unknown, KeyLookup::Known),
        Err(_) => KeyLookup::Unknown,
    }
}

fn explain(gate: &Gate, view: &View, query: &Query, key: KeyLookup<'_>) -> Explanation {
    let route = match (&query.model, &query.path) {
        (Some(model), _) => view.model(model),
        (None, Some(path)) => view.path(path),
        (None, None) => None,
    };
    let (key_state, account) = match key {
        KeyLookup::Missing => ("missing", None),
        KeyLookup::Unknown => ("unknown", None),
        KeyLookup::Known(key) if key.is_expired(SystemTime::now()) => {
            ("expired", Some(key.account.clone()))
        }
        KeyLookup::Known(key) => ("valid", Some(key.account.clone())),
    };
    let config = gate.config.borrow();
    let age = config.age(Instant::now());
    let pools = route.map_or_else(Vec::new, |route| pools(gate, view, route));
    let current = gate.is_current();
    Explanation {
        version: config.version(),
        proof_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        current,
        key: key_state,
        account,
        route: route.map(|route| route.id.clone()),
        class: route.map(|route| route.class.clone()),
        verdict: verdict(route.map(AsRef::as_ref), key_state, current, &pools),
        pools,
    }
}

/// Returns the verdict for a request with a key in state `key_state`.
fn verdict(route: Option<&Route>, key_state: &str, current: bool, pools: &[Pool]) -> String {
    let Some(route) = route else {
        return "refused: no route matches".to_owned();
    };
    if route.access == Access::Keyed {
        if !current {
            return "refused: config_stale".to_owned();
        }
        if key_state == "missing" {
            return "refused: key_missing".to_owned();
        }
        if key_state != "valid" {
            return "refused: key_invalid".to_owned();
        }
    }
    let mut endpoints = pools.iter().flat_map(|pool| &pool.endpoints);
    if endpoints.any(|endpoint| endpoint.candidate) {
        "admitted to the queue of its class".to_owned()
    } else {
        "refused: no_endpoint".to_owned()
    }
}

fn pools(gate: &Gate, view: &View, route: &Route) -> Vec<Pool> {
    let describe = |pool: &String| Pool {
        pool: pool.clone(),
        endpoints: endpoints(gate, view, pool),
    };
    route.pools.iter().map(describe).collect()
}

fn endpoints(gate: &Gate, view: &View, pool: &str) -> Vec<Endpoint> {
    let candidates = view.endpoints(pool);
    let mut endpoints: Vec<Endpoint> = candidates
        .iter()
        .map(|endpoint| Endpoint {
            endpoint: endpoint.id.clone(),
            candidate: true,
            reason: format!(
                "{} in flight of {} slots",
                gate.choice.in_flight(&endpoint.id),
                endpoint.slots
            ),
        })
        .collect();
    for endpoint in view
        .snapshot
        .endpoints()
        .filter(|endpoint| endpoint.pool == pool)
    {
        if candidates
            .iter()
            .all(|candidate| candidate.id != endpoint.id)
        {
            endpoints.push(Endpoint {
                endpoint: endpoint.id.clone(),
                candidate: false,
                reason: "leaving".to_owned(),
            });
        }
    }
    endpoints
}
