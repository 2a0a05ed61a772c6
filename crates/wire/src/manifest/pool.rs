//! Manifest of a pool.

use agate_model::finding::Report;
use agate_model::pool;
use serde::{Deserialize, Serialize};

/// See [`pool::Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name.
    pub id: String,
    /// Model that its engines load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Endpoints kept even without demand.
    #[serde(default)]
    pub min_endpoints: u32,
    /// Endpoints never exceeded; 0 means that none are ordered.
    #[serde(default)]
    pub max_endpoints: u32,
    /// Whether reclaimable endpoints may be ordered.
    #[serde(default)]
    pub reclaimable: bool,
}

impl From<pool::Pool> for Pool {
    fn from(it: pool::Pool) -> Self {
        Self {
            id: it.id,
            model: it.model,
            min_endpoints: it.min_endpoints,
            max_endpoints: it.max_endpoints,
            reclaimable: it.reclaimable,
        }
    }
}

impl Pool {
    pub(super) fn convert(self, report: &mut Report) -> pool::Pool {
        if self.max_endpoints < self.min_endpoints {
            let place = format!("pool/{}.max_endpoints", self.id);
            report.push(place, "is below min_endpoints");
        }
        pool::Pool {
            id: self.id,
            model: self.model,
            min_endpoints: self.min_endpoints,
            max_endpoints: self.max_endpoints,
            reclaimable: self.reclaimable,
        }
    }
}
