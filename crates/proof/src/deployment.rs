//! Entry hosts, platform and endpoints of one test.

use std::fs::File;
use std::net::SocketAddr;
use std::time::Duration;

use agate_model::key::Digest;
use agate_wire::manifest::{Endpoint, Manifest};
use awc::http::Method;
use tempfile::TempDir;

use crate::http::Request;
use crate::network::{HostAddresses, Network};
use crate::operator::{CREDENTIAL, Operator};
use crate::program::{Program, directory};
use crate::relay::Relay;
use crate::resources::{self, ACCOUNT};
use crate::standin::Standin;
use crate::wait::{START, until};

/// Cluster key of the tests.
const CLUSTER_KEY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Name of the file with the cluster key.
const KEY_FILE: &str = "cluster.key";

/// Availability zones, taken in turn.
const ZONES: [&str; 3] = ["hal-noord", "hal-zuid", "meetkamer"];

/// Short terms and intervals of the control processes. The receivers close idle
/// connections after [`IDLE`].
pub const QUICK: &str = "\
lease: { term: 3s, margin: 300ms, renewal: 500ms, flight: 500ms, idle: 1200ms }
intervals: { hosts: 500ms, usage: 500ms, mirror: 500ms, demand: 1s, fleet: 500ms }
window_grace: 2s";

/// Time after which stand-ins close idle connections, for [`QUICK`].
pub const IDLE: [&str; 2] = ["--idle", "1s"];

/// What differs between tests.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entry hosts.
    pub hosts: u8,
    /// Engines.
    pub engines: Vec<Vec<String>>,
    /// Plain services.
    pub services: Vec<Vec<String>>,
    /// Slots of each engine, as declared.
    pub slots: u32,
    /// Further arguments of the platform.
    pub platform: Vec<String>,
    /// Reporting window.
    pub window: Duration,
    /// How long callers keep addresses.
    pub keep_addresses: Duration,
    /// Further settings of the control processes, in YAML.
    pub steer: String,
    /// Numbers of the hosts whose gate has no cluster key, so that only the control process
    /// of its own host answers it.
    pub keyless: Vec<u8>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 1,
            engines: vec![Vec::new()],
            services: vec![Vec::new()],
            slots: 8,
            platform: vec!["--list-lag".to_owned(), "500ms".to_owned()],
            window: Duration::from_secs(3600),
            keep_addresses: Duration::from_secs(1),
            steer: String::new(),
            keyless: Vec::new(),
        }
    }
}

/// One entry host.
#[derive(Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: &'static str,
    /// Addresses.
    pub addresses: HostAddresses,
    /// Platform as this host reaches it.
    pub platform: SocketAddr,
    /// Control process.
    pub steer: Program,
    /// Data path.
    pub gate: Program,
}

/// All processes of one test. The lock is released last.
#[derive(Debug)]
pub struct Deployment {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Engines.
    pub engines: Vec<Standin>,
    /// Plain services.
    pub services: Vec<Standin>,
    /// Platform.
    pub platform: Standin,
    /// Addresses.
    pub network: Network,
    options: Options,
    dir: TempDir,
    _lock: File,
}

/// Waits until no other deployment runs.
pub fn lock() -> File {
    let path = directory().join("agate-proof.lock");
    let file = File::options().create(true).append(true).open(path);
    let file = file.expect("lock file can be written");
    file.lock().expect("lock can be taken");
    file
}

impl Deployment {
    /// Starts the platform and the endpoints, but no hosts.
    pub async fn prepare(options: Options) -> Self {
        let lock = lock();
        let network = Network::pick();
        let dir = tempfile::tempdir().expect("temporary directory");
        let key = dir.path().join(KEY_FILE);
        std::fs::write(key, CLUSTER_KEY).expect("cluster key can be written");
        let mut deployment = Self {
            hosts: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform: standin(
                &dir,
                "platform",
                "platform",
                network.platform(),
                &options.platform,
            )
            .await,
            network,
            options: options.clone(),
            dir,
            _lock: lock,
        };
        for (number, args) in options.engines.iter().enumerate() {
            let name = format!("engine-{}", number + 1);
            let engine = standin(&deployment.dir, &name, "engine", network.standin(), args).await;
            deployment.engines.push(engine);
        }
        for (number, args) in options.services.iter().enumerate() {
            let name = format!("floor-{}", number + 1);
            let service = standin(&deployment.dir, &name, "service", network.standin(), args).await;
            deployment.services.push(service);
        }
        deployment
    }

