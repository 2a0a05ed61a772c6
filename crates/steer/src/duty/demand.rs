//! Demand of all hosts, gathered by the holder of the lease.
//!
//! In a large system hosts report to the first host of their group, which sends
//! the sum of the group to the holder.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::{HostId, PoolId};
use agate_wire::demand::{self, Ack, Pool, Push};
use tokio::time::{Instant, sleep};

use crate::config::reader::jittered;
use crate::context::Context;

/// Intervals after which a report no longer counts.
const LIFETIME_INTERVALS: u32 = 4;
/// Age beyond which a gate's call no longer counts.
const CALL_LIFETIME: Duration = Duration::from_secs(20);
/// Hosts in a group; up to this many hosts report to the holder directly.
pub const GROUP: usize = 20;

/// Last report of a host.
#[derive(Clone, Debug)]
struct Report {
    push: Push,
    at: Instant,
}

/// Demand for one pool, summed over hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that arrive per second.
    pub arrivals: f64,
    /// Requests waiting.
    pub queued: u32,
    /// Requests running.
    pub running: u32,
}

/// Demand by pool.
pub type Totals = BTreeMap<PoolId, Total>;

/// Last reports by host.
#[derive(Debug, Default)]
pub struct Board {
    /// Demand of single hosts.
    hosts: RefCell<BTreeMap<HostId, Report>>,
    /// Sums over groups, by the host that sent them.
    groups: RefCell<BTreeMap<HostId, Report>>,
}

impl Board {
    /// Takes up a report.
    pub fn take(&self, host: HostId, push: Push) {
        let reports = if push.is_sum {
            &self.groups
        } else {
            &self.hosts
        };
        let at = Instant::now();
        reports.borrow_mut().insert(host, Report { push, at });
    }

    /// Demand of all hosts heard lately; complete at the holder.
    pub fn totals(&self, interval: Duration) -> Totals {
        let mut totals = Totals::new();
        add(&mut totals, &self.hosts, interval);
        add(&mut totals, &self.groups, interval);
        totals
    }

    /// Sum over the hosts that report here.
    pub fn sum(&self, interval: Duration) -> Push {
        let mut totals = Totals::new();
        add(&mut totals, &self.hosts, interval);
        let pool = |(pool, total): (PoolId, Total)| Pool {
            pool,
            arrivals: total.arrivals,
            queued: total.queued,
            running: total.running,
        };
        Push {
            pools: totals.into_iter().map(pool).collect(),
            is_sum: true,
        }
    }
}

/// Adds the reports that are young enough, and forgets the others.
fn add(totals: &mut Totals, reports: &RefCell<BTreeMap<HostId, Report>>, interval: Duration) {
    let mut reports = reports.borrow_mut();
    reports.retain(|_, it| it.at.elapsed() < interval * LIFETIME_INTERVALS);
    for pool in reports.values().flat_map(|it| &it.push.pools) {
        let total = totals.entry(pool.pool.clone()).or_default();
        total.arrivals += pool.arrivals;
        total.queued = total.queued.saturating_add(pool.queued);
        total.running = total.running.saturating_add(pool.running);
    }
}

/// Reports this host's demand until the task is aborted.
pub async fn run(context: Context) {
    let mut since = Instant::now();
    loop {
        sleep(jittered(context.settings.intervals.demand)).await;
        let now = Instant::now();
        let push = gather(&context, now - since);
        since = now;
        send(&context, push).await;
    }
}

/// Demand of the gates that call this host; `interval` is the time since the last call.
pub fn gather(context: &Context, interval: Duration) -> Push {
    let seconds = interval.as_secs_f64().max(f64::EPSILON);
    let mut totals = Totals::new();
    for (pool, arrivals) in context.inbox.take_arrivals() {
        totals.entry(pool).or_default().arrivals = arrivals as f64 / seconds;
    }
    let calls = context.inbox.calls();
    let young = calls.values().filter(|it| it.at.elapsed() < CALL_LIFETIME);
    for demand in young.flat_map(|it| &it.demand) {
        let total = totals.entry(demand.pool.clone()).or_default();
        total.queued = total.queued.saturating_add(demand.queued);
        total.running = total.running.saturating_add(demand.running);
    }
    let pool = |(pool, total): (PoolId, Total)| Pool {
        pool,
        arrivals: (total.arrivals * 100.0).round() / 100.0,
        queued: total.queued,
        running: total.running,
    };
    Push {
        pools: totals.into_iter().map(pool).collect(),
        is_sum: false,
    }
}

/// Passes this host's demand, or the sum of its group, to where it belongs.
async fn send(context: &Context, push: Push) {
    let board = &context.duty.demand;
    let own = &context.host.id;
    let live = context.members.live().into_iter().map(|it| it.host.id);
    let hosts: Vec<HostId> = live.chain([own.clone()]).collect();
    let leader = leader(hosts, own);
    if leader != *own {
        call(context, &leader, &push).await;
        return;
    }
    board.take(own.clone(), push);
    let lease = context.lease.borrow().clone();
    let holder = lease.map(|it| it.holder).filter(|it| it != own);
    if let Some(holder) = holder {
        let sum = board.sum(context.settings.intervals.demand);
        call(context, &holder, &sum).await;
    }
}

/// First host of the group of `own`. In a small system every host is its own group.
pub fn leader(mut hosts: Vec<HostId>, own: &HostId) -> HostId {
    if hosts.len() <= GROUP {
        return own.clone();
    }
    hosts.sort();
    let position = hosts.iter().position(|it| it == own).unwrap_or(0);
    hosts.swap_remove(position / GROUP * GROUP)
}

async fn call(context: &Context, host: &HostId, push: &Push) {
    let Some(address) = address(context, host) else {
        return;
    };
    let answer: Result<Ack, _> = context.peers.call(address, demand::METHOD, push).await;
    if let Err(err) = answer {
        tracing::debug!(event = "demand_not_sent", peer = host, error = %err);
    }
}

fn address(context: &Context, host: &HostId) -> Option<SocketAddr> {
    context.members.get(host).map(|it| it.host.steer)
}
