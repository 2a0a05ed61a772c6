//! Manifest files, which are YAML with one resource in each document, and resource names.

use std::path::Path;

use agate_model::finding::Report;
use agate_model::resource::{Kind, Name, Spec};
use agate_wire::manifest::Manifest;

use crate::config::read_file;
use crate::error::Error;

/// Reads and checks all resources of a file. Fails with a report of all faults, not only the first.
pub fn read(path: &Path) -> Result<Vec<Manifest>, Error> {
    let text = read_file(path)?;
    parse(&path.display().to_string(), &text)
}

fn parse(place: &str, text: &str) -> Result<Vec<Manifest>, Error> {
    let mut report = Report::default();
    let mut manifests = Vec::new();
    for document in Document::split(text) {
        match document.parse(place) {
            Ok(Some(manifest)) => manifests.push(manifest),
            Ok(None) => {}
            Err(faults) => report.merge(faults),
        }
    }
    report.into_result(manifests).map_err(Error::Invalid)
}

/// One document of a file. `lines_above` is the number of lines before it in the file.
struct Document {
    lines_above: u64,
    text: String,
}

impl Document {
    fn split(text: &str) -> Vec<Document> {
        let mut documents = vec![Document {
            lines_above: 0,
            text: String::new(),
        }];
        for (number, line) in (1..).zip(text.lines()) {
            if line.trim_end() == "---" {
                documents.push(Document {
                    lines_above: number,
                    text: String::new(),
                });
            } else if let Some(document) = documents.last_mut() {
                document.text.push_str(line);
                document.text.push('\n');
            }
        }
        documents
    }

    fn parse(&self, place: &str) -> Result<Option<Manifest>, Report> {
        let is_blank = |line: &str| line.trim().is_empty() || line.trim_start().starts_with('#');
        if self.text.lines().all(is_blank) {
            return Ok(None);
        }
        let manifest: Manifest = serde_saphyr::from_str_with_options(
            &self.text,
            serde_saphyr::options! { with_snippet: false },
        )
        .map_err(|err| {
            let (line, column) = err.location().map_or((1, 1), |at| (at.line(), at.column()));
            single_finding(
                format!("{place}:{}:{column}", self.lines_above + line),
                err.to_string(),
            )
        })?;
        self.check(place, &manifest)?;
        Ok(Some(manifest))
    }

    fn check(&self, place: &str, manifest: &Manifest) -> Result<(), Report> {
        let first = self.lines_above + 1;
        Spec::try_from(manifest.clone())
            .map(drop)
            .map_err(|mut report| {
                for finding in &mut report.findings {
                    finding.place = format!("{place}:{first}: {}", finding.place);
                }
                report
            })
    }
}

/// Returns a report with a single finding.
fn single_finding(place: String, fault: String) -> Report {
    let mut report = Report::default();
    report.push(place, fault);
    report
}

/// Parses a resource name of the form `kind/id`.
pub fn parse_name(text: &str) -> Result<Name, String> {
    let (kind, id) = text
        .split_once('/')
        .ok_or_else(|| format!("resource name {text:?} does not have the form kind/id"))?;
    let kind = parse_kind(kind)?;
    Ok(Name {
        kind,
        id: id.to_owned(),
    })
}

/// Parses a resource kind, given in the singular or the plural.
pub fn parse_kind(text: &str) -> Result<Kind, String> {
    let is_match = |kind: &Kind| text == kind.as_str() || text == plural(*kind);
    Kind::ALL.into_iter().find(is_match).ok_or_else(|| {
        format!(
            "unknown resource kind {text:?}, expected one of {}",
            kinds()
        )
    })
}

fn plural(kind: Kind) -> String {
    match kind {
        Kind::Class => "classes".to_owned(),
        other => format!("{}s", other.as_str()),
    }
}

fn kinds() -> String {
    Kind::ALL.map(Kind::as_str).join(", ")
}

/// Returns a manifest as YAML.
pub fn to_yaml(manifest: &Manifest) -> Result<String, Error> {
    serde_saphyr::to_string(manifest).map_err(|err| Error::Response(err.to_string()))
}
