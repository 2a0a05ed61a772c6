//! Puts new versions of the configuration, and evacuations of zones, in force.

use std::cell::OnceCell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use agate_model::id::Revision;
use agate_store::interface::{Change, Changes};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use super::{Outcome, Sink, follower};
use crate::config::{Config, Patch, Unpatched};
use crate::edge::Edge;
use crate::relay::{Relayed, Snapshot};

/// Duration of a long poll for a change of the configuration. Heartbeats provide the evidence that
/// there is none; this bounds the time for which a silent connection can hide a change.
const CONFIG_WAIT: Duration = Duration::from_secs(25);
/// Name under which hosts hand the configuration and the evacuations on, which differs from those of
/// builds that hand on whole versions, or no evacuations.
const CONFIG_RELAY_TABLE: &str = "operations";
/// Maximum age of a configuration that is accepted from another host, longer than the long poll: its
/// age is no evidence of any kind.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(30);
/// Minimum interval between two reads of the configuration, so that many changes in a short time
/// are read in batches.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the configuration until the task is dropped.
pub async fn config(edge: Rc<Edge>) {
    let (table, key) = edge.remote.decoder.config_row();
    let sink = ConfigSink {
        edge: Rc::downgrade(&edge),
        key,
        read: None,
        offered: None,
    };
    let relay = Some((CONFIG_RELAY_TABLE, MAX_CONFIG_AGE));
    follower(edge, table, CONFIG_WAIT, CONFIG_INTERVAL, relay, sink)
        .run()
        .await;
}

/// Puts new versions of the configuration in force.
struct ConfigSink {
    /// State whose evacuations other hosts get.
    edge: Weak<Edge>,
    /// Key of the configuration's row.
    key: &'static str,
    /// Revision of the newest row that was read from the store, whether it could be decoded or not; `None`
    /// before the first.
    read: Option<Revision>,
    /// Version to which the next patch for other hosts applies, and the revision that wrote it; `None`
    /// before the first version.
    offered: Option<(Revision, Rc<Config>)>,
}

/// All of a version, and the evacuations in force, for hosts that have none of the versions to which
/// patches apply.
struct Whole {
    edge: Weak<Edge>,
    key: &'static str,
    revision: Revision,
    config: Rc<Config>,
    /// Encoded when a host first needs it.
    encoded: OnceCell<Option<Bytes>>,
}

impl Snapshot for Whole {
    fn rows(&self) -> Vec<Change> {
        let encoded = self.encoded.get_or_init(|| encode(None, &self.config));
        let row = encoded.clone().map(|value| Change {
            key: self.key.to_owned(),
            value: Some(value),
            revision: self.revision,
        });
        let evacuations = self.edge.upgrade().map(|edge| edge.evacuation_rows());
        row.into_iter()
            .chain(evacuations.unwrap_or_default())
            .collect()
    }
}

/// Encodes the patch between two versions, or all of `config`; `None` if that fails.
fn encode(base: Option<(Revision, &Config)>, config: &Config) -> Option<Bytes> {
    let started = Instant::now();
    let encoded = Patch::new(base, config).encode();
    let encoded = encoded
        .inspect_err(|err| tracing::error!(event = "config_not_published", error = %err))
        .ok()?;
    tracing::debug!(
        event = "config_encoded",
        version = config.version,
        base = base.map(|(revision, _)| revision),
        bytes = encoded.len(),
        took_us = started.elapsed().as_micros(),
    );
    Some(Bytes::from(encoded))
}

impl ConfigSink {
    fn apply(&mut self, edge: &Edge, change: &Change) {
        if change.key != self.key {
            edge.apply_evacuation(change);
            return;
        }
        self.read = self.read.max(Some(change.revision));
        let Some(value) = &change.value else { return };
        let started = Instant::now();
        match edge.remote.decoder.config(value) {
            Ok(config) => {
                record_decoding(value, started);
                edge.configure(Self::share(edge, config), change.revision);
            }
            Err(fault) => tracing::error!(
                event = "config_malformed",
                row = change.key,
                revision = change.revision,
                fault = %fault,
            ),
        }
    }

    /// Returns the same configuration with the parts that it has in common with the version in force
    /// taken from that. This also shows that the patch for other hosts makes it.
    fn share(edge: &Edge, config: Config) -> Config {
        let Some((revision, known)) = edge.config_revision.get().zip(edge.config()) else {
            return config;
        };
        let base = Some((revision, &*known));
        Patch::new(base, &config).apply(base).unwrap_or_else(|err| {
            tracing::error!(event = "config_not_shared", known = revision, error = %err);
            config
        })
    }

