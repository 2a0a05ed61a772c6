//! Collects the results of live load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::plan::{Call, Plan};

/// Upper bound of the histograms in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 3_600_000_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response arrived.
    Completed {
        /// Time from arrival to the first token, or to the response of a plain call.
        first_token: Duration,
        /// Time from arrival to the end of the response.
        total: Duration,
        /// Number of streamed chunks; 1 for a response that is not streamed.
        chunks: u32,
    },
    /// The response had an error status. Holds the code of its error body, or the status.
    Refused(String),
    /// There was no complete response. Holds the cause.
    Failed(String),
}

impl Outcome {
    pub(super) fn completed(first_token: Duration, total: Duration, chunks: u32) -> Self {
        Self::Completed {
            first_token,
            total,
            chunks,
        }
    }

    pub(super) fn refused(code: &str) -> Self {
        Self::Refused(code.to_owned())
    }

    pub(super) fn failed(fault: &str) -> Self {
        Self::Failed(fault.to_owned())
    }
}

/// Results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Statistics {
    /// Requests with an outcome, including those that were not sent. Unfinished ones are not
    /// counted.
    pub offered: u64,
    /// Requests that completed within all targets.
    pub attained: u64,
    /// Requests that completed but missed a target.
    pub late: u64,
    /// Refused requests by code.
    pub refused: BTreeMap<String, u64>,
    /// Requests that failed without an error response, by cause.
    pub lost: BTreeMap<String, u64>,
    /// Percentiles of the time to the first token: 50, 95 and 99, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// Percentiles of the mean time between tokens: 50, 95 and 99, in milliseconds.
    pub between_tokens_ms: [f64; 3],
}

/// Measurements of one class; histograms are in microseconds.
struct Class {
    totals: Statistics,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
}

/// Collects the results of requests by class.
pub struct Recorder {
    classes: BTreeMap<String, Class>,
    unfinished: u64,
}

/// Results of all classes.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Results by name of the class.
    pub classes: BTreeMap<String, Statistics>,
    /// Requests still in flight when the time to wait for them was over.
    pub unfinished: u64,
}

impl Recorder {
    pub(super) fn new(plan: &Plan) -> Self {
        let class = |call: &Call| {
            let histogram = || {
                Histogram::new_with_bounds(1, MAX_MICROS, 3)
                    .expect("the histogram bounds are valid")
            };
            let class = Class {
                totals: Statistics::default(),
                first_token: histogram(),
                between: histogram(),
            };
            (call.class.clone(), class)
        };
        Self {
            classes: plan.calls.iter().map(class).collect(),
            unfinished: 0,
        }
    }

    /// Records the outcome of a request of the call at position `n`.
    pub(super) fn record(&mut self, plan: &Plan, n: usize, outcome: &Outcome) {
        let call = &plan.calls[n];
        let class = self
            .classes
            .get_mut(&call.class)
            .expect("the recorder has the class of every call");
        class.totals.offered += 1;
        match outcome {
            Outcome::Refused(code) => *class.totals.refused.entry(code.clone()).or_default() += 1,
            Outcome::Failed(fault) => *class.totals.lost.entry(fault.clone()).or_default() += 1,
            Outcome::Completed {
                first_token,
                total,
                chunks,
            } => class.complete(call, *first_token, *total, *chunks),
        }
    }

    /// Sets the number of requests that were still in flight at the end.
    pub(super) fn unfinished(&mut self, count: u64) {
        self.unfinished = count;
    }

    /// Computes the percentiles and returns all results.
    pub fn summary(self) -> Summary {
        let results = |(id, class): (String, Class)| (id, class.finish());
        Summary {
            classes: self.classes.into_iter().map(results).collect(),
            unfinished: self.unfinished,
        }
    }
}

impl Class {
    /// Counts a completed request and records its times.
    fn complete(&mut self, call: &Call, first_token: Duration, total: Duration, chunks: u32) {
        let gaps = chunks.max(2) - 1;
        let between = total.saturating_sub(first_token) / gaps;
        self.first_token
            .saturating_record(first_token.as_micros() as u64);
        if chunks > 1 {
            self.between.saturating_record(between.as_micros() as u64);
        }
        let is_in_time = first_token <= call.first_token
            && between <= call.between_tokens
            && total <= call.deadline;
        if is_in_time {
            self.totals.attained += 1;
        } else {
            self.totals.late += 1;
        }
    }

    /// Returns the results with their percentiles.
    fn finish(mut self) -> Statistics {
        self.totals.first_token_ms = percentiles(&self.first_token);
        self.totals.between_tokens_ms = percentiles(&self.between);
        self.totals
    }
}

/// Returns the 50th, 95th and 99th percentiles in milliseconds.
fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}
