//! Orders to an engine: load and unload models, set the role, drain.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_wire::engine::{Action, Fenced, LoadedModel, Order};
use agate_wire::manifest::Fencing;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Settings;
use super::weights::Store;
use crate::http::{Reply, Request};
use crate::ledger::unix_ms;

/// A received engine order, as `GET /admin/orders` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// Order as sent, with the epoch and the sender.
    pub order: Order,
    /// Whether it was executed; false for a refused order and for a retry.
    pub effective: bool,
    /// Number of the connection that carried it, counted from 0.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Version of a model that is loaded or being loaded.
#[derive(Debug)]
struct Version {
    version: String,
    /// Time from which the model is served; in the future while it is being loaded.
    loaded_at: Instant,
}

/// Received orders and the engine state that they set.
#[derive(Debug)]
pub struct Orders {
    fencing: Fencing,
    load_time: Duration,
    weights: Rc<Store>,
    received: Vec<Received>,
    /// Ids of the executed orders; an order with one of these is a retry.
    executed: HashSet<String>,
    highest_epoch: u64,
    models: HashMap<String, Version>,
    /// Whether every model is served, without being loaded.
    accepts_any_model: bool,
    role: String,
    draining: bool,
}

impl Orders {
    /// Returns the state at start, with the models of the settings loaded.
    pub fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        let models = settings.models.iter().map(|loaded| {
            let version = Version {
                version: loaded.version.clone(),
                loaded_at: now,
            };
            (loaded.model.clone(), version)
        });
        Self {
            fencing: settings.fencing,
            load_time: settings.load_time,
            weights: settings.weights.clone(),
            received: Vec::new(),
            executed: HashSet::new(),
            highest_epoch: 0,
            models: models.collect(),
            accepts_any_model: settings.models.is_empty(),
            role: "both".to_owned(),
            draining: false,
        }
    }

    /// Returns all orders in order of arrival, refused ones included.
    pub fn received(&self) -> &[Received] {
        &self.received
    }

    /// Reports whether the engine refuses new completions; a drain order is never undone.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Reports whether requests for a model are served.
    pub fn serves(&self, model: &str) -> bool {
        let now = Instant::now();
        self.accepts_any_model
            || self
                .models
                .get(model)
                .is_some_and(|version| version.loaded_at <= now)
    }

    /// Returns the role: `prefill`, `decode` or `both`.
    pub fn role(&self) -> &str {
        &self.role
    }

    /// Returns the models loaded now, by name; those being loaded are left out.
    pub fn loaded(&self) -> Vec<LoadedModel> {
        let now = Instant::now();
        let mut loaded: Vec<LoadedModel> = self
            .models
            .iter()
            .filter(|(_, version)| version.loaded_at <= now)
            .map(|(model, version)| LoadedModel {
                model: model.clone(),
                version: version.version.clone(),
            })
            .collect();
        loaded.sort_by(|a, b| a.model.cmp(&b.model));
        loaded
    }

    /// Records an order and executes it if it is new; refuses one with a fenced epoch with status
    /// 409.
    pub fn receive(&mut self, request: &Request) -> Reply {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let is_old = self.fencing == Fencing::Checked && order.epoch < self.highest_epoch;
        let is_new = !is_old && self.executed.insert(order.id.clone());
        self.received.push(Received {
            order: order.clone(),
            effective: is_new,
            connection: request.connection,
            at_ms: unix_ms(),
        });
        if is_old {
            let fenced = Fenced {
                epoch: self.highest_epoch,
            };
            return Reply::with_status(409, &fenced);
        }
        self.highest_epoch = self.highest_epoch.max(order.epoch);
        if is_new {
            self.execute(order.action);
        }
        Reply::json(&())
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Load { model, version } => {
                let loaded_at = self.weights.fetch() + self.load_time;
                self.models.insert(model, Version { version, loaded_at });
            }
            Action::Unload { model } => {
                self.models.remove(&model);
                self.accepts_any_model = false;
            }
            Action::Role { role } => self.role = role,
            Action::Drain => self.draining = true,
        }
    }
}
