//! Errors of commands and their exit codes.

use std::fmt::Write as _;
use std::io;
use std::process::ExitCode;

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_wire::api::{Conflict, Failure};

/// Failure of a command, or a result that is reported by an exit code.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file, or standard input, could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path as given on the command line.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The manifests of a file are invalid; the report lists all faults.
    #[error("{0}")]
    Invalid(Report),
    /// The API refused the request, with its code and findings.
    #[error("{}", explain(.0))]
    Refused(Box<Failure>),
    /// No server could be reached; the text names the last one and its failure.
    #[error("no server is reachable: {0}")]
    Unreachable(String),
    /// A response has an unexpected form, or an argument or local operation failed.
    #[error("unexpected response: {0}")]
    Response(String),
    /// The change is stored, but was not in force when the timeout passed.
    #[error("version {0} is stored but not yet in force; see `agatectl status`")]
    Pending(Version),
    /// The file differs from the declared resources in this number of resources.
    #[error("{0} resources differ from the declared ones")]
    Different(usize),
    /// Standard output was closed by its reader.
    #[error("standard output was closed")]
    Closed,
}

impl Error {
    /// Returns the exit code, as listed in the help.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::File { .. } => 1,
            Error::Invalid(_) => 2,
            Error::Refused(failure) => refusal_exit_code(&failure.code),
            Error::Unreachable(_) | Error::Response(_) => 6,
            Error::Pending(_) => 7,
            Error::Different(_) => 10,
            Error::Closed => 0,
        };
        ExitCode::from(code)
    }
}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::BrokenPipe => Error::Closed,
            _ => Error::Response(err.to_string()),
        }
    }
}

/// Returns the exit code for the code of a refusal.
fn refusal_exit_code(code: &str) -> u8 {
    match code {
        "bad_request" | "invalid" => 2,
        "conflict" => 3,
        "not_found" => 4,
        "unauthenticated" | "forbidden" => 5,
        _ => 6,
    }
}

/// Returns the message of a refusal with one line for each finding and conflict.
fn explain(failure: &Failure) -> String {
    let mut text = format!("{} ({})", failure.message, failure.code);
    for finding in &failure.findings {
        let _ = write!(text, "\n  {}: {}", finding.place, finding.fault);
    }
    for conflict in &failure.conflicts {
        text.push_str(&explain_conflict(conflict));
    }
    text
}

fn explain_conflict(conflict: &Conflict) -> String {
    let current = conflict.current.as_ref();
    let version = current.map_or(0, |resource| resource.version);
    let mut text = format!(
        "\n  {}/{}: expected version {}, found {version}",
        conflict.kind, conflict.id, conflict.expected
    );
    if let Some(yours) = &conflict.yours {
        let _ = write!(text, "\n    yours:   {}", to_json(yours));
    }
    if let Some(current) = current {
        let _ = write!(text, "\n    current: {}", to_json(&current.manifest));
    }
    text
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
