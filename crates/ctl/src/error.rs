//! Errors, and the exit code of each.

use std::fmt::Write as _;
use std::io;
use std::process::ExitCode;

use agate_model::finding::Report;
use agate_model::id::Version;
use agate_wire::api::{Conflict, Failure};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The input has faults.
    #[error("{0}")]
    Invalid(Report),
    /// The API refused the request.
    #[error("{}", explain(.0))]
    Refused(Box<Failure>),
    /// No server answered.
    #[error("no server answered: {0}")]
    Unreached(String),
    /// An answer was not understood.
    #[error("unexpected answer: {0}")]
    Answer(String),
    /// The change is stored but not in force everywhere yet.
    #[error("version {0} is stored but not yet in force; see `agatectl status`")]
    Pending(Version),
    /// The file differs from what is declared.
    #[error("{0} resources differ")]
    Different(usize),
    /// Standard output was closed by its reader.
    #[error("standard output was closed")]
    Closed,
}

impl Error {
    /// Exit code, as listed in the help.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::File { .. } => 1,
            Error::Invalid(_) => 2,
            Error::Refused(failure) => refused_code(&failure.code),
            Error::Unreached(_) | Error::Answer(_) => 6,
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
            _ => Error::Answer(err.to_string()),
        }
    }
}

fn refused_code(code: &str) -> u8 {
    match code {
        "bad_request" | "invalid" => 2,
        "conflict" => 3,
        "not_found" => 4,
        "unauthenticated" | "forbidden" => 5,
        _ => 6,
    }
}

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
    let version = current.map_or(0, |it| it.version);
    let mut text = format!(
        "\n  {}/{}: expected version {}, found {version}",
        conflict.kind, conflict.id, conflict.expected
    );
    if let Some(yours) = &conflict.yours {
        let _ = write!(text, "\n    yours:   {}", one_line(yours));
    }
    if let Some(current) = current {
        let _ = write!(text, "\n    current: {}", one_line(&current.manifest));
    }
    text
}

fn one_line<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
