//! Membership: the entry hosts known to this host, and what it last received from each.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use agate_conf::acceptance::Standing;
use agate_member::frame::{Tag, tag};
use agate_model::host::Host;
use agate_model::id::{EndpointId, HostId, Version};
use agate_wire::address::Entry;
use agate_wire::peer::{self, HostRow};
use agate_wire::platform::{Listing, Purpose, State};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Consecutive missed gossip requests after which a host counts as unreachable and isn't named to
/// callers.
const MISSED_LIMIT: u32 = 3;

/// Last known state of an entry host other than this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id, zone, addresses and process incarnation.
    pub host: Host,
    /// Tag that stands for the host's id in gossip frames.
    pub host_tag: Tag,
    /// Tag that stands for the incarnation in gossip frames.
    pub incarnation_tag: Tag,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the last message from this incarnation; `None` before the first.
    pub last_heard: Option<Instant>,
    /// Highest configuration version that this incarnation is known to have.
    pub version: Version,
    /// Version in force in the host's gate, as last reported.
    pub gate_version: Version,
    /// Age that its newest proof had when it was last reported; `None` without a proof.
    pub proof_age: Option<Duration>,
    /// Consecutive gossip requests without a response.
    pub missed: u32,
}

/// All known entry hosts, this one included, and the platform's list of hosts.
#[derive(Debug)]
pub struct Members {
    own: HostRow,
    members: RefCell<BTreeMap<HostId, Member>>,
    ended: RefCell<BTreeSet<EndedIncarnation>>,
    listing: RefCell<HashMap<HostId, State>>,
    last_store_call: Cell<Option<Instant>>,
    leaving: Cell<bool>,
    changed: Notify,
}

/// Process incarnation that a later one has replaced at the same address, so that it has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndedIncarnation {
    host: HostId,
    incarnation: String,
}

