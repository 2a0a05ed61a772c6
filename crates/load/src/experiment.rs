//! Settings file of an experiment in simulated time.

use std::time::Duration;

use agate_model::finding::Report;
use agate_settings::file::Check;
use agate_wire::manifest;
use serde::{Deserialize, Serialize};

/// Default of [`Burst::factor`].
fn one() -> f64 {
    1.0
}

/// Default of [`Pool::chunk`].
fn chunk() -> u32 {
    128
}

/// Default of [`Experiment::reclaimable_price`].
fn cheap() -> f64 {
    0.4
}

/// Policy under which an experiment runs: that of the product, or a baseline that replaces or turns
/// off one part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The product as it is.
    Agate,
    /// One queue in order of arrival for all classes; engines ignore tiers as well.
    Fifo,
    /// Endpoints in round-robin order.
    RoundRobin,
    /// The endpoint whose last load report had the fewest running and queued requests.
    LeastLoaded,
    /// Retries and hedges without a budget.
    NoBudget,
    /// Only the endpoints that exist at the start; pools are not resized.
    FixedFleet,
    /// No preference for endpoints that hold the prompt's prefix.
    NoAffinity,
    /// No ejection of failing or slow endpoints.
    NoEjection,
    /// Each host may fill every slot of an endpoint.
    WholeSlots,
    /// Each host may fill an equal share of the slots of an endpoint.
    EqualSlots,
    /// Hosts do not exchange which tiers they shed.
    NoFloor,
}

impl Policy {
    /// Returns the name in experiment files and results.
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
    /// Seed of the requests and of the random choices of the hosts.
    pub seed: u64,
    /// Length of the experiment, including the warm-up.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Time at the start whose requests and costs are not counted; must be less than `duration`.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Relative load of each entry host; must not be empty.
    pub hosts: Vec<f64>,
    /// One-way delay between hosts and endpoints.
    #[serde(with = "humantime_serde")]
    pub network: Duration,
    /// Timing of the load reports of endpoints.
    pub reports: Reports,
    /// Availability zones, over which hosts and endpoints are placed in round-robin order.
    pub zones: Vec<String>,
    /// Hourly price of a reclaimable endpoint; a standard one costs 1.
    #[serde(default = "cheap")]
    pub reclaimable_price: f64,
    /// Pools of endpoints.
    pub pools: Vec<Pool>,
    /// Request classes, with their tiers and targets.
    pub classes: Vec<manifest::Class>,
    /// Weights of client accounts; others have weight 1.
    #[serde(default)]
    pub accounts: Vec<manifest::Account>,
    /// Streams of requests, one for each account, class and pool.
    pub load: Vec<Load>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Policies to compare, in the order of the printed table.
    pub policies: Vec<Policy>,
}

/// Timing of load reports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Time between two reports of an endpoint.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// Age of a report when it reaches the hosts.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
}

/// A pool of endpoints with equal engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, which loads refer to.
    pub id: String,
    /// Standard endpoints at the start.
    pub standard: u32,
    /// Reclaimable endpoints at the start.
    #[serde(default)]
    pub reclaimable: u32,
    /// Most endpoints when the pool is resized; 0 keeps the number at the start.
    #[serde(default)]
    pub max: u32,
    /// Time from the order of an endpoint until it takes requests.
    #[serde(default, with = "humantime_serde")]
    pub boot: Duration,
    /// Most requests in the batch of an engine.
    pub slots: u32,
    /// Duration of an engine step.
    pub step: Step,
    /// Most prompt tokens that one step processes.
    #[serde(default = "chunk")]
    pub chunk: u32,
    /// Capacity of an engine's prefix cache in blocks of 64 tokens; 0 for no cache.
    #[serde(default)]
    pub cache_blocks: usize,
}

/// Duration of an engine step: `base + per_request * batch + per_prompt_token * tokens`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Fixed part of every step.
    #[serde(with = "humantime_serde")]
    pub base: Duration,
    /// Time for each request in the batch.
    #[serde(with = "humantime_serde")]
    pub per_request: Duration,
    /// Time for each prompt token that is not cached.
    #[serde(with = "humantime_serde")]
    pub per_prompt_token: Duration,
}

/// Requests of one account in one class to one pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the class; must be one of [`Experiment::classes`].
    pub class: String,
    /// Name of the client account.
    pub account: String,
    /// Name of the pool; must be one of [`Experiment::pools`].
    pub pool: String,
    /// Mean requests per second outside of bursts; must be above 0.
    pub rate: f64,
    /// Mean number of prompt tokens that a request adds.
    pub prompt: u32,
    /// Number of prompt tokens with which all requests of this load start.
    #[serde(default)]
    pub shared: u32,
    /// Number of conversations; the prompt of each request contains the conversation so far. 0 for
    /// requests that are independent.
    #[serde(default)]
    pub sessions: u32,
    /// Mean number of response tokens.
    pub answer: u32,
    /// Changes of the rate for some time; where they overlap, the first applies.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A change of the rate for some time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, since the start of the experiment.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// End, since the start of the experiment.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// Multiple of the normal rate.
    #[serde(default = "one")]
    pub factor: f64,
}

/// A fault for some time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, since the start of the experiment.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// End, since the start of the experiment.
    #[serde(with = "humantime_serde")]
    pub to: Duration,
    /// Effect of the fault while it lasts.
    pub what: Effect,
}

/// Effect of a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// An engine runs slower; its load reports show one running request and an empty queue.
    Slow {
        /// Position among the endpoints at the start, in the order of the pools.
        endpoint: usize,
        /// Multiple of the normal duration of its steps.
        factor: f64,
    },
    /// An engine loses its work and refuses connections.
    Crash {
        /// Position among the endpoints at the start, in the order of the pools.
        endpoint: usize,
    },
    /// The reclaimable endpoints of an availability zone are taken away and no new ones are
    /// available there.
    Reclaim {
        /// Name of the availability zone.
        zone: String,
        /// Time between the notice and the end of the endpoints.
        #[serde(with = "humantime_serde")]
        notice: Duration,
    },
}

impl Check for Experiment {
    fn check(&self, report: &mut Report) {
        let mut require = |is_met: bool, place: String, fault: &str| {
            if !is_met {
                report.push(place, fault);
            }
        };
        require(
            !self.hosts.is_empty(),
            "hosts".into(),
            "must name at least one host",
        );
        require(
            !self.zones.is_empty(),
            "zones".into(),
            "must name at least one availability zone",
        );
        require(
            !self.policies.is_empty(),
            "policies".into(),
            "must name at least one policy",
        );
        require(
            self.duration > self.warm_up,
            "duration".into(),
            "must be longer than warm_up",
        );
        for (n, load) in self.load.iter().enumerate() {
            let has_class = self.classes.iter().any(|class| class.id == load.class);
            let has_pool = self.pools.iter().any(|pool| pool.id == load.pool);
            require(
                has_class,
                format!("load[{n}].class"),
                "must be the id of one of the classes",
            );
            require(
                has_pool,
                format!("load[{n}].pool"),
                "must be the id of one of the pools",
            );
            require(
                load.rate > 0.0,
                format!("load[{n}].rate"),
                "must be above 0",
            );
        }
    }
}
