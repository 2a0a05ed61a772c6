//! Heartbeats handed over to the reader of the zone, which writes them all in one transaction.
//!
//! Each host of a zone writing for itself would make calls to the store in proportion to the
//! hosts. A receipt tells what the store has acknowledged and how old the reader's evidence is
//! that its configuration is the newest, so a host whose reader fails it soon writes itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::edge::Edge;
use crate::peer::{Client, Error, Request};
use crate::{hosts, ledger};

/// Path of the call.
pub const TARGET: &str = "/heartbeat";
/// A heartbeat that could not be written within this time is dropped: its host has written itself
/// meanwhile.
const FRESH: Duration = Duration::from_millis(2_500);
/// What was written for a host that hands nothing over any more is forgotten after this time.
const FORGOTTEN: Duration = Duration::from_secs(30);

/// Both rows of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// What callers and other hosts need to know.
    pub host: hosts::Row,
    /// What the holder of the lease needs to know.
    pub ledger: ledger::Row,
}

/// Evidence of a reader, on the wire.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Newest {
    /// Commit that wrote the configuration which the reader has in force.
    pub revision: u64,
    /// How long ago the store held nothing newer, in milliseconds.
    pub age_ms: u64,
}

/// Answer to a heartbeat.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// The store's clock of the run's newest rows that it has acknowledged; 0 for none.
    pub written: u64,
    /// The reader's evidence, if it has any.
    pub newest: Option<Newest>,
}

#[derive(Debug)]
struct Held {
    /// Not written yet.
    beat: Option<Beat>,
    /// Time since boot at which the last heartbeat came.
    at: Duration,
    written: u64,
}

/// Heartbeats that others have handed over to this host.
#[derive(Debug, Default)]
pub struct Tray {
    held: RefCell<HashMap<String, Held>>,
}

impl Tray {
    /// Keeps a heartbeat until the next write; returns what was written of its run.
    pub fn put(&self, beat: Beat) -> u64 {
        let mut held = self.held.borrow_mut();
        let entry = held.entry(beat.host.key()).or_insert(Held {
            beat: None,
            at: Duration::ZERO,
            written: 0,
        });
        entry.at = clock::boot();
        entry.beat = Some(beat);
        entry.written
    }

    /// Whether anything waits to be written.
    pub fn is_empty(&self) -> bool {
        self.held.borrow().values().all(|it| it.beat.is_none())
    }

    /// Takes the heartbeats that wait, without those that are too old.
    pub fn take(&self) -> Vec<Beat> {
        let now = clock::boot();
        let mut held = self.held.borrow_mut();
        held.retain(|_, it| now.saturating_sub(it.at) < FORGOTTEN);
        let beats = held.values_mut().filter_map(|it| {
            let beat = it.beat.take()?;
            (now.saturating_sub(it.at) < FRESH).then_some(beat)
        });
        beats.collect()
    }

    /// Notes what the store has acknowledged.
    pub fn written(&self, beats: &[Beat]) {
        let mut held = self.held.borrow_mut();
        for beat in beats {
            if let Some(it) = held.get_mut(&beat.host.key()) {
                it.written = it.written.max(beat.host.at);
            }
        }
    }
}

/// Takes a heartbeat of another host; `None` if it can't be read.
pub fn take(edge: &Edge, body: &Bytes) -> Option<Receipt> {
    let beat: Beat = match serde_json::from_slice(body) {
        Ok(beat) => beat,
        Err(err) => {
            tracing::warn!(event = "heartbeat_malformed", error = %err);
            return None;
        }
    };
    let newest = edge.config_revision.get().zip(edge.evidence_age());
    Some(Receipt {
        written: edge.tray.put(beat),
        newest: newest.map(|(revision, age)| Newest {
            revision,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }),
    })
}

/// Hands a heartbeat over to the reader of the zone and takes its receipt in.
pub async fn deliver(edge: &Edge, link: &Client, beat: &Beat) -> Result<Receipt, Error> {
    let reader = link
        .first_available(&edge.readers())
        .ok_or(Error::NoReader)?;
    let body = serde_json::to_vec(beat).map_err(|err| Error::Malformed(err.to_string()))?;
    let question = Request {
        method: Method::POST,
        target: TARGET.to_owned(),
        body: Bytes::from(body),
        wait: Duration::ZERO,
    };
    let asked = clock::boot();
    let receipt: Receipt = link.call(reader, question).await?;
    if let Some(newest) = receipt.newest {
        confirm(edge, asked, &newest);
    }
    Ok(receipt)
}

/// Takes the evidence of a reader in. Its age counts from the question, so that the time of the
/// call makes it older and never younger.
fn confirm(edge: &Edge, asked: Duration, newest: &Newest) {
    let Some(own) = edge.config_revision.get() else {
        return;
    };
    if newest.revision > own {
        edge.outdated.notify_waiters();
    }
    if newest.revision == own {
        edge.confirm(asked.saturating_sub(Duration::from_millis(newest.age_ms)));
    }
}
