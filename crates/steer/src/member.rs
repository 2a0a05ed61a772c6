//! Entry hosts, as this host knows them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use agate_conf::acceptance::Standing;
use agate_member::frame::{Tag, tag};
use agate_model::host::Host;
use agate_model::id::{EndpointId, HostId, PoolId, Version};
use agate_wire::address::Entry;
use agate_wire::peer::{self, HostRow};
use agate_wire::platform::{Listing, Purpose, State};
use agate_wire::sync::Pressure;
use tokio::time::Instant;

/// Consecutive unanswered exchanges after which a host is not named to callers.
const MISSED_LIMIT: u32 = 3;

/// Time for which a pressure signal counts.
const PRESSURE_LIFETIME: Duration = Duration::from_secs(3);

/// One entry host other than this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// Addresses and run.
    pub host: Host,
    /// Tag of the host in frames.
    pub host_tag: Tag,
    /// Tag of the run in frames.
    pub run_tag: Tag,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it was last heard.
    pub heard: Option<Instant>,
    /// Highest version that this run is known to have.
    pub version: Version,
    /// Version of its gate, as last heard.
    pub gate_version: Version,
    /// Age of its proof when it was last heard.
    pub proof_age: Option<Duration>,
    /// Consecutive unanswered exchanges.
    pub missed: u32,
}

/// All entry hosts.
#[derive(Debug)]
pub struct Members {
    own: HostRow,
    members: RefCell<BTreeMap<HostId, Member>>,
    ended: RefCell<BTreeSet<EndedRun>>,
    listing: RefCell<HashMap<HostId, State>>,
    floors: RefCell<BTreeMap<PoolId, Floor>>,
    store: Cell<Option<Instant>>,
    leaving: Cell<bool>,
}

/// Pressure on one pool.
#[derive(Debug)]
struct Floor {
    pressure: Pressure,
    at: Instant,
}

/// A run that another one has replaced at the same address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndedRun {
    host: HostId,
    incarnation: String,
}

impl Members {
    /// Only this host.
    pub fn new(own: HostRow) -> Self {
        Self {
            own,
            members: RefCell::default(),
            ended: RefCell::default(),
            listing: RefCell::default(),
            floors: RefCell::default(),
            store: Cell::new(None),
            leaving: Cell::new(false),
        }
    }

    /// Row of this host.
    pub fn own(&self) -> HostRow {
        HostRow {
            leaving: self.leaving.get(),
            ..self.own.clone()
        }
    }

    /// Rows of all known hosts, this one included.
    pub fn rows(&self) -> Vec<HostRow> {
        let members = self.members.borrow();
        let others = members.values().map(Member::row);
        others.chain([self.own()]).collect()
    }

    /// Marks this host as shutting down.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Records that the store answered a call begun at `at`.
    pub fn note_store(&self, at: Instant) {
        self.store.set(Some(at));
    }

    /// Time since the store last answered.
    pub fn store_age(&self) -> Option<Duration> {
        self.store.get().map(|at| at.elapsed())
    }

    /// Learns of a host. A row of an earlier run is ignored.
    pub fn learn(&self, row: HostRow) {
        if row.host == self.own.host {
            return;
        }
        let mut members = self.members.borrow_mut();
        let known = members.get_mut(&row.host);
        let started_ms = row.started_ms;
        match known {
            Some(it) if it.host.incarnation == row.incarnation => {
                it.host.leaving |= row.leaving;
            }
            Some(it) if it.started_ms >= started_ms => {}
            Some(it) => {
                if it.host.gossip == row.gossip {
                    self.ended.borrow_mut().insert(EndedRun {
                        host: it.host.id.clone(),
                        incarnation: it.host.incarnation.clone(),
                    });
                }
                *it = Member::new(row);
            }
            None => {
                members.insert(row.host.clone(), Member::new(row));
            }
        }
    }

    /// Forgets hosts that the store no longer names and that nobody has heard for a while.
    pub fn keep_only(&self, named: &BTreeSet<HostId>, silent: Duration) {
        let mut members = self.members.borrow_mut();
        members.retain(|id, it| {
            named.contains(id) || it.heard.is_some_and(|at| at.elapsed() < silent)
        });
    }

    /// Records a host's own word on its state.
    pub fn hear(&self, standing: &peer::Standing) {
        for row in &standing.hosts {
            self.learn(row.clone());
        }
        self.heard(
            &standing.host,
            &standing.incarnation,
            standing.version,
            |it| {
                it.gate_version = standing.gate_version;
                it.proof_age = standing.proof_age_ms.map(Duration::from_millis);
            },
        );
    }

    /// Records that a run has `version`, and whatever else `update` takes from its message.
    pub fn heard(
        &self,
        host: &str,
        incarnation: &str,
        version: Version,
        update: impl FnOnce(&mut Member),
    ) {
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(host) else {
            return;
        };
        if member.host.incarnation != incarnation {
            return;
        }
        member.version = member.version.max(version);
        member.heard = Some(Instant::now());
        member.missed = 0;
        update(member);
    }

    /// Records an exchange that a host did not answer.
    pub fn missed(&self, host: &str) {
        if let Some(member) = self.members.borrow_mut().get_mut(host) {
            member.missed = member.missed.saturating_add(1);
        }
    }

