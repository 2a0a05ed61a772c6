//! Faults that the simulated platform, engines and plain services inject, set with `PUT
//! /admin/faults`.

use serde::{Deserialize, Serialize};

/// Faults of one interface of a simulated service. All fields are optional; an absent one is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay added to every response, in milliseconds.
    pub delay_ms: u64,
    /// Share of requests that get status 503 and have no effect, 0 to 1.
    pub error_rate: f64,
    /// Share of requests that take effect but whose response is lost, 0 to 1.
    pub lose_answer_rate: f64,
    /// Whether requests are neither carried out nor get a response.
    pub frozen: bool,
    /// Whether connections are closed as soon as they are accepted.
    pub cut: bool,
    /// Factor on the service time, which load reports do not show; engines only.
    pub slowdown: f64,
    /// Number of chunks after which streamed responses break off, 0 for never; engines only.
    pub break_after_chunks: u64,
    /// Whether chunks are duplicated, delayed and swapped; engines only.
    pub scramble: bool,
    /// Availability zones without capacity of the cheaper kind; platform only.
    pub unavailable_zones: Vec<String>,
}
