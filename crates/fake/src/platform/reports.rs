//! Interface that accepts usage reports.

use std::collections::HashMap;

use agate_wire::platform::{Counters, Report};
use serde::{Deserialize, Serialize};

use crate::http::{Answer, Request};
use crate::ledger::wall_ms;

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The first for its account and window.
    Accepted,
    /// A repetition with the same figures.
    Repeated,
    /// Refused for other figures.
    Contradicted,
}

/// One received report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// Value of `Idempotency-Key`.
    pub key: String,
    /// The report.
    pub report: Report,
    /// Connection that it came on.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What became of it.
    pub verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Subject {
    account: String,
    window: u64,
}

/// All reports.
#[derive(Debug, Default)]
pub struct Reports {
    received: Vec<Received>,
    figures: HashMap<Subject, Counters>,
    keys: HashMap<String, Counters>,
}

impl Reports {
    /// Reports in order of arrival.
    pub fn received(&self) -> &[Received] {
        &self.received
    }

    /// Takes a report.
    pub fn receive(&mut self, request: &Request) -> Answer {
        let report: Report = match request.json() {
            Ok(report) => report,
            Err(refusal) => return refusal,
        };
        let Some(key) = request.header("idempotency-key") else {
            return Answer::error(400, "Idempotency-Key is missing");
        };
        let verdict = self.judge(key, &report);
        self.received.push(Received {
            key: key.to_owned(),
            report,
            connection: request.connection,
            at_ms: wall_ms(),
            verdict,
        });
        match verdict {
            Verdict::Accepted | Verdict::Repeated => Answer::json(&verdict),
            Verdict::Contradicted => Answer::with_status(409, &verdict),
        }
    }

    fn judge(&mut self, key: &str, report: &Report) -> Verdict {
        let subject = Subject {
            account: report.account.clone(),
            window: report.window,
        };
        let earlier = self.figures.get(&subject).or_else(|| self.keys.get(key));
        match earlier {
            Some(figures) if *figures == report.figures => Verdict::Repeated,
            Some(_) => Verdict::Contradicted,
            None => {
                self.figures.insert(subject, report.figures);
                self.keys.insert(key.to_owned(), report.figures);
                Verdict::Accepted
            }
        }
    }
}
