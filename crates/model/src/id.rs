//! Identifiers and counters.

/// Name of a client account.
pub type AccountId = String;
/// Name of a key. It is public, unlike the key itself.
pub type KeyId = String;
/// Name of a request class.
pub type ClassId = String;
/// Name of a pool of endpoints.
pub type PoolId = String;
/// Name of an endpoint.
pub type EndpointId = String;
/// Name of a model, as callers write it.
pub type ModelId = String;
/// Name of a route.
pub type RouteId = String;
/// Name of an operator credential.
pub type OperatorId = String;
/// Name of an entry host.
pub type HostId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Random identity of one run of a process; a restarted process has a new one.
pub type Incarnation = String;
/// Identity of one caller request, carried through logs, engines and answers.
pub type RequestId = String;
/// Configuration version, assigned by the store's transaction, from 1. Zero means "none yet".
pub type Version = u64;
/// Lease epoch and fencing number; grows with every change of holder.
pub type Epoch = u64;
/// Start of a reporting window, in seconds since the Unix epoch.
pub type Window = u64;
/// Priority of a class; 0 is the highest.
pub type Tier = u8;

/// Number of tiers that a class may name.
pub const TIER_COUNT: usize = 5;
