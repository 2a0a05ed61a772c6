//! `agatectl top`: shows status and usage at an interval.

use std::time::Duration;

use bpaf::Bpaf;
use tokio::time::sleep;

use crate::cmd::{status, usage};
use crate::config::{Connection, connection, parse_duration, print};
use crate::error::Error;

/// ANSI sequences that clear the screen and move the cursor to its top.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
const DEFAULT_INTERVAL: Duration = Duration::from_secs(2);

/// Show status and usage again every few seconds
///
///
/// Example: `agatectl top --interval 1s`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("top"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    /// Time between two pictures [default: 2s]
    #[bpaf(
        long,
        argument::<String>("DURATION"),
        parse(parse_duration),
        fallback(DEFAULT_INTERVAL)
    )]
    interval: Duration,
    /// End after this many pictures
    #[bpaf(long, argument("NUMBER"), optional)]
    count: Option<usize>,
}

impl Args {
    /// Prints status and usage at each interval, until `count` is reached.
    pub async fn run(self) -> Result<(), Error> {
        let client = self.connection.client()?;
        for refresh in 0..self.count.unwrap_or(usize::MAX) {
            if refresh > 0 {
                sleep(self.interval).await;
            }
            let status = client.status().await?;
            let usage = client.usage(None).await?;
            let text = format!(
                "{CLEAR_SCREEN}{}\n{}",
                status::to_text(&status),
                usage::table(&usage.accounts).to_text()
            );
            print(&text)?;
        }
        Ok(())
    }
}
