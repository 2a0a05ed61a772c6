//! Options that several commands share, file input and printing.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::Bpaf;
use serde::Serialize;

use crate::client::Client;
use crate::error::Error;

/// How to reach the resource API.
#[derive(Clone, Debug, Bpaf)]
pub struct Connection {
    /// Entry hosts' operator addresses, tried in order
    #[bpaf(long, env("AGATE_SERVER"), argument("IP:PORT,.."))]
    pub server: String,
    /// Operator credential; better given by the environment than on the command line
    #[bpaf(long, env("AGATE_CREDENTIAL"), argument("TEXT"), optional, hide_usage)]
    credential: Option<String>,
    /// File that holds the operator credential
    #[bpaf(
        long,
        env("AGATE_CREDENTIAL_FILE"),
        argument("PATH"),
        optional,
        hide_usage
    )]
    credential_file: Option<PathBuf>,
}

impl Connection {
    /// Creates a client for these servers. Fails if the credential file cannot be read.
    pub fn client(&self) -> Result<Client, Error> {
        let servers = self.server.split(',').map(str::trim).map(str::to_owned);
        Ok(Client::new(servers.collect(), self.read_credential()?))
    }

    /// Returns the credential, from the option or the file; empty if neither is given.
    fn read_credential(&self) -> Result<String, Error> {
        if let Some(credential) = &self.credential {
            return Ok(credential.clone());
        }
        match &self.credential_file {
            Some(path) => Ok(read_file(path)?.trim().to_owned()),
            None => Ok(String::new()),
        }
    }
}

/// Output format, as given by `--output`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Columns to be read by people.
    Table,
    /// JSON to be parsed by programs.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err("expected table or json".to_owned()),
        }
    }
}

/// Returns the parser of `--output`, which defaults to a table.
pub fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser as _;
    bpaf::short('o')
        .long("output")
        .help("Form of the output: table or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Table)
}

/// Parses a duration with a unit, such as `30d`.
#[allow(clippy::needless_pass_by_value, reason = "bpaf hands over the text")]
pub fn parse_duration(text: String) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(&text)
}

/// Returns the parser of `--timeout`, which defaults to ten seconds.
pub fn timeout() -> impl bpaf::Parser<Duration> {
    use bpaf::Parser as _;
    const DEFAULT: Duration = Duration::from_secs(10);
    bpaf::long("timeout")
        .help("How long to wait until the change is in force; 0s does not wait [default: 10s]")
        .argument::<String>("DURATION")
        .parse(parse_duration)
        .fallback(DEFAULT)
}

/// Reads a file, or standard input if the path is `-`.
pub fn read_file(path: &Path) -> Result<String, Error> {
    let result = if path == Path::new("-") {
        io::read_to_string(io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    result.map_err(|source| Error::File {
        path: path.display().to_string(),
        source,
    })
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
    print(&format!("{text}\n"))
}

/// Prints text to standard output. Fails with [`Error::Closed`] if its reader has closed it.
pub fn print(text: &str) -> Result<(), Error> {
    let mut stdout = io::stdout().lock();
    stdout.write_all(text.as_bytes())?;
    stdout.flush()?;
    Ok(())
}
