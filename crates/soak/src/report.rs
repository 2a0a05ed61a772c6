//! Text report on the faults and findings of several runs.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::check::{CHECKS, Finding};
use crate::ledger::{End, Ledger};
use crate::schedule::{Kind, Schedule};

/// Totals over several runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    runs: usize,
    seeds_with_findings: Vec<u64>,
    faults: BTreeMap<String, usize>,
    requests: usize,
    served: usize,
    executions: usize,
    calls: usize,
}

impl Summary {
    /// Adds the counts of one run, and its seed if the run has findings.
    pub fn add(&mut self, schedule: &Schedule, ledger: &Ledger, findings: &[Finding]) {
        self.runs += 1;
        if !findings.is_empty() {
            self.seeds_with_findings.push(schedule.seed);
        }
        for fault in &schedule.faults {
            *self.faults.entry(name(fault.kind)).or_default() += 1;
        }
        let is_served = |end: &End| matches!(end, End::Whole { status: 200, .. });
        self.requests += ledger.requests.len();
        self.served += ledger
            .requests
            .iter()
            .filter(|request| is_served(&request.end))
            .count();
        self.executions += ledger.executions.len();
        self.calls += ledger.calls.len();
    }

    /// Returns the seeds of all runs that broke a promise.
    pub fn seeds_with_findings(&self) -> &[u64] {
        &self.seeds_with_findings
    }

    /// Returns the totals, one line for each kind of fault, and the seeds with findings.
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
            self.executions,
            self.calls,
        );
        for (kind, count) in &self.faults {
            let _ = writeln!(text, "{count:6}  {kind}");
        }
        let _ = writeln!(text, "seeds with findings: {:?}", self.seeds_with_findings);
        text
    }
}

/// Returns the name of a kind in kebab case, as the command line and the report write it.
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
