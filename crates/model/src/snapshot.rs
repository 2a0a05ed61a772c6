//! Snapshots, which hold all resources of one configuration version.

use std::collections::{BTreeMap, HashMap};

use crate::account::Account;
use crate::class::Class;
use crate::endpoint::Endpoint;
use crate::finding;
use crate::id::{AccountId, ClassId, EndpointId, PoolId, Version};
use crate::key::{Digest, Key};
use crate::operator::Operator;
use crate::pool::Pool;
use crate::resource::{Change, Edit, Kind, Name, Resource, Spec};
use crate::route::{Match, Route};

/// Resources by name, with indexes for the look-ups that requests require.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    version: Version,
    resources: BTreeMap<Name, Resource>,
    keys: HashMap<Digest, Name>,
    operators: HashMap<Digest, Name>,
}

impl PartialEq for Snapshot {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version && self.resources == other.resources
    }
}

impl Eq for Snapshot {}

/// Error for a change that does not directly follow the version of the snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change {change} does not follow version {current}")]
pub struct Gap {
    /// Configuration version of the snapshot.
    pub current: Version,
    /// Version of the change that was to be applied.
    pub change: Version,
}

impl Snapshot {
    /// Returns a snapshot of resources that were read at the same version.
    pub fn new(version: Version, resources: impl IntoIterator<Item = Resource>) -> Self {
        let mut snapshot = Self {
            version,
            ..Self::default()
        };
        for resource in resources {
            snapshot.insert(resource);
        }
        snapshot
    }

    /// Returns the version of the last change that the snapshot includes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns all resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Returns the resource with this kind and name; `None` if it is not declared.
    pub fn get(&self, name: &Name) -> Option<&Resource> {
        self.resources.get(name)
    }

    /// Applies the change that follows this version and ignores older changes. Fails if changes
    /// between them are missing.
    pub fn apply(&mut self, change: Change) -> Result<(), Gap> {
        if change.version <= self.version {
            return Ok(());
        }
        if change.version != self.version + 1 {
            return Err(Gap {
                current: self.version,
                change: change.version,
            });
        }
        for edit in change.edits {
            match edit {
                Edit::Put(spec) => self.insert(Resource {
                    version: change.version,
                    spec,
                }),
                Edit::Delete(name) => self.remove(&name),
            }
        }
        self.version = change.version;
        Ok(())
    }

    /// Returns the key with this digest, whether or not it has expired; `None` if it is not
    /// declared.
    pub fn key(&self, digest: &Digest) -> Option<&Key> {
        let name = self.keys.get(digest)?;
        match &self.resources.get(name)?.spec {
            Spec::Key(key) if key.digest.is_same(digest) => Some(key),
            _ => None,
        }
    }

    /// Returns the operator whose credential has this digest.
    pub fn operator(&self, digest: &Digest) -> Option<&Operator> {
        let name = self.operators.get(digest)?;
        match &self.resources.get(name)?.spec {
            Spec::Operator(operator) if operator.digest.is_same(digest) => Some(operator),
            _ => None,
        }
    }

    /// Returns the account with this name; `None` if it is not declared.
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        match self.spec(Kind::Account, id)? {
            Spec::Account(account) => Some(account),
            _ => None,
        }
    }

    /// Returns the class with this name; `None` if it is not declared.
    pub fn class(&self, id: &ClassId) -> Option<&Class> {
        match self.spec(Kind::Class, id)? {
            Spec::Class(class) => Some(class),
            _ => None,
        }
    }

    /// Returns the pool with this name; `None` if it is not declared.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        match self.spec(Kind::Pool, id)? {
            Spec::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns the endpoint with this name; `None` if it is not declared.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        match self.spec(Kind::Endpoint, id)? {
            Spec::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    /// Returns all accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.of_kind(Kind::Account)
            .filter_map(|resource| match &resource.spec {
                Spec::Account(account) => Some(account),
                _ => None,
            })
    }

    /// Returns all classes, ordered by name.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.of_kind(Kind::Class)
            .filter_map(|resource| match &resource.spec {
                Spec::Class(class) => Some(class),
                _ => None,
            })
    }

    /// Returns all pools, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.of_kind(Kind::Pool)
            .filter_map(|resource| match &resource.spec {
                Spec::Pool(pool) => Some(pool),
                _ => None,
            })
    }

    /// Returns all declared endpoints, ordered by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.of_kind(Kind::Endpoint)
            .filter_map(|resource| match &resource.spec {
                Spec::Endpoint(endpoint) => Some(endpoint),
                _ => None,
            })
    }

    /// Returns all routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.of_kind(Kind::Route)
            .filter_map(|resource| match &resource.spec {
                Spec::Route(route) => Some(route),
                _ => None,
            })
    }

    /// Reports references to resources that do not exist, and routes that match the same requests.
    pub fn check(&self) -> finding::Report {
        let mut report = finding::Report::default();
        for resource in self.resources.values() {
            self.check_references(&resource.spec, &mut report);
        }
        self.check_routes(&mut report);
        report
    }

    fn check_references(&self, spec: &Spec, report: &mut finding::Report) {
        let place = spec.name().to_string();
        let mut require = |kind: Kind, id: &String| {
            if self.spec(kind, id).is_none() {
                let fault = format!("{} {id:?} is not declared", kind.as_str());
                report.push(place.clone(), fault);
            }
        };
        match spec {
            Spec::Account(account) => account
                .classes
                .iter()
                .for_each(|id| require(Kind::Class, id)),
            Spec::Key(key) => require(Kind::Account, &key.account),
            Spec::Endpoint(endpoint) => require(Kind::Pool, &endpoint.pool),
            Spec::Route(route) => {
                require(Kind::Class, &route.class);
                route.pools.iter().for_each(|id| require(Kind::Pool, id));
            }
            Spec::Class(_) | Spec::Pool(_) | Spec::Operator(_) => {}
        }
    }

    fn check_routes(&self, report: &mut finding::Report) {
        let mut seen: HashMap<&str, &str> = HashMap::new();
        for route in self.routes() {
            let pattern = match &route.matches {
                Match::Model(id) => id.as_str(),
                Match::Prefix(prefix) => prefix.as_str(),
            };
            if let Some(other) = seen.insert(pattern, &route.id) {
                let fault = format!("matches the same requests as route/{other}");
                report.push(format!("route/{}", route.id), fault);
            }
        }
    }

    /// Returns the resources of one kind, ordered by name. They are adjacent in the map, so the
    /// iterator visits no other resources.
    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        let first = Name {
            kind,
            id: String::new(),
        };
        self.resources
            .range(first..)
            .take_while(move |(name, _)| name.kind == kind)
            .map(|(_, resource)| resource)
    }

    fn spec(&self, kind: Kind, id: &str) -> Option<&Spec> {
        let name = Name {
            kind,
            id: id.to_owned(),
        };
        self.resources.get(&name).map(|resource| &resource.spec)
    }

    fn insert(&mut self, resource: Resource) {
        let name = resource.spec.name();
        self.remove(&name);
        match &resource.spec {
            Spec::Key(key) => {
                self.keys.insert(key.digest, name.clone());
            }
            Spec::Operator(operator) => {
                self.operators.insert(operator.digest, name.clone());
            }
            _ => {}
        }
        self.resources.insert(name, resource);
    }

    fn remove(&mut self, name: &Name) {
        match self.resources.remove(name).map(|resource| resource.spec) {
            Some(Spec::Key(key)) => {
                self.keys.remove(&key.digest);
            }
            Some(Spec::Operator(operator)) => {
                self.operators.remove(&operator.digest);
            }
            _ => {}
        }
    }
}
