//! `agatectl key`: grants and withdraws keys of accounts.

use std::time::{Duration, SystemTime};

use agate_wire::api::KeyRequest;
use bpaf::Bpaf;

use crate::cmd::apply::summary;
use crate::config::{Connection, connection, parse_duration, print, print_json, timeout};
use crate::error::Error;

/// Grant or withdraw keys
///
///
/// Rotation with an overlap: grant the new key, hand it to the callers, then
/// withdraw the old one.
///
///
/// Examples: `agatectl key grant night-shift --id night-shift-2 --valid 30d`,
/// `agatectl key withdraw night-shift-1`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("key"))]
pub struct Args {
    #[bpaf(external)]
    action: Action,
}

/// What to do with a key.
#[derive(Clone, Debug, Bpaf)]
enum Action {
    Grant(#[bpaf(external(grant))] Grant),
    Withdraw(#[bpaf(external(withdraw))] Withdraw),
}

/// Output format of a new key; `Secret` prints the key alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    Table,
    Json,
    Secret,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            "secret" => Ok(Output::Secret),
            _ => Err("expected table, json or secret".to_owned()),
        }
    }
}

/// Make a key; it is shown once
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("grant"))]
pub struct Grant {
    #[bpaf(external)]
    connection: Connection,
    /// Public name of the key
    #[bpaf(long, argument("ID"))]
    id: String,
    /// How long the key is valid, such as 30d; without it, until it is withdrawn
    #[bpaf(long, argument::<String>("DURATION"), parse(parse_duration), optional)]
    valid: Option<Duration>,
    #[bpaf(external)]
    timeout: Duration,
    /// Form of the output: table, json or secret (the key alone)
    #[bpaf(short, long, argument("FORMAT"), fallback(Output::Table))]
    output: Output,
    /// Account whose callers will show the key
    #[bpaf(positional("ACCOUNT"))]
    account: String,
}

/// Withdraw a key
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("withdraw"))]
pub struct Withdraw {
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    timeout: Duration,
    /// Public name of the key
    #[bpaf(positional("ID"))]
    id: String,
}

impl Args {
    /// Runs the chosen subcommand.
    pub async fn run(self) -> Result<(), Error> {
        match self.action {
            Action::Grant(args) => args.run().await,
            Action::Withdraw(args) => args.run().await,
        }
    }
}

impl Grant {
    async fn run(self) -> Result<(), Error> {
        let client = self.connection.client()?;
        let request = KeyRequest {
            id: self.id.clone(),
            expires: self.valid.map(|valid| SystemTime::now() + valid),
        };
        let issued = client.grant(&self.account, &request).await?;
        match self.output {
            Output::Json => print_json(&issued)?,
            Output::Secret => print(&format!("{}\n", issued.key))?,
            Output::Table => print(&format!(
                "key {} of account {}: {}\nIt is not shown again.\n",
                issued.id, issued.account, issued.key
            ))?,
        }
        client.await_accepted(issued.outcome, self.timeout).await?;
        Ok(())
    }
}

impl Withdraw {
    async fn run(self) -> Result<(), Error> {
        let client = self.connection.client()?;
        let outcome = client.withdraw(&self.id).await?;
        let outcome = client.await_accepted(outcome, self.timeout).await?;
        print(&summary(1, &outcome))
    }
}
