//! `agatectl host`: declares the state of hosts.

use bpaf::Bpaf;

use crate::config::{Connection, connection, print};
use crate::error::Error;

/// Declare what only an operator can know of an entry host
///
///
/// A change stays pending while a majority of the witnesses may still serve without it. When hosts
/// were lost for good and came back under other addresses, say so with `host ended`. Say it only of a
/// host that has really ended: one that still runs could serve an older configuration.
///
///
/// Example: `agatectl host ended host-3`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("host"))]
pub struct Args {
    #[bpaf(external)]
    action: Action,
}

/// What to declare.
#[derive(Clone, Debug, Bpaf)]
enum Action {
    Ended(#[bpaf(external(ended))] Ended),
}

/// Declare that the known run of a host has ended for good
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("ended"))]
pub struct Ended {
    #[bpaf(external)]
    connection: Connection,
    /// Name of the host
    #[bpaf(positional("HOST"))]
    host: String,
}

impl Args {
    /// Runs the chosen subcommand.
    pub async fn run(self) -> Result<(), Error> {
        let Action::Ended(args) = self.action;
        args.run().await
    }
}

impl Ended {
    async fn run(self) -> Result<(), Error> {
        let outcome = self.connection.client()?.declare_ended(&self.host).await?;
        print(&format!(
            "{} is declared as ended, version {}\n",
            self.host, outcome.version
        ))
    }
}
