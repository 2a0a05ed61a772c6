//! Registered endpoints by id.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_model::id::{EndpointId, ZoneId};

use crate::config::ServiceId;

/// One incarnation of an endpoint, as it registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id; a restarted endpoint may register under the same one.
    pub id: EndpointId,
    /// When this incarnation started, in milliseconds since the Unix epoch; `None` if it does not
    /// tell.
    pub born: Option<u64>,
    /// Number of this statement, which grows with each one of an incarnation; `None` if it does not tell.
    pub number: Option<u64>,
    /// Service whose requests it handles.
    pub service: ServiceId,
    /// Address at which it listens for requests.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Whether the platform may take it away on short notice.
    pub reclaimable: bool,
    /// How much longer it was cold when it wrote this; zero if it was warm.
    pub cold: Duration,
}

/// Identity of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: EndpointId,
    born: Option<u64>,
    address: SocketAddr,
}

impl Incarnation {
    /// Creates the identity of an incarnation, as an [`Endpoint`] has it.
    pub fn new(id: EndpointId, born: Option<u64>, address: SocketAddr) -> Self {
        Self { id, born, address }
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns when the incarnation started, in milliseconds since the Unix epoch.
    pub fn born(&self) -> Option<u64> {
        self.born
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl From<&Endpoint> for Incarnation {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.clone(),
            born: endpoint.born,
            address: endpoint.address,
        }
    }
}

impl Endpoint {
    /// Returns whether both are the same incarnation of the same endpoint.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.born == other.born && self.address == other.address
    }

    /// Returns whether this statement of an endpoint is older or newer than another one of the endpoint with the
    /// same id; `None` if they do not tell.
    pub fn order(&self, other: &Self) -> Option<Ordering> {
        let born = self.born.zip(other.born);
        let born = born.map(|(own, other)| own.cmp(&other));
        if let Some(order) = born.filter(|order| order.is_ne()) {
            return Some(order);
        }
        let is_same_process = born.is_some() || self.is_same_incarnation(other);
        let numbers = self.number.zip(other.number);
        let numbers = numbers.filter(|_| is_same_process);
        numbers.map(|(own, other)| own.cmp(&other))
    }

    /// Returns whether both say the same, whatever the numbers of the statements are.
    pub fn is_same_content(&self, other: &Self) -> bool {
        let numbered = Self {
            number: self.number,
            ..other.clone()
        };
        *self == numbered
    }
}

/// Change of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint, or a new incarnation of a known one.
    Joined(Rc<Endpoint>),
    /// The same incarnation with other data than before.
    Updated(Rc<Endpoint>),
    /// The endpoint with this id is no longer listed.
    Left(EndpointId),
}

/// List of registered endpoints.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    endpoints: HashMap<EndpointId, Rc<Endpoint>>,
}

impl Roster {
    /// Adds or replaces an endpoint; returns `None` if nothing has changed but the number of the statement.
    pub fn insert(&mut self, endpoint: Endpoint) -> Option<Change> {
        let current = self.endpoints.get_mut(&endpoint.id);
        if let Some(current) = current
            && current.is_same_content(&endpoint)
        {
            *current = Rc::new(endpoint);
            return None;
        }
        let current = self.endpoints.get(&endpoint.id);
        let is_update = current.is_some_and(|current| current.is_same_incarnation(&endpoint));
        let endpoint = Rc::new(endpoint);
        self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        Some(if is_update {
            Change::Updated(endpoint)
        } else {
            Change::Joined(endpoint)
        })
    }

    /// Removes an endpoint; returns `None` if it was not listed.
    pub fn remove(&mut self, id: &str) -> Option<Change> {
        self.endpoints
            .remove(id)
            .map(|endpoint| Change::Left(endpoint.id.clone()))
    }

    /// Returns a listed endpoint; `None` if it is not listed.
    pub fn get(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns the ids of all listed endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns all listed endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }
}
