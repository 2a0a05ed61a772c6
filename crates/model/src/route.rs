//! Routes from paths and model names to classes and pools.

use crate::id::{ClassId, ModelId, PoolId, RouteId};

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers that show a key.
    Keyed,
    /// Everyone; the request runs for no account.
    Open,
}

/// What a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Match {
    /// Model calls that name this model.
    Model(ModelId),
    /// Paths that begin with this prefix, at a segment border.
    Prefix(String),
}

/// Maps requests to a class and the pools that may serve them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub id: RouteId,
    /// What it matches.
    pub matches: Match,
    /// Who may use it.
    pub access: Access,
    /// Class of requests that name none.
    pub class: ClassId,
    /// Pools in order of preference.
    pub pools: Vec<PoolId>,
}
