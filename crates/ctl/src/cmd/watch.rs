//! `agatectl watch`: prints changes as they are made.

use std::time::Duration;

use agate_model::id::Version;
use agate_wire::change::{Change, Edit};
use bpaf::Bpaf;

use crate::config::{Connection, Format, connection, format, print};
use crate::error::Error;

/// Longest wait of a long poll for the next change.
const LONG_POLL: Duration = Duration::from_secs(20);

/// Print changes as they are made, one line an edit
///
///
/// Example: `agatectl watch --from 40`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("watch"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// Version after which to begin; the current one if not given
    #[bpaf(long, argument("VERSION"), optional)]
    from: Option<Version>,
    /// End after this many changes
    #[bpaf(long, argument("NUMBER"), optional)]
    count: Option<usize>,
    #[bpaf(external(format))]
    output: Format,
}

impl Args {
    /// Prints changes until `count` of them are printed.
    pub async fn run(self) -> Result<(), Error> {
        let client = self.connection.client()?;
        let mut from = match self.from {
            Some(version) => version,
            None => client.status().await?.version,
        };
        let mut left = self.count.unwrap_or(usize::MAX);
        while left > 0 {
            let watch = client.watch(from, LONG_POLL).await?;
            if watch.reset {
                print(&format!(
                    "# changes below version {} are gone\n",
                    watch.version
                ))?;
                from = watch.version;
            }
            for change in watch.changes.iter().take(left) {
                self.print_change(change)?;
                from = change.version;
                left -= 1;
            }
        }
        Ok(())
    }

    /// Prints a change as one line of JSON, or as one line for each edit.
    fn print_change(&self, change: &Change) -> Result<(), Error> {
        if self.output == Format::Json {
            let line =
                serde_json::to_string(change).map_err(|err| Error::Response(err.to_string()))?;
            return print(&format!("{line}\n"));
        }
        change
            .edits
            .iter()
            .try_for_each(|edit| print(&format!("{} {}\n", change.version, edit_line(edit))))
    }
}

fn edit_line(edit: &Edit) -> String {
    match edit {
        Edit::Put { manifest } => format!("put {}", manifest.name()),
        Edit::Delete { kind, id } => format!("delete {kind}/{id}"),
    }
}
