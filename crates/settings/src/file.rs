//! Settings files in YAML. All faults of a file are reported together, each with file, line and
//! column.

use std::path::Path;

use agate_model::finding::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::position::Positions;

/// Field path of faults that concern the file as a whole.
const ROOT: &str = "settings";

/// Checks of settings that their types cannot express.
pub trait Check {
    /// Adds every fault to `report`; the place of each is a field path such as `limits.body`.
    fn check(&self, report: &mut Report);
}

/// Reads, parses and checks a settings file. Unknown fields are rejected if the types have the
/// attribute `deny_unknown_fields`.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Report> {
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| single(&origin, err.to_string()))?;
    parse(&origin, &text)
}

/// Parses and checks settings. `origin`, usually the file name, starts the place of each finding.
pub fn parse<T: DeserializeOwned + Check>(origin: &str, text: &str) -> Result<T, Report> {
    let mut value: Value = yaml(origin, text)?;
    let mut faults = Report::default();
    let settings: Option<T> = convert(&mut value, &mut faults);
    if let Some(settings) = &settings {
        settings.check(&mut faults);
    }
    locate(&mut faults, origin, text);
    match settings {
        Some(settings) => faults.into_result(settings),
        None => Err(faults),
    }
}

/// Adds `origin`, line and column to the place of each finding, and sorts the findings by line and
/// column.
fn locate(faults: &mut Report, origin: &str, text: &str) {
    let positions = Positions::of(text);
    faults.findings.sort_by_key(|finding| {
        positions
            .find(&finding.place)
            .map(|at| (at.line(), at.column()))
    });
    for finding in &mut faults.findings {
        finding.place = match positions.find(&finding.place) {
            Some(at) => format!("{origin}:{}:{}: {}", at.line(), at.column(), finding.place),
            None => format!("{origin}: {}", finding.place),
        };
    }
}

/// Parses YAML. `place`, usually the file name, is the place of the fault in the report; line and
/// column are appended if they are known.
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

/// Returns the settings in effect as YAML, with defaults filled in.
pub fn print<T: Serialize>(settings: &T) -> Result<String, Report> {
    serde_saphyr::to_string(settings).map_err(|err| single("settings", err.to_string()))
}

/// Converts `value`, or returns `None` and adds its faults. After a fault, the field is removed and
/// the conversion retried, so that one pass reports all faults. A field that is missing because it
/// was removed is not reported.
fn convert<T: DeserializeOwned>(value: &mut Value, faults: &mut Report) -> Option<T> {
    let mut removed: Vec<String> = Vec::new();
    loop {
        match serde_path_to_error::deserialize(value.clone()) {
            Ok(settings) => return Some(settings),
            Err(err) => {
                let fault = err.inner().to_string();
                let path = field(&err.path().to_string(), &fault);
                let is_consequence =
                    missing(&path, &fault).is_some_and(|field| removed.contains(&field));
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

/// Returns the path of the field that a fault reports as missing; `None` for other faults.
fn missing(path: &str, fault: &str) -> Option<String> {
    let name = fault.strip_prefix("missing field `")?.split('`').next()?;
    match path {
        ROOT => Some(name.to_owned()),
        _ => Some(format!("{path}.{name}")),
    }
}

/// Returns the path of the faulty field. For an unknown field, the deserializer may give only the
/// path of the parent; the name is then taken from the message.
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

/// Removes the field at `path`; returns whether it existed.
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

/// Creates a report with one finding.
fn single(place: &str, fault: String) -> Report {
    let mut report = Report::default();
    report.push(place, fault);
    report
}
