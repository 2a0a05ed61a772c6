//! Manifest of a pool.

use agate_model::finding::Report;
use agate_model::pool;
use serde::{Deserialize, Serialize};

/// Serialised form of [`pool::Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub id: String,
    /// Name of the model that the engines load; `None` for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Number of endpoints that are kept even without demand.
    #[serde(default)]
    pub min_endpoints: u32,
    /// Maximum number of endpoints, at least `min_endpoints`; 0 means that none are ordered.
    #[serde(default)]
    pub max_endpoints: u32,
    /// Whether reclaimable endpoints may be ordered.
    #[serde(default)]
    pub reclaimable: bool,
}

impl From<pool::Pool> for Pool {
    fn from(pool: pool::Pool) -> Self {
        Self {
            id: pool.id,
            model: pool.model,
            min_endpoints: pool.min_endpoints,
            max_endpoints: pool.max_endpoints,
            reclaimable: pool.reclaimable,
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
