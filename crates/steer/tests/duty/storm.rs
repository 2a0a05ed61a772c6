//! All faults at once, at random: two hosts, pauses, outages and lost answers.

use std::rc::Rc;
use std::time::Duration;

use agate_steer::duty::fleet::Fleet;
use agate_steer::duty::{usage, window};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, advance};

use crate::fleet::declare;
use crate::usage::count;
use crate::world::{Host, Wire, World, wall};

const STEP: Duration = Duration::from_millis(500);
/// Wall-clock time at the start, in seconds.
const START: u64 = 1000;
const STORM: Duration = Duration::from_secs(300);
const CALM: Duration = Duration::from_secs(240);
const ENDPOINTS: usize = 3;
/// Age that the platform's list of endpoints reaches.
const LIST_LAG: Duration = Duration::from_secs(5);

/// One host with its work.
struct Worker {
    host: Host,
    fleet: Option<Fleet>,
    paused_until: Instant,
    /// Requests counted in the window `window`.
    requests: u64,
    window: u64,
    total: u64,
}

impl Worker {
    fn new(world: &Rc<World>, id: &str, zone: &str) -> Self {
        let host = Host::new(world, id, zone);
        declare(&host);
        Self {
            host,
            fleet: None,
            paused_until: Instant::now(),
            requests: 0,
            window: 0,
            total: 0,
        }
    }

    /// A request ends.
    fn count(&mut self, seconds: u64) {
        let window = seconds / 10 * 10;
        if window != self.window {
            self.window = window;
            self.requests = 0;
        }
        self.requests += 1;
        self.total += 1;
        count(&self.host, window, self.requests);
    }

    async fn work(&mut self, seconds: u64) {
        self.host.tick().await;
        let context = &self.host.context;
        usage::step(context, wall(seconds)).await;
        window::step(context, wall(seconds)).await;
        match context.duty.tenure.epoch() {
            None => self.fleet = None,
            Some(epoch) => {
                let fleet = self.fleet.get_or_insert_with(|| Fleet::new(epoch));
                fleet.step(context).await;
            }
        }
    }
}

fn stir(world: &World, rng: &mut ChaCha8Rng) {
    world.set_down(rng.random_bool(0.15));
    world.lose_commits.set(rng.random_bool(0.2));
    world.wire.set(match rng.random_range(0..10) {
        0 | 1 => Wire::AnswerLost,
        2 => Wire::Busy,
        3 => Wire::Frozen(Duration::from_secs(rng.random_range(1..20))),
        _ => Wire::Up,
    });
    if rng.random_bool(0.01) {
        world.machines.borrow_mut().pop_first();
    }
}

fn calm(world: &World) {
    world.set_down(false);
    world.lose_commits.set(false);
    world.wire.set(Wire::Up);
}

#[rstest]
#[actix_rt::test]
async fn one_holder_one_report_no_second_endpoint(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let world = World::new();
    world.list_lag.set(Some(LIST_LAG));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut workers = [
        Worker::new(&world, "h1", "a"),
        Worker::new(&world, "h2", "a"),
    ];
    let start = Instant::now();
    while start.elapsed() < STORM + CALM {
        let is_storm = start.elapsed() < STORM;
        for worker in &mut workers {
            if is_storm {
                stir(&world, &mut rng);
            } else {
                calm(&world);
            }
            if is_storm && rng.random_bool(0.01) {
                let pause = Duration::from_secs(rng.random_range(1..60));
                worker.paused_until = Instant::now() + pause;
            }
            let seconds = START + start.elapsed().as_secs();
            if Instant::now() < worker.paused_until {
                continue;
            }
            if is_storm {
                worker.count(seconds);
            }
            worker.work(seconds).await;
        }
        let holders = workers.iter().filter(|it| it.host.holds()).count();
        assert!(holders <= 1, "both hold after {:?}", start.elapsed());
        assert!(world.machines.borrow().len() <= ENDPOINTS);
        advance(STEP).await;
    }
    let counted: u64 = workers.iter().map(|it| it.total).sum();
    assert_eq!(world.reported(), counted);
    assert_eq!(world.machines.borrow().len(), ENDPOINTS);
    let orders = world.orders.borrow();
    let last = orders.iter().map(|it| it.epoch).max().unwrap_or(0);
    println!(
        "seed {seed}: {counted} requests, {} reports sent, {} orders sent, last order in epoch {last}",
        world.reports.borrow().len(),
        orders.len()
    );
    assert!(orders.iter().map(|it| it.epoch).is_sorted());
}
