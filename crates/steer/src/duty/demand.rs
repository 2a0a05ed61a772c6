//! Demand of all hosts, summed by the lease holder.
//!
//! In a system of more than [`GROUP_SIZE`] hosts, each host reports to the leader of its group,
//! which sends the sum of the group to the holder.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::id::{HostId, PoolId};
use agate_wire::demand::{self, Ack, Pool, Push};
use tokio::time::{Instant, sleep};

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::lease;

/// Age, in report intervals, at which a report is discarded.
const LIFETIME_INTERVALS: u32 = 4;
/// Age at which the queue and running counts in a gate's last call are no longer counted.
const CALL_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of hosts in a group. In a system of up to this many hosts, each reports to the
/// holder directly.
pub const GROUP_SIZE: usize = 20;

/// Last report of a host and when it arrived.
#[derive(Clone, Debug)]
struct Report {
    push: Push,
    received_at: Instant,
}

/// Demand for one pool, summed over hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests per second.
    pub arrivals: f64,
    /// Requests that wait for an endpoint.
    pub queued: u32,
    /// Requests that run on endpoints.
    pub running: u32,
}

/// Demand for each pool, summed over hosts.
pub type Totals = BTreeMap<PoolId, Total>;

/// Last report of each host, as received by this process.
#[derive(Debug, Default)]
pub struct Reports {
    /// Reports of single hosts, by host.
    hosts: RefCell<BTreeMap<HostId, Report>>,
    /// Sums over groups, by the group leader that sent them.
    groups: RefCell<BTreeMap<HostId, Report>>,
}

impl Reports {
    /// Records a report in place of the last one of the same sender.
    pub fn record(&self, host: HostId, push: Push) {
        let reports = if push.is_sum {
            &self.groups
        } else {
            &self.hosts
        };
        let received_at = Instant::now();
        reports
            .borrow_mut()
            .insert(host, Report { push, received_at });
    }

    /// Sums all reports that have not expired. Only the lease holder has those of all hosts.
    /// `interval` is the interval between two reports.
    pub fn totals(&self, interval: Duration) -> Totals {
        let mut totals = Totals::new();
        add(&mut totals, &self.hosts, interval);
        add(&mut totals, &self.groups, interval);
        totals
    }

    /// Sums the reports of single hosts, for the holder. Sums received from groups are left out.
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

/// Evicts expired reports and adds the others to `totals`.
fn add(totals: &mut Totals, reports: &RefCell<BTreeMap<HostId, Report>>, interval: Duration) {
    let mut reports = reports.borrow_mut();
    reports.retain(|_, report| report.received_at.elapsed() < interval * LIFETIME_INTERVALS);
    for pool in reports.values().flat_map(|report| &report.push.pools) {
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

/// Sums the demand of the gates that call this host and resets its arrival counters. `interval` is
/// the time since the last call of this function.
pub fn gather(context: &Context, interval: Duration) -> Push {
    let seconds = interval.as_secs_f64().max(f64::EPSILON);
    let mut totals = Totals::new();
    for (pool, arrivals) in context.inbox.take_arrivals() {
        totals.entry(pool).or_default().arrivals = arrivals as f64 / seconds;
    }
    let calls = context.inbox.calls();
    let recent = calls
        .values()
        .filter(|call| call.at.elapsed() < CALL_LIFETIME);
    for demand in recent.flat_map(|call| &call.demand) {
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

/// Sends this host's demand to its group leader or, as the leader, the group's sum to the holder.
async fn send(context: &Context, push: Push) {
    let reports = &context.duty.demand;
    let own = &context.host.id;
    let live = context
        .members
        .live()
        .into_iter()
        .map(|member| member.host.id);
    let hosts: Vec<HostId> = live.chain([own.clone()]).collect();
    let leader = leader(hosts, own);
    if leader != *own {
        call(context, &leader, &push).await;
        return;
    }
    reports.record(own.clone(), push);
    let lease = context.lease.borrow().clone();
    let holder = lease.map(|lease| lease.holder).filter(|id| id != own);
    if let Some(holder) = holder {
        let sum = reports.sum(context.settings.intervals.demand);
        let ack = call(context, &holder, &sum).await;
        if ack.is_none_or(|ack| !ack.is_holder) {
            lease::refresh(context).await;
        }
    }
}

/// Returns the leader, the first host by id, of the group of `own`; `own` itself in a system of up
/// to [`GROUP_SIZE`] hosts.
pub fn leader(mut hosts: Vec<HostId>, own: &HostId) -> HostId {
    if hosts.len() <= GROUP_SIZE {
        return own.clone();
    }
    hosts.sort();
    let position = hosts.iter().position(|host| host == own).unwrap_or(0);
    hosts.swap_remove(position / GROUP_SIZE * GROUP_SIZE)
}

async fn call(context: &Context, host: &HostId, push: &Push) -> Option<Ack> {
    let address = address(context, host)?;
    match context.peers.call(address, demand::METHOD, push).await {
        Ok(ack) => Some(ack),
        Err(err) => {
            tracing::debug!(event = "demand_not_sent", peer = host, error = %err);
            None
        }
    }
}

fn address(context: &Context, host: &HostId) -> Option<SocketAddr> {
    context.members.get(host).map(|member| member.host.steer)
}
