//! Routes, which map paths and model names to classes and pools.

use crate::id::{ClassId, ModelId, PoolId, RouteId};

/// Callers that may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Only callers that send a valid key may use the route.
    Keyed,
    /// Everyone may use the route; the request belongs to no account.
    Open,
}

/// Requests that a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Match {
    /// Model calls that name this model.
    Model(ModelId),
    /// Paths that start with this prefix and whose rest starts at a segment boundary.
    Prefix(String),
}

/// Maps requests to a class and to the pools that may serve them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Requests that the route matches.
    pub matches: Match,
    /// Callers that may use the route.
    pub access: Access,
    /// Class of requests that name no class.
    pub class: ClassId,
    /// Pools that may serve the requests, in order of preference.
    pub pools: Vec<PoolId>,
}
