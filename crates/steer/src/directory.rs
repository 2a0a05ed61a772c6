//! The store's table of hosts, and the platform's lists of hosts and endpoints.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agate_platform::Error;
use agate_wire::manifest::{self, Fencing, Protocol};
use agate_wire::order::{Machine, State};
use agate_wire::peer::HostRow;
use agate_wire::table::{Transaction, Write};
use futures_util::{StreamExt as _, stream};
use tokio::time::{Instant, sleep};

use crate::api::status;
use crate::config::reader::{self, jittered};
use crate::context::Context;
use crate::endpoints::Source;
use crate::gossip::rumours;

/// Table of hosts.
const TABLE: &str = "host";

/// Rows read at once.
const PAGE_ROWS: usize = 500;

/// Silence after which a host that the store no longer names is forgotten.
const SILENCE: Duration = Duration::from_secs(30);

/// Calls to peers at the same time.
const ANNOUNCE_CONCURRENCY: usize = 32;

/// Reads of the lists between two reads of the whole host table.
const ROUNDS_PER_SCAN: u32 = 5;

/// Requests that an ordered endpoint serves at once.
const ORDERED_SLOTS: u32 = 8;

/// Registers this host and keeps the lists current, until the task is aborted.
pub async fn run(context: Context) {
    let mut is_registered = false;
    let mut round = 0;
    loop {
        is_registered = is_registered || register(&context).await.is_ok();
        let is_alone = context.members.peers().is_empty();
        if context.members.take_scan_wish() || is_alone || round % ROUNDS_PER_SCAN == 0 {
            report("host_table_not_read", scan(&context).await);
        }
        if !is_registered || is_alone {
            announce(&context).await;
        }
        report("host_list_not_read", list(&context).await);
        report("endpoint_list_not_read", machines(&context).await);
        round += 1;
        sleep(jittered(context.settings.intervals.hosts)).await;
    }
}

/// Tells the seeds and the known hosts of this host, and learns the hosts that they know.
async fn announce(context: &Context) {
    let known = context.members.peers().into_iter().map(|it| it.host.steer);
    let seeds = context.settings.seeds.iter().copied();
    let addresses: BTreeSet<SocketAddr> = known.chain(seeds).collect();
    stream::iter(addresses)
        .for_each_concurrent(ANNOUNCE_CONCURRENCY, |address| {
            status::ask(context, address)
        })
        .await;
}

fn report(event: &'static str, outcome: Result<(), Error>) {
    if let Err(err) = outcome {
        tracing::debug!(event, error = %err);
    }
}

/// Writes this host's row.
pub async fn register(context: &Context) -> Result<(), Error> {
    let row = context.members.own();
    let value = serde_json::to_string(&row).expect("a host row is valid JSON");
    write(context, Some(value)).await
}

/// Removes this host's row.
pub async fn remove(context: &Context) -> Result<(), Error> {
    write(context, None).await
}

async fn write(context: &Context, value: Option<String>) -> Result<(), Error> {
    let transaction = Transaction {
        checks: Vec::new(),
        writes: vec![Write {
            table: TABLE.to_owned(),
            key: context.host.id.clone(),
            value,
        }],
    };
    let commit = context.platform.tables.commit(&transaction).await;
    commit.map(|_| ())
}

async fn scan(context: &Context) -> Result<(), Error> {
    let mut named = BTreeSet::new();
    let mut after = String::new();
    loop {
        let page = context
            .platform
            .tables
            .scan(TABLE, "", &after, PAGE_ROWS)
            .await?;
        for found in &page.rows {
            let row: HostRow = reader::parse(found)?;
            named.insert(row.host.clone());
            context.members.learn(row);
        }
        match page.rows.last() {
            Some(last) if page.more => after.clone_from(&last.key),
            _ => break,
        }
    }
    context.members.keep_only(&named, SILENCE);
    context.metrics.hosts.set(i64::from(live(context)));
    Ok(())
}

/// Number of live hosts, this one included.
pub fn live(context: &Context) -> u32 {
    let others = context.members.live().len();
    u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
}

async fn list(context: &Context) -> Result<(), Error> {
    let at = Instant::now();
    let listing = context.platform.hosts.list().await?;
    let before = context.endpoints.leaving();
    let leaving = context.members.set_listing(&listing);
    rumours::tell_leaving(context, &before, &leaving);
    context.rumours.supersede(at);
    context.endpoints.set_leaving(Source::Platform, leaving);
    Ok(())
}

async fn machines(context: &Context) -> Result<(), Error> {
    let machines = context.platform.orders.machines().await?;
    let leaving = machines
        .iter()
        .filter(|it| it.state == State::Leaving)
        .map(|it| it.id.clone())
        .collect();
    let ordered = machines
        .into_iter()
        .filter(|it| it.state != State::Starting)
        .map(endpoint)
        .collect();
    context.endpoints.set_ordered(ordered);
    context.endpoints.set_leaving(Source::Orders, leaving);
    Ok(())
}

fn endpoint(machine: Machine) -> manifest::Endpoint {
    manifest::Endpoint {
        id: machine.id,
        pool: machine.pool,
        address: machine.address,
        zone: machine.zone,
        kind: machine.kind,
        fencing: Fencing::Ignored,
        protocol: Protocol::Engine,
        slots: ORDERED_SLOTS,
        credential: None,
        leaving: machine.state == State::Leaving,
    }
}
