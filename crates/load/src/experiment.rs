//! Experiment files.

use std::time::Duration;

use agate_model::finding::Report;
use agate_settings::file::Check;
use agate_wire::manifest;
use serde::{Deserialize, Serialize};

fn one() -> f64 {
    1.0
}

fn chunk() -> u32 {
    128
}

fn cheap() -> f64 {
    0.4
}

/// A policy or one of the baselines that it is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// All policies of the product.
    Agate,
    /// One queue in order of arrival.
    Fifo,
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the least load by the last report.
    LeastLoaded,
    /// Retries and hedges without a budget.
    NoBudget,
    /// The endpoints of the start, whatever the demand.
    FixedFleet,
    /// No preference for endpoints that hold the prompt's prefix.
    NoAffinity,
    /// No ejection of outliers.
    NoEjection,
    /// Each host may fill every slot.
    WholeSlots,
    /// Each host may fill an equal part of the slots.
    EqualSlots,
    /// Hosts do not tell each other what they shed.
    NoFloor,
}

impl Policy {
    /// Name in files and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Agate => "agate",
            Self::Fifo => "fifo",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::NoBudget => "no_budget",
            Self::FixedFleet => "fixed_fleet",
            Self::NoAffinity => "no_affinity",
            Self::NoEjection => "no_ejection",
            Self::WholeSlots => "whole_slots",
            Self::EqualSlots => "equal_slots",
            Self::NoFloor => "no_floor",
        }
    }
}

/// An experiment in simulated time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of all random choices.
    pub seed: u64,
    /// Simulated time.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Requests that arrive before this time are not counted.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Relative load of each entry host.
    pub hosts: Vec<f64>,
    /// One-way delay between hosts and endpoints.
    #[serde(with = "humantime_serde")]
    pub network: Duration,
    /// Load reports of the endpoints.
    pub reports: Reports,
    /// Availability zones, in which endpoints are placed in turn.
    pub zones: Vec<String>,
    /// Price of a reclaimable endpoint; a standard one costs 1 an hour.
    #[serde(default = "cheap")]
    pub reclaimable_price: f64,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Request classes.
    pub classes: Vec<manifest::Class>,
    /// Weights of client accounts; others have weight 1.
    #[serde(default)]
    pub accounts: Vec<manifest::Account>,
    /// Requests.
    pub load: Vec<Load>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What is compared.
    pub policies: Vec<Policy>,
}

/// Load reports of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Time between two reports.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// Age of a report when it arrives.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
}

/// A pool of equal endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name.
    pub id: String,
    /// Standard endpoints at the start.
    pub standard: u32,
    /// Reclaimable endpoints at the start.
    #[serde(default)]
    pub reclaimable: u32,
    /// Endpoints never exceeded; 0 keeps the number of the start.
    #[serde(default)]
    pub max: u32,
    /// Time from the order of an endpoint to its first request.
    #[serde(default, with = "humantime_serde")]
    pub boot: Duration,
    /// Requests in a batch.
    pub slots: u32,
    /// Duration of an engine step.
    pub step: Step,
    /// Prompt tokens taken into one step.
    #[serde(default = "chunk")]
    pub chunk: u32,
    /// Prefix blocks of 64 tokens that an engine's cache holds.
    #[serde(default)]
    pub cache_blocks: usize,
}

/// Duration of an engine step: `base + per_request * batch + per_prompt_token * tokens`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Of every step.
    #[serde(with = "humantime_serde")]
    pub base: Duration,
    /// For each request in the batch.
    #[serde(with = "humantime_serde")]
    pub per_request: Duration,
    /// For each prompt token that is not cached.
    #[serde(with = "humantime_serde")]
    pub per_prompt_token: Duration,
}

/// Requests of one account in one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Class.
    pub class: String,
    /// Client account.
    pub account: String,
    /// Pool.
    pub pool: String,
    /// Requests per second outside of bursts.
    pub rate: f64,
    /// Mean of new prompt tokens.
    pub prompt: u32,
    /// Prompt tokens that all requests of the account begin with.
    #[serde(default)]
    pub shared: u32,
    /// Conversations at once; each request repeats the conversation so far. 0 for none.
    #[serde(default)]
    pub sessions: u32,
    /// Mean of answer tokens.
    pub answer: u32,
    /// Changes of the rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A change of the rate for some time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Begin.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// End.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// Factor on the rate.
    #[serde(default = "one")]
    pub factor: f64,
}

/// A fault for some time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Begin.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// End.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// What happens.
    pub what: What,
}

/// Kind of a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// An endpoint runs slower; its reports show no load.
    Slow {
        /// Position among the endpoints of the start.
        endpoint: usize,
        /// Factor on the duration of its steps.
        factor: f64,
    },
    /// An endpoint is gone; connections to it are refused.
    Crash {
        /// Position among the endpoints of the start.
        endpoint: usize,
    },
    /// Reclaimable endpoints of an availability zone are taken back and cannot be had.
    Reclaim {
        /// Availability zone.
        zone: String,
        /// Notice before they are gone.
        #[serde(with = "humantime_serde")]
        notice: Duration,
    },
}

impl Check for Experiment {
    fn check(&self, report: &mut Report) {
        let mut need = |ok: bool, place: String, fault: &str| {
            if !ok {
                report.push(place, fault);
            }
        };
        need(
            !self.hosts.is_empty(),
            "hosts".into(),
            "name at least one host",
        );
        need(
            !self.zones.is_empty(),
            "zones".into(),
            "name at least one zone",
        );
        need(
            !self.policies.is_empty(),
            "policies".into(),
            "name at least one policy",
        );
        need(
            self.duration > self.warm_up,
            "duration".into(),
            "must exceed the warm-up",
        );
        for (n, load) in self.load.iter().enumerate() {
            let has_class = self.classes.iter().any(|it| it.id == load.class);
            let has_pool = self.pools.iter().any(|it| it.id == load.pool);
            need(has_class, format!("load[{n}].class"), "no such class");
            need(has_pool, format!("load[{n}].pool"), "no such pool");
            need(
                load.rate > 0.0,
                format!("load[{n}].rate"),
                "must be above 0",
            );
        }
    }
}
