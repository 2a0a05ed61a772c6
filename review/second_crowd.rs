//! A crowd of clients that stop just short of the end of their chunked bodies and stay connected.

use std::fs::File;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Host, Machine, Store, listen, read_request, start_receiver};

/// Size of the machines of the site.
const MACHINE: Machine = Machine {
    memory_mb: 110,
    descriptors: 4100,
};
/// Connections of the crowd at one host, of the 4,100 descriptors that it has.
const CROWD: usize = 2900;
/// Headers of a request beside the five that it needs; the head has about 900 bytes of the 16,384 allowed.
const HEADERS: usize = 25;
/// Bytes of a body, of the 4,194,304 allowed, and of its chunks. The chunk that ends it is never sent.
const BODY: usize = 60_000;
const CHUNK: usize = 4_000;
/// Ends of a process that break the rule, at each of the two hosts.
const ENDS: usize = 3;
/// Time until a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Length of the run with the crowd at most, and without it.
const LONGEST: Duration = Duration::from_secs(100);
const CALM: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"booking","Host":"h.example","PathPrefix":"/booking/","Kind":"unsafe","TimeoutMs":2000,
"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1,"Public":false},
{"Name":"lookup","Host":"h.example","PathPrefix":"/lookup/","Kind":"safe","TimeoutMs":2000,
"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2,"Public":false}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"workshop","ApiKeys":["key-of-the-workshop"],"Priority":1}]}"#;

type Record = Arc<Mutex<File>>;

fn note(record: &Record, started: Instant, line: &str) {
    let at = started.elapsed().as_secs_f64();
    if let Ok(mut file) = record.lock() {
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}

/// Answers each request after the work of the sheet, 60 ms, as a sound server.
fn serve(stream: TcpStream, runs: &AtomicUsize) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        runs.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(60));
        let id = request
            .headers
            .get("agatebridge-request-id")
            .cloned()
            .unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends an ordinary request over a connection of its own; returns the status, or why there is none.
fn ordinary(address: SocketAddr, id: &str) -> String {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let request = format!(
            "GET /lookup/a HTTP/1.1\r\nHost: h.example\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Deadline-Ms: 4000\r\n\
             Authorization: Token key-of-the-workshop\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_to_string(&mut answer)?;
        Ok(answer
            .split(' ')
            .nth(1)
            .unwrap_or("closed without an answer")
            .to_owned())
    };
    ask().unwrap_or_else(|err| format!("no answer: {err}"))
}

/// The crowd at one host, in a process of its own: connects, sends all bodies but for their ends, and stays
/// until most connections have ended.
pub fn send(address: &str) -> Result<bool, String> {
    let address: SocketAddr = address.parse().map_err(|err| format!("{err}"))?;
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let Ok(stream) = TcpStream::connect(address) else {
            break;
        };
        stream
            .set_nonblocking(true)
            .map_err(|err| err.to_string())?;
        let mut text = format!(
            "POST /booking/a HTTP/1.1\r\nHost: h.example\r\nAgatebridge-Request-Id: crowd-{number}\r\n\
             Agatebridge-Deadline-Ms: 4000\r\nAuthorization: Token key-of-the-workshop\r\nTransfer-Encoding: chunked\r\n"
        );
        for header in 0..HEADERS {
            text.push_str(&format!("X-Header-{header}: {number}-{header}\r\n"));
        }
        text.push_str("\r\n");
        crowd.push((stream, text.into_bytes(), 0, BODY));
    }
    let size = crowd.len();
    println!("{size} clients connected");
    while crowd.len() > size / 10 {
        crowd.retain_mut(|(stream, text, sent, left)| {
            if *sent == text.len() && *left > 0 {
                let chunk = CHUNK.min(*left);
                *left -= chunk;
                *text = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).into_bytes();
                *sent = 0;
            }
            if *sent < text.len() {
                match stream.write(&text[*sent..]) {
                    Ok(count) => *sent += count,
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
            }
            let mut answer = [0; 512];
            match stream.read(&mut answer) {
                Ok(0) => false,
                Err(err) if err.kind() != ErrorKind::WouldBlock => false,
                _ => true,
            }
        });
        thread::sleep(Duration::from_millis(1));
    }
    Ok(false)
}

struct Crowd(Child);

