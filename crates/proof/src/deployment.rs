//! Starts and configures the entry hosts, the platform and the endpoints of one test.

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
use crate::wait::{START_TIMEOUT, until};

/// Cluster key with which gates and control processes authenticate to one another.
const CLUSTER_KEY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Name of the file with the cluster key, in the directory of the deployment.
const KEY_FILE: &str = "cluster.key";

/// Availability zones, assigned to the hosts in turn.
const ZONES: [&str; 3] = ["hal-noord", "hal-zuid", "meetkamer"];

/// Settings of the control processes with short lease terms and intervals, in YAML.
///
/// Use them with [`IDLE_ARGS`]: the servers that receive orders have to close idle connections
/// within the `idle` of the lease.
pub const SHORT_INTERVALS: &str = "\
lease: { term: 3s, margin: 300ms, renewal: 500ms, flight: 500ms, idle: 1200ms }
intervals: { hosts: 500ms, usage: 500ms, mirror: 500ms, demand: 1s, fleet: 500ms }
window_grace: 2s";

/// Arguments that make a stand-in close idle connections in time for [`SHORT_INTERVALS`].
pub const IDLE_ARGS: [&str; 2] = ["--idle", "1s"];

/// Describes the deployment that a test needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of entry hosts.
    pub hosts: u8,
    /// Further arguments of each engine; one engine is started per element.
    pub engine_args: Vec<Vec<String>>,
    /// Further arguments of each plain service; one service is started per element.
    pub service_args: Vec<Vec<String>>,
    /// Slots that the manifest of each engine declares.
    pub slots: u32,
    /// Further arguments of the platform.
    pub platform_args: Vec<String>,
    /// Length of the usage reporting window; whole seconds count.
    pub window: Duration,
    /// Time for which callers cache the addresses of gates; whole seconds count.
    pub keep_addresses: Duration,
    /// Further settings of the control processes, in YAML.
    pub steer_settings: String,
    /// Numbers, from 1, of the hosts whose gate has no cluster key, so that only the control
    /// process of its own host responds to it.
    pub keyless_hosts: Vec<u8>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 1,
            engine_args: vec![Vec::new()],
            service_args: vec![Vec::new()],
            slots: 8,
            platform_args: vec!["--list-lag".to_owned(), "500ms".to_owned()],
            window: Duration::from_secs(3600),
            keep_addresses: Duration::from_secs(1),
            steer_settings: String::new(),
            keyless_hosts: Vec::new(),
        }
    }
}

/// An entry host with its two processes.
#[derive(Debug)]
pub struct Host {
    /// Name in the settings of both processes, `host-` and the number from 1.
    pub name: String,
    /// Availability zone that the settings name.
    pub zone: &'static str,
    /// Addresses on which the processes listen.
    pub addresses: HostAddresses,
    /// Address at which the host reaches the platform: the platform itself or a relay.
    pub platform: SocketAddr,
    /// Control process, `agate-steer`.
    pub steer: Program,
    /// Data path process, `agate-gate`.
    pub gate: Program,
}

/// All processes of one test and the lock that keeps other deployments from running.
///
/// Fields are dropped in order, so that the lock is released after all processes have exited.
#[derive(Debug)]
pub struct Deployment {
    /// Entry hosts that have been started, in order of their numbers.
    pub hosts: Vec<Host>,
    /// Engine stand-ins, declared as `engine-1` and so on.
    pub engines: Vec<Standin>,
    /// Plain service stand-ins, declared as `floor-1` and so on.
    pub services: Vec<Standin>,
    /// Platform stand-in: tables, reports, machine lists and endpoint orders.
    pub platform: Standin,
    /// Loopback range of all processes of the deployment.
    pub network: Network,
    options: Options,
    dir: TempDir,
    _lock: File,
}

/// Waits until no other deployment runs and returns a file that is locked until dropped.
pub fn lock() -> File {
    let path = directory().join("agate-proof.lock");
    let file = File::options().create(true).append(true).open(path);
    let file = file.expect("lock file can be opened for appending");
    file.lock().expect("lock file can be locked");
    file
}

