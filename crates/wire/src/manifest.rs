//! Resources as operators write them, in YAML or JSON.
//!
//! ```yaml
//! kind: class
//! id: chat
//! tier: 1
//! target: { first_token: 900ms, between_tokens: 28ms, deadline: 30s }
//! ```

/// Implements the conversions between two enumerations with the same variants.
macro_rules! convert_enum {
    ($wire:ty, $domain:ty, $($variant:ident),+) => {
        impl From<$domain> for $wire {
            fn from(domain: $domain) -> Self {
                match domain { $(<$domain>::$variant => Self::$variant,)+ }
            }
        }
        impl From<$wire> for $domain {
            fn from(wire: $wire) -> Self {
                match wire { $(<$wire>::$variant => Self::$variant,)+ }
            }
        }
    };
}

mod account;
mod class;
mod endpoint;
mod key;
mod operator;
mod pool;
mod route;

use agate_model::finding::Report;
use agate_model::key::{DIGEST_BYTES, Digest};
use agate_model::resource::{Kind, Name, Spec};
use serde::{Deserialize, Serialize};

pub use account::Account;
pub use class::{Class, Target};
pub use endpoint::{Endpoint, EndpointKind, Fencing, Protocol};
pub use key::Key;
pub use operator::{Operator, Role};
pub use pool::Pool;
pub use route::{Access, Route};

/// Maximum length of a resource name, in bytes.
pub const NAME_BYTES: usize = 128;

fn one() -> u32 {
    1
}

/// One declared resource; the field `kind` selects the variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Manifest {
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

impl Manifest {
    /// Returns the kind and name, which identify the resource.
    pub fn name(&self) -> Name {
        let (kind, id) = match self {
            Manifest::Account(account) => (Kind::Account, &account.id),
            Manifest::Key(key) => (Kind::Key, &key.id),
            Manifest::Class(class) => (Kind::Class, &class.id),
            Manifest::Pool(pool) => (Kind::Pool, &pool.id),
            Manifest::Endpoint(endpoint) => (Kind::Endpoint, &endpoint.id),
            Manifest::Route(route) => (Kind::Route, &route.id),
            Manifest::Operator(operator) => (Kind::Operator, &operator.id),
        };
        Name {
            kind,
            id: id.clone(),
        }
    }
}

impl From<Spec> for Manifest {
    fn from(spec: Spec) -> Self {
        match spec {
            Spec::Account(account) => Manifest::Account(account.into()),
            Spec::Key(key) => Manifest::Key(key.into()),
            Spec::Class(class) => Manifest::Class(class.into()),
            Spec::Pool(pool) => Manifest::Pool(pool.into()),
            Spec::Endpoint(endpoint) => Manifest::Endpoint(endpoint.into()),
            Spec::Route(route) => Manifest::Route(route.into()),
            Spec::Operator(operator) => Manifest::Operator(operator.into()),
        }
    }
}

impl TryFrom<Manifest> for Spec {
    type Error = Report;

    fn try_from(manifest: Manifest) -> Result<Self, Report> {
        let mut report = Report::default();
        let spec = match manifest {
            Manifest::Account(account) => Spec::Account(account.convert(&mut report)),
            Manifest::Key(key) => Spec::Key(key.convert(&mut report)),
            Manifest::Class(class) => Spec::Class(class.convert(&mut report)),
            Manifest::Pool(pool) => Spec::Pool(pool.convert(&mut report)),
            Manifest::Endpoint(endpoint) => Spec::Endpoint(endpoint.convert(&mut report)),
            Manifest::Route(route) => Spec::Route(route.convert(&mut report)),
            Manifest::Operator(operator) => Spec::Operator(operator.convert(&mut report)),
        };
        check_name(&spec.name().id, &spec.name().to_string(), &mut report);
        report.into_result(spec)
    }
}

fn check_name(id: &str, place: &str, report: &mut Report) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if id.is_empty() || id.len() > NAME_BYTES || !id.chars().all(is_allowed) {
        let fault = format!("id needs 1 to {NAME_BYTES} letters, digits or any of -_.:/");
        report.push(place, fault);
    }
}

fn at_least_one(value: u32, place: String, report: &mut Report) {
    if value == 0 {
        report.push(place, "needs to be 1 or more");
    }
}

fn parse_digest(text: &str, place: String, report: &mut Report) -> Digest {
    let mut digest = [0; DIGEST_BYTES];
    if hex::decode_to_slice(text, &mut digest).is_err() {
        report.push(place, "needs 64 hexadecimal digits (SHA-256)");
    }
    Digest(digest)
}
