//! Versions of the configuration that other hosts have in force and the store has lost.
//!
//! After the store has returned from an older copy, its row may hold an older version than hosts have
//! in force. A host that has only the older one must not take the row for the newest: each host names what it
//! has in force in its row, evidence of the new era counts once all live hosts have done so, and a host that
//! lacks a version gets it from one that has it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use agate_model::id::{Era, Revision, Version};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::config::{Config, Patch};
use crate::edge::Edge;
use crate::hosts::Row;
use crate::peer::{Client, Error, Request};

/// Path of the request for the version in force.
pub const PATH: &str = "/version";
/// Interval between two attempts to get a version.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a version is waited for after a host that is no longer live has named it last. Operators write again
/// what the store has lost within seconds.
const GONE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a host has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Version of the configuration.
    pub version: Version,
    /// Revision up to which that is the newest version written.
    pub revision: Revision,
}

/// The version in force at a host, as it hands it on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Whole {
    #[serde(flatten)]
    held: Held,
    /// Patch that applies to no version.
    patch: String,
}

impl Whole {
    /// Returns the version in force at this host; `None` without one, or if it can't be encoded.
    pub fn of(edge: &Edge) -> Option<Self> {
        let held = edge.held()?;
        let patch = Patch::new(None, &*edge.config()?).encode();
        let patch = patch
            .inspect_err(|err| tracing::error!(event = "config_not_published", error = %err))
            .ok()?;
        Some(Self { held, patch })
    }

    /// Decodes the configuration.
    fn config(&self) -> Result<Config, Error> {
        let patch = Patch::decode(self.patch.as_bytes());
        let config = patch.and_then(|patch| patch.apply(None));
        config.map_err(|err| Error::Malformed(err.to_string()))
    }
}

/// What this host has heard of the versions of others.
#[derive(Debug, Default)]
pub struct Heard {
    /// Newer versions than the one in force, by the address of a host that has them, and when it named them
    /// last.
    newer: RefCell<BTreeMap<SocketAddr, (Held, Instant)>>,
    /// Notified after a newer one was added.
    added: Notify,
    /// Last era in which all live hosts have named their versions; 0 before the first.
    settled: Cell<Era>,
}

impl Heard {
    /// Returns the addresses of hosts with a version that this one lacks, newest version first. A version that
    /// a later revision wrote comes from the store, so it is not lacking yet.
    fn lacking(&self, own: Option<Held>) -> Vec<SocketAddr> {
        let Some(own) = own else { return Vec::new() };
        let newer = self.newer.borrow();
        let newer = newer.iter().map(|(address, (held, _))| (*address, *held));
        let mut newer: Vec<_> = newer.filter(|(_, held)| own.lacks(held)).collect();
        newer.sort_by_key(|(_, held)| std::cmp::Reverse(held.version));
        newer.into_iter().map(|(address, _)| address).collect()
    }
}

impl Held {
    /// Returns whether `other` is a newer version that the store does not hold any more.
    fn lacks(&self, other: &Self) -> bool {
        other.version > self.version && other.revision <= self.revision
    }
}

impl Edge {
    /// Returns what this host has in force; `None` before the first configuration.
    pub fn held(&self) -> Option<Held> {
        let (config, revision) = self.config().zip(self.config_revision.get())?;
        let version = config.version;
        Some(Held { version, revision })
    }

    /// Takes note of what the host at the relay address has in force.
    pub fn hear(&self, address: SocketAddr, held: Held) {
        let own = self.config().map_or(0, |config| config.version);
        let mut newer = self.heard.newer.borrow_mut();
        newer.retain(|_, (held, _)| held.version > own);
        if held.version > own {
            newer.insert(address, (held, Instant::now()));
            drop(newer);
            if self.lacks_version() {
                self.heard.added.notify_one();
            }
        }
    }

    /// Takes note of what the host of a row has in force.
    pub fn hear_row(&self, row: &Row) {
        if let (Some(held), Some(address)) = (row.held, row.relay)
            && row.incarnation != self.incarnation
        {
            self.hear(address, held);
        }
    }

    /// Returns whether another host has a newer version in force that the store does not hold any more.
    pub fn lacks_version(&self) -> bool {
        let newer = self.heard.newer.borrow();
        !newer.is_empty()
            && self
                .held()
                .is_some_and(|own| newer.values().any(|(held, _)| own.lacks(held)))
    }

    /// Gives up versions that only hosts had which are gone.
    fn give_up_versions(&self) {
        let hosts = self.hosts.borrow();
        let live = hosts.live(Instant::now()).into_iter();
        let live: HashSet<SocketAddr> = live.filter_map(|row| row.relay).collect();
        let mut newer = self.heard.newer.borrow_mut();
        newer.retain(|address, (held, at)| {
            let is_kept = live.contains(address) || at.elapsed() < GONE_TIMEOUT;
            if !is_kept {
                let version = held.version;
                tracing::error!(event = "version_given_up", host = %address, version);
            }
            is_kept
        });
    }

    /// Returns whether evidence of the store's present era counts: this host knows what the others had in
    /// force when it began.
    pub fn is_settled(&self) -> bool {
        self.heard.settled.get() >= self.eras.newest()
    }

    /// Checks whether all live hosts have named their versions in the present era. If so, evidence of that era
    /// counts.
    pub fn settle(&self) {
        let era = self.eras.newest();
        if self.is_settled()
            || !self.hosts.borrow().have_named(
                Instant::now(),
                era,
                &self.incarnation,
                self.eras.since(),
            )
        {
            return;
        }
        self.heard.settled.set(era);
        tracing::info!(
            event = "versions_known",
            era,
            waited_ms = self.eras.since().elapsed().as_millis()
        );
        let mut evidence = self.evidence.get();
        evidence.settle(era);
        self.evidence.set(evidence);
    }
}

/// Gets versions that this host lacks from hosts that have them, until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let link = Client::default();
    loop {
        edge.give_up_versions();
        let addresses = edge.heard.lacking(edge.held());
        let Some(address) = link.first_available(&addresses) else {
            tokio::select! {
                () = edge.heard.added.notified() => {}
                () = sleep(RETRY_INTERVAL) => {}
            }
            continue;
        };
        if let Err(err) = fetch(&edge, &link, address).await {
            tracing::warn!(event = "version_not_fetched", host = %address, error = %err);
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Puts the version of the host at `address` in force.
async fn fetch(edge: &Edge, link: &Client, address: SocketAddr) -> Result<(), Error> {
    let request = Request {
        method: Method::GET,
        target: PATH.to_owned(),
        body: Bytes::new(),
        wait: Duration::ZERO,
    };
    let whole: Whole = link.call(address, request).await?;
    let Held { version, revision } = whole.held;
    tracing::info!(event = "version_fetched", host = %address, version, revision);
    edge.configure(whole.config()?, revision);
    Ok(())
}
