//! Findings, which list all faults of an input with their places.

use std::fmt;

/// One fault and its place in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Position or field of the fault, for example `settings.yaml:12:5` or
    /// `class/chat.target.deadline`.
    pub place: String,
    /// Description of what is wrong and what was expected.
    pub fault: String,
}

/// Findings collected during one check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Findings in the order in which the check found them.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Adds a finding with this place and fault.
    pub fn push(&mut self, place: impl Into<String>, fault: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            fault: fault.into(),
        });
    }

    /// Returns whether the check found no fault.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Appends all findings of `other`.
    pub fn merge(&mut self, other: Report) {
        self.findings.extend(other.findings);
    }

    /// Returns `value` if there are no findings, otherwise the report as the error.
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
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {}", finding.place, finding.fault)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}
