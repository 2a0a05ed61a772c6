//! Demand of all hosts, gathered by the holder of the lease.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::id::{HostId, PoolId};
use agate_wire::demand::{self, Ack, Push};
use agate_wire::sync::Demand;
use tokio::time::{Instant, sleep};

use crate::config::reader::jittered;
use crate::context::Context;

/// Age beyond which a report or a gate's call no longer counts.
const LIFETIME: Duration = Duration::from_secs(20);

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

/// Last reports by host.
#[derive(Debug, Default)]
pub struct Board {
    reports: RefCell<BTreeMap<HostId, Report>>,
}

impl Board {
    /// Takes up a report.
    pub fn take(&self, host: HostId, push: Push) {
        let at = Instant::now();
        self.reports.borrow_mut().insert(host, Report { push, at });
    }

    /// Demand by pool, over the hosts heard lately.
    pub fn totals(&self) -> BTreeMap<PoolId, Total> {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|_, it| it.at.elapsed() < LIFETIME);
        let mut totals: BTreeMap<PoolId, Total> = BTreeMap::new();
        for report in reports.values() {
            let seconds = Duration::from_millis(report.push.interval_ms.max(1)).as_secs_f64();
            for pool in &report.push.pools {
                let total = totals.entry(pool.pool.clone()).or_default();
                total.arrivals += pool.arrivals as f64 / seconds;
                total.queued = total.queued.saturating_add(pool.queued);
                total.running = total.running.saturating_add(pool.running);
            }
        }
        totals
    }
}

/// Reports this host's demand to the holder until the task is aborted.
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
    let mut pools: BTreeMap<PoolId, Demand> = BTreeMap::new();
    for (pool, arrivals) in context.inbox.take_arrivals() {
        entry(&mut pools, &pool).arrivals = arrivals;
    }
    let calls = context.inbox.calls();
    let young = calls.values().filter(|it| it.at.elapsed() < LIFETIME);
    for demand in young.flat_map(|it| &it.demand) {
        let pool = entry(&mut pools, &demand.pool);
        pool.queued = pool.queued.saturating_add(demand.queued);
        pool.running = pool.running.saturating_add(demand.running);
        pool.oldest_wait_ms = pool.oldest_wait_ms.max(demand.oldest_wait_ms);
    }
    Push {
        interval_ms: u64::try_from(interval.as_millis()).unwrap_or(u64::MAX),
        pools: pools.into_values().collect(),
    }
}

fn entry<'a>(pools: &'a mut BTreeMap<PoolId, Demand>, pool: &PoolId) -> &'a mut Demand {
    pools.entry(pool.clone()).or_insert_with(|| Demand {
        pool: pool.clone(),
        arrivals: 0,
        queued: 0,
        running: 0,
        oldest_wait_ms: 0,
    })
}

async fn send(context: &Context, push: Push) {
    let Some(lease) = context.lease.borrow().clone() else {
        return;
    };
    if lease.holder == context.host.id {
        context.duty.demand.take(lease.holder, push);
        return;
    }
    let Some(holder) = context.members.get(&lease.holder) else {
        return;
    };
    let address = holder.host.steer;
    let answer: Result<Ack, _> = context.peers.call(address, demand::METHOD, &push).await;
    if let Err(err) = answer {
        tracing::debug!(event = "demand_not_sent", error = %err);
    }
}
