//! Interface that receives usage reports and detects contradictory ones.

use std::collections::HashMap;

use agate_wire::platform::{Counters, Report};
use serde::{Deserialize, Serialize};

use crate::http::{Reply, Request};
use crate::ledger::unix_ms;

/// Result of comparing a report with earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The first report for its account, window and idempotency key.
    Accepted,
    /// A retry with the same usage as the earlier report.
    Repeated,
    /// Refused with status 409: its usage differs from that of the earlier report.
    Contradicted,
}

/// A received report, as `GET /admin/reports` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// Value of the request header `Idempotency-Key`.
    pub key: String,
    /// Usage report as sent.
    pub report: Report,
    /// Number of the connection that carried it, counted from 0.
    pub connection: u64,
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Result of comparing it with earlier reports.
    pub verdict: Verdict,
}

/// Account and window that a report covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Subject {
    account: String,
    window: u64,
}

/// Received reports and the usage accepted from them.
#[derive(Debug, Default)]
pub struct Reports {
    received: Vec<Received>,
    by_subject: HashMap<Subject, Counters>,
    /// Accepted usage, by idempotency key.
    by_key: HashMap<String, Counters>,
}

impl Reports {
    /// Returns all reports in order of arrival, refused ones included.
    pub fn received(&self) -> &[Received] {
        &self.received
    }

    /// Records a report; returns status 400 if it is malformed or lacks an idempotency key.
    pub fn receive(&mut self, request: &Request) -> Reply {
        let report: Report = match request.json() {
            Ok(report) => report,
            Err(refusal) => return refusal,
        };
        let Some(key) = request.header("idempotency-key") else {
            return Reply::error(400, "Idempotency-Key is missing");
        };
        let verdict = self.compare(key, &report);
        self.received.push(Received {
            key: key.to_owned(),
            report,
            connection: request.connection,
            at_ms: unix_ms(),
            verdict,
        });
        match verdict {
            Verdict::Accepted | Verdict::Repeated => Reply::json(&verdict),
            Verdict::Contradicted => Reply::with_status(409, &verdict),
        }
    }

    /// Compares a report with the earlier one of its account and window, or else of its key, and
    /// accepts it if there is none.
    fn compare(&mut self, key: &str, report: &Report) -> Verdict {
        let subject = Subject {
            account: report.account.clone(),
            window: report.window,
        };
        let earlier = self
            .by_subject
            .get(&subject)
            .or_else(|| self.by_key.get(key));
        match earlier {
            Some(usage) if *usage == report.figures => Verdict::Repeated,
            Some(_) => Verdict::Contradicted,
            None => {
                self.by_subject.insert(subject, report.figures);
                self.by_key.insert(key.to_owned(), report.figures);
                Verdict::Accepted
            }
        }
    }
}
