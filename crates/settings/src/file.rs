//! Settings in YAML, checked at start. All faults are reported together, each
//! with file, line and column.

use std::path::Path;

use agate_model::finding::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::place::Places;

/// Place of faults that concern the whole file.
const ROOT: &str = "settings";

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
    let mut value: Value = yaml(place, text)?;
    let mut faults = Report::default();
    let settings: Option<T> = convert(&mut value, &mut faults);
    if let Some(settings) = &settings {
        settings.check(&mut faults);
    }
    locate(&mut faults, place, text);
    match settings {
        Some(settings) => faults.into_result(settings),
        None => Err(faults),
    }
}

/// Adds line and column to the places, and orders the findings by them.
fn locate(faults: &mut Report, place: &str, text: &str) {
    let places = Places::of(text);
    faults
        .findings
        .sort_by_key(|it| places.find(&it.place).map(|at| (at.line(), at.column())));
    for finding in &mut faults.findings {
        finding.place = match places.find(&finding.place) {
            Some(at) => format!("{place}:{}:{}: {}", at.line(), at.column(), finding.place),
            None => format!("{place}: {}", finding.place),
        };
    }
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

/// Converts, and on a fault removes the field and goes on, so that the
/// following faults are found too. A field that is missing because it was
/// removed is no further fault.
fn convert<T: DeserializeOwned>(value: &mut Value, faults: &mut Report) -> Option<T> {
    let mut removed: Vec<String> = Vec::new();
    loop {
        match serde_path_to_error::deserialize(value.clone()) {
            Ok(settings) => return Some(settings),
            Err(err) => {
                let fault = err.inner().to_string();
                let path = field(&err.path().to_string(), &fault);
                let is_consequence = missing(&path, &fault).is_some_and(|it| removed.contains(&it));
                if !is_consequence {
                    faults.push(path.clone(), fault);
                }
                if !remove(value, &path) {
                    return None;
                }
                removed.push(path);
            }
        }
    }
}

/// Path of the field that a fault reports as missing.
fn missing(path: &str, fault: &str) -> Option<String> {
    let name = fault.strip_prefix("missing field `")?.split('`').next()?;
    match path {
        ROOT => Some(name.to_owned()),
        _ => Some(format!("{path}.{name}")),
    }
}

/// Path of the faulty field; an unknown field is named only in the message.
fn field(path: &str, fault: &str) -> String {
    let unknown = fault
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    match unknown {
        None if path == "." => ROOT.to_owned(),
        None => path.to_owned(),
        Some(name) if path == "." => name.to_owned(),
        Some(name) if path.rsplit('.').next() == Some(name) => path.to_owned(),
        Some(name) => format!("{path}.{name}"),
    }
}

fn remove(value: &mut Value, path: &str) -> bool {
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let pointer: String = parent
        .split('.')
        .filter(|part| !part.is_empty())
        .map(|part| format!("/{part}"))
        .collect();
    let parent = value.pointer_mut(&pointer);
    let fields = parent.and_then(Value::as_object_mut);
    fields.is_some_and(|fields| fields.remove(last).is_some())
}

fn single(place: &str, fault: String) -> Report {
    let mut report = Report::default();
    report.push(place, fault);
    report
}
