//! Names, process identities and version numbers that all programs use.

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
/// Random identity of one process incarnation; a restarted process has a new one.
pub type Incarnation = String;
/// Identity of one caller request, carried through logs, engines and responses.
pub type RequestId = String;
/// Configuration version, assigned by the store's transaction, from 1; 0 means that there is none
/// yet.
pub type Version = u64;
/// Lease epoch, which is also the fencing token; grows with every change of the lease holder.
pub type Epoch = u64;
/// Number of returns of a store from an older copy, as the store counts them; 0 for a store that does not count.
pub type Era = u64;
/// Revision of a commit to a store: its era and its number, see [`crate::revision`].
pub type Revision = u64;
/// Start of a reporting window, in seconds since the Unix epoch.
pub type Window = u64;
/// Priority of a class; 0 is the highest.
pub type Tier = u8;

/// Number of tiers; the tier of a class is below it.
pub const TIER_COUNT: usize = 5;
