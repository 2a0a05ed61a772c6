//! Reads the store's table of hosts and the platform's lists of hosts and endpoints, and registers
//! this host.

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

/// Name of the store's table of hosts, with a row for each host by its id.
const TABLE: &str = "host";

/// Number of rows read per scan.
const PAGE_ROWS: usize = 500;

/// Time without a message after which a host without a row in the store is forgotten.
const SILENCE: Duration = Duration::from_secs(30);

/// Maximum number of announcements in flight.
const ANNOUNCE_CONCURRENCY: usize = 32;

/// Added to the interval between reads of the lists for each host, as the lists grow with the
/// number of hosts.
const READ_DELAY_PER_HOST: Duration = Duration::from_millis(8);

/// Range of the random delay of a read, per host.
const READ_SPREAD_PER_HOST: Duration = Duration::from_millis(300);

/// Number of requests that an ordered endpoint serves at the same time.
const ORDERED_SLOTS: u32 = 8;

/// Registers this host and keeps the lists current, until the task is aborted. Announces this host
/// to its peers while it isn't registered or knows no peers.
pub async fn run(context: Context) {
    let mut is_registered = false;
    loop {
        is_registered = is_registered || register(&context).await.is_ok();
        let interval = context.settings.intervals.hosts;
        let hosts = context.members.peers().len() + 1;
        let is_due = is_due(context.roster.age(), interval, hosts, rand::random());
        if is_due && let Err(err) = read_lists(&context).await {
            tracing::debug!(event = "lists_not_read", error = %err);
        }
        if !is_registered || context.members.peers().is_empty() {
            announce(&context).await;
        }
        sleep(jittered(interval) / 4).await;
    }
}

/// Returns whether lists of the given age have to be read again; `draw` is random, from 0 to 1.
///
/// All hosts know the same lists, whose age reaches the interval everywhere at once. The draw
/// spreads the reads, so that those of the first few hosts make the others unnecessary.
pub fn is_due(age: Option<Duration>, interval: Duration, hosts: usize, draw: f64) -> bool {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let spread = READ_SPREAD_PER_HOST.saturating_mul(hosts);
    let wait = interval + READ_DELAY_PER_HOST.saturating_mul(hosts) + spread.mul_f64(draw);
    age.is_none_or(|age| age >= wait)
}

/// Reads and applies all lists. Only the platform's list of hosts and endpoints is required; the
/// others are left out if they can't be read.
async fn read_lists(context: &Context) -> Result<(), Error> {
    let started = Instant::now();
    let lists = Lists {
        listing: context.platform.hosts.list().await?,
        machines: context.platform.orders.machines().await.ok(),
        hosts: scan(context).await.ok(),
    };
    apply(context, lists, started);
    Ok(())
}

/// Applies lists that were read at `at`, unless newer ones are known.
pub fn apply(context: &Context, lists: Lists, at: Instant) {
    if !context.roster.replace(&lists, at) {
        return;
    }
    if let Some(hosts) = lists.hosts {
        learn_hosts(context, hosts);
    }
    let before = context.endpoints.leaving();
    let leaving = context.members.set_listing(&lists.listing);
    rumours::publish_leaving(context, &before, &leaving);
    context.rumours.supersede(at);
    context.endpoints.set_leaving(Source::Platform, leaving);
    if let Some(machines) = lists.machines {
        update_ordered(context, machines);
    }
    context.metrics.hosts.set(i64::from(live_hosts(context)));
}

fn learn_hosts(context: &Context, hosts: Vec<HostRow>) {
    let named: BTreeSet<HostId> = hosts.iter().map(|row| row.host.clone()).collect();
    for row in hosts {
        context.members.learn(row);
    }
    context.members.retain(&named, SILENCE);
}

/// Fetches and applies the lists of a peer that has newer ones. Their age is counted back from the
/// start of the call. A failure is only logged.
pub async fn fetch(context: &Context, peer: SocketAddr) {
    let sent = Instant::now();
    let response: Result<Roster, _> = context.peers.call(peer, peer::ROSTER, &()).await;
    match response {
        Ok(roster) => {
            let age = Duration::from_millis(roster.age_ms);
            if let Some(at) = sent.checked_sub(age) {
                apply(context, roster.lists, at);
            }
        }
        Err(err) => tracing::debug!(event = "lists_not_fetched", %peer, error = %err),
    }
}

/// Announces this host to the seeds and the known hosts, and learns the hosts that they know.
pub async fn announce(context: &Context) {
    let known = context
        .members
        .peers()
        .into_iter()
        .map(|member| member.host.steer);
    let seeds = context.settings.seeds.iter().copied();
    let addresses: BTreeSet<SocketAddr> = known.chain(seeds).collect();
    stream::iter(addresses)
        .for_each_concurrent(ANNOUNCE_CONCURRENCY, |address| {
            status::request_standing(context, address)
        })
        .await;
}

/// Writes this host's row to the store.
pub async fn register(context: &Context) -> Result<(), Error> {
    let row = context.members.own();
    let value = serde_json::to_string(&row).expect("a host row serializes to JSON");
    write(context, Some(value)).await
}

/// Deletes this host's row from the store.
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

/// Returns the number of live hosts, this one included.
pub fn live_hosts(context: &Context) -> u32 {
    let others = context.members.live().len();
    u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
}

fn update_ordered(context: &Context, machines: Vec<Machine>) {
    let leaving = machines
        .iter()
        .filter(|machine| machine.state == State::Leaving)
        .map(|machine| machine.id.clone())
        .collect();
    let ordered = machines
        .into_iter()
        .filter(|machine| machine.state != State::Starting)
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