impl Deployment {
    /// Starts the platform and the endpoints, but no hosts.
    pub async fn prepare(options: Options) -> Self {
        let lock = lock();
        let network = Network::pick();
        let dir = tempfile::tempdir().expect("temporary directory can be created");
        let key = dir.path().join(KEY_FILE);
        std::fs::write(key, CLUSTER_KEY).expect("cluster key can be written");
        let mut deployment = Self {
            hosts: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform: start_standin(
                &dir,
                "platform",
                "platform",
                network.platform(),
                &options.platform_args,
            )
            .await,
            network,
            options: options.clone(),
            dir,
            _lock: lock,
        };
        for (index, args) in options.engine_args.iter().enumerate() {
            let name = format!("engine-{}", index + 1);
            let engine =
                start_standin(&deployment.dir, &name, "engine", network.standin(), args).await;
            deployment.engines.push(engine);
        }
        for (index, args) in options.service_args.iter().enumerate() {
            let name = format!("floor-{}", index + 1);
            let service =
                start_standin(&deployment.dir, &name, "service", network.standin(), args).await;
            deployment.services.push(service);
        }
        deployment
    }

    /// Starts the platform, the endpoints and all hosts, declares the resources and waits until
    /// each gate serves keyed routes.
    pub async fn start(options: Options) -> Self {
        let mut deployment = Self::prepare(options.clone()).await;
        let platform = deployment.platform.address;
        for _ in 0..options.hosts {
            deployment.add_host(platform);
        }
        deployment.declare().await;
        deployment
    }

    /// Does the same as [`Deployment::start`], but the last `relayed` hosts reach the platform
    /// through relays of their own, which are returned in the order of the hosts.
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

    /// Declares the base resources and all endpoints, and waits until each gate serves keyed
    /// routes.
    pub async fn declare(&self) {
        let mut manifests = resources::base();
        manifests.extend(self.endpoints().into_iter().map(Manifest::Endpoint));
        let operator = self.operator(0);
        until("resource API responds", START_TIMEOUT, || async {
            operator.status().await.ok()
        })
        .await;
        let accepted = until("resources are accepted", START_TIMEOUT, || async {
            let response = operator.try_apply("base", &manifests).await.ok()?;
            Some(response).filter(|response| response.status != 503)
        })
        .await;
        let text = String::from_utf8_lossy(&accepted.body).into_owned();
        assert_eq!(
            accepted.status, 200,
            "response to the base resources: {text}"
        );
        for host in &self.hosts {
            host.wait_until_ready().await;
        }
    }

