//! Measures the time of each kind of decision at two deployment sizes, to show how it grows.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use agate_model::endpoint::{Endpoint, Fencing, Kind, Protocol};
use agate_model::refusal::Reason;
use agate_pick::{Criteria, Latency, Outcome, Picker, Report};
use agate_queue::limit::{Limit, Limiter};
use agate_queue::{Item, Offer, Room, Scheduler};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Number of decisions in one measurement.
const ROUNDS: u32 = 20_000;
/// Number of measurements of a decision, of which the fastest counts.
const MEASUREMENTS: u32 = 5;

/// Size of a deployment: the numbers that the time of a decision may depend on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Number of entry hosts.
    pub hosts: u32,
    /// Number of endpoints in all pools.
    pub endpoints: usize,
    /// Number of pools, one for each model.
    pub pools: usize,
    /// Number of client accounts with queued requests on one host.
    pub accounts: usize,
}

/// Size of the larger of the deployments in use today.
pub const TODAY: Size = Size {
    hosts: 9,
    endpoints: 18,
    pools: 2,
    accounts: 10,
};

/// Size of the deployments that the product is designed for.
pub const AHEAD: Size = Size {
    hosts: 380,
    endpoints: 600,
    pools: 22,
    accounts: 3800,
};

/// Time of one decision at both sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Description of the decision.
    pub decision: &'static str,
    /// Nanoseconds of one decision at size [`TODAY`].
    pub today_ns: f64,
    /// Nanoseconds of one decision at size [`AHEAD`].
    pub ahead_ns: f64,
    /// Time at [`AHEAD`] divided by that at [`TODAY`].
    pub ratio: f64,
    /// Growth of the number that the decision depends on most, accounts or endpoints.
    pub size_ratio: f64,
}

/// Measures all kinds of decisions.
pub fn run() -> Vec<Measurement> {
    let accounts = AHEAD.accounts as f64 / TODAY.accounts as f64;
    let endpoints = AHEAD.endpoints as f64 / TODAY.endpoints as f64;
    vec![
        measure("queue: offer, next and settle", accounts, &queue),
        measure("queue: offer that displaces", accounts, &displace),
        measure("limit: admit and release", accounts, &limit),
        measure("pick: choose, start and finish", endpoints, &pick),
        measure(
            "pick: the same in one pool of all endpoints",
            endpoints,
            &pick_one_pool,
        ),
        measure("pick: load report", endpoints, &report),
        measure("pick: endpoint leaves and returns", endpoints, &membership),
    ]
}

/// Measures one kind of decision at both sizes; `time_at` returns the nanoseconds at a size.
fn measure(decision: &'static str, size_ratio: f64, time_at: &dyn Fn(Size) -> f64) -> Measurement {
    let fastest = |size| {
        (0..MEASUREMENTS)
            .map(|_| time_at(size))
            .fold(f64::INFINITY, f64::min)
    };
    let (today_ns, ahead_ns) = (fastest(TODAY), fastest(AHEAD));
    Measurement {
        decision,
        today_ns,
        ahead_ns,
        ratio: ahead_ns / today_ns,
        size_ratio,
    }
}

/// Returns the mean nanoseconds of one call.
fn time(rounds: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    start.elapsed().as_nanos() as f64 / f64::from(rounds)
}

/// Returns a request of account `n`; `limit` is the queue limit of its class.
fn item(now: Instant, n: usize, tier: u8, limit: u32) -> Item {
    Item {
        account: Some(format!("account-{n}")),
        class: format!("class-{tier}"),
        tier,
        class_weight: 1,
        account_weight: 1,
        queue_limit: limit,
        arrival: now,
        deadline: now + Duration::from_secs(3600),
        start_by: now + Duration::from_secs(3600),
        work: Duration::ZERO,
        tokens: 100 + n as u64 % 900,
        idempotent: true,
        reclaimable: false,
    }
}

/// Returns a scheduler that was offered one request of each account, over five classes.
fn filled_scheduler(now: Instant, size: Size, limit: u32) -> Scheduler {
    let mut scheduler = Scheduler::new();
    for n in 0..size.accounts {
        black_box(scheduler.offer(now, item(now, n, (n % 5) as u8, limit)));
    }
    scheduler
}

/// Returns the nanoseconds of queueing, starting and settling a request.
fn queue(size: Size) -> f64 {
    let now = Instant::now();
    let mut scheduler = filled_scheduler(now, size, 10_000);
    let items: Vec<_> = (0..size.accounts)
        .map(|n| item(now, n, (n % 5) as u8, 10_000))
        .collect();
    time(ROUNDS, |round| {
        let offered = items[round as usize % items.len()].clone();
        black_box(scheduler.offer(now, offered));
        let start = scheduler
            .next(now, Room::ANY)
            .expect("the queue holds a request");
        scheduler.settle(start.charge, 150);
    })
}

