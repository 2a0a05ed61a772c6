//! Manifest of a route.

use agate_model::finding::Report;
use agate_model::route;
use serde::{Deserialize, Serialize};

/// Serialised form of [`route::Access`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers need a key.
    #[default]
    Keyed,
    /// Everyone may use the route.
    Open,
}

/// Serialised form of [`route::Route`]. Exactly one of `model` and `prefix` is set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub id: String,
    /// Model whose calls the route matches; `None` if it matches a path prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Prefix of the paths that the route matches; `None` if it matches a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Callers that may use the route, written `keyed` or `open`.
    #[serde(default)]
    pub access: Access,
    /// Class of requests that name no class.
    pub class: String,
    /// Pools that may serve the requests, in order of preference; at least one.
    pub pools: Vec<String>,
}

convert_enum!(Access, route::Access, Keyed, Open);

impl From<route::Route> for Route {
    fn from(route: route::Route) -> Self {
        let (model, prefix) = match route.matches {
            route::Match::Model(id) => (Some(id), None),
            route::Match::Prefix(prefix) => (None, Some(prefix)),
        };
        Self {
            id: route.id,
            model,
            prefix,
            access: route.access.into(),
            class: route.class,
            pools: route.pools,
        }
    }
}

impl Route {
    pub(super) fn convert(self, report: &mut Report) -> route::Route {
        let place = format!("route/{}", self.id);
        if self.pools.is_empty() {
            report.push(format!("{place}.pools"), "needs at least one pool");
        }
        let matches = match (self.model, self.prefix) {
            (Some(id), None) => route::Match::Model(id),
            (None, Some(prefix)) => {
                if !prefix.starts_with('/') || prefix.len() < 2 || prefix.ends_with('/') {
                    report.push(format!("{place}.prefix"), "needs the form /name");
                }
                if prefix == "/v1" || prefix.starts_with("/v1/") {
                    report.push(format!("{place}.prefix"), "/v1 is kept for model calls");
                }
                route::Match::Prefix(prefix)
            }
            _ => {
                report.push(place, "needs either model or prefix");
                route::Match::Prefix(String::new())
            }
        };
        route::Route {
            id: self.id,
            matches,
            access: self.access.into(),
            class: self.class,
            pools: self.pools,
        }
    }
}