    /// Returns the manifests of all engines and services.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let id = |name: &str, index: usize| format!("{name}-{}", index + 1);
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            resources::engine(&id("engine", index), engine.address, self.options.slots)
        });
        let services = self.services.iter().enumerate();
        let services = services
            .map(|(index, service)| resources::service(&id("floor", index), service.address));
        engines.chain(services).collect()
    }

    /// Starts one more host, which reaches the platform at the address `platform`.
    pub fn add_host(&mut self, platform: SocketAddr) {
        let number = u8::try_from(self.hosts.len() + 1).expect("number of hosts fits into a u8");
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

    /// Kills both processes of a host and starts new ones without any state, as when the machine
    /// is replaced.
    pub fn replace_host(&mut self, index: usize) {
        self.hosts[index].steer.kill();
        self.hosts[index].gate.kill();
        let host = &self.hosts[index];
        let steer = self.start_steer(&host.name, host.zone, &host.addresses, host.platform);
        let gate = self.start_gate(&host.name, host.zone, &host.addresses, host.platform);
        self.hosts[index].steer = steer;
        self.hosts[index].gate = gate;
    }

    /// Returns a client of the resource API of the host with this index.
    pub fn operator(&self, index: usize) -> Operator {
        Operator {
            address: self.hosts[index].addresses.api,
        }
    }

    /// Returns the address at which callers reach the gate of the host with this index.
    pub fn gate(&self, index: usize) -> SocketAddr {
        self.hosts[index].addresses.gate
    }

    /// Grants a key with this id to [`ACCOUNT`], waits until every gate accepts it, and returns
    /// the secret.
    pub async fn grant_key(&self, id: &str) -> String {
        let key = self.operator(0).grant(ACCOUNT, id).await.key;
        for index in 0..self.hosts.len() {
            let models = Request::new(Method::GET, self.gate(index), "/v1/models")
                .header("authorization", format!("Bearer {key}"));
            until("new key is in force", START_TIMEOUT, || async {
                models
                    .send()
                    .await
                    .ok()
                    .filter(|response| response.status == 200)
            })
            .await;
        }
        key
    }

    /// Returns the index of the lease holder that the first host with a known lease names; waits
    /// until there is one.
    pub async fn lease_holder(&self) -> usize {
        until("some host holds the lease", START_TIMEOUT, || async {
            for index in 0..self.hosts.len() {
                let Ok(status) = self.operator(index).status().await else {
                    continue;
                };
                let Some(lease) = status.lease else {
                    continue;
                };
                return self.hosts.iter().position(|host| host.name == lease.holder);
            }
            None
        })
        .await
    }

    /// Returns how many requests that contain `text` all endpoints have received together.
    pub async fn received_count(&self, text: &str) -> u64 {
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
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let seeds = (1..=self.options.hosts).map(|number| self.network.host(number).peers);
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        let HostAddresses {
            gate,
            api,
            peers,
            gossip,
            ..
        } = addresses;
        let settings = format!(
            "host: {name}\nzone: {zone}\ngate: {gate}\nlisten: {api}\npeers_listen: {peers}\n\
             gossip: {gossip}\nplatform: {platform}\nseeds: [{seeds}]\ncluster_key: \"{CLUSTER_KEY}\"\n\
             bootstrap_operator_digest: \"{digest}\"\nwindow: {window}s\nrequire_token: {}\n{}\n",
            !self.is_keyless(addresses),
            self.options.steer_settings
        );
        self.start_program(&format!("steer-{name}"), "agate-steer", &settings)
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
        let keep_seconds = self.options.keep_addresses.as_secs();
        let settings = format!(
            "host: {name}\nzone: {zone}\nlisten: {gate}\nadmin: {admin}\nsteer: [\"{peers}\"]\n\
             platform: {platform}\nkeep_addresses: {keep_seconds}s\ndrain_timeout: 30s\n{}",
            self.cluster_key_setting(addresses)
        );
        self.start_program(&format!("gate-{name}"), "agate-gate", &settings)
    }

    /// Returns whether the host with these addresses is one of [`Options::keyless_hosts`].
    fn is_keyless(&self, addresses: &HostAddresses) -> bool {
        let has_addresses = |number: &u8| self.network.host(*number).gate == addresses.gate;
        self.options.keyless_hosts.iter().any(has_addresses)
    }

    /// Returns the line of the gate's settings that names the cluster key; empty for a gate
    /// without one.
    fn cluster_key_setting(&self, addresses: &HostAddresses) -> String {
        if self.is_keyless(addresses) {
            return String::new();
        }
        let path = self.dir.path().join(KEY_FILE);
        format!("cluster_key_file: {}\n", path.display())
    }

    /// Writes `settings` to a file and starts `binary` with them.
    fn start_program(&self, name: &str, binary: &str, settings: &str) -> Program {
        let path = self.dir.path().join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings file can be written");
        let args = ["--settings".to_owned(), path.display().to_string()];
        Program::start(self.dir.path(), name, binary, &args)
    }
}

impl Host {
    /// Returns whether the gate serves keyed routes, as its readiness probe says.
    pub async fn is_ready(&self) -> bool {
        let request = Request::new(Method::GET, self.addresses.admin, "/readyz");
        request
            .send()
            .await
            .is_ok_and(|response| response.status == 200)
    }

    /// Waits until the gate serves keyed routes.
    pub async fn wait_until_ready(&self) {
        let condition = format!("gate of {} serves keyed routes", self.name);
        until(&condition, START_TIMEOUT, || async {
            self.is_ready().await.then_some(())
        })
        .await;
    }
}

/// Starts a stand-in of this `kind` (a subcommand of `agate-fake`) and waits until it listens.
async fn start_standin(
    dir: &TempDir,
    name: &str,
    kind: &str,
    listen: SocketAddr,
    args: &[String],
) -> Standin {
    let mut all_args = vec![kind.to_owned(), "--listen".to_owned(), listen.to_string()];
    all_args.extend_from_slice(args);
    let mut program = Program::start(dir.path(), name, "agate-fake", &all_args);
    let address = program.listen_address().await;
    Standin {
        address: address.parse().expect("stand-in prints a socket address"),
        program,
    }
}
