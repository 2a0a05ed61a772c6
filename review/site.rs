//! A small deployment: processes of `agate-site` with the settings of the deploy file, servers as
//! processes of their own, and the record of what was sent, answered and run.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Channel};
use crate::json;
use crate::platform::{Store, start_duties};

/// Interval at which servers write their rows, as the platform's settings say.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time after which the operator writes again; `AckMs` of the site.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(4000);
/// Host name of all routes.
pub const HOST: &str = "floor.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Processes that this program has started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn spawn(command: &mut Command) -> Child {
    let child = command.spawn().expect("the program runs");
    CHILDREN.lock().expect("no panic").push(child.id());
    child
}

/// Ends the processes that are left when a case has failed itself.
pub fn end_children() {
    for id in CHILDREN.lock().map(|ids| ids.clone()).unwrap_or_default() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .stderr(Stdio::null())
            .status();
    }
}

/// Lines of the record, with the time since its start.
pub struct Record {
    started: u128,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(now_ms(), line);
    }

    pub fn add_at(&self, at: u128, line: impl Into<String>) {
        self.lines
            .lock()
            .expect("no panic")
            .push((at.saturating_sub(self.started), line.into()));
    }

    /// Writes the lines in order of time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("no panic").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:9.3} s  {line}\n", at as f64 / 1e3));
        }
        fs::write(path, text)
    }
}

/// An event that a server process has told: time in milliseconds since 1970, kind, id of the request,
/// details.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u128,
    pub server: String,
    pub kind: String,
    pub request: String,
}

/// A server: its process, and what it needs to be started again.
pub struct Server {
    pub number: usize,
    pub address: SocketAddr,
    state: Mutex<ServerState>,
    arguments: Vec<String>,
    service: String,
    slots: u32,
}

struct ServerState {
    id: String,
    starts: u32,
    /// Unix time in milliseconds at which the process was started.
    born: u128,
    child: Option<Child>,
    sequence: u64,
    /// When the process ended; its row is removed three check-in intervals later.
    ended: Option<Instant>,
}

/// One process of `agate-site`.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// Network between the node and the store.
    pub store: Link,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Network between a node and the store, which can be cut: what is sent meanwhile is held up.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    fn start(to: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a free port");
        let is_cut = Arc::new(AtomicBool::new(false));
        let flag = is_cut.clone();
        thread::spawn(move || {
            for near in listener.incoming() {
                let Ok(near) = near else { continue };
                let flag = flag.clone();
                thread::spawn(move || {
                    wait_healed(&flag);
                    let Ok(far) = TcpStream::connect(to) else {
                        return;
                    };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = flag.clone();
                    thread::spawn(move || pass_on(far, near_out, &back));
                    pass_on(near, far_out, &flag);
                });
            }
        });
        Self { address, is_cut }
    }

    /// Cuts or heals the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_healed(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16384];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait_healed(is_cut);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    wait_healed(is_cut);
    let _ = to.shutdown(Shutdown::Write);
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    store_address: SocketAddr,
    pub nodes: Vec<Node>,
    pub servers: Vec<Arc<Server>>,
    pub events: Arc<Mutex<Vec<Event>>>,
    folder: PathBuf,
    zones: usize,
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub resumable: bool,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A service of the configuration; `slots` of an engine, 0 for a plain service.
pub struct Service {
    pub name: &'static str,
    pub engine_slots: u32,
}

/// Returns an address that nothing listens on. All addresses of a run have an IP of their own, so that
/// runs at the same time don't take each other's ports.
pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, 1);
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut taken = TAKEN.lock().expect("no panic");
        if !taken.contains(&address) {
            taken.push(address);
            return address;
        }
    }
}