    /// Puts a version in force that another host published.
    fn apply_patch(edge: &Edge, change: &Change) -> Result<(), Unpatched> {
        let known = edge.config_revision.get().zip(edge.config());
        let Some(value) = change.value.as_ref() else {
            return Ok(());
        };
        let started = Instant::now();
        let patch = Patch::decode(value)?;
        let is_known = known.as_ref().is_some_and(|(known, config)| {
            *known >= change.revision && config.version >= patch.version
        });
        if is_known {
            return Ok(());
        }
        let base = known
            .as_ref()
            .map(|(revision, config)| (*revision, &**config));
        let config = patch.apply(base)?;
        record_decoding(value, started);
        edge.configure(config, change.revision);
        Ok(())
    }

    /// Makes the version in force the one that other hosts get. Returns the version before.
    fn offer(&mut self, edge: &Edge) -> Option<(Revision, Rc<Config>)> {
        let (revision, config) = edge.config_revision.get().zip(edge.config())?;
        let before = self.offered.replace((revision, config.clone()));
        let is_same = |(known, before): &(Revision, Rc<Config>)| {
            *known == revision && before.version == config.version
        };
        if !before.as_ref().is_some_and(is_same) {
            let whole = Whole {
                edge: self.edge.clone(),
                key: self.key,
                revision,
                config,
                encoded: OnceCell::new(),
            };
            let mirrors = &edge.mirrors;
            mirrors.set_snapshot(CONFIG_RELAY_TABLE, revision, Rc::new(whole));
        }
        before
    }
}

/// Logs how long it took to decode a configuration.
fn record_decoding(value: &Bytes, started: Instant) {
    let took_us = started.elapsed().as_micros();
    tracing::debug!(event = "config_decoded", bytes = value.len(), took_us);
}

impl Sink for ConfigSink {
    /// Publishes the evacuations, and the patch that makes the version in force of the one before, in
    /// which keys are replaced by their digests.
    fn publish(&mut self, edge: &Edge, changes: Changes, _is_snapshot: bool) -> Changes {
        let before = self.offer(edge);
        let row = before.zip(self.offered.as_ref());
        let row = row.filter(|((before, _), (revision, _))| before != revision);
        let row = row.and_then(|((before, old), (revision, new))| {
            Some(Change {
                key: self.key.to_owned(),
                value: Some(encode(Some((before, &old)), new)?),
                revision: *revision,
            })
        });
        let evacuations = changes.rows.into_iter().filter(|row| {
            let zone = edge.remote.decoder.evacuated_zone(&row.key);
            zone.is_some()
        });
        Changes {
            rows: evacuations.chain(row).collect(),
            ..changes
        }
    }

    fn relayed(&mut self, edge: &Edge, relayed: Relayed) -> Outcome {
        let changes = relayed.changes;
        if relayed.is_snapshot {
            edge.replace_evacuations(&changes.rows, changes.revision);
        }
        let rows = changes.rows.iter();
        let configs: Vec<&Change> = rows
            .filter(|change| !edge.apply_evacuation(change))
            .collect();
        let is_empty = relayed.is_snapshot && configs.is_empty();
        let applied = configs.into_iter().try_for_each(|change| {
            Self::apply_patch(edge, change).inspect_err(|err| {
                tracing::warn!(
                    event = "config_not_patched",
                    revision = change.revision,
                    known = edge.config_revision.get(),
                    error = %err,
                );
            })
        });
        self.offer(edge);
        match applied {
            Ok(()) if !is_empty => Outcome::Complete,
            _ => Outcome::Diverged,
        }
    }

    fn snapshot(&mut self, edge: &Edge, changes: Changes, _is_behind: bool) {
        edge.replace_evacuations(&changes.rows, changes.revision);
        for change in changes.rows {
            self.apply(edge, &change);
        }
    }

    fn change(&mut self, edge: &Edge, change: Change) {
        self.apply(edge, &change);
    }

    fn start_era(&mut self, edge: &Edge) {
        edge.hold_evacuations();
    }

    fn due(&mut self, edge: &Edge) -> Option<Instant> {
        edge.release_evacuations()
    }

    fn outdated<'a>(&self, edge: &'a Edge) -> LocalBoxFuture<'a, ()> {
        Box::pin(edge.config_outdated.notified())
    }

    fn confirmed(&mut self, edge: &Edge, at: Duration, _clock: u64) {
        // A newer version that can't be decoded may have withdrawn a key.
        if edge.config().is_some() && self.read <= edge.config_revision.get() {
            edge.confirm(at);
        }
    }
}
