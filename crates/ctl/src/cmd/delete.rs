//! `agatectl delete`: deletes one resource.

use std::time::Duration;

use agate_model::id::Version;
use bpaf::Bpaf;

use crate::cmd::apply::summary;
use crate::cmd::manifest;
use crate::config::{Connection, connection, print, timeout};
use crate::error::Error;

/// Delete a resource
///
///
/// Example: `agatectl delete route/catalogue --expect 12`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("delete"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// Version that the resource must have
    #[bpaf(long, argument("VERSION"), optional)]
    expect: Option<Version>,
    #[bpaf(external)]
    timeout: Duration,
    /// The resource
    #[bpaf(positional("KIND/ID"))]
    what: String,
}

impl Args {
    /// Deletes the resource, waits until the change is in force and prints the outcome.
    pub async fn run(self) -> Result<(), Error> {
        let name = manifest::parse_name(&self.what).map_err(Error::Response)?;
        let client = self.connection.client()?;
        let outcome = client
            .delete(name.kind.as_str(), &name.id, self.expect)
            .await?;
        let outcome = client.await_accepted(outcome, self.timeout).await?;
        print(&summary(1, &outcome))
    }
}
