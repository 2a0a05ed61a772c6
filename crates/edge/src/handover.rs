//! Hands heartbeats over to the reader of the zone, which writes them in one transaction.
//!
//! If each host of a zone wrote its own, the number of calls to the store would grow with the
//! number of hosts. The receipt states what the store has acknowledged and how old the reader's
//! evidence is that its configuration is the newest, so a host whose reader fails soon writes by
//! itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use agate_model::id::{Revision, Version};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clock;
use crate::edge::Edge;
use crate::peer::{Client, Error, MAX_READERS, Request};
use crate::share::{self, Digest};
use crate::subset::Sums;
use crate::version::Held;
use crate::{hosts, ledger};

/// Path of the request that hands a heartbeat over.
pub const PATH: &str = "/heartbeat";
/// Time after which a heartbeat that was not written is dropped: its host has written by itself
/// meanwhile.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time since the last handover after which the entry of a host is removed.
const ENTRY_TTL: Duration = Duration::from_secs(30);

/// Rows of one process incarnation of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Row for the directory and for other hosts.
    pub host: hosts::Row,
    /// Row for the lease holder: usage and demand.
    pub ledger: ledger::Row,
    /// Requests that the host has observed since its start.
    #[serde(default)]
    pub sums: Sums,
    /// This host's part of the load of the endpoints.
    #[serde(default)]
    pub endpoints: Digest,
}

/// Evidence of a reader that its configuration and its evacuations are the newest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Evidence {
    /// Revision that wrote the configuration in force at the reader.
    pub revision: Revision,
    /// Version in force at the reader; `None` if it does not tell. After the store has returned from an older copy,
    /// one revision may stand for different versions.
    #[serde(default)]
    pub version: Option<Version>,
    /// Time since the store was known to hold nothing newer, in milliseconds.
    pub age_ms: u64,
    /// Revision of the newest evacuation that the reader knows, 0 for none; `None` if it does not tell.
    #[serde(default)]
    pub evacuations: Option<Revision>,
}

impl Evidence {
    /// Returns the present evidence of this host; `None` without any.
    pub fn of(edge: &Edge) -> Option<Self> {
        let newest = edge.held().zip(edge.evidence_age());
        newest.map(|(held, age)| Self {
            revision: held.revision,
            version: Some(held.version),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            evacuations: Some(edge.evacuations.borrow().newest()),
        })
    }
}

/// Response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// Timestamp, by the store's clock in milliseconds, of the incarnation's newest rows that the
    /// store has acknowledged; 0 for none.
    pub written: u64,
    /// The reader's evidence; `None` if it has none.
    pub newest: Option<Evidence>,
    /// Recent requests of all hosts of the reader.
    #[serde(default)]
    pub sums: Sums,
    /// Load of the endpoints from all hosts.
    #[serde(default)]
    pub endpoints: Digest,
}

/// Last heartbeat of one incarnation.
#[derive(Debug)]
struct Entry {
    /// Heartbeat that is not written yet.
    heartbeat: Option<Heartbeat>,
    /// When the last heartbeat was received, in time since boot.
    at: Duration,
    /// Timestamp of the newest rows that the store has acknowledged; 0 for none.
    written: u64,
}

/// Heartbeats that other hosts have handed over to this one.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Entries by key of the incarnation.
    entries: RefCell<HashMap<String, Entry>>,
}

impl Inbox {
    /// Stores a heartbeat for the next write. Returns the timestamp of the newest rows of its
    /// incarnation that the store has acknowledged; 0 for none.
    pub fn put(&self, heartbeat: Heartbeat) -> u64 {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(heartbeat.host.key()).or_insert(Entry {
            heartbeat: None,
            at: Duration::ZERO,
            written: 0,
        });
        entry.at = clock::boot();
        entry.heartbeat = Some(heartbeat);
        entry.written
    }

    /// Returns whether no heartbeat waits to be written.
    pub fn is_empty(&self) -> bool {
        self.entries
            .borrow()
            .values()
            .all(|entry| entry.heartbeat.is_none())
    }

