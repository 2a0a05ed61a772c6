//! Simulation of how fast statements and versions spread, when each host sends one request to a
//! random peer at each interval. Frames are those of the program, and datagrams arrive at once.
//! Time is simulated and random choices are seeded.

use std::time::Duration;

use agate_conf::witness::Witness;
use agate_member::frame::{Frame, HEADER_BYTES, Response};
use agate_member::secret::Secret;
use agate_model::version::FRESHNESS_LIMIT;
use agate_steer::config::copy::Copy;
use agate_steer::config::reader::READ_AT;
use agate_steer::directory::is_due;
use agate_steer::gossip::statements;
use agate_steer::roster::Roster;
use agate_steer::settings::Intervals;
use agate_wire::change::Change;
use agate_wire::platform::{Listing, Machine, Purpose, State};
use agate_wire::{order, peer};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, advance};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// A simulated host, with the time of its next request and its counters of bytes and reads.
struct Node {
    copy: Copy,
    own: Witness,
    next: Instant,
    sent: usize,
    reads: usize,
    roster: Roster,
    list_reads: usize,
}

struct Simulation {
    nodes: Vec<Node>,
    random: ChaCha8Rng,
    secret: Secret,
    interval: Duration,
    is_store_up: bool,
    /// Fraction of requests that are lost.
    loss: f64,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let interval = Intervals::default().gossip;
        let start = Instant::now();
        let nodes = (0..count).map(|n| {
            let own = Witness {
                host: format!("host-{n}"),
                incarnation: "run".to_owned(),
                zone: "z".to_owned(),
                gossip: "10.0.0.1:1".parse().expect("an address"),
            };
            let copy = Copy::default();
            copy.extend(vec![entry(1, count.min(15))])
                .expect("an entry");
            let roster = Roster::default();
            roster.replace(&peer::Lists::default(), start);
            let offset = random.random_range(0.0..1.0);
            Node {
                copy,
                own,
                next: start + interval.mul_f64(offset),
                sent: 0,
                reads: 0,
                roster,
                list_reads: 0,
            }
        });
        Self {
            nodes: nodes.collect(),
            secret: Secret::from_hex(&"a".repeat(64)).expect("a cluster key"),
            random,
            interval,
            is_store_up: false,
            loss: 0.0,
        }
    }

    /// Advances the simulated time by `time`, with a request of each host at each interval.
    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for n in 0..self.nodes.len() {
                if self.nodes[n].next <= Instant::now() {
                    self.exchange(n);
                    self.read(n);
                    if self.random.random() {
                        self.read_lists(n);
                    }
                    let pause = self.interval.mul_f64(self.random.random_range(0.5..1.5));
                    self.nodes[n].next += pause;
                }
            }
            advance(STEP).await;
        }
    }

    /// Reads the store if the newest proof is too old, as the program does.
    fn read(&mut self, n: usize) {
        let interval = Intervals::default().store;
        let node = &mut self.nodes[n];
        let proof = node.copy.store_proof();
        let is_due = proof.is_none_or(|proof| proof.age >= interval.mul_f64(READ_AT));
        if self.is_store_up && is_due {
            node.copy.observe(1, Instant::now());
            node.reads += 1;
        }
    }

    fn exchange(&mut self, n: usize) {
        let others = self.nodes.len() - 1;
        let peer = (n + 1 + self.random.random_range(0..others)) % self.nodes.len();
        let request = self.frame(n, None);
        self.nodes[n].sent += request.encode(&self.secret).len() + HEADER_BYTES;
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        self.nodes[peer].copy.note_version(request.version);
        let mut response = statements::response(&self.nodes[peer].copy, &self.nodes[peer].own);
        response.lists = self.nodes[peer].roster.mark();
        let frame = self.frame(peer, Some(response));
        let datagram = frame.encode(&self.secret);
        self.nodes[peer].sent += datagram.len() + HEADER_BYTES;
        let frame = Frame::decode(&self.secret, &datagram).expect("a valid frame");
        statements::apply(&self.nodes[n].copy, &frame, Instant::now());
        let lists = frame.response.and_then(|response| response.lists);
        if lists.is_some_and(|mark| self.nodes[n].roster.compare(mark, Instant::now())) {
            self.fetch_lists(n, peer);
        }
    }

    fn fetch_lists(&self, n: usize, peer: usize) {
        let Some(roster) = self.nodes[peer].roster.export() else {
            return;
        };
        let at = Instant::now() - Duration::from_millis(roster.age_ms);
        self.nodes[n].roster.replace(&roster.lists, at);
    }

    /// Reads the platform's lists if they are due, as the program does. The simulation calls it
    /// after half of the requests.
    fn read_lists(&mut self, n: usize) {
        let hosts = self.nodes.len();
        let draw = self.random.random();
        let node = &mut self.nodes[n];
        let interval = Intervals::default().hosts;
        if self.is_store_up && is_due(node.roster.age(), interval, hosts, draw) {
            node.roster.replace(&peer::Lists::default(), Instant::now());
            node.list_reads += 1;
        }
    }

    fn frame(&mut self, n: usize, response: Option<Response>) -> Frame {
        let copy = &self.nodes[n].copy;
        Frame {
            host: self.random.random(),
            incarnation: self.random.random(),
            nonce: self.random.random(),
            version: copy.version(),
            accepted: copy.accepted(),
            epoch: 1000,
            rumours: Vec::new(),
            response,
        }
    }

    /// Returns the ages of the proofs, youngest first; a missing proof counts as a minute.
    fn ages(&self) -> Vec<Duration> {
        let age = |node: &Node| node.copy.proof_age().unwrap_or(Duration::from_secs(60));
        let mut ages: Vec<Duration> = self.nodes.iter().map(age).collect();
        ages.sort();
        ages
    }

    /// Returns the mean number of bytes sent by a host per second, IP and UDP headers included.
    fn rate(&self, time: Duration) -> f64 {
        let sent: usize = self.nodes.iter().map(|node| node.sent).sum();
        sent as f64 / self.nodes.len() as f64 / time.as_secs_f64()
    }
}

