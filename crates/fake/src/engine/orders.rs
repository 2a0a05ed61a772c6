//! Orders to an engine: models, role, draining.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_wire::engine::{Action, Fenced, LoadedModel, Order};
use agate_wire::manifest::Fencing;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::Settings;
use super::weights::Store;
use crate::http::{Answer, Request};
use crate::ledger::wall_ms;

/// One received order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The order, with epoch and sender.
    pub order: Order,
    /// Whether it was carried out; a repeated or refused order is not.
    pub effective: bool,
    /// Connection that it came on.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

#[derive(Debug)]
struct Version {
    version: String,
    loaded_at: Instant,
}

/// Orders received and their effects.
#[derive(Debug)]
pub struct Orders {
    fencing: Fencing,
    load_time: Duration,
    weights: Rc<Store>,
    received: Vec<Received>,
    done: HashSet<String>,
    highest: u64,
    models: HashMap<String, Version>,
    is_open: bool,
    role: String,
    draining: bool,
}

impl Orders {
    /// State at start.
    pub fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        let models = settings.models.iter().map(|it| {
            let version = Version {
                version: it.version.clone(),
                loaded_at: now,
            };
            (it.model.clone(), version)
        });
        Self {
            fencing: settings.fencing,
            load_time: settings.load_time,
            weights: settings.weights.clone(),
            received: Vec::new(),
            done: HashSet::new(),
            highest: 0,
            models: models.collect(),
            is_open: settings.models.is_empty(),
            role: "both".to_owned(),
            draining: false,
        }
    }

    /// Orders in order of arrival.
    pub fn received(&self) -> &[Received] {
        &self.received
    }

    /// Whether no new work is taken.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether requests for a model are served.
    pub fn has(&self, model: &str) -> bool {
        let now = Instant::now();
        self.is_open || self.models.get(model).is_some_and(|it| it.loaded_at <= now)
    }

    /// Role: `prefill`, `decode` or `both`.
    pub fn role(&self) -> &str {
        &self.role
    }

    /// Models loaded now.
    pub fn loaded(&self) -> Vec<LoadedModel> {
        let now = Instant::now();
        let mut loaded: Vec<LoadedModel> = self
            .models
            .iter()
            .filter(|(_, it)| it.loaded_at <= now)
            .map(|(model, it)| LoadedModel {
                model: model.clone(),
                version: it.version.clone(),
            })
            .collect();
        loaded.sort_by(|a, b| a.model.cmp(&b.model));
        loaded
    }

    /// Takes an order.
    pub fn receive(&mut self, request: &Request) -> Answer {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(refusal) => return refusal,
        };
        let is_old = self.fencing == Fencing::Checked && order.epoch < self.highest;
        let is_new = !is_old && self.done.insert(order.id.clone());
        self.received.push(Received {
            order: order.clone(),
            effective: is_new,
            connection: request.connection,
            at_ms: wall_ms(),
        });
        if is_old {
            let fenced = Fenced {
                epoch: self.highest,
            };
            return Answer::with_status(409, &fenced);
        }
        self.highest = self.highest.max(order.epoch);
        if is_new {
            self.carry_out(order.action);
        }
        Answer::json(&())
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Load { model, version } => {
                let loaded_at = self.weights.fetch() + self.load_time;
                self.models.insert(model, Version { version, loaded_at });
            }
            Action::Unload { model } => {
                self.models.remove(&model);
                self.is_open = false;
            }
            Action::Role { role } => self.role = role,
            Action::Drain => self.draining = true,
        }
    }
}