    /// Starts everything, declares the resources and waits until each gate serves.
    pub async fn start(options: Options) -> Self {
        let mut deployment = Self::prepare(options.clone()).await;
        let platform = deployment.platform.address;
        for _ in 0..options.hosts {
            deployment.add_host(platform);
        }
        deployment.declare().await;
        deployment
    }

    /// As [`Deployment::start`], but the last `relayed` hosts reach the platform through
    /// relays of their own.
    pub async fn start_with_relays(options: Options, relayed: u8) -> (Self, Vec<Relay>) {
        let mut deployment = Self::prepare(options.clone()).await;
        let platform = deployment.platform.address;
        let mut relays = Vec::new();
        for number in 1..=options.hosts {
            let is_direct = number + relayed <= options.hosts;
            if is_direct {
                deployment.add_host(platform);
                continue;
            }
            let relay = Relay::start(deployment.network.relay(), platform).await;
            deployment.add_host(relay.address);
            relays.push(relay);
        }
        deployment.declare().await;
        (deployment, relays)
    }

    /// Declares the base resources and all endpoints, and waits until each gate serves.
    pub async fn declare(&self) {
        let mut manifests = resources::base();
        manifests.extend(self.endpoints().into_iter().map(Manifest::Endpoint));
        let operator = self.operator(0);
        until("resource API answers", START, || async {
            operator.status().await.ok()
        })
        .await;
        let accepted = until("resources are accepted", START, || async {
            let response = operator.try_apply("base", &manifests).await.ok()?;
            Some(response).filter(|it| it.status != 503)
        })
        .await;
        let text = String::from_utf8_lossy(&accepted.body).into_owned();
        assert_eq!(accepted.status, 200, "resources are declared: {text}");
        for host in &self.hosts {
            host.ready().await;
        }
    }

