//! Settings in YAML, checked at start.

use std::path::Path;

use agate_model::finding::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Checks that the types alone cannot express.
pub trait Check {
    /// Adds every fault; places are field paths such as `limits.body`.
    fn check(&self, report: &mut Report);
}

/// Reads and checks a settings file. Unknown fields are refused by the types
/// themselves, with `deny_unknown_fields`.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Report> {
    let place = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| single(&place, err.to_string()))?;
    parse(&place, &text)
}

/// Parses and checks settings; `place` names their origin in findings.
pub fn parse<T: DeserializeOwned + Check>(place: &str, text: &str) -> Result<T, Report> {
    let settings: T = yaml(place, text)?;
    let mut faults = Report::default();
    settings.check(&mut faults);
    for finding in &mut faults.findings {
        finding.place = format!("{place}: {}", finding.place);
    }
    faults.into_result(settings)
}

/// Parses YAML; a fault carries line and column.
pub fn yaml<T: DeserializeOwned>(place: &str, text: &str) -> Result<T, Report> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| {
        let place = match err.location() {
            Some(at) => format!("{place}:{}:{}", at.line(), at.column()),
            None => place.to_owned(),
        };
        single(&place, err.to_string())
    })
}

/// The settings in effect, as YAML.
pub fn print<T: Serialize>(settings: &T) -> Result<String, Report> {
    serde_saphyr::to_string(settings).map_err(|err| single("settings", err.to_string()))
}

fn single(place: &str, fault: String) -> Report {
    let mut report = Report::default();
    report.push(place, fault);
    report
}
