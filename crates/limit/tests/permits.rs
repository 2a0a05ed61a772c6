//! Many hosts that send to one endpoint with a limit, each by what it knows of the others.

use std::time::{Duration, Instant};

use agate_limit::owner;
use agate_limit::permit::{Answer, Wallet};
use agate_limit::schedule::Schedule;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use rstest::rstest;

const ENDPOINT: &str = "e-1";
const STEP: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(45);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time from the start of a host until it may own endpoints.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after which a host that is gone is not listed any more, and that after which one that came is.
const DELIST_TIME: Duration = Duration::from_millis(4_700);
const LIST_TIME: Duration = Duration::from_millis(2_500);
/// Time until a question without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a request waits for a permit.
const PATIENCE: Duration = Duration::from_millis(300);
/// Longest time from the choice of an endpoint until the request is there.
const MAX_TRANSIT: Duration = Duration::from_millis(700);

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Part of the messages that are lost.
    loss: f64,
    /// Mean time between two restarts of hosts; `None` without any.
    restarts: Option<Duration>,
    /// Whether a third of the hosts is cut off from the store, and so from news of the others, for a while
    /// again and again.
    cuts: bool,
}

struct Host {
    name: String,
    /// When the process last started and ended; it runs if the start is later.
    started: Instant,
    ended: Option<Instant>,
    wallet: Wallet,
    /// Outcome of the question that is under way, and when it is known.
    asked: Option<(Instant, Option<Answer>)>,
    /// Until when a request waits.
    waits_until: Instant,
    schedule: Option<Schedule>,
    /// Hosts that it lists, by number, and whether it has heard of the store lately.
    view: Vec<usize>,
    is_current: bool,
}

struct World {
    hosts: Vec<Host>,
    start: Instant,
    rate: f64,
    faults: Faults,
    random: StdRng,
    arrivals: Vec<Duration>,
}

impl World {
    fn new(hosts: usize, rate: f64, faults: Faults, seed: u64) -> Self {
        let start = Instant::now();
        let hosts = (0..hosts).map(|n| Host {
            name: format!("host-{n}"),
            started: start,
            ended: None,
            wallet: Wallet::default(),
            asked: None,
            waits_until: start,
            schedule: None,
            view: Vec::new(),
            is_current: true,
        });
        Self {
            hosts: hosts.collect(),
            start,
            rate,
            faults,
            random: StdRng::seed_from_u64(seed),
            arrivals: Vec::new(),
        }
    }

    fn is_up(&self, n: usize, now: Instant) -> bool {
        let host = &self.hosts[n];
        host.started <= now && host.ended.is_none_or(|ended| ended < host.started)
    }

    /// Restarts a host now and then.
    fn restart(&mut self, now: Instant) {
        let Some(interval) = self.faults.restarts else {
            return;
        };
        if self
            .random
            .random_bool(STEP.as_secs_f64() / interval.as_secs_f64())
        {
            let n = self.random.random_range(0..self.hosts.len());
            let host = &mut self.hosts[n];
            if host.started <= now {
                host.ended = Some(now);
                host.started = now + Duration::from_millis(self.random.random_range(500..4_000));
                host.wallet = Wallet::default();
                (host.asked, host.schedule) = (None, None);
            }
        }
    }

    /// Renews what a host knows of the others; one that is cut off keeps what it knew.
    fn look(&mut self, n: usize, now: Instant) {
        let second = (now - self.start).as_secs() % 20;
        let is_cut = self.faults.cuts && n.is_multiple_of(3) && (8..14).contains(&second);
        self.hosts[n].is_current = !is_cut;
        if is_cut || !self.random.random_bool(STEP.as_secs_f64() / 1.2) {
            return;
        }
        let listed = (0..self.hosts.len()).filter(|other| {
            let host = &self.hosts[*other];
            let is_other_cut =
                self.faults.cuts && other.is_multiple_of(3) && (12..16).contains(&second);
            let was_up = host.ended.is_some_and(|ended| now < ended + DELIST_TIME);
            let is_known = now >= host.started + LIST_TIME;
            !is_other_cut && (is_known || was_up) || *other == n
        });
        self.hosts[n].view = listed.collect();
    }

    fn names(&self, n: usize) -> Vec<&str> {
        let view = self.hosts[n].view.iter();
        view.map(|other| self.hosts[*other].name.as_str()).collect()
    }

    /// Returns the answer of host `n` as an owner.
    fn grant(&mut self, n: usize, now: Instant) -> Answer {
        let names = self.names(n);
        let host = &self.hosts[n];
        let part = match now >= host.started + SETTLE_TIME {
            true => owner::part(ENDPOINT, &host.name, &names, self.hosts.len().div_ceil(2)),
            false => 0.0,
        };
        if part <= 0.0 {
            let wait = Duration::from_secs(1);
            return Answer::Denied { wait };
        }
        let rate = owner::granted_rate(self.rate, part, host.is_current);
        let schedule = &mut self.hosts[n].schedule;
        let schedule = schedule.get_or_insert_with(|| Schedule::new(now, rate));
        schedule.ask(now, rate, 4)
    }