impl Site {
    /// Starts the platform's stand-ins, writes the configuration, and starts `nodes` processes.
    pub fn start(nodes: usize, zones: usize, services: &[Service], routes: &[Route]) -> Self {
        let started = now_ms();
        let folder = std::env::temp_dir().join(format!("agate-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (store, store_address) = Store::start();
        let duties = start_duties();
        store.put("op", "config", Some(&config(3, services, routes)));
        let mut site = Self {
            record: Arc::new(Record {
                started,
                lines: Mutex::default(),
            }),
            store,
            store_address,
            nodes: Vec::new(),
            servers: Vec::new(),
            events: Arc::default(),
            folder,
            zones,
        };
        for number in 0..nodes {
            let node = site.start_node(number, store_address, duties);
            site.nodes.push(node);
        }
        site
    }

    /// Writes a configuration as the operator does: until the store has acknowledged it.
    pub fn configure(&self, version: u32, services: &[Service], routes: &[Route]) {
        let value = json::base64(config(version, services, routes).as_bytes());
        let body = format!(
            "{{\"Expected\":[],\"Writes\":[{{\"Table\":\"op\",\"part\":\"\",\"Key\":\"config\",\
             \"Value\":\"{value}\"}}],\"Remove\":[]}}"
        );
        let head = format!(
            "POST /rows-tx HTTP/1.1\r\nHost: store\r\nUser-Agent: operator\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        loop {
            self.record.add(format!(
                "operator writes version {version} of the configuration"
            ));
            let mut channel = Channel::new(self.store_address);
            let answer = channel.send(&head, body.as_bytes(), OPERATOR_TIMEOUT);
            self.record
                .add(format!("operator gets from the store: {}", answer.line()));
            if answer.status == 200 {
                return;
            }
        }
    }

    fn start_node(&self, number: usize, store: SocketAddr, duties: SocketAddr) -> Node {
        let name = format!("front-{}", number + 1);
        let link = Link::start(store);
        let (front, ready, directory) = (free_address(), free_address(), free_address());
        let settings = self.folder.join(format!("{name}.yaml"));
        // The rendered form of deploy/edge.yaml, with the bounds of the site file.
        let text = format!(
            "host: \"{name}\"\nzone: \"zone-{zone}\"\nip: \"{}\"\nweight: 0.25\nlisten:\n  \
             front: \"{front}\"\n  ready: \"{ready}\"\n  directory: \"{directory}\"\n  relay: \"{}\"\n  \
             metrics: \"{}\"\nremote:\n  store: \"{link}\"\n  duties: \"{duties}\"\nbounds:\n  \
             apply: 2000ms\n  withdraw: 5000ms\n  drain: 2000ms\n  grace: 8s\n  addresses: 5s\n  \
             lease: 3000ms\n  window: 5s\n  report: 10s\n  repeat_ratio: 0.2\n  repeat_extra: 58\n  \
             repeat_window: 10s\nlog: info\n",
            front.ip(),
            free_address(),
            free_address(),
            zone = number % self.zones,
            link = link.address,
        );
        fs::write(&settings, text).expect("settings written");
        let node = Node {
            name,
            front,
            ready,
            store: link,
            settings,
            child: Mutex::new(None),
        };
        self.launch(&node);
        node
    }

    /// Starts the process of a node with the command of the deploy file.
    fn launch(&self, node: &Node) {
        let path = self.folder.join(format!("{}.log", node.name));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/agate-site");
        command
            .env("AGATEBRIDGE_NODE_FILE", &node.settings)
            .stdin(Stdio::null());
        let child = spawn(command.stdout(log).stderr(errors));
        *node.child.lock().expect("no panic") = Some(child);
    }

    /// Starts a server process; `arguments` choose what it does.
    pub fn add_server(&mut self, service: &str, slots: u32, arguments: &[&str]) {
        let server = Arc::new(Server {
            number: self.servers.len(),
            address: free_address(),
            state: Mutex::new(ServerState {
                id: String::new(),
                starts: 0,
                born: 0,
                child: None,
                sequence: 0,
                ended: None,
            }),
            arguments: arguments.iter().map(|text| (*text).to_owned()).collect(),
            service: service.to_owned(),
            slots,
        });
        self.start_server(&server);
        self.servers.push(server.clone());
        let (store, zones) = (self.store.clone(), self.zones);
        thread::spawn(move || {
            loop {
                server.beat(&store, zones);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Starts the process of a server, or starts it again at the same address with a new id.
    pub fn start_server(&self, server: &Arc<Server>) {
        let mut state = server.state.lock().expect("no panic");
        if !state.id.is_empty() {
            self.store.put("servers", &state.id, None);
        }
        state.starts += 1;
        state.id = format!("i-{}-{}", server.number, state.starts);
        state.ended = None;
        state.born = now_ms();
        let program = std::env::current_exe().expect("the path of this program");
        let mut command = Command::new(program);
        command
            .arg("server")
            .arg(&state.id)
            .arg(server.address.to_string())
            .args(&server.arguments);
        let mut child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()));
        let output = child.stdout.take().expect("a pipe");
        let (id, events, record) = (state.id.clone(), self.events.clone(), self.record.clone());
        state.child = Some(child);
        drop(state);
        thread::spawn(move || {
            for line in BufReader::new(output).lines() {
                let Ok(line) = line else { break };
                let mut words = line.split(' ');
                let at = words.next().and_then(|text| text.parse().ok()).unwrap_or(0);
                let kind = words.next().unwrap_or_default().to_owned();
                let request = words.next().unwrap_or_default().to_owned();
                record.add_at(at, format!("server {id} {kind} {request}"));
                events.lock().expect("no panic").push(Event {
                    at,
                    server: id.clone(),
                    kind,
                    request,
                });
            }
        });
        // The process listens before its row says so.
        for _ in 0..100 {
            if TcpStream::connect_timeout(&server.address, Duration::from_millis(200)).is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        server.beat(&self.store, self.zones);
    }

    /// Starts servers again `down` after their process has ended, for as long as the site runs.
    pub fn restart_servers(self: &Arc<Self>, down: Duration) {
        let site = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                for server in &site.servers {
                    let is_due = {
                        let mut state = server.state.lock().expect("no panic");
                        state.reap();
                        state.ended.is_some_and(|at| at.elapsed() >= down)
                    };
                    if is_due {
                        site.record
                            .add(format!("server {} starts again", server.number));
                        site.start_server(server);
                    }
                }
            }
        });
    }

    /// Waits until every node is ready, and a little longer, so that all know each other.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        for node in &self.nodes {
            loop {
                let head = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
                let answer = Channel::new(node.ready).send(head, b"", Duration::from_secs(1));
                if answer.status == 200 {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(Duration::from_secs(4));
        true
    }

    /// Returns what a node has logged.
    pub fn log(&self, node: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.nodes[node].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn close(&self) {
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().expect("no panic").take() {
                let _ = child.kill();
                let _ = child.wait();
                CHILDREN
                    .lock()
                    .expect("no panic")
                    .retain(|id| *id != child.id());
            }
        }
        for server in &self.servers {
            if let Some(mut child) = server.state.lock().expect("no panic").child.take() {
                let _ = child.kill();
                let _ = child.wait();
                CHILDREN
                    .lock()
                    .expect("no panic")
                    .retain(|id| *id != child.id());
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl ServerState {
    fn reap(&mut self) {
        if let Some(child) = &mut self.child
            && let Ok(Some(_)) = child.try_wait()
        {
            CHILDREN
                .lock()
                .expect("no panic")
                .retain(|id| *id != child.id());
            self.child = None;
            self.ended = Some(Instant::now());
        }
    }
}

impl Server {
    /// Writes the server's row if its process runs, and removes it after three intervals of silence.
    fn beat(&self, store: &Store, zones: usize) {
        let mut state = self.state.lock().expect("no panic");
        state.reap();
        if state.child.is_none() {
            if state.ended.is_some_and(|at| at.elapsed() >= HEARTBEAT * 3) {
                store.put("servers", &state.id, None);
            }
            return;
        }
        let row = self.row(&mut state, zones);
        store.put("servers", &state.id, Some(&row));
    }

    /// Returns the next row of the server.
    fn row(&self, state: &mut ServerState, zones: usize) -> String {
        state.sequence += 1;
        format!(
            "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":\"zone-{}\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{},\"born\":{}}}",
            json::quote(&self.service),
            self.address,
            self.number % zones,
            self.slots,
            state.sequence,
            state.born
        )
    }
}

fn config(version: u32, services: &[Service], routes: &[Route]) -> String {
    let services = services.iter().map(|service| {
        let engine = match service.engine_slots {
            0 => String::new(),
            slots => format!(",\"Engine\":{{\"Slots\":{slots},\"KvCapacityTokens\":590604}}"),
        };
        format!(
            "{{\"Name\":\"{}\",\"HealthPath\":\"/health\",\"MaxConnections\":370{engine}}}",
            service.name
        )
    });
    let services: Vec<String> = services.collect();
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{}\",\
             \"TimeoutMs\":{},\"TargetLatencyMs\":{},\"Priority\":1,\"Service\":\"{}\",\
             \"MaxAttempts\":{},\"Public\":{},\"Sticky\":{},\"Resumable\":{},\"GapTargetMs\":1000}}",
            route.kind,
            route.timeout_ms,
            route.target_ms,
            route.service,
            route.attempts,
            route.is_public,
            route.kind == "streaming",
            route.resumable,
            name = route.name,
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":\
         [{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns the head of a client's request.
pub fn request(
    method: &str,
    route: &str,
    id: &str,
    limit_ms: u32,
    more: &str,
    length: usize,
) -> String {
    let length = match (method, length) {
        ("GET", _) => String::new(),
        (_, length) => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nAgatebridge-Request-Id: {id}\r\n\
         Agatebridge-Deadline-Ms: {limit_ms}\r\nAuthorization: Token {KEY}\r\n{more}{length}\r\n"
    )
}

/// Adds what a client sent and got to the record.
pub fn note(record: &Record, node: &Node, id: &str, sent_at: u128, answer: &Answer) {
    record.add_at(sent_at, format!("client sends {id} to {}", node.name));
    record.add(format!("client gets for {id}: {}", answer.line()));
}

/// Tells the parent process of an event of this server. The line is written before this returns.
pub fn tell(kind: &str, request: &str) {
    let line = format!("{} {kind} {request}\n", now_ms());
    let mut output = std::io::stdout().lock();
    let _ = output.write_all(line.as_bytes());
    let _ = output.flush();
}
