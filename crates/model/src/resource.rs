//! Any resource, with its kind and name.

use crate::account::Account;
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::id::Version;
use crate::key::Key;
use crate::operator::Operator;
use crate::pool::Pool;
use crate::route::Route;

/// Kind of a resource; the order is the order of listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// [`Account`].
    Account,
    /// [`Key`].
    Key,
    /// [`Class`].
    Class,
    /// [`Pool`].
    Pool,
    /// [`Endpoint`].
    Endpoint,
    /// [`Route`].
    Route,
    /// [`Operator`].
    Operator,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 7] = [
        Kind::Account,
        Kind::Key,
        Kind::Class,
        Kind::Pool,
        Kind::Endpoint,
        Kind::Route,
        Kind::Operator,
    ];

    /// Singular form used in manifests and paths.
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

    /// Inverse of [`Kind::as_str`].
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// Kind and name; unique in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name {
    /// Kind.
    pub kind: Kind,
    /// Name within the kind.
    pub id: String,
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.id)
    }
}

/// What an operator declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// A client account.
    Account(Account),
    /// A key of an account.
    Key(Key),
    /// A request class.
    Class(Class),
    /// A pool of endpoints.
    Pool(Pool),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A route.
    Route(Route),
    /// An operator credential.
    Operator(Operator),
}

impl Spec {
    /// Kind and name.
    pub fn name(&self) -> Name {
        let (kind, id) = match self {
            Spec::Account(it) => (Kind::Account, &it.id),
            Spec::Key(it) => (Kind::Key, &it.id),
            Spec::Class(it) => (Kind::Class, &it.id),
            Spec::Pool(it) => (Kind::Pool, &it.id),
            Spec::Endpoint(it) => (Kind::Endpoint, &it.id),
            Spec::Route(it) => (Kind::Route, &it.id),
            Spec::Operator(it) => (Kind::Operator, &it.id),
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
    /// Configuration version that last changed it; the base of conditional updates.
    pub version: Version,
    /// What was declared.
    pub spec: Spec,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version that the change created.
    pub version: Version,
    /// Resources changed together.
    pub edits: Vec<Edit>,
}

/// Change of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Created or replaced.
    Put(Spec),
    /// Deleted.
    Delete(Name),
}
