//! `agatectl status`: shows hosts, lease and endpoints.

use agate_wire::api::{Endpoint, Host, Status};
use bpaf::Bpaf;

use crate::config::{Connection, Format, connection, format, print, print_json};
use crate::error::Error;
use crate::render::{Table, flag, millis};

/// Show hosts, versions in force, the holder of the lease and endpoints
///
///
/// Example: `agatectl status --output json`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("status"))]
pub struct Args {
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external(format))]
    output: Format,
}

impl Args {
    /// Prints the state of the system as a table or as JSON.
    pub async fn run(self) -> Result<(), Error> {
        let status = self.connection.client()?.status().await?;
        match self.output {
            Format::Json => print_json(&status),
            Format::Table => print(&to_text(&status)),
        }
    }
}

/// Returns the status as text: one line on the store and the lease, then hosts and endpoints.
pub fn to_text(status: &Status) -> String {
    let lease = status.lease.as_ref().map_or_else(
        || "nobody".to_owned(),
        |lease| format!("{} (epoch {})", lease.holder, lease.epoch),
    );
    format!(
        "version {} (accepted {}), proof {}, store answered {} ago, lease {lease}\n\n{}\n{}",
        status.version,
        status.accepted,
        millis(status.proof_age_ms),
        millis(status.store_age_ms),
        hosts(&status.hosts).to_text(),
        endpoints(&status.endpoints).to_text(),
    )
}

fn hosts(hosts: &[Host]) -> Table {
    let head = [
        "host", "zone", "gate", "version", "gate has", "proof", "heard", "witness", "leaving",
    ];
    let mut table = Table::new(&head);
    for host in hosts {
        table.push([
            host.id.clone(),
            host.zone.clone(),
            host.gate.clone(),
            host.version.to_string(),
            host.gate_version.to_string(),
            millis(host.proof_age_ms),
            millis(host.heard_ms),
            flag(host.witness),
            flag(host.leaving),
        ]);
    }
    table
}

fn endpoints(endpoints: &[Endpoint]) -> Table {
    let mut table = Table::new(&["endpoint", "pool", "zone", "address", "ordered", "leaving"]);
    for endpoint in endpoints {
        table.push([
            endpoint.id.clone(),
            endpoint.pool.clone(),
            endpoint.zone.clone(),
            endpoint.address.clone(),
            flag(endpoint.ordered),
            flag(endpoint.leaving),
        ]);
    }
    table
}
