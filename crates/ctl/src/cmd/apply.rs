//! `agatectl apply`: declares the resources of a file as one change.

use std::path::PathBuf;
use std::time::Duration;

use agate_model::id::Version;
use agate_wire::api::{Apply, Item, Outcome};
use agate_wire::change::Edit;
use agate_wire::manifest::Manifest;
use bpaf::Bpaf;

use crate::cmd::manifest;
use crate::config::{Connection, Format, connection, format, print, print_json, timeout};
use crate::error::Error;

/// Create or replace all resources of a file in one change
///
///
/// The file holds one resource in each YAML document. The command ends once
/// the change is in force.
///
///
/// Examples: `agatectl apply -f resources.yaml`,
/// `agatectl apply -f class.yaml --expect 41`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("apply"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// File with manifests; - is standard input
    #[bpaf(short, long, argument("PATH"))]
    file: PathBuf,
    /// Version that each resource must have; 0 if it must not exist
    #[bpaf(long, argument("VERSION"), optional)]
    expect: Option<Version>,
    /// Check only
    #[bpaf(long)]
    dry_run: bool,
    #[bpaf(external)]
    timeout: Duration,
    #[bpaf(external(format))]
    output: Format,
}

impl Args {
    /// Applies the resources of the file, waits until they are in force and prints the outcome.
    pub async fn run(self) -> Result<(), Error> {
        let manifests = manifest::read(&self.file)?;
        let count = manifests.len();
        let client = self.connection.client()?;
        let outcome = client.apply(&self.request(manifests)).await?;
        let outcome = client.await_accepted(outcome, self.timeout).await?;
        self.print_outcome(count, &outcome)
    }

    fn request(&self, manifests: Vec<Manifest>) -> Apply {
        let item = |manifest| Item {
            edit: Edit::Put { manifest },
            expected: self.expect,
        };
        Apply {
            items: manifests.into_iter().map(item).collect(),
            dry_run: self.dry_run,
        }
    }

    fn print_outcome(&self, count: usize, outcome: &Outcome) -> Result<(), Error> {
        match self.output {
            Format::Json => print_json(outcome),
            Format::Table if outcome.dry_run => print(&format!("{count} resources are valid\n")),
            Format::Table => print(&summary(count, outcome)),
        }
    }
}

/// Returns one line with the version of a change of `count` resources and the hosts on which it is
/// in force.
pub fn summary(count: usize, outcome: &Outcome) -> String {
    format!(
        "{count} changed, version {}, in force on {} of {} hosts\n",
        outcome.version, outcome.hosts_in_force, outcome.hosts
    )
}
