//! `agatectl top`.

use std::time::Duration;

use bpaf::Bpaf;
use tokio::time::sleep;

use crate::cmd::{status, usage};
use crate::config::{Connection, connection, parse_duration, print};
use crate::error::Error;

const CLEAR: &str = "\x1b[2J\x1b[H";
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
    /// Runs the command.
    pub async fn run(self) -> Result<(), Error> {
        let client = self.connection.client()?;
        for picture in 0..self.count.unwrap_or(usize::MAX) {
            if picture > 0 {
                sleep(self.interval).await;
            }
            let status = client.status().await?;
            let usage = client.usage(None).await?;
            let text = format!(
                "{CLEAR}{}\n{}",
                status::to_text(&status),
                usage::table(&usage.accounts).to_text()
            );
            print(&text)?;
        }
        Ok(())
    }
}
