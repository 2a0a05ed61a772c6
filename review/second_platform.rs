//! The platform: its table store, the receiver of usage reports, the hosts that it starts, and a plain server.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{self, Value};

/// A request as a stand-in reads it.
pub struct Request {
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        target,
        headers,
        body,
    })
}

/// Accepts connections on a free loopback port, each in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(move || serve(stream));
        }
    });
    Ok(address)
}

type Key = (String, String);

#[derive(Default)]
struct Tables {
    /// Value in base64, `None` for a removed row, and the version that wrote it.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// The table store.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let slot: Arc<Mutex<Option<Arc<Store>>>> = Arc::default();
        let seen = slot.clone();
        let address = listen(move |stream| {
            let store = seen.lock().unwrap().clone();
            if let Some(store) = store {
                let _ = store.serve(stream);
            }
        })?;
        let store = Arc::new(Self {
            tables: Mutex::new(Tables {
                version: 1,
                ..Tables::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
            address,
        });
        *slot.lock().unwrap() = Some(store.clone());
        Ok(store)
    }

    /// Writes a row as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = (Some(json::base64(value.as_bytes())), tables.version);
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(Duration::from_millis(3));
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
        None
    }

    fn stamp(&self, tables: &Tables, rows: &[String], more: bool) -> String {
        let now = 1000 + self.started.elapsed().as_millis();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{more},\"Ver\":{},\"NowMs\":{now}}}",
            rows.join(","),
            tables.version
        )
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut tables = self.tables.lock().unwrap();
        match path {
            "/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(call) = json::parse(&body) else {
                    return (400, "{}".to_owned());
                };
                let key = |entry: &Value| {
                    (
                        entry.get("Table").text().to_owned(),
                        entry.get("Key").text().to_owned(),
                    )
                };
                let expected = call.get("Expected").list();
                let holds = expected.iter().all(|entry| {
                    let found = tables.rows.get(&key(entry)).filter(|row| row.0.is_some());
                    found.map_or(0, |row| row.1) == entry.get("Ver").number() as u64
                });
                if !holds {
                    let found = expected.iter().filter_map(|entry| {
                        let key = key(entry);
                        let row = tables.rows.get(&key).filter(|row| row.0.is_some())?;
                        Some(encode(&key, row))
                    });
                    let rows: Vec<String> = found.collect();
                    return (412, self.stamp(&tables, &rows, false));
                }
                tables.version += 1;
                let version = tables.version;
                for entry in call.get("Writes").list() {
                    let value = entry.get("Value").text().to_owned();
                    tables.rows.insert(key(entry), (Some(value), version));
                }
                for entry in call.get("Remove").list() {
                    tables.rows.insert(key(entry), (None, version));
                }
                self.changed.notify_all();
                (200, self.stamp(&tables, &[], false))
            }
            "/rows-get" => {
                let (table, from, to) = (text("Table"), text("From"), text("To"));
                let limit = text("Limit").parse().unwrap_or(500);
                let found = tables.rows.iter().filter(|((name, key), row)| {
                    *name == table
                        && row.0.is_some()
                        && *key >= from
                        && (to.is_empty() || *key < to)
                });
                let mut rows: Vec<String> = found.map(|(key, row)| encode(key, row)).collect();
                let more = rows.len() > limit;
                rows.truncate(limit);
                (200, self.stamp(&tables, &rows, more))
            }
            "/rows-feed" => {
                let (table, after) = (text("Table"), text("After").parse().unwrap_or(0u64));
                let wait = Duration::from_millis(text("WaitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let newer = tables
                        .rows
                        .iter()
                        .filter(|((name, _), row)| *name == table && row.1 > after);
                    let mut newer: Vec<_> = newer.collect();
                    newer.sort_by_key(|(_, row)| row.1);
                    let rows: Vec<String> = newer
                        .into_iter()
                        .map(|(key, row)| encode(key, row))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, self.stamp(&tables, &rows, false));
                    }
                    tables = self.changed.wait_timeout(tables, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn encode((table, key): &Key, (value, version): &(Option<String>, u64)) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":\"\",\"Key\":{},{value},\"Ver\":{version}}}",
        json::quote(table),
        json::quote(key)
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Starts the receiver of usage reports and orders, which accepts all of them.
pub fn start_receiver() -> io::Result<SocketAddr> {
    listen(|stream| {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while read_request(&mut reader).is_some() {
            if writer
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .is_err()
            {
                return;
            }
        }
    })
}

/// Returns free addresses below the ports that the kernel gives to clients, so that a process finds them free again
/// when it is started once more.
fn free_addresses() -> io::Result<[SocketAddr; 5]> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut found = Vec::new();
    let seed = std::process::id().wrapping_mul(97);
    for _ in 0..10_000 {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (seed.wrapping_add(step) % 10_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
        if let Ok(addresses) = <[SocketAddr; 5]>::try_from(found.as_slice()) {
            return Ok(addresses);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Size of a machine as its settings state it.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// A host: its settings, its addresses and its process.
pub struct Host {
    pub name: String,
    addresses: [SocketAddr; 5],
    machine: Machine,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Chooses the addresses of a host and writes its settings.
    pub fn new(
        folder: &Path,
        name: &str,
        machine: Machine,
        store: SocketAddr,
        duties: SocketAddr,
    ) -> io::Result<Self> {
        let addresses = free_addresses()?;
        let (front, ready) = (addresses[0], addresses[1]);
        let settings = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        let host = Self {
            name: name.to_owned(),
            addresses,
            machine,
            front,
            ready,
            settings,
            log,
            child: None,
        };
        host.write_settings(store, duties)?;
        Ok(host)
    }

    /// Writes the settings file as the template of the deploy file has it.
    pub fn write_settings(&self, store: SocketAddr, duties: SocketAddr) -> io::Result<()> {
        let [front, ready, directory, relay, metrics] = self.addresses;
        let (name, machine) = (&self.name, self.machine);
        let text = format!(
            "host: \"{name}\"\nzone: \"hal-noord\"\nip: \"127.0.0.1\"\nweight: 0.25\nlisten:\n  front: \"{front}\"\n  \
             ready: \"{ready}\"\n  directory: \"{directory}\"\n  relay: \"{relay}\"\n  metrics: \"{metrics}\"\nremote:\n  \
             store: \"{store}\"\n  duties: \"{duties}\"\nbounds:\n  apply: 2000ms\n  withdraw: 5000ms\n  drain: 2000ms\n  \
             grace: 8s\n  addresses: 5s\n  lease: 3000ms\n  window: 5s\n  report: 10s\n  repeat_ratio: 0.2\n  \
             repeat_extra: 56\n  repeat_window: 10s\n\nmachine:\n  memory_mb: {}\n  descriptors: {}\n  \
             link_mbps: 1000.0\nlog: info\n",
            machine.memory_mb, machine.descriptors
        );
        std::fs::write(&self.settings, text)
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        Command::new("kill")
            .args([format!("-{signal}"), child.id().to_string()])
            .status()
            .map(drop)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new("target/release/agate-site")
            .env_clear()
            .env("AGATEBRIDGE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }

    /// Returns the resident memory of the process in KiB; `None` if it has ended.
    pub fn resident_kib(&mut self) -> Option<u64> {
        let child = self.child.as_mut()?;
        if !matches!(child.try_wait(), Ok(None)) {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address that passes connections on to another one until it is closed.
pub struct Forwarder {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let forwarder = Self {
            address: listener.local_addr()?,
            is_closed: Arc::default(),
            streams: Arc::default(),
        };
        let (is_closed, streams) = (forwarder.is_closed.clone(), forwarder.streams.clone());
        thread::spawn(move || {
            while !is_closed.load(Ordering::Relaxed) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let _ = join(near, target, &streams);
            }
        });
        Ok(forwarder)
    }

    /// Ends all connections; further ones are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn join(near: TcpStream, target: SocketAddr, streams: &Mutex<Vec<TcpStream>>) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    streams
        .lock()
        .unwrap()
        .extend([near.try_clone()?, far.try_clone()?]);
    for (mut from, mut to) in [(near.try_clone()?, far.try_clone()?), (far, near)] {
        thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Write);
        });
    }
    Ok(())
}

/// A path to an address that can fall silent: what is sent meanwhile is held, also on new connections.
pub struct Gate {
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Gate {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let is_silent: Arc<AtomicBool> = Arc::default();
        let silent = is_silent.clone();
        let address = listen(move |near| {
            let wait = |silent: &AtomicBool| {
                while silent.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
            };
            wait(&silent);
            let Ok(far) = TcpStream::connect(target) else {
                return;
            };
            let _ = far.set_nodelay(true);
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                return;
            };
            let other = silent.clone();
            thread::spawn(move || pass(far_too, near_too, &other));
            pass(near, far, &silent);
        })?;
        Ok(Self { address, is_silent })
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }
}

/// Passes bytes on, and holds them while the path is silent.
fn pass(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        while silent.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
