//! Faults that the stand-ins show on request, set at `PUT /admin/faults`.

use serde::{Deserialize, Serialize};

/// Faults of one interface of a stand-in. All fields are optional; an absent one is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to every answer, in milliseconds.
    pub delay_ms: u64,
    /// Share of requests answered with 503 and no effect, 0 to 1.
    pub error_rate: f64,
    /// Share of requests whose answer is lost after the effect, 0 to 1.
    pub lose_answer_rate: f64,
    /// Requests are neither answered nor carried out.
    pub frozen: bool,
    /// Connections are closed at once.
    pub cut: bool,
    /// Engines only: factor on the service time; load reports do not show it.
    pub slowdown: f64,
    /// Engines only: answers break off after this many chunks; 0 is never.
    pub break_after_chunks: u64,
    /// Engines only: chunks are doubled, delayed and swapped.
    pub scramble: bool,
    /// Platform only: no capacity of the cheaper kind in these availability zones.
    pub unavailable_zones: Vec<String>,
}
