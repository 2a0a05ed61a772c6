//! `agatectl diff`: compares a file with the declared resources.

use std::collections::BTreeSet;
use std::path::PathBuf;

use agate_wire::manifest::Manifest;
use bpaf::Bpaf;

use crate::client::Client;
use crate::cmd::manifest;
use crate::config::{Connection, connection, print};
use crate::error::Error;

/// Compare a file with what is declared; exit code 10 if they differ
///
///
/// Example: `agatectl diff -f resources.yaml`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("diff"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// File with manifests; - is standard input
    #[bpaf(short, long, argument("PATH"))]
    file: PathBuf,
}

impl Args {
    /// Prints the differences between the file and the declared resources. Fails with
    /// [`Error::Different`] if there are any.
    pub async fn run(self) -> Result<(), Error> {
        let manifests = manifest::read(&self.file)?;
        let client = self.connection.client()?;
        let mut differing = 0;
        for wanted in &manifests {
            let text = compare(&client, wanted).await?;
            differing += usize::from(!text.is_empty());
            print(&text)?;
        }
        match differing {
            0 => Ok(()),
            count => Err(Error::Different(count)),
        }
    }
}

/// Returns the differences of one resource, with its name; empty if there are none.
async fn compare(client: &Client, wanted: &Manifest) -> Result<String, Error> {
    let name = wanted.name();
    let wanted = manifest::to_yaml(wanted)?;
    let current = match client.get(name.kind.as_str(), &name.id).await {
        Ok(resource) => manifest::to_yaml(&resource.manifest)?,
        Err(Error::Refused(failure)) if failure.code == "not_found" => String::new(),
        Err(err) => return Err(err),
    };
    let changes = changed_lines(&current, &wanted);
    if changes.is_empty() {
        return Ok(changes);
    }
    Ok(format!("{name}\n{changes}"))
}

/// Returns the lines that are only in one of two texts, marked with `-` and `+`.
fn changed_lines(current: &str, wanted: &str) -> String {
    let before: BTreeSet<&str> = current.lines().collect();
    let after: BTreeSet<&str> = wanted.lines().collect();
    let removed = current.lines().filter(|line| !after.contains(line));
    let added = wanted.lines().filter(|line| !before.contains(line));
    let removed = removed.map(|line| format!("- {line}\n"));
    let added = added.map(|line| format!("+ {line}\n"));
    removed.chain(added).collect()
}
