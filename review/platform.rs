//! Stand-ins of the platform: its table store, and the receiver of duties.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Json};
use crate::site::free_address;

/// Time of a call.
const LATENCY: Duration = Duration::from_millis(4);
/// Largest value of a row.
const ROW_BYTES: usize = 65536;

type Key = (String, String);

struct Row {
    value: Option<String>,
    ver: u64,
}

struct State {
    rows: BTreeMap<Key, Row>,
    ver: u64,
}

/// Table store in memory: linearizable, loses nothing.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    /// Whether the answer to the next write of the operator is lost.
    loses_answer: AtomicBool,
}

fn row(key: &Key, row: &Row) -> String {
    let (table, name) = (json::quote(&key.0), json::quote(&key.1));
    match &row.value {
        Some(value) => format!(
            "{{\"Table\":{table},\"part\":\"\",\"Key\":{name},\"Value\":\"{value}\",\"Ver\":{}}}",
            row.ver
        ),
        None => format!(
            "{{\"Table\":{table},\"part\":\"\",\"Key\":{name},\"Tombstone\":true,\"Ver\":{}}}",
            row.ver
        ),
    }
}

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                rows: BTreeMap::new(),
                ver: 0,
            }),
            changed: Condvar::new(),
            started: Instant::now(),
            loses_answer: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(free_address()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        http::serve(listener, move |head, body| {
            thread::sleep(LATENCY);
            let answer = served.call(head, body);
            let is_operator = head.path() == "/rows-tx" && head.header("user-agent") == "operator";
            if is_operator && served.loses_answer.swap(false, Ordering::SeqCst) {
                // The write is done, and its channel delivers nothing further.
                loop {
                    thread::park();
                }
            }
            answer
        });
        (store, address)
    }

    fn now(&self) -> f64 {
        50_000.0 + self.started.elapsed().as_secs_f64() * 1e3
    }

    fn answer(&self, rows: &[String], ver: u64) -> String {
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{ver},\"NowMs\":{:.3}}}",
            rows.join(","),
            self.now()
        )
    }

    /// Makes the store lose its answer to the next write of the operator, which it does.
    pub fn lose_answer(&self) {
        self.loses_answer.store(true, Ordering::SeqCst);
    }

    /// Writes or removes a row, as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().expect("no panic");
        state.ver += 1;
        let ver = state.ver;
        let value = value.map(|value| json::base64(value.as_bytes()));
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { value, ver });
        self.changed.notify_all();
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, String) {
        match head.path() {
            "/rows-tx" => self.commit(body),
            "/rows-get" => {
                let table = head.parameter("Table").unwrap_or_default();
                let from = head.parameter("From").unwrap_or_default();
                let to = head.parameter("To").unwrap_or_default();
                let limit = head
                    .parameter("Limit")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(500);
                let state = self.state.lock().expect("no panic");
                let found = state.rows.iter().filter(|(key, row)| {
                    key.0 == table
                        && key.1 >= from
                        && (to.is_empty() || key.1 < to)
                        && row.value.is_some()
                });
                let rows: Vec<String> = found
                    .take(limit)
                    .map(|(key, found)| row(key, found))
                    .collect();
                (200, self.answer(&rows, state.ver))
            }
            "/rows-feed" => {
                let number = |name| {
                    head.parameter(name)
                        .and_then(|text| text.parse::<u64>().ok())
                };
                let table = head.parameter("Table").unwrap_or_default();
                let after = number("After").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
                let mut state = self.state.lock().expect("no panic");
                loop {
                    let newer = state
                        .rows
                        .iter()
                        .filter(|(key, row)| key.0 == table && row.ver > after);
                    let mut newer: Vec<(&Key, &Row)> = newer.collect();
                    newer.sort_by_key(|(_, row)| row.ver);
                    let left = until.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        let rows: Vec<String> = newer
                            .into_iter()
                            .map(|(key, found)| row(key, found))
                            .collect();
                        return (200, self.answer(&rows, state.ver));
                    }
                    state = self.changed.wait_timeout(state, left).expect("no panic").0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(call) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let entries = |name: &str| {
            call.get(name)
                .map(|list| list.list().to_vec())
                .unwrap_or_default()
        };
        let field = |entry: &Json, name: &str| {
            entry
                .get(name)
                .map(|value| value.text().to_owned())
                .unwrap_or_default()
        };
        let key = |entry: &Json| (field(entry, "Table"), field(entry, "Key"));
        let mut state = self.state.lock().expect("no panic");
        let expected = entries("Expected");
        let holds = |entry: &Json| {
            let found = state
                .rows
                .get(&key(entry))
                .filter(|row| row.value.is_some());
            found.map_or(0, |row| row.ver) == entry.get("Ver").map_or(0, |ver| ver.number() as u64)
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                state.rows.get(&key).map(|found| row(&key, found))
            });
            let rows: Vec<String> = found.collect();
            return (412, self.answer(&rows, state.ver));
        }
        let writes = entries("Writes");
        if writes
            .iter()
            .any(|entry| field(entry, "Value").len() * 3 / 4 > ROW_BYTES)
        {
            return (413, "{}".to_owned());
        }
        state.ver += 1;
        let ver = state.ver;
        for entry in &writes {
            state.rows.insert(
                key(entry),
                Row {
                    value: Some(field(entry, "Value")),
                    ver,
                },
            );
        }
        for entry in &entries("Remove") {
            state.rows.insert(key(entry), Row { value: None, ver });
        }
        let answer = self.answer(&[], ver);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }
}

/// Starts a receiver of duties that accepts every call; returns its address.
pub fn start_duties() -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    http::serve(listener, |_, _| (200, "{}".to_owned()));
    address
}