/// Returns the nanoseconds of offering a request of the lowest tier to full queues.
fn displace(size: Size) -> f64 {
    let now = Instant::now();
    let limit = size.accounts.div_ceil(5) as u32;
    let mut scheduler = filled_scheduler(now, size, limit);
    let lowest_tier: Vec<_> = (0..size.accounts).map(|n| item(now, n, 4, limit)).collect();
    time(ROUNDS, |round| {
        let offered = lowest_tier[(round as usize * 7) % lowest_tier.len()].clone();
        match scheduler.offer(now, offered) {
            Offer::Queued { ticket, .. } => black_box(scheduler.remove(ticket).is_some()),
            Offer::Refused(reason) => black_box(reason == Reason::QueueFull),
        };
    })
}

/// Returns the nanoseconds of admitting a request to an account's limits and releasing it. Each
/// account has one more request admitted meanwhile.
fn limit(size: Size) -> f64 {
    let now = Instant::now();
    let limit = Limit {
        max_concurrent: 64,
        requests_per_second: Some(1_000_000),
        tokens_per_minute: Some(1_000_000_000),
    };
    let names: Vec<_> = (0..size.accounts).map(|n| format!("account-{n}")).collect();
    let mut limiter = Limiter::new();
    let held: Vec<_> = names
        .iter()
        .map(|name| limiter.admit(now, name, &limit, 100))
        .collect();
    let ns = time(ROUNDS, |round| {
        let name = &names[round as usize % names.len()];
        let at = now + Duration::from_micros(u64::from(round));
        if let Ok(permit) = limiter.admit(at, name, &limit, 100) {
            limiter.release(at, permit, 100);
        }
    });
    drop(held);
    ns
}

/// Returns endpoint `n`, in one of `pools` pools and 7 availability zones.
fn endpoint(n: usize, pools: usize) -> Endpoint {
    Endpoint {
        id: format!("endpoint-{n}"),
        pool: format!("pool-{}", n % pools),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: format!("zone-{}", n % 7),
        kind: Kind::Standard,
        fencing: Fencing::Checked,
        protocol: Protocol::Engine,
        slots: 64,
        credential: None,
        leaving: false,
    }
}

/// Returns a picker with all endpoints of a deployment.
fn picker(now: Instant, size: Size) -> Picker {
    let mut picker = Picker::default();
    picker.set_live_hosts(size.hosts);
    for n in 0..size.endpoints {
        picker.upsert(now, &endpoint(n, size.pools));
    }
    picker
}

/// Returns the nanoseconds of choosing an endpoint, starting an attempt and ending it.
fn pick(size: Size) -> f64 {
    let now = Instant::now();
    let mut picker = picker(now, size);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let zone = "zone-0".to_owned();
    let pools: Vec<_> = (0..size.pools).map(|n| [format!("pool-{n}")]).collect();
    time(ROUNDS, |round| {
        let blocks: [u64; 8] = std::array::from_fn(|n| u64::from(round) * 8 + n as u64);
        let criteria = Criteria {
            pools: &pools[round as usize % pools.len()],
            prefix: &blocks,
            tier: 1,
            zone: &zone,
            reclaimable: false,
            excluded: &[],
            tokens: 100,
        };
        let choice = picker
            .choose(now, &criteria, &mut rng)
            .expect("an endpoint is free");
        let flight = picker.start(now, choice.key);
        let total = Duration::from_secs(2);
        picker.finish(
            now,
            flight,
            Outcome::Success(Latency { total, tokens: 100 }),
        );
    })
}

/// Returns the nanoseconds of [`pick`] if all endpoints are in one pool.
fn pick_one_pool(size: Size) -> f64 {
    pick(Size { pools: 1, ..size })
}

/// Returns the nanoseconds of recording a load report.
fn report(size: Size) -> f64 {
    let now = Instant::now();
    let mut picker = picker(now, size);
    let names: Vec<_> = (0..size.endpoints)
        .map(|n| format!("endpoint-{n}"))
        .collect();
    time(ROUNDS, |round| {
        let report = Report {
            running: round % 64,
            queued: 0,
            age: Duration::from_secs(1),
        };
        let at = now + Duration::from_micros(u64::from(round));
        picker.report(at, &names[round as usize % names.len()], &report);
    })
}

/// Returns the nanoseconds of marking an endpoint as leaving and back.
fn membership(size: Size) -> f64 {
    let now = Instant::now();
    let mut picker = picker(now, size);
    let names: Vec<_> = (0..size.endpoints)
        .map(|n| format!("endpoint-{n}"))
        .collect();
    time(ROUNDS / 100, |round| {
        let name = &names[round as usize % names.len()];
        picker.set_leaving(name, true);
        picker.set_leaving(name, false);
    })
}