    /// Records that a run shuts down.
    pub fn run_leaves(&self, host: Tag, incarnation: Tag) {
        let mut members = self.members.borrow_mut();
        let found = members
            .values_mut()
            .find(|it| it.host_tag == host && it.run_tag == incarnation);
        if let Some(member) = found {
            member.host.leaving = true;
        }
    }

    /// The host with this run.
    pub fn run(&self, host: Tag, incarnation: Tag) -> Option<Host> {
        let members = self.members.borrow();
        let mut all = members.values();
        let found = all.find(|it| it.host_tag == host && it.run_tag == incarnation);
        found.map(|it| it.host.clone())
    }

    /// Takes over the platform's list of hosts; answers the endpoints that leave.
    pub fn set_listing(&self, listing: &Listing) -> BTreeSet<EndpointId> {
        let mut endpoints = BTreeSet::new();
        let mut hosts = HashMap::new();
        for machine in &listing.machines {
            match machine.purpose {
                Purpose::Host => {
                    hosts.insert(machine.id.clone(), machine.state);
                }
                Purpose::Endpoint if machine.state != State::Live => {
                    endpoints.insert(machine.id.clone());
                }
                Purpose::Endpoint => {}
            }
        }
        *self.listing.borrow_mut() = hosts;
        endpoints
    }

    /// Whether the platform lists a host as gone for good.
    pub fn is_gone(&self, host: &str) -> bool {
        self.listing.borrow().get(host) == Some(&State::Gone)
    }

    /// What is known of a run as a witness.
    pub fn standing(&self, host: &str, incarnation: &str) -> Standing {
        let run = EndedRun {
            host: host.to_owned(),
            incarnation: incarnation.to_owned(),
        };
        if self.is_gone(host) || self.ended.borrow().contains(&run) {
            return Standing::Ended;
        }
        match self.members.borrow().get(host) {
            Some(it) if it.host.incarnation == incarnation => Standing::Has(it.version),
            _ => Standing::Unknown,
        }
    }

    /// All other hosts that are not gone.
    pub fn peers(&self) -> Vec<Member> {
        let members = self.members.borrow();
        members
            .values()
            .filter(|it| !self.is_gone(&it.host.id))
            .cloned()
            .collect()
    }

    /// One host.
    pub fn get(&self, host: &str) -> Option<Member> {
        self.members.borrow().get(host).cloned()
    }

    /// Other hosts that neither leave nor fail to answer.
    pub fn live(&self) -> Vec<Member> {
        self.peers()
            .into_iter()
            .filter(|it| self.is_live(it))
            .collect()
    }

    fn is_live(&self, member: &Member) -> bool {
        let listed = self.listing.borrow().get(&member.host.id).copied();
        let is_listed_live = listed.is_none_or(|state| state == State::Live);
        is_listed_live && !member.host.leaving && member.missed < MISSED_LIMIT
    }

    /// Pressure that peers have signalled: the lowest tier still admitted, by pool.
    pub fn pressure(&self) -> Vec<Pressure> {
        let floors = self.floors.borrow();
        let is_young = |it: &&Floor| it.at.elapsed() < PRESSURE_LIFETIME;
        floors
            .values()
            .filter(is_young)
            .map(|it| it.pressure.clone())
            .collect()
    }

    /// Records pressure that was signalled at `at`.
    pub fn press(&self, pressure: Pressure, at: Instant) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors
            .entry(pressure.pool.clone())
            .or_insert_with(|| Floor {
                pressure: pressure.clone(),
                at,
            });
        let is_stricter = pressure.floor <= floor.pressure.floor;
        let has_lapsed = floor.at.elapsed() >= PRESSURE_LIFETIME;
        if has_lapsed || (is_stricter && at >= floor.at) {
            *floor = Floor { pressure, at };
        }
    }

    /// Entry hosts to name to callers.
    pub fn entries(&self) -> Vec<Entry> {
        let own = (!self.is_leaving()).then(|| Entry {
            host: self.own.host.clone(),
            zone: self.own.zone.clone(),
            address: self.own.gate,
        });
        let others = self.live().into_iter().map(|it| Entry {
            host: it.host.id,
            zone: it.host.zone,
            address: it.host.gate,
        });
        own.into_iter().chain(others).collect()
    }

    /// Whether this host shuts down, by its own decision or by the platform's list.
    pub fn is_leaving(&self) -> bool {
        let listed = self.listing.borrow().get(&self.own.host).copied();
        self.leaving.get() || listed.is_some_and(|state| state != State::Live)
    }

    /// Number of hosts known to have `version`, and of all hosts. `own` is this host's version.
    pub fn in_force(&self, version: Version, own: Version) -> (u32, u32) {
        let peers = self.peers();
        let count =
            peers.iter().filter(|it| it.version >= version).count() + usize::from(own >= version);
        let saturate = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (saturate(count), saturate(peers.len() + 1))
    }
}

impl Member {
    fn row(&self) -> HostRow {
        HostRow {
            host: self.host.id.clone(),
            incarnation: self.host.incarnation.clone(),
            zone: self.host.zone.clone(),
            gate: self.host.gate,
            steer: self.host.steer,
            gossip: self.host.gossip,
            started_ms: self.started_ms,
            leaving: self.host.leaving,
        }
    }

    fn new(row: HostRow) -> Self {
        Self {
            host_tag: tag(&row.host),
            run_tag: tag(&row.incarnation),
            started_ms: row.started_ms,
            host: row.into(),
            heard: None,
            version: 0,
            gate_version: 0,
            proof_age: None,
            missed: 0,
        }
    }
}
