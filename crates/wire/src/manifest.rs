//! Resources as operators write them, in YAML or JSON.
//!
//! ```yaml
//! kind: class
//! id: chat
//! tier: 1
//! target: { first_token: 900ms, between_tokens: 28ms, deadline: 30s }
//! ```

/// Conversions between two enumerations with the same variants.
macro_rules! mirror {
    ($wire:ty, $domain:ty, $($variant:ident),+) => {
        impl From<$domain> for $wire {
            fn from(it: $domain) -> Self {
                match it { $(<$domain>::$variant => Self::$variant,)+ }
            }
        }
        impl From<$wire> for $domain {
            fn from(it: $wire) -> Self {
                match it { $(<$wire>::$variant => Self::$variant,)+ }
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

/// Longest name, in bytes.
pub const NAME_BYTES: usize = 128;

fn one() -> u32 {
    1
}

/// One declared resource; `kind` selects the form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Manifest {
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

impl Manifest {
    /// Kind and name.
    pub fn name(&self) -> Name {
        let (kind, id) = match self {
            Manifest::Account(it) => (Kind::Account, &it.id),
            Manifest::Key(it) => (Kind::Key, &it.id),
            Manifest::Class(it) => (Kind::Class, &it.id),
            Manifest::Pool(it) => (Kind::Pool, &it.id),
            Manifest::Endpoint(it) => (Kind::Endpoint, &it.id),
            Manifest::Route(it) => (Kind::Route, &it.id),
            Manifest::Operator(it) => (Kind::Operator, &it.id),
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
            Spec::Account(it) => Manifest::Account(it.into()),
            Spec::Key(it) => Manifest::Key(it.into()),
            Spec::Class(it) => Manifest::Class(it.into()),
            Spec::Pool(it) => Manifest::Pool(it.into()),
            Spec::Endpoint(it) => Manifest::Endpoint(it.into()),
            Spec::Route(it) => Manifest::Route(it.into()),
            Spec::Operator(it) => Manifest::Operator(it.into()),
        }
    }
}

impl TryFrom<Manifest> for Spec {
    type Error = Report;

    fn try_from(manifest: Manifest) -> Result<Self, Report> {
        let mut report = Report::default();
        let spec = match manifest {
            Manifest::Account(it) => Spec::Account(it.convert(&mut report)),
            Manifest::Key(it) => Spec::Key(it.convert(&mut report)),
            Manifest::Class(it) => Spec::Class(it.convert(&mut report)),
            Manifest::Pool(it) => Spec::Pool(it.convert(&mut report)),
            Manifest::Endpoint(it) => Spec::Endpoint(it.convert(&mut report)),
            Manifest::Route(it) => Spec::Route(it.convert(&mut report)),
            Manifest::Operator(it) => Spec::Operator(it.convert(&mut report)),
        };
        check_name(&spec.name().id, &spec.name().to_string(), &mut report);
        report.into_result(spec)
    }
}

fn check_name(id: &str, place: &str, report: &mut Report) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if id.is_empty() || id.len() > NAME_BYTES || !id.chars().all(is_plain) {
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