fn entry(version: u64, witnesses: usize) -> peer::Entry {
    let member = |n| peer::Witness {
        host: format!("host-{n}"),
        incarnation: "run".to_owned(),
        zone: "z".to_owned(),
        gossip: "10.0.0.1:1".parse().expect("an address"),
    };
    peer::Entry {
        change: Change {
            version,
            edits: Vec::new(),
        },
        nonce: String::new(),
        author: String::new(),
        witnesses: Some((0..witnesses).map(member).collect()),
        ended: Vec::new(),
    }
}

/// Returns the size in bytes of the platform's lists in JSON.
fn lists(hosts: usize, endpoints: usize) -> usize {
    let machine = |n: usize, purpose| Machine {
        id: format!("host-or-endpoint-{n}"),
        purpose,
        zone: "zone-name".to_owned(),
        state: State::Live,
    };
    let listed = (0..hosts).map(|n| machine(n, Purpose::Host));
    let endpoint_ids = (0..endpoints).map(|n| machine(n, Purpose::Endpoint));
    let ordered = (0..endpoints).map(|n| order::Machine {
        id: format!("endpoint-{n}"),
        order: "0123456789abcdef".to_owned(),
        pool: "pool-name".to_owned(),
        zone: "zone-name".to_owned(),
        kind: agate_wire::manifest::EndpointKind::Standard,
        address: "10.0.0.1:8000".parse().expect("an address"),
        state: order::State::Running,
        price_milli: 1000,
    });
    let rows = (0..hosts).map(|n| peer::HostRow {
        host: format!("host-{n}"),
        incarnation: "0123456789abcdef".to_owned(),
        zone: "zone-name".to_owned(),
        gate: "10.0.0.1:8000".parse().expect("an address"),
        steer: "10.0.0.1:8000".parse().expect("an address"),
        gossip: "10.0.0.1:8000".parse().expect("an address"),
        started_ms: 1_800_000_000_000,
        leaving: false,
    });
    let lists = peer::Lists {
        listing: Listing {
            revision: 1000,
            machines: listed.chain(endpoint_ids).collect(),
        },
        machines: Some(ordered.collect()),
        hosts: Some(rows.collect()),
    };
    serde_json::to_vec(&lists).expect("json").len()
}

/// Without the store, attestations of a majority reach every host before they are too old. Gossip
/// stays within the budget of 2 KB per second and host, sent and received together.
#[rstest]
#[case(9, 0.0)]
#[case(95, 0.0)]
#[case(380, 0.0)]
#[case(380, 0.05)]
#[tokio::test(start_paused = true)]
async fn attestations_keep_all_hosts_current(#[case] count: usize, #[case] loss: f64) {
    let mut simulation = Simulation::new(count);
    simulation.loss = loss;
    let warm_up = Duration::from_secs(5);
    simulation.run(warm_up).await;
    let mut all = Vec::new();
    let mut stale = 0;
    for _ in 0..20 {
        simulation.run(Duration::from_millis(250)).await;
        let ages = simulation.ages();
        stale += ages.iter().filter(|age| **age > FRESHNESS_LIMIT).count();
        all.extend(ages);
    }
    all.sort();
    let quantile = |share: f64| all[((all.len() - 1) as f64 * share) as usize];
    let rate = simulation.rate(warm_up + Duration::from_secs(5));
    println!(
        "{count} hosts, loss {loss}: proof age p50 {:?} p99 {:?} worst {:?}, stale {stale} of {}, {rate:.0} B/s sent",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        all.len()
    );
    assert_eq!(stale, 0);
    assert!(2.0 * rate < 2048.0, "{rate} B/s sent and as much received");
}

