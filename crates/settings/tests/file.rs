//! Parsing and checking of settings, with the findings as text.

use std::time::Duration;

use agate_model::finding::Report;
use agate_settings::file::{self, Check};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    body: u32,
    #[serde(with = "humantime_serde")]
    wait: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    host: String,
    #[serde(default)]
    port: u16,
    limits: Limits,
}

impl Check for Settings {
    fn check(&self, report: &mut Report) {
        if self.host.is_empty() {
            report.push("host", "needs a name");
        }
        if self.limits.wait.is_zero() {
            report.push("limits.wait", "needs to be longer than 0s");
        }
    }
}

/// Returns `valid`, or the report of the faults.
fn parse(text: &str) -> String {
    match file::parse::<Settings>("gate.yaml", text) {
        Ok(_) => "valid".to_owned(),
        Err(report) => report.to_string(),
    }
}

#[test]
fn valid_settings_are_accepted() {
    let text = "host: a\nlimits:\n  body: 1\n  wait: 3s\n";
    assert_eq!(parse(text), "valid");
}

#[test]
fn all_faults_are_reported_with_line_and_column() {
    let text = "host: a\nprot: 1\nport: 99999\nlimits:\n  body: 1\n  wait: 3 parsecs\n";
    insta::assert_snapshot!(parse(text));
}

#[test]
fn checks_beyond_types_are_reported_together() {
    let text = "host: ''\nlimits:\n  body: 1\n  wait: 0s\n";
    insta::assert_snapshot!(parse(text));
}

#[test]
fn a_syntax_fault_is_reported_with_line_and_column() {
    insta::assert_snapshot!(parse("host: [a\nlimits: {\n"));
}

#[test]
fn printed_settings_can_be_parsed_again() {
    let text = "host: a\nlimits:\n  body: 1\n  wait: 3s\n";
    let settings: Settings = file::parse("gate.yaml", text).expect("valid settings");
    let printed = file::print(&settings).expect("printable settings");
    assert_eq!(parse(&printed), "valid");
}
