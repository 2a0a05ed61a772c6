//! Explanation of what would happen to a request.

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

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Configuration in force.
    pub version: u64,
    /// Age of its proof, in milliseconds; absent without proof.
    pub proof_age_ms: Option<u64>,
    /// Whether keyed work is served.
    pub current: bool,
    /// `missing`, `unknown`, `expired` or `valid`.
    pub key: &'static str,
    /// Account of the key.
    pub account: Option<String>,
    /// Route that matches.
    pub route: Option<String>,
    /// Class without `x-agate-class`.
    pub class: Option<String>,
    /// Pools with their endpoints, in order of preference.
    pub pools: Vec<Pool>,
    /// What would happen.
    pub verdict: String,
}

/// A pool of the route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Name.
    pub pool: String,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint and why it is or is not a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Endpoint {
    /// Name.
    pub endpoint: String,
    /// Whether it may be chosen.
    pub candidate: bool,
    /// Why.
    pub reason: String,
}

/// Answers `GET /explain?path=&model=&method=&key_id=`.
pub fn answer(gate: &Gate, request: &Request) -> Response<BoxBody> {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let view = gate.view();
    let key = find_key(&view, &query, request);
    let explanation = explain(gate, &view, &query, key);
    reply::json(StatusCode::OK, &explanation)
}

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
            let value =
                Some(auth::decoded_percent(&value.replace('+', " "))).filter(|it| !it.is_empty());
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

#[derive(Clone, Copy)]
enum Shown<'a> {
    Missing,
    Unknown,
    Known(&'a Key),
}

fn find_key<'a>(view: &'a View, query: &Query, request: &Request) -> Shown<'a> {
    if let Some(id) = &query.key_id {
        let name = Name {
            kind: Kind::Key,
            id: id.clone(),
        };
        return match view.snapshot.get(&name).map(|it| &it.spec) {
            Some(Spec::Key(key)) => Shown::Known(key),
            _ => Shown::Unknown,
        };
    }
    match auth::shown(request.head()) {
        Ok(None) => Shown::Missing,
        Ok(Some(secret)) => view
            .snapshot
            .key(&secret.digest())
            .map_or(Shown::Unknown, Shown::Known),
        Err(_) => Shown::Unknown,
    }
}

fn explain(gate: &Gate, view: &View, query: &Query, key: Shown<'_>) -> Explanation {
    let route = match (&query.model, &query.path) {
        (Some(model), _) => view.model(model),
        (None, Some(path)) => view.path(path),
        (None, None) => None,
    };
    let (state, account) = match key {
        Shown::Missing => ("missing", None),
        Shown::Unknown => ("unknown", None),
        Shown::Known(key) if key.is_expired(SystemTime::now()) => {
            ("expired", Some(key.account.clone()))
        }
        Shown::Known(key) => ("valid", Some(key.account.clone())),
    };
    let config = gate.config.borrow();
    let age = config.age(Instant::now());
    let pools = route.map_or_else(Vec::new, |route| pools(gate, view, route));
    let current = gate.is_current();
    Explanation {
        version: config.version(),
        proof_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        current,
        key: state,
        account,
        route: route.map(|it| it.id.clone()),
        class: route.map(|it| it.class.clone()),
        verdict: verdict(route.map(AsRef::as_ref), state, current, &pools),
        pools,
    }
}

fn verdict(route: Option<&Route>, key: &str, current: bool, pools: &[Pool]) -> String {
    let Some(route) = route else {
        return "refused: no route matches".to_owned();
    };
    if route.access == Access::Keyed {
        if !current {
            return "refused: config_stale".to_owned();
        }
        if key == "missing" {
            return "refused: key_missing".to_owned();
        }
        if key != "valid" {
            return "refused: key_invalid".to_owned();
        }
    }
    let mut endpoints = pools.iter().flat_map(|it| &it.endpoints);
    if endpoints.any(|it| it.candidate) {
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
    let usable = view.endpoints(pool);
    let mut all: Vec<Endpoint> = usable
        .iter()
        .map(|it| Endpoint {
            endpoint: it.id.clone(),
            candidate: true,
            reason: format!(
                "{} in flight of {} slots",
                gate.choice.in_flight(&it.id),
                it.slots
            ),
        })
        .collect();
    for endpoint in view.snapshot.endpoints().filter(|it| it.pool == pool) {
        if usable.iter().all(|it| it.id != endpoint.id) {
            all.push(Endpoint {
                endpoint: endpoint.id.clone(),
                candidate: false,
                reason: "leaving".to_owned(),
            });
        }
    }
    all
}
