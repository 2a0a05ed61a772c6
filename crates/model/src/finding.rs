//! Findings: everything wrong with an input, each with its place.

use std::fmt;

/// One fault and the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// For example `settings.yaml:12:5` or `class/chat.target.deadline`.
    pub place: String,
    /// What is wrong, and what would be right.
    pub fault: String,
}

/// Findings collected during one check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// In order of discovery.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Adds a fault.
    pub fn push(&mut self, place: impl Into<String>, fault: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            fault: fault.into(),
        });
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Adds all findings of `other`.
    pub fn merge(&mut self, other: Report) {
        self.findings.extend(other.findings);
    }

    /// `value` if nothing was found, otherwise the report.
    pub fn into_result<T>(self, value: T) -> Result<T, Report> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.findings.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {}", finding.place, finding.fault)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}