/// With the store, proofs and lists that one host reads make the reads of other hosts unnecessary.
#[rstest]
#[case(9)]
#[case(95)]
#[case(380)]
#[tokio::test(start_paused = true)]
async fn proofs_and_lists_of_peers_reduce_store_reads(#[case] count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.is_store_up = true;
    simulation.run(Duration::from_secs(5)).await;
    for node in &mut simulation.nodes {
        node.reads = 0;
        node.list_reads = 0;
    }
    let mut worst = Duration::ZERO;
    let mut oldest = Duration::ZERO;
    let time = Duration::from_secs(20);
    for _ in 0..80 {
        simulation.run(time / 80).await;
        let age = |node: &Node| node.roster.age().expect("lists were read");
        let ages = simulation.nodes.iter().map(age);
        oldest = oldest.max(ages.max().expect("hosts"));
        worst = worst.max(*simulation.ages().last().expect("hosts"));
    }
    let reads: usize = simulation.nodes.iter().map(|node| node.reads).sum();
    let rate = reads as f64 / time.as_secs_f64();
    println!("{count} hosts: {rate:.1} reads/s of the head in all, worst proof {worst:?} old");
    let list_reads: usize = simulation.nodes.iter().map(|node| node.list_reads).sum();
    let list_rate = list_reads as f64 / time.as_secs_f64();
    let bytes = lists(count, count * 600 / 380);
    let list_bytes = list_rate * bytes as f64 / count as f64;
    println!(
        "{count} hosts: {list_rate:.2} reads/s of the lists in all, oldest {oldest:?}, \
         {bytes} B of lists, {list_bytes:.0} B/s received by a host"
    );
    assert!(list_bytes < 2048.0, "{list_bytes} B/s");
    assert!(oldest < Duration::from_secs(10), "{oldest:?}");
    assert!(
        rate <= 400.0 && worst <= Duration::from_millis(1500),
        "{rate}/s, {worst:?}"
    );
}

/// A new version that one host has spreads to all hosts by gossip, without a push.
#[rstest]
#[case(9)]
#[case(95)]
#[case(380)]
#[tokio::test(start_paused = true)]
async fn a_new_version_spreads_to_all_hosts(#[case] count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(Duration::from_secs(1)).await;
    simulation.nodes[0]
        .copy
        .extend(vec![entry(2, count.min(15))])
        .expect("an entry");
    let start = Instant::now();
    while simulation.nodes.iter().any(|node| node.copy.head() < 2) {
        simulation.run(STEP).await;
        let informed: Vec<usize> = (0..count)
            .filter(|n| simulation.nodes[*n].copy.head() == 2)
            .collect();
        for n in informed {
            if simulation.nodes[n].copy.version() < 2 {
                let entry = entry(2, count.min(15));
                simulation.nodes[n]
                    .copy
                    .extend(vec![entry])
                    .expect("an entry");
            }
        }
    }
    let spread = start.elapsed();
    println!("{count} hosts: a version without a push was everywhere after {spread:?}");
    assert!(spread < Duration::from_millis(2500), "{spread:?}");
}

/// A process that was frozen between a request and its response counts that time in the age of the
/// response's statements.
#[tokio::test(start_paused = true)]
async fn a_response_read_late_counts_the_delay() {
    let mut simulation = Simulation::new(2);
    let sent = Instant::now();
    let response = statements::response(&simulation.nodes[1].copy, &simulation.nodes[1].own);
    simulation.nodes[0]
        .copy
        .observe(1, sent - Duration::from_secs(10));
    let frame = simulation.frame(1, Some(response));
    advance(Duration::from_secs(10)).await;
    statements::apply(&simulation.nodes[0].copy, &frame, sent);
    let own = &simulation.nodes[0].own;
    simulation.nodes[0]
        .copy
        .attest(own.clone(), 1, Instant::now());
    let age = simulation.nodes[0].copy.proof_age();
    assert!(age >= Some(Duration::from_secs(10)), "{age:?}");
}
