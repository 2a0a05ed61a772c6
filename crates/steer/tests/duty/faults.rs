//! Random pauses, store outages, lost responses and machine failures with two hosts at work.

use std::rc::Rc;
use std::time::Duration;

use agate_steer::duty::fleet::Fleet;
use agate_steer::duty::{usage, window};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::fleet::declare_pool;
use crate::usage::count_requests;
use crate::world::{Host, Link, World, wall_time};

const STEP: Duration = Duration::from_millis(500);
/// Wall-clock time at the start, in seconds.
const START: u64 = 1000;
/// Time during which faults are injected and requests counted.
const FAULT_TIME: Duration = Duration::from_secs(300);
/// Time without faults in which the hosts must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(240);
const ENDPOINTS: usize = 3;
/// Age at which the platform's list of endpoints is brought up to date.
const LIST_LAG: Duration = Duration::from_secs(5);

/// A host, its fleet state while it holds the lease, and the requests that it has counted.
struct Worker {
    host: Host,
    fleet: Option<Fleet>,
    paused_until: Instant,
    /// Requests counted in `window`.
    requests: u64,
    window: u64,
    /// Requests counted in all windows.
    total: u64,
}

impl Worker {
    fn new(world: &Rc<World>, id: &str, zone: &str) -> Self {
        let host = Host::new(world, id, zone);
        declare_pool(&host);
        Self {
            host,
            fleet: None,
            paused_until: Instant::now(),
            requests: 0,
            window: 0,
            total: 0,
        }
    }

    /// Counts one finished request at wall-clock time `seconds`.
    fn count(&mut self, seconds: u64) {
        let window = seconds / 10 * 10;
        if window != self.window {
            self.window = window;
            self.requests = 0;
        }
        self.requests += 1;
        self.total += 1;
        count_requests(&self.host, window, self.requests);
    }

    async fn step(&mut self, seconds: u64) {
        self.host.tick().await;
        let context = &self.host.context;
        usage::step(context, wall_time(seconds)).await;
        window::step(context, wall_time(seconds)).await;
        match context.duty.tenure.epoch() {
            None => self.fleet = None,
            Some(epoch) => {
                let fleet = self.fleet.get_or_insert_with(|| Fleet::new(epoch));
                fleet.step(context).await;
            }
        }
    }
}

fn inject_faults(world: &World, rng: &mut ChaCha8Rng) {
    world.set_down(rng.random_bool(0.15));
    world.lose_commit_responses.set(rng.random_bool(0.2));
    world.link.set(match rng.random_range(0..10) {
        0 | 1 => Link::ResponseLost,
        2 => Link::Busy,
        3 => Link::Frozen(Duration::from_secs(rng.random_range(1..20))),
        _ => Link::Up,
    });
    if rng.random_bool(0.01) {
        world.machines.borrow_mut().pop_first();
    }
}

fn clear_faults(world: &World) {
    world.set_down(false);
    world.lose_commit_responses.set(false);
    world.link.set(Link::Up);
}

#[rstest]
#[actix_rt::test]
async fn random_faults_cause_no_second_holder_report_or_endpoint(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let world = World::new();
    world.list_lag.set(Some(LIST_LAG));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut workers = [
        Worker::new(&world, "h1", "a"),
        Worker::new(&world, "h2", "a"),
    ];
    let start = Instant::now();
    while start.elapsed() < FAULT_TIME + RECOVERY_TIME {
        let is_faulty = start.elapsed() < FAULT_TIME;
        for worker in &mut workers {
            if is_faulty {
                inject_faults(&world, &mut rng);
            } else {
                clear_faults(&world);
            }
            if is_faulty && rng.random_bool(0.01) {
                let pause = Duration::from_secs(rng.random_range(1..60));
                worker.paused_until = Instant::now() + pause;
            }
            let seconds = START + start.elapsed().as_secs();
            if Instant::now() < worker.paused_until {
                continue;
            }
            if is_faulty {
                worker.count(seconds);
            }
            worker.step(seconds).await;
        }
        let holders = workers
            .iter()
            .filter(|worker| worker.host.is_holder())
            .count();
        assert!(
            holders <= 1,
            "both hosts hold the lease after {:?}",
            start.elapsed()
        );
        assert!(world.machines.borrow().len() <= ENDPOINTS);
        advance(STEP).await;
    }
    let counted: u64 = workers.iter().map(|worker| worker.total).sum();
    assert_eq!(world.reported(), counted);
    assert_eq!(world.machines.borrow().len(), ENDPOINTS);
    let orders = world.orders.borrow();
    let last = orders.iter().map(|order| order.epoch).max().unwrap_or(0);
    println!(
        "seed {seed}: {counted} requests, {} reports sent, {} orders sent, last order in epoch {last}",
        world.reports.borrow().len(),
        orders.len()
    );
    assert!(orders.iter().map(|order| order.epoch).is_sorted());
}