    /// Asks the owners that host `n` knows; returns how long that takes and the answer.
    fn ask(&mut self, n: usize, now: Instant) -> (Duration, Option<Answer>) {
        let owners = {
            let names = self.names(n);
            owner::owners(ENDPOINT, &names)
                .into_iter()
                .map(str::to_owned)
                .collect::<Vec<_>>()
        };
        let mut took = Duration::ZERO;
        let mut answer = None;
        for name in owners {
            let number = name.strip_prefix("host-").expect("a host");
            let owner: usize = number.parse().expect("a number");
            let is_lost = owner != n && self.random.random_bool(self.faults.loss);
            if !self.is_up(owner, now) || is_lost {
                took += CALL_TIMEOUT;
                continue;
            }
            let reply = self.grant(owner, now);
            if owner != n && self.random.random_bool(self.faults.loss) {
                took += CALL_TIMEOUT;
                continue;
            }
            took += Duration::from_millis(4);
            answer = Some(reply);
            if matches!(reply, Answer::Granted { .. }) {
                break;
            }
        }
        (took, answer)
    }

    /// Lets host `n` send if it has a request, which it has with this probability.
    fn send(&mut self, n: usize, now: Instant, demand: f64) {
        if let Some((at, answer)) = self.hosts[n].asked
            && at <= now
        {
            let draw = self.random.random_range(0.0..1.0);
            let host = &mut self.hosts[n];
            host.asked = None;
            match answer {
                Some(answer) => host.wallet.record(now, answer, draw),
                None => host.wallet.fail(now, draw),
            }
        }
        if self.random.random_bool(demand) {
            self.hosts[n].waits_until = now + PATIENCE;
        }
        if self.hosts[n].waits_until <= now {
            return;
        }
        if self.hosts[n].wallet.take(now) {
            self.hosts[n].waits_until = now;
            let transit = MAX_TRANSIT.mul_f64(self.random.random_range(0.0..1.0_f64).powi(4));
            self.arrivals.push(now + transit - self.start);
        } else if self.hosts[n].wallet.start_asking(now) {
            let (took, answer) = self.ask(n, now);
            self.hosts[n].asked = Some((now + took, answer));
        }
    }

    /// Runs all hosts, with `demand` requests a second on each.
    fn run(&mut self, demand: f64) {
        let chance = (demand * STEP.as_secs_f64()).min(1.0);
        let mut now = self.start;
        while now < self.start + RUN {
            self.restart(now);
            for n in 0..self.hosts.len() {
                if self.is_up(n, now) {
                    self.look(n, now);
                    self.send(n, now, chance);
                }
            }
            now += STEP;
        }
        self.arrivals.sort_unstable();
    }

    /// Returns the most arrivals in one span.
    fn most(&self) -> usize {
        let counts = self.arrivals.iter().enumerate().map(|(n, from)| {
            let later = &self.arrivals[n..];
            later.partition_point(|at| *at < *from + SPAN)
        });
        counts.max().unwrap_or(0)
    }
}

const CALM: Faults = Faults {
    loss: 0.0,
    restarts: None,
    cuts: false,
};
const LOSSY: Faults = Faults { loss: 0.2, ..CALM };
const RESTARTS: Faults = Faults {
    restarts: Some(Duration::from_secs(2)),
    ..CALM
};
const ALL: Faults = Faults {
    loss: 0.1,
    restarts: Some(Duration::from_secs(3)),
    cuts: true,
};

// Guards against: hosts that restart, lose messages or know different hosts send more together than an endpoint
// takes.
#[rstest]
fn all_hosts_together_keep_to_the_limit(
    #[values(1, 3, 9, 75, 300)] hosts: usize,
    #[values(0.5, 1.0, 20.0)] rate: f64,
    #[values(CALM, LOSSY, RESTARTS, ALL)] faults: Faults,
) {
    let seeds = if hosts > 100 { 1 } else { 2 };
    for seed in 0..seeds {
        let mut world = World::new(hosts, rate, faults, seed);
        // Far more than the endpoint takes.
        world.run((30.0 * rate / hosts as f64).max(1.0));
        let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
        let most = world.most();
        assert!(
            most as f64 <= allowed,
            "{most} of {allowed} with seed {seed}"
        );
    }
}

// Guards against: an endpoint gets much less than it takes, since each host has a part of the limit that it does
// not use.
#[rstest]
#[case::few_hosts(3, 1.0, 2.0)]
#[case::few_hosts_half(3, 0.5, 1.0)]
#[case::many_hosts(300, 1.0, 0.05)]
#[case::many_hosts_half(300, 0.5, 0.05)]
#[case::few_hosts_many_requests(9, 20.0, 10.0)]
#[case::many_hosts_many_requests(300, 20.0, 1.0)]
fn most_of_the_limit_is_used(#[case] hosts: usize, #[case] rate: f64, #[case] demand: f64) {
    let mut world = World::new(hosts, rate, CALM, 1);
    world.run(demand);
    let time = RUN - SETTLE_TIME;
    let used = world.arrivals.len() as f64 / (rate * time.as_secs_f64());
    assert!((0.5..=1.0).contains(&used), "{used}");
}
