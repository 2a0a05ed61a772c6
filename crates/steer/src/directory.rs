//! The store's table of hosts, and the platform's lists of hosts and endpoints.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::HostId;
use agate_store::Error;
use agate_wire::manifest::{self, Fencing, Protocol};
use agate_wire::order::{Machine, State};
use agate_wire::peer::{self, HostRow, Lists, Roster};
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

/// Added to the interval between reads of the lists for each host, as the lists grow with it.
const READ_DELAY_PER_HOST: Duration = Duration::from_millis(8);

/// Range of the random delay of a read for each host.
const READ_SPREAD_PER_HOST: Duration = Duration::from_millis(300);

/// Requests that an ordered endpoint serves at once.
const ORDERED_SLOTS: u32 = 8;

/// Registers this host and keeps the lists current, until the task is aborted.
pub async fn run(context: Context) {
    let mut is_registered = false;
    loop {
        is_registered = is_registered || register(&context).await.is_ok();
        let interval = context.settings.intervals.hosts;
        let hosts = context.members.peers().len() + 1;
        let is_due = is_due(context.roster.age(), interval, hosts, rand::random());
        if is_due && let Err(err) = read(&context).await {
            tracing::debug!(event = "lists_not_read", error = %err);
        }
        if !is_registered || context.members.peers().is_empty() {
            announce(&context).await;
        }
        sleep(jittered(interval) / 4).await;
    }
}

/// Whether a host reads lists of a given age again; `draw` is random, from 0 to 1.
///
/// All hosts know the same read, so its age reaches the interval everywhere at once. The
/// draw spreads them, so that the first few spare the others their read.
pub fn is_due(age: Option<Duration>, interval: Duration, hosts: usize, draw: f64) -> bool {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let spread = READ_SPREAD_PER_HOST.saturating_mul(hosts);
    let wait = interval + READ_DELAY_PER_HOST.saturating_mul(hosts) + spread.mul_f64(draw);
    age.is_none_or(|age| age >= wait)
}

/// Reads all lists from the platform. Only the list of hosts and endpoints is needed; a list
/// that cannot be read does not hold up the others.
async fn read(context: &Context) -> Result<(), Error> {
    let at = Instant::now();
    let lists = Lists {
        listing: context.platform.hosts.list().await?,
        machines: context.platform.orders.machines().await.ok(),
        hosts: scan(context).await.ok(),
    };
    take(context, lists, at);
    Ok(())
}

/// Takes lists that were read at `at`, unless newer ones are known.
pub fn take(context: &Context, lists: Lists, at: Instant) {
    if !context.roster.replace(&lists, at) {
        return;
    }
    if let Some(hosts) = lists.hosts {
        learn(context, hosts);
    }
    let before = context.endpoints.leaving();
    let leaving = context.members.set_listing(&lists.listing);
    rumours::publish_leaving(context, &before, &leaving);
    context.rumours.supersede(at);
    context.endpoints.set_leaving(Source::Platform, leaving);
    if let Some(machines) = lists.machines {
        show_machines(context, machines);
    }
    context.metrics.hosts.set(i64::from(live(context)));
}

fn learn(context: &Context, hosts: Vec<HostRow>) {
    let named: BTreeSet<HostId> = hosts.iter().map(|it| it.host.clone()).collect();
    for row in hosts {
        context.members.learn(row);
    }
    context.members.retain(&named, SILENCE);
}

/// Reads the lists of a peer, which has newer ones.
pub async fn fetch(context: &Context, peer: SocketAddr) {
    let sent = Instant::now();
    let answer: Result<Roster, _> = context.peers.call(peer, peer::ROSTER, &()).await;
    match answer {
        Ok(roster) => {
            let age = Duration::from_millis(roster.age_ms);
            if let Some(at) = sent.checked_sub(age) {
                take(context, roster.lists, at);
            }
        }
        Err(err) => tracing::debug!(event = "lists_not_fetched", %peer, error = %err),
    }
}

/// Tells the seeds and the known hosts of this host, and learns the hosts that they know.
pub async fn announce(context: &Context) {
    let known = context.members.peers().into_iter().map(|it| it.host.steer);
    let seeds = context.settings.seeds.iter().copied();
    let addresses: BTreeSet<SocketAddr> = known.chain(seeds).collect();
    stream::iter(addresses)
        .for_each_concurrent(ANNOUNCE_CONCURRENCY, |address| {
            status::ask(context, address)
        })
        .await;
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

async fn scan(context: &Context) -> Result<Vec<HostRow>, Error> {
    let mut rows = Vec::new();
    let mut after = String::new();
    loop {
        let page = context
            .platform
            .tables
            .scan(TABLE, "", &after, PAGE_ROWS)
            .await?;
        for found in &page.rows {
            rows.push(reader::parse(found)?);
        }
        match page.rows.last() {
            Some(last) if page.more => after.clone_from(&last.key),
            _ => return Ok(rows),
        }
    }
}

/// Number of live hosts, this one included.
pub fn live(context: &Context) -> u32 {
    let others = context.members.live().len();
    u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
}

fn show_machines(context: &Context, machines: Vec<Machine>) {
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