impl Members {
    /// Creates a membership of this host alone.
    pub fn new(own: HostRow) -> Self {
        Self {
            own,
            members: RefCell::default(),
            ended: RefCell::default(),
            listing: RefCell::default(),
            last_store_call: Cell::new(None),
            leaving: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns this host's row, with its present leaving mark.
    pub fn own(&self) -> HostRow {
        HostRow {
            leaving: self.leaving.get(),
            ..self.own.clone()
        }
    }

    /// Returns the rows of all known hosts, this one included.
    pub fn rows(&self) -> Vec<HostRow> {
        let members = self.members.borrow();
        let others = members.values().map(Member::row);
        others.chain([self.own()]).collect()
    }

    /// Marks this host as shutting down.
    pub fn set_leaving(&self) {
        self.leaving.set(true);
    }

    /// Records that the store responded to a call that started at `started`.
    pub fn record_store_response(&self, started: Instant) {
        self.last_store_call.set(Some(started));
    }

    /// Returns the time since the start of the last call that the store responded to; `None` before
    /// the first.
    pub fn store_age(&self) -> Option<Duration> {
        self.last_store_call.get().map(|started| started.elapsed())
    }

    /// Adds a host or updates it from its row. A row of an earlier incarnation is ignored. A later
    /// incarnation at the same gossip address proves that the earlier one has ended.
    pub fn learn(&self, row: HostRow) {
        if row.host == self.own.host {
            return;
        }
        let mut members = self.members.borrow_mut();
        let known = members.get_mut(&row.host);
        let started_ms = row.started_ms;
        match known {
            Some(member) if member.host.incarnation == row.incarnation => {
                member.host.leaving |= row.leaving;
            }
            Some(member) if member.started_ms >= started_ms => {}
            Some(member) => {
                if member.host.gossip == row.gossip {
                    self.ended.borrow_mut().insert(EndedIncarnation {
                        host: member.host.id.clone(),
                        incarnation: member.host.incarnation.clone(),
                    });
                }
                *member = Member::new(row);
            }
            None => {
                members.insert(row.host.clone(), Member::new(row));
            }
        }
    }

    /// Forgets hosts that aren't among `named`, the rows in the store, and from which no message
    /// came for `max_silence`.
    pub fn retain(&self, named: &BTreeSet<HostId>, max_silence: Duration) {
        let mut members = self.members.borrow_mut();
        members.retain(|id, member| {
            named.contains(id)
                || member
                    .last_heard
                    .is_some_and(|at| at.elapsed() < max_silence)
        });
    }

    /// Records the state that a host reports of itself, and the rows of other hosts that it names.
    pub fn record_standing(&self, standing: &peer::HostStatus) {
        for row in &standing.hosts {
            self.learn(row.clone());
        }
        self.record_message(
            &standing.host,
            &standing.incarnation,
            standing.version,
            |member| {
                member.gate_version = standing.gate_version;
                member.proof_age = standing.proof_age_ms.map(Duration::from_millis);
            },
        );
    }

    /// Records a message from an incarnation that has `version`; `update` takes the rest of the
    /// message. A message from an unknown host or another incarnation is ignored.
    pub fn record_message(
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
        member.last_heard = Some(Instant::now());
        member.missed = 0;
        update(member);
        self.changed.notify_waiters();
    }

    /// Waits for the next recorded message of any host.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that a host did not respond to a gossip request in time.
    pub fn record_missed(&self, host: &str) {
        if let Some(member) = self.members.borrow_mut().get_mut(host) {
            member.missed = member.missed.saturating_add(1);
        }
    }

    /// Records that an incarnation shuts down.
    pub fn mark_leaving(&self, host: Tag, incarnation: Tag) {
        let mut members = self.members.borrow_mut();
        let found = members
            .values_mut()
            .find(|member| member.host_tag == host && member.incarnation_tag == incarnation);
        if let Some(member) = found {
            member.host.leaving = true;
        }
    }

    /// Returns the host with these tags; `None` if it is unknown or has another incarnation.
    pub fn find(&self, host: Tag, incarnation: Tag) -> Option<Host> {
        let members = self.members.borrow();
        let mut values = members.values();
        let found =
            values.find(|member| member.host_tag == host && member.incarnation_tag == incarnation);
        found.map(|member| member.host.clone())
    }

    /// Replaces the platform's list of hosts, and returns the endpoints that the list shows as not
    /// live.
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

    /// Returns whether the platform lists a host as terminated for good.
    pub fn is_terminated(&self, host: &str) -> bool {
        self.listing.borrow().get(host) == Some(&State::Gone)
    }

    /// Returns what is known of an incarnation as a witness: that it has ended, the version that it
    /// has, or nothing.
    pub fn standing(&self, host: &str, incarnation: &str) -> Standing {
        let ended = EndedIncarnation {
            host: host.to_owned(),
            incarnation: incarnation.to_owned(),
        };
        if self.is_terminated(host) || self.ended.borrow().contains(&ended) {
            return Standing::Ended;
        }
        match self.members.borrow().get(host) {
            Some(member) if member.host.incarnation == incarnation => Standing::Has(member.version),
            _ => Standing::Unknown,
        }
    }

    /// Returns whether a host has sent a message, and has not missed the last `MISSED_LIMIT` gossip
    /// requests.
    pub fn is_responding(&self, host: &str) -> bool {
        let members = self.members.borrow();
        let found = members.get(host);
        found.is_some_and(|member| member.last_heard.is_some() && member.missed < MISSED_LIMIT)
    }

    /// Returns all other hosts that the platform doesn't list as terminated.
    pub fn peers(&self) -> Vec<Member> {
        let members = self.members.borrow();
        members
            .values()
            .filter(|member| !self.is_terminated(&member.host.id))
            .cloned()
            .collect()
    }

    /// Returns another host by its id.
    pub fn get(&self, host: &str) -> Option<Member> {
        self.members.borrow().get(host).cloned()
    }

    /// Returns the other hosts that are live in the platform's list, reachable and not shutting
    /// down. A host that isn't on the list counts as live.
    pub fn live(&self) -> Vec<Member> {
        self.peers()
            .into_iter()
            .filter(|member| self.is_live(member))
            .collect()
    }

    fn is_live(&self, member: &Member) -> bool {
        let listed = self.listing.borrow().get(&member.host.id).copied();
        let is_listed_live = listed.is_none_or(|state| state == State::Live);
        is_listed_live && !member.host.leaving && member.missed < MISSED_LIMIT
    }

    /// Returns the entry hosts to name to callers, this one first unless it shuts down.
    pub fn entries(&self) -> Vec<Entry> {
        let own = (!self.is_leaving()).then(|| Entry {
            host: self.own.host.clone(),
            zone: self.own.zone.clone(),
            address: self.own.gate,
        });
        let others = self.live().into_iter().map(|member| Entry {
            host: member.host.id,
            zone: member.host.zone,
            address: member.host.gate,
        });
        own.into_iter().chain(others).collect()
    }

    /// Returns whether this host shuts down, by its own decision or by the platform's list.
    pub fn is_leaving(&self) -> bool {
        let listed = self.listing.borrow().get(&self.own.host).copied();
        self.leaving.get() || listed.is_some_and(|state| state != State::Live)
    }

    /// Returns the number of hosts known to have `version`, and the number of all hosts. `own` is
    /// this host's version.
    pub fn in_force(&self, version: Version, own: Version) -> (u32, u32) {
        let peers = self.peers();
        let count = peers
            .iter()
            .filter(|member| member.version >= version)
            .count()
            + usize::from(own >= version);
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
            incarnation_tag: tag(&row.incarnation),
            started_ms: row.started_ms,
            host: row.into(),
            last_heard: None,
            version: 0,
            gate_version: 0,
            proof_age: None,
            missed: 0,
        }
    }
}