    /// Declared endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let named = |name: &str, number: usize| format!("{name}-{}", number + 1);
        let engines = self.engines.iter().enumerate().map(|(number, it)| {
            resources::engine(&named("engine", number), it.address, self.options.slots)
        });
        let services = self.services.iter().enumerate();
        let services =
            services.map(|(number, it)| resources::service(&named("floor", number), it.address));
        engines.chain(services).collect()
    }

    /// Starts one more host; `platform` is where it reaches the platform.
    pub fn add_host(&mut self, platform: SocketAddr) {
        let number = u8::try_from(self.hosts.len() + 1).expect("tests have few hosts");
        let name = format!("host-{number}");
        let zone = ZONES[self.hosts.len() % ZONES.len()];
        let addresses = self.network.host(number);
        let host = Host {
            steer: self.start_steer(&name, zone, &addresses, platform),
            gate: self.start_gate(&name, zone, &addresses, platform),
            name,
            zone,
            addresses,
            platform,
        };
        self.hosts.push(host);
    }

    /// Starts the processes of a host anew, as after a replacement of the machine.
    pub fn replace_host(&mut self, index: usize) {
        self.hosts[index].steer.kill();
        self.hosts[index].gate.kill();
        let host = &self.hosts[index];
        let steer = self.start_steer(&host.name, host.zone, &host.addresses, host.platform);
        let gate = self.start_gate(&host.name, host.zone, &host.addresses, host.platform);
        self.hosts[index].steer = steer;
        self.hosts[index].gate = gate;
    }

    /// Operator at one host.
    pub fn operator(&self, index: usize) -> Operator {
        Operator {
            address: self.hosts[index].addresses.api,
        }
    }

    /// Where callers reach one host.
    pub fn gate(&self, index: usize) -> SocketAddr {
        self.hosts[index].addresses.gate
    }

    /// A new key that every gate accepts.
    pub async fn key(&self, id: &str) -> String {
        let key = self.operator(0).grant(ACCOUNT, id).await.key;
        for host in 0..self.hosts.len() {
            let models = Request::new(Method::GET, self.gate(host), "/v1/models")
                .header("authorization", format!("Bearer {key}"));
            until("new key is in force", START, || async {
                models.send().await.ok().filter(|it| it.status == 200)
            })
            .await;
        }
        key
    }

    /// Index of the host that holds the lease, as far as the others know.
    pub async fn holder(&self) -> usize {
        until("some host holds the lease", START, || async {
            for host in 0..self.hosts.len() {
                let Ok(status) = self.operator(host).status().await else {
                    continue;
                };
                let Some(lease) = status.lease else {
                    continue;
                };
                return self.hosts.iter().position(|it| it.name == lease.holder);
            }
            None
        })
        .await
    }

    /// How often `text` was received by all endpoints together.
    pub async fn received(&self, text: &str) -> u64 {
        let mut count = 0;
        for standin in self.engines.iter().chain(&self.services) {
            count += standin.count(text).await;
        }
        count
    }

    fn start_steer(
        &self,
        name: &str,
        zone: &str,
        addresses: &HostAddresses,
        platform: SocketAddr,
    ) -> Program {
        let window = self.options.window.as_secs();
        let digest: String = Digest::of(CREDENTIAL.as_bytes())
            .0
            .iter()
            .map(|it| format!("{it:02x}"))
            .collect();
        let seeds = (1..=self.options.hosts).map(|it| self.network.host(it).peers);
        let seeds: Vec<String> = seeds.map(|it| format!("\"{it}\"")).collect();
        let seeds = seeds.join(", ");
        let HostAddresses {
            gate,
            api,
            peers,
            gossip,
            ..
        } = addresses;
        let text = format!(
            "host: {name}\nzone: {zone}\ngate: {gate}\nlisten: {api}\npeers_listen: {peers}\n\
             gossip: {gossip}\nplatform: {platform}\nseeds: [{seeds}]\ncluster_key: \"{CLUSTER_KEY}\"\n\
             bootstrap_operator_digest: \"{digest}\"\nwindow: {window}s\nrequire_token: {}\n{}\n",
            !self.is_keyless(addresses),
            self.options.steer
        );
        self.run(&format!("steer-{name}"), "agate-steer", &text)
    }

    fn start_gate(
        &self,
        name: &str,
        zone: &str,
        addresses: &HostAddresses,
        platform: SocketAddr,
    ) -> Program {
        let HostAddresses {
            gate, admin, peers, ..
        } = addresses;
        let keep = self.options.keep_addresses.as_secs();
        let text = format!(
            "host: {name}\nzone: {zone}\nlisten: {gate}\nadmin: {admin}\nsteer: [\"{peers}\"]\n\
             platform: {platform}\nkeep_addresses: {keep}s\ndrain_timeout: 30s\n{}",
            self.gate_key(addresses)
        );
        self.run(&format!("gate-{name}"), "agate-gate", &text)
    }

    fn is_keyless(&self, addresses: &HostAddresses) -> bool {
        let is_it = |it: &u8| self.network.host(*it).gate == addresses.gate;
        self.options.keyless.iter().any(is_it)
    }

    /// Setting with the cluster key of a gate.
    fn gate_key(&self, addresses: &HostAddresses) -> String {
        if self.is_keyless(addresses) {
            return String::new();
        }
        let path = self.dir.path().join(KEY_FILE);
        format!("cluster_key_file: {}\n", path.display())
    }

    fn run(&self, name: &str, binary: &str, settings: &str) -> Program {
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings can be written");
        let args = ["--settings".to_owned(), path.display().to_string()];
        Program::start(self.dir.path(), name, binary, &args)
    }
}

impl Host {
    /// Whether its gate serves keyed work.
    pub async fn is_ready(&self) -> bool {
        let request = Request::new(Method::GET, self.addresses.admin, "/readyz");
        request.send().await.is_ok_and(|it| it.status == 200)
    }

    /// Waits until its gate serves keyed work.
    pub async fn ready(&self) {
        let what = format!("gate of {} serves", self.name);
        until(&what, START, || async {
            self.is_ready().await.then_some(())
        })
        .await;
    }
}

async fn standin(
    dir: &TempDir,
    name: &str,
    kind: &str,
    listen: SocketAddr,
    args: &[String],
) -> Standin {
    let mut all = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
    all.extend_from_slice(args);
    let mut program = Program::start(dir.path(), name, "agate-fake", &all);
    let address = program.listening().await;
    Standin {
        address: address.parse().expect("stand-ins print their address"),
        program,
    }
}
