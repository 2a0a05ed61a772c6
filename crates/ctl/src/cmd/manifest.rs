//! Manifest files: YAML with one resource in each document.

use std::path::Path;

use agate_model::finding::Report;
use agate_model::resource::{Kind, Name, Spec};
use agate_wire::manifest::Manifest;

use crate::config::read_file;
use crate::error::Error;

/// Reads and checks all resources of a file; every fault is reported.
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

/// One document of a file, and the number of lines above it.
struct Document {
    above: u64,
    text: String,
}

impl Document {
    fn split(text: &str) -> Vec<Document> {
        let mut documents = vec![Document {
            above: 0,
            text: String::new(),
        }];
        for (number, line) in (1..).zip(text.lines()) {
            if line.trim_end() == "---" {
                documents.push(Document {
                    above: number,
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
            one(
                format!("{place}:{}:{column}", self.above + line),
                err.to_string(),
            )
        })?;
        self.check(place, &manifest)?;
        Ok(Some(manifest))
    }

    fn check(&self, place: &str, manifest: &Manifest) -> Result<(), Report> {
        let first = self.above + 1;
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

fn one(place: String, fault: String) -> Report {
    let mut report = Report::default();
    report.push(place, fault);
    report
}

/// Splits `kind/id`.
pub fn parse_name(text: &str) -> Result<Name, String> {
    let (kind, id) = text
        .split_once('/')
        .ok_or_else(|| format!("{text:?} needs the form kind/id"))?;
    let kind = parse_kind(kind)?;
    Ok(Name {
        kind,
        id: id.to_owned(),
    })
}

/// A kind, in the singular or the plural.
pub fn parse_kind(text: &str) -> Result<Kind, String> {
    let is_match = |kind: &Kind| text == kind.as_str() || text == plural(*kind);
    Kind::ALL
        .into_iter()
        .find(is_match)
        .ok_or_else(|| format!("{text:?} is not a kind; use one of {}", kinds()))
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

/// YAML of a manifest.
pub fn to_yaml(manifest: &Manifest) -> Result<String, Error> {
    serde_saphyr::to_string(manifest).map_err(|err| Error::Answer(err.to_string()))
}
