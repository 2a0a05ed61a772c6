//! Pools, which are groups of endpoints that routes refer to.

use crate::id::{ModelId, PoolId};

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Model that the engines of the pool load; `None` for plain services.
    pub model: Option<ModelId>,
    /// Number of endpoints that are kept even without demand.
    pub min_endpoints: u32,
    /// Maximum number of endpoints; equal to `min_endpoints` for a fixed pool.
    pub max_endpoints: u32,
    /// Whether cheaper, reclaimable endpoints may be ordered.
    pub reclaimable: bool,
}
