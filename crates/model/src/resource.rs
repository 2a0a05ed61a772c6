//! Resources of every kind, their names and changes to them.

use crate::account::Account;
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::id::Version;
use crate::key::Key;
use crate::operator::Operator;
use crate::pool::Pool;
use crate::route::Route;

/// Kind of a resource; listings follow the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// An [`Account`], which owns keys and usage.
    Account,
    /// A [`Key`] of an account.
    Key,
    /// A [`Class`] of requests.
    Class,
    /// A [`Pool`] of endpoints.
    Pool,
    /// An [`Endpoint`] of a pool.
    Endpoint,
    /// A [`Route`] to a class and its pools.
    Route,
    /// An [`Operator`] credential.
    Operator,
}

impl Kind {
    /// All kinds, in the order of listings.
    pub const ALL: [Kind; 7] = [
        Kind::Account,
        Kind::Key,
        Kind::Class,
        Kind::Pool,
        Kind::Endpoint,
        Kind::Route,
        Kind::Operator,
    ];

    /// Returns the singular form used in manifests and paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Account => "account",
            Kind::Key => "key",
            Kind::Class => "class",
            Kind::Pool => "pool",
            Kind::Endpoint => "endpoint",
            Kind::Route => "route",
            Kind::Operator => "operator",
        }
    }

    /// Returns the kind with the form that [`Kind::as_str`] returns; `None` if there is no such
    /// kind.
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// Kind and name of a resource, unique in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource within its kind.
    pub id: String,
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.id)
    }
}

/// Contents of a resource as an operator declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// Declares a client account.
    Account(Account),
    /// Declares a key of an account.
    Key(Key),
    /// Declares a request class.
    Class(Class),
    /// Declares a pool of endpoints.
    Pool(Pool),
    /// Declares an endpoint.
    Endpoint(Endpoint),
    /// Declares a route.
    Route(Route),
    /// Declares an operator credential.
    Operator(Operator),
}

impl Spec {
    /// Returns the kind and name, which identify the resource.
    pub fn name(&self) -> Name {
        let (kind, id) = match self {
            Spec::Account(account) => (Kind::Account, &account.id),
            Spec::Key(key) => (Kind::Key, &key.id),
            Spec::Class(class) => (Kind::Class, &class.id),
            Spec::Pool(pool) => (Kind::Pool, &pool.id),
            Spec::Endpoint(endpoint) => (Kind::Endpoint, &endpoint.id),
            Spec::Route(route) => (Kind::Route, &route.id),
            Spec::Operator(operator) => (Kind::Operator, &operator.id),
        };
        Name {
            kind,
            id: id.clone(),
        }
    }
}

/// A declared resource and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// Configuration version that last changed the resource; conditional updates refer to it.
    pub version: Version,
    /// Contents of the resource.
    pub spec: Spec,
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Configuration version that the change creates.
    pub version: Version,
    /// Edits that take effect together.
    pub edits: Vec<Edit>,
}

/// Creation, replacement or deletion of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Creates the resource or replaces its contents.
    Put(Spec),
    /// Deletes the resource with this name.
    Delete(Name),
}