    /// Removes and returns the heartbeats that wait to be written, except those that are too old.
    pub fn take(&self) -> Vec<Heartbeat> {
        let now = clock::boot();
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, entry| now.saturating_sub(entry.at) < ENTRY_TTL);
        let heartbeats = entries.values_mut().filter_map(|entry| {
            let heartbeat = entry.heartbeat.take()?;
            (now.saturating_sub(entry.at) < WRITE_TIMEOUT).then_some(heartbeat)
        });
        heartbeats.collect()
    }

    /// Records heartbeats that the store has acknowledged.
    pub fn record_written(&self, heartbeats: &[Heartbeat]) {
        let mut entries = self.entries.borrow_mut();
        for heartbeat in heartbeats {
            if let Some(entry) = entries.get_mut(&heartbeat.host.key()) {
                entry.written = entry.written.max(heartbeat.host.at);
            }
        }
    }
}

/// Accepts a heartbeat of another host and returns its receipt; `None` if it is malformed.
pub fn accept(edge: &Edge, body: &Bytes) -> Option<Receipt> {
    let heartbeat: Heartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(err) => {
            tracing::warn!(event = "heartbeat_malformed", error = %err);
            return None;
        }
    };
    edge.hear_row(&heartbeat.host);
    if edge.hosts.borrow().lacks_era(&heartbeat.host) {
        edge.guard.hurry();
    }
    // Hosts of other zones learn it with the next write of this host.
    let is_known = edge.hosts.borrow().has_evidence(&heartbeat.host);
    if !is_known && edge.learn_evidence(vec![heartbeat.host.evidence.clone()]) {
        edge.guard.hurry();
    }
    if edge.learn_limits(&heartbeat.host.limits, &heartbeat.host.host) {
        edge.guard.hurry();
    }
    let now = Instant::now();
    let mut recent = edge.recent.borrow_mut();
    recent.record(now, &heartbeat.ledger.run, &heartbeat.sums);
    let mut shared = edge.shared.borrow_mut();
    if let Some(part) = share::decode(&heartbeat.endpoints, &heartbeat.ledger.run) {
        shared.record(now, &heartbeat.ledger.run, part);
    }
    let totals = share::select(shared.totals(now), share::MAX_TOTALS);
    Some(Receipt {
        written: edge.inbox.put(heartbeat),
        newest: Evidence::of(edge),
        sums: recent.sums().clone(),
        endpoints: Digest::from(&totals),
    })
}

/// Hands a heartbeat over to the reader of the zone, or to another one if that fails, and applies the
/// evidence in its receipt.
pub async fn deliver(edge: &Edge, link: &Client, heartbeat: &Heartbeat) -> Result<Receipt, Error> {
    let readers = edge.readers();
    let body = serde_json::to_vec(heartbeat).map_err(|err| Error::Malformed(err.to_string()))?;
    let body = Bytes::from(body);
    let mut outcome = Err(Error::NoReader);
    for _ in 0..MAX_READERS {
        let Some(reader) = link.first_available(&readers) else {
            break;
        };
        let request = Request {
            method: Method::POST,
            target: PATH.to_owned(),
            body: body.clone(),
            wait: Duration::ZERO,
        };
        let sent_at = clock::boot();
        outcome = link.call::<Receipt>(reader, request).await;
        if let Ok(receipt) = &outcome {
            edge.outage.dispel(Instant::now());
            edge.learn(&receipt.sums);
            edge.learn_endpoints(&receipt.endpoints, &heartbeat.endpoints);
            if let Some(newest) = &receipt.newest {
                confirm(edge, reader, sent_at, newest);
            }
            break;
        }
    }
    outcome
}

/// Applies the evidence of the host at `address`. Its age counts from the time at which the request was sent, so
/// that the duration of the call makes it older and never younger.
pub fn confirm(edge: &Edge, address: SocketAddr, sent_at: Duration, newest: &Evidence) {
    if !edge.eras.observe(newest.revision) {
        return;
    }
    let Some(Held {
        version,
        revision: own,
    }) = edge.held()
    else {
        return;
    };
    if let Some(version) = newest.version {
        let revision = newest.revision;
        edge.hear(address, Held { version, revision });
    }
    let evacuations = newest.evacuations.unwrap_or(0);
    let lacks_evacuation = !edge.evacuations.borrow().is_complete(evacuations);
    if newest.revision > own || lacks_evacuation {
        edge.config_outdated.notify_waiters();
        // Only the store has what is newer, also for a host that it turned away before.
        edge.outage.hasten(Instant::now());
    }
    let is_telling = newest.evacuations.is_some() || edge.settings.borrow().evacuation.is_none();
    let is_same = newest.revision == own && newest.version == Some(version);
    if is_same && !lacks_evacuation && is_telling {
        edge.confirm(sent_at.saturating_sub(Duration::from_millis(newest.age_ms)));
    }
}
