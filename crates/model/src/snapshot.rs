//! A whole configuration at one version.

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

/// Resources by name, with the indexes that requests need.
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

/// A change that does not continue a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("change {change} does not follow version {have}")]
pub struct Gap {
    /// Version of the snapshot.
    pub have: Version,
    /// Version of the change.
    pub change: Version,
}

impl Snapshot {
    /// A snapshot from resources read together.
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

    /// Version of the last change included.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// One resource.
    pub fn get(&self, name: &Name) -> Option<&Resource> {
        self.resources.get(name)
    }

    /// Applies the change that follows this version. Older changes are ignored.
    pub fn apply(&mut self, change: Change) -> Result<(), Gap> {
        if change.version <= self.version {
            return Ok(());
        }
        if change.version != self.version + 1 {
            return Err(Gap {
                have: self.version,
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

    /// Key with this digest.
    pub fn key(&self, digest: &Digest) -> Option<&Key> {
        let name = self.keys.get(digest)?;
        match &self.resources.get(name)?.spec {
            Spec::Key(key) if key.digest.is_same(digest) => Some(key),
            _ => None,
        }
    }

    /// Operator with this digest.
    pub fn operator(&self, digest: &Digest) -> Option<&Operator> {
        let name = self.operators.get(digest)?;
        match &self.resources.get(name)?.spec {
            Spec::Operator(operator) if operator.digest.is_same(digest) => Some(operator),
            _ => None,
        }
    }

    /// Account by name.
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        match self.spec(Kind::Account, id)? {
            Spec::Account(it) => Some(it),
            _ => None,
        }
    }

    /// Class by name.
    pub fn class(&self, id: &ClassId) -> Option<&Class> {
        match self.spec(Kind::Class, id)? {
            Spec::Class(it) => Some(it),
            _ => None,
        }
    }

    /// Pool by name.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        match self.spec(Kind::Pool, id)? {
            Spec::Pool(it) => Some(it),
            _ => None,
        }
    }

    /// Endpoint by name.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        match self.spec(Kind::Endpoint, id)? {
            Spec::Endpoint(it) => Some(it),
            _ => None,
        }
    }

    /// All accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.of_kind(Kind::Account).filter_map(|it| match &it.spec {
            Spec::Account(account) => Some(account),
            _ => None,
        })
    }

    /// All classes.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.of_kind(Kind::Class).filter_map(|it| match &it.spec {
            Spec::Class(class) => Some(class),
            _ => None,
        })
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.of_kind(Kind::Pool).filter_map(|it| match &it.spec {
            Spec::Pool(pool) => Some(pool),
            _ => None,
        })
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.of_kind(Kind::Endpoint)
            .filter_map(|it| match &it.spec {
                Spec::Endpoint(endpoint) => Some(endpoint),
                _ => None,
            })
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.of_kind(Kind::Route).filter_map(|it| match &it.spec {
            Spec::Route(route) => Some(route),
            _ => None,
        })
    }

    /// References to resources that do not exist, and routes that match the same requests.
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
        let mut need = |kind: Kind, id: &String| {
            if self.spec(kind, id).is_none() {
                let fault = format!("{} {id:?} is not declared", kind.as_str());
                report.push(place.clone(), fault);
            }
        };
        match spec {
            Spec::Account(account) => account.classes.iter().for_each(|id| need(Kind::Class, id)),
            Spec::Key(key) => need(Kind::Account, &key.account),
            Spec::Endpoint(endpoint) => need(Kind::Pool, &endpoint.pool),
            Spec::Route(route) => {
                need(Kind::Class, &route.class);
                route.pools.iter().for_each(|id| need(Kind::Pool, id));
            }
            Spec::Class(_) | Spec::Pool(_) | Spec::Operator(_) => {}
        }
    }

    fn check_routes(&self, report: &mut finding::Report) {
        let mut seen: HashMap<&str, &str> = HashMap::new();
        for route in self.routes() {
            let target = match &route.matches {
                Match::Model(id) => id.as_str(),
                Match::Prefix(prefix) => prefix.as_str(),
            };
            if let Some(other) = seen.insert(target, &route.id) {
                let fault = format!("matches the same requests as route/{other}");
                report.push(format!("route/{}", route.id), fault);
            }
        }
    }

    /// Resources of one kind. They stand together, so that others are not looked at.
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
        self.resources.get(&name).map(|it| &it.spec)
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
        match self.resources.remove(name).map(|it| it.spec) {
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
