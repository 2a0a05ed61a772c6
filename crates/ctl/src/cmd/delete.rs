//! `agatectl delete`.

use std::time::Duration;

use agate_model::id::Version;
use bpaf::Bpaf;

use crate::cmd::apply::in_force;
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
    /// Runs the command.
    pub async fn run(self) -> Result<(), Error> {
        let name = manifest::parse_name(&self.what).map_err(Error::Answer)?;
        let client = self.connection.client()?;
        let outcome = client
            .delete(name.kind.as_str(), &name.id, self.expect)
            .await?;
        let outcome = client.await_accepted(outcome, self.timeout).await?;
        print(&in_force(1, &outcome))
    }
}
