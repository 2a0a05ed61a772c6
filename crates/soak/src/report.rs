//! What a run met and found, as text.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::check::{CHECKS, Finding};
use crate::ledger::{End, Ledger};
use crate::schedule::{Kind, Schedule};

/// Sums over several runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    runs: usize,
    broken: Vec<u64>,
    faults: BTreeMap<String, usize>,
    requests: usize,
    served: usize,
    runs_at_endpoints: usize,
    calls: usize,
}

impl Summary {
    /// Adds one run.
    pub fn add(&mut self, schedule: &Schedule, ledger: &Ledger, findings: &[Finding]) {
        self.runs += 1;
        if !findings.is_empty() {
            self.broken.push(schedule.seed);
        }
        for fault in &schedule.faults {
            *self.faults.entry(name(fault.kind)).or_default() += 1;
        }
        let served = |end: &End| matches!(end, End::Whole { status: 200, .. });
        self.requests += ledger.asked.len();
        self.served += ledger.asked.iter().filter(|it| served(&it.end)).count();
        self.runs_at_endpoints += ledger.ran.len();
        self.calls += ledger.calls.len();
    }

    /// Seeds with findings.
    pub fn broken(&self) -> &[u64] {
        &self.broken
    }

    /// The report.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let faults: usize = self.faults.values().sum();
        let _ = writeln!(
            text,
            "{} runs, {faults} faults, {} promises checked, {} requests, {} served, {} runs at \
             endpoints, {} calls of holders",
            self.runs,
            self.runs * CHECKS.len(),
            self.requests,
            self.served,
            self.runs_at_endpoints,
            self.calls,
        );
        for (kind, count) in &self.faults {
            let _ = writeln!(text, "{count:6}  {kind}");
        }
        let _ = writeln!(text, "seeds with findings: {:?}", self.broken);
        text
    }
}

/// Name of a kind as it is written on the command line.
pub fn name(kind: Kind) -> String {
    let mut name = String::new();
    for letter in format!("{kind:?}").chars() {
        if letter.is_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.extend(letter.to_lowercase());
    }
    name
}
