//! Figures of live load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::plan::{Call, Plan};

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Result {
    /// The whole answer came.
    Whole {
        /// Time to the first token.
        first_token: Duration,
        /// Time to the end.
        total: Duration,
        /// Chunks.
        chunks: u32,
    },
    /// It was refused, with this code.
    Refused(String),
    /// It failed without a refusal.
    Lost(String),
}

impl Result {
    pub(super) fn whole(first_token: Duration, total: Duration, chunks: u32) -> Self {
        Self::Whole {
            first_token,
            total,
            chunks,
        }
    }

    pub(super) fn refused(code: &str) -> Self {
        Self::Refused(code.to_owned())
    }

    pub(super) fn lost(fault: &str) -> Self {
        Self::Lost(fault.to_owned())
    }
}

/// Figures of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests started.
    pub offered: u64,
    /// Answered within all targets.
    pub attained: u64,
    /// Answered, but outside of a target.
    pub late: u64,
    /// Refused, by code.
    pub refused: BTreeMap<String, u64>,
    /// Failed without a refusal, by fault.
    pub lost: BTreeMap<String, u64>,
    /// Percentiles of the time to the first token: 50, 95 and 99, in milliseconds.
    pub first_token_ms: [f64; 3],
    /// Percentiles of the mean time between tokens: 50, 95 and 99, in milliseconds.
    pub between_tokens_ms: [f64; 3],
}

struct Class {
    figures: Figures,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
}

/// Gathers the results of a run.
pub struct Recorder {
    classes: BTreeMap<String, Class>,
    unfinished: u64,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// By class.
    pub classes: BTreeMap<String, Figures>,
    /// Requests without any end when the run was given up.
    pub unfinished: u64,
}

impl Recorder {
    pub(super) fn new(plan: &Plan) -> Self {
        let class = |call: &Call| {
            let histogram = || Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds");
            let class = Class {
                figures: Figures::default(),
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

    pub(super) fn record(&mut self, plan: &Plan, n: usize, result: &Result) {
        let call = &plan.calls[n];
        let class = self
            .classes
            .get_mut(&call.class)
            .expect("every call has a class");
        class.figures.offered += 1;
        match result {
            Result::Refused(code) => *class.figures.refused.entry(code.clone()).or_default() += 1,
            Result::Lost(fault) => *class.figures.lost.entry(fault.clone()).or_default() += 1,
            Result::Whole {
                first_token,
                total,
                chunks,
            } => class.answered(call, *first_token, *total, *chunks),
        }
    }

    pub(super) fn unfinished(&mut self, count: u64) {
        self.unfinished = count;
    }

    /// The figures.
    pub fn summary(self) -> Summary {
        let figures = |(id, class): (String, Class)| (id, class.finish());
        Summary {
            classes: self.classes.into_iter().map(figures).collect(),
            unfinished: self.unfinished,
        }
    }
}

impl Class {
    fn answered(&mut self, call: &Call, first_token: Duration, total: Duration, chunks: u32) {
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
            self.figures.attained += 1;
        } else {
            self.figures.late += 1;
        }
    }

    fn finish(mut self) -> Figures {
        self.figures.first_token_ms = percentiles(&self.first_token);
        self.figures.between_tokens_ms = percentiles(&self.between);
        self.figures
    }
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}
