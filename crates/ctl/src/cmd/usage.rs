//! `agatectl usage`: shows usage by account.

use agate_wire::api::AccountUsage;
use bpaf::Bpaf;

use crate::config::{Connection, Format, connection, format, print, print_json};
use crate::error::Error;
use crate::render::Table;

/// Show usage by account
///
///
/// Figures of an open window still grow; those of a closed one are what is reported.
///
///
/// Example: `agatectl usage --window 1796342400 --account night-shift`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("usage"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// Start of the window, in seconds since the Unix epoch; the open one if not given
    #[bpaf(long, argument("SECONDS"), optional)]
    window: Option<u64>,
    /// Only this account
    #[bpaf(long, argument("ACCOUNT"), optional)]
    account: Option<String>,
    #[bpaf(external(format))]
    output: Format,
}

impl Args {
    /// Prints the usage of a window, of all accounts or of one.
    pub async fn run(self) -> Result<(), Error> {
        let mut usage = self.connection.client()?.usage(self.window).await?;
        if let Some(account) = &self.account {
            usage.accounts.retain(|usage| usage.account == *account);
        }
        if self.output == Format::Json {
            return print_json(&usage);
        }
        let state = if usage.closed { "closed" } else { "open" };
        let head = format!("window {} ({state})\n", usage.window);
        print(&(head + &table(&usage.accounts).to_text()))
    }
}

/// Returns a table with one row of usage for each account.
pub fn table(accounts: &[AccountUsage]) -> Table {
    let mut table = Table::new(&["account", "requests", "prompt", "answer", "late"]);
    for usage in accounts {
        table.push([
            usage.account.clone(),
            usage.figures.requests.to_string(),
            usage.figures.prompt_tokens.to_string(),
            usage.figures.answer_tokens.to_string(),
            usage.figures.late_requests.to_string(),
        ]);
    }
    table
}