impl Crowd {
    fn start(address: SocketAddr) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let mut command = Command::new(program);
        command.args(["crowd-sender", &address.to_string()]);
        command.spawn().map(Self).map_err(|err| err.to_string())
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Plays one host's platform until the run is over: starts its process, ends it when it exceeds the memory of its
/// machine, starts it again. Returns how often it ended.
fn play(
    mut host: Host,
    has_crowd: bool,
    record: &Record,
    started: Instant,
    over: &AtomicBool,
    ends: &[AtomicUsize; 2],
    index: usize,
) -> Result<(), String> {
    let limit = MACHINE.memory_mb << 10;
    let mut peak = 0;
    while !over.load(Ordering::Relaxed) {
        host.start()
            .map_err(|err| format!("agate-site does not start: {err}"))?;
        if !host.wait_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", host.name));
        }
        note(record, started, &format!("{} ready", host.name));
        // The ordinary clients have it to themselves for a moment.
        thread::sleep(Duration::from_secs(2));
        let mut crowd = match has_crowd {
            true => Some(Crowd::start(host.front)?),
            false => None,
        };
        loop {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let Some(resident) = host.resident_kib() else {
                ends[index].fetch_add(1, Ordering::Relaxed);
                note(record, started, &format!("{} ended by itself", host.name));
                break;
            };
            if resident > peak {
                peak = resident;
            }
            if resident > limit {
                host.kill();
                ends[index].fetch_add(1, Ordering::Relaxed);
                let line = format!(
                    "{} exceeds {limit} KiB with {resident} KiB resident and is killed",
                    host.name
                );
                note(record, started, &line);
                break;
            }
            if let Some(Crowd(child)) = &mut crowd
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                crowd = Some(Crowd::start(host.front)?);
            }
            thread::sleep(Duration::from_millis(10));
        }
        drop(crowd);
        thread::sleep(RESTART_DELAY);
    }
    note(
        record,
        started,
        &format!("{}: peak {peak} KiB of {limit} KiB", host.name),
    );
    Ok(())
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &str, record: &str) -> Result<bool, String> {
    let has_crowd = std::env::var("TROUBLE").as_deref() != Ok("0");
    let started = Instant::now();
    let record: Record = Arc::new(Mutex::new(
        File::create(record).map_err(|err| err.to_string())?,
    ));
    let store = Store::start().map_err(|err| err.to_string())?;
    let duties = start_receiver().map_err(|err| err.to_string())?;
    let runs = Arc::new(AtomicUsize::new(0));
    for number in 1..=4 {
        let runs = runs.clone();
        let server = listen(move |stream| serve(stream, &runs)).map_err(|err| err.to_string())?;
        let row = format!(
            r#"{{"Service":"app","Address":"{server}","Zone":"hal-noord","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
        );
        store.put("servers", &format!("i-{number}"), &row);
    }
    store.put("op", "config", CONFIG);
    let hosts: Result<Vec<Host>, _> = ["front-1", "front-2"]
        .iter()
        .map(|name| Host::new(Path::new(folder), name, MACHINE, store.address, duties))
        .collect();
    let hosts = hosts.map_err(|err| err.to_string())?;
    let over = Arc::new(AtomicBool::new(false));
    let ends: Arc<[AtomicUsize; 2]> = Arc::default();
    let answers: Arc<Mutex<std::collections::BTreeMap<String, usize>>> = Arc::default();
    let mut players = Vec::new();
    for (index, host) in hosts.into_iter().enumerate() {
        let (front, name) = (host.front, host.name.clone());
        let (record, over, ends, answers) =
            (record.clone(), over.clone(), ends.clone(), answers.clone());
        let (clients_over, clients_record) = (over.clone(), record.clone());
        players.push(thread::spawn(move || {
            play(host, has_crowd, &record, started, &over, &ends, index)
        }));
        thread::spawn(move || {
            let mut number = 0;
            while !clients_over.load(Ordering::Relaxed) {
                let (id, name) = (format!("ordinary-{name}-{number}"), name.clone());
                let (answers, record) = (answers.clone(), clients_record.clone());
                thread::spawn(move || {
                    let answer = ordinary(front, &id);
                    note(&record, started, &format!("{name} {id}: {answer}"));
                    *answers.lock().unwrap().entry(answer).or_default() += 1;
                });
                number += 1;
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    let longest = if has_crowd { LONGEST } else { CALM };
    let is_broken = || {
        ends.iter()
            .all(|count| count.load(Ordering::Relaxed) >= ENDS)
    };
    while started.elapsed() < longest
        && !is_broken()
        && !players.iter().any(|player| player.is_finished())
    {
        thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::Relaxed);
    for player in players {
        player
            .join()
            .map_err(|_| "a part of the case failed".to_owned())??;
    }
    let counts: Vec<usize> = ends
        .iter()
        .map(|count| count.load(Ordering::Relaxed))
        .collect();
    let line = format!(
        "ends of the two processes: {counts:?}; ordinary requests: {:?}; runs: {}",
        answers.lock().unwrap(),
        runs.load(Ordering::Relaxed)
    );
    println!("{line}");
    note(&record, started, &line);
    if !has_crowd
        && answers
            .lock()
            .unwrap()
            .get("200")
            .is_none_or(|count| *count < 50)
    {
        return Err("ordinary requests are not answered without the crowd".to_owned());
    }
    Ok(is_broken())
}
