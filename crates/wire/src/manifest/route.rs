//! Manifest of a route.

use agate_model::finding::Report;
use agate_model::route;
use serde::{Deserialize, Serialize};

/// See [`route::Access`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// A key is needed.
    #[default]
    Keyed,
    /// Open to all.
    Open,
}

/// See [`route::Route`]. Exactly one of `model` and `prefix` is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub id: String,
    /// Model calls that name this model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Paths that begin with this prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// `keyed` or `open`.
    #[serde(default)]
    pub access: Access,
    /// Class of requests that name none.
    pub class: String,
    /// Pools in order of preference.
    pub pools: Vec<String>,
}

mirror!(Access, route::Access, Keyed, Open);

impl From<route::Route> for Route {
    fn from(it: route::Route) -> Self {
        let (model, prefix) = match it.matches {
            route::Match::Model(id) => (Some(id), None),
            route::Match::Prefix(prefix) => (None, Some(prefix)),
        };
        Self {
            id: it.id,
            model,
            prefix,
            access: it.access.into(),
            class: it.class,
            pools: it.pools,
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
