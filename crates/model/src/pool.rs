//! Pools: the endpoints that a class may use.

use crate::id::{ModelId, PoolId};

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name.
    pub id: PoolId,
    /// Model that its engines load; `None` for plain services.
    pub model: Option<ModelId>,
    /// Endpoints kept even without demand.
    pub min_endpoints: u32,
    /// Endpoints never exceeded; equal to `min_endpoints` for a fixed pool.
    pub max_endpoints: u32,
    /// Whether cheaper, reclaimable endpoints may be ordered.
    pub reclaimable: bool,
}
