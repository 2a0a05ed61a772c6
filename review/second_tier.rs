//! One account sends many times its usual, queries, which are the most urgent kind of request, at the time of the
//! first requests of the next kind.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Host, Machine, Store, listen, read_request, start_receiver};

const MACHINE: Machine = Machine {
    memory_mb: 110,
    descriptors: 4100,
};

/// Model servers, each of which runs one request at a time.
const SERVERS: usize = 3;
/// Queries of the account when it is hot, all within a fifth of a second, and none in the rest of [`HOT_FOR`].
const HOT: usize = 9;
const HOT_FOR: Duration = Duration::from_secs(11);
/// Its usual queries: two at a time, which makes 1.57 in [`HOT_FOR`]. Nine are 5.7 times as many.
const USUAL: usize = 2;
const USUAL_INTERVAL: Duration = Duration::from_secs(14);
const USUAL_FROM: Duration = Duration::from_secs(2);
/// When the account is hot, when the first note is sent, and when the clients stop.
const HOT_AT: Duration = Duration::from_secs(14);
const NOTES_AT: Duration = Duration::from_millis(14_600);
const END: Duration = Duration::from_secs(56);
/// Time from then until the last of its queries has ended: the time limit of its route and two seconds.
const HOT_OVER: Duration = Duration::from_secs(14);
/// Length of the span in which the rule counts.
const SPAN: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"Version":7,
"Routes":[{"Name":"query","Host":"h.example","PathPrefix":"/query/","Kind":"streaming","TimeoutMs":12000,
"TargetLatencyMs":300,"Priority":0,"Service":"model","MaxAttempts":1,"Public":false,"Resumable":false,"GapTargetMs":250},
{"Name":"note","Host":"h.example","PathPrefix":"/note/","Kind":"streaming","TimeoutMs":3000,
"TargetLatencyMs":500,"Priority":1,"Service":"model","MaxAttempts":1,"Public":false,"Resumable":false,"GapTargetMs":400},
{"Name":"review","Host":"h.example","PathPrefix":"/review/","Kind":"streaming","TimeoutMs":4000,
"TargetLatencyMs":1500,"Priority":2,"Service":"model","MaxAttempts":1,"Public":false,"Resumable":false,"GapTargetMs":1000}],
"Services":[{"Name":"model","HealthPath":"/health","MaxConnections":370}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"workshop","ApiKeys":["key-of-the-workshop"],"Priority":1},
{"Name":"night-shift","ApiKeys":["key-of-the-night-shift"],"Priority":1}]}"#;

/// A kind of request of the site, with the tokens of its sheet.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    tokens: &'static str,
    limit: Duration,
}

const QUERY: Kind = Kind {
    name: "query",
    tokens: "715,282",
    limit: Duration::from_secs(12),
};
const NOTE: Kind = Kind {
    name: "note",
    tokens: "2368,24",
    limit: Duration::from_secs(3),
};
const REVIEW: Kind = Kind {
    name: "review",
    tokens: "9190,54",
    limit: Duration::from_secs(4),
};

/// Events of a stream and their interval: 47, 4 and 9 events as on the sheet.
fn events(path: &str) -> (u32, Duration) {
    match path {
        "/query/a" => (47, Duration::from_millis(200)),
        "/note/a" => (4, Duration::from_millis(25)),
        _ => (9, Duration::from_millis(25)),
    }
}

/// What was seen of one request.
struct Seen {
    kind: &'static str,
    sent: Duration,
    began: Option<Duration>,
    answer: String,
}

struct World {
    started: Instant,
    seen: Mutex<Vec<Seen>>,
    /// When a server began to work on a request, by its id.
    begun: Mutex<BTreeMap<String, Duration>>,
}

/// One model server: runs one request at a time, in the order of their arrival, and drops those whose channel has
/// closed or whose time limit has passed.
fn serve(stream: TcpStream, slot: &Mutex<()>, world: &World) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let Ok(watch) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let id = header("agatebridge-request-id");
        let limit = Duration::from_millis(header("agatebridge-deadline-ms").parse().unwrap_or(0));
        let until = Instant::now() + limit;
        let running = loop {
            if let Ok(guard) = slot.try_lock() {
                break guard;
            }
            let _ = watch.set_nonblocking(true);
            let closed = matches!(watch.peek(&mut [0]), Ok(0));
            let _ = watch.set_nonblocking(false);
            if closed || Instant::now() >= until {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        };
        world
            .begun
            .lock()
            .unwrap()
            .insert(id.clone(), world.started.elapsed());
        let head = format!(
            "HTTP/1.1 200 OK\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let (count, interval) = events(&request.target);
        for number in 1..=count {
            thread::sleep(interval);
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if Instant::now() >= until || writer.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
        drop(running);
    }
}

/// Sends one request over a connection of its own and records what comes.
fn ask(address: SocketAddr, kind: Kind, id: &str, world: &World) {
    let sent = world.started.elapsed();
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(kind.limit))?;
        let request = format!(
            "POST /{}/a HTTP/1.1\r\nHost: h.example\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Deadline-Ms: {}\r\n\
             Agatebridge-Model: m\r\nAgatebridge-Token-Counts: {}\r\nAuthorization: Token key-of-the-{}\r\n\
             Content-Length: 2\r\n\r\n{{}}",
            kind.name,
            kind.limit.as_millis(),
            kind.tokens,
            if kind.name == "query" {
                "night-shift"
            } else {
                "workshop"
            }
        );
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line
            .split(' ')
            .nth(1)
            .unwrap_or("closed without an answer")
            .to_owned();
        if status != "200" {
            return Ok(status);
        }
        let mut rest = String::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok("200, cut".to_owned());
            }
            rest.push_str(&line);
            if rest.ends_with("\r\n0\r\n") {
                return Ok(status);
            }
        }
    };
    let answer = call().unwrap_or_else(|err| format!("no answer: {}", err.kind()));
    let began = world.begun.lock().unwrap().get(id).copied();
    world.seen.lock().unwrap().push(Seen {
        kind: kind.name,
        sent,
        began,
        answer,
    });
}

/// Sends requests of one kind at an even rate from `from` to the end.
fn press(
    address: SocketAddr,
    kind: Kind,
    interval: Duration,
    from: Duration,
    world: &Arc<World>,
    over: &Arc<AtomicBool>,
) {
    let (world, over) = (world.clone(), over.clone());
    thread::spawn(move || {
        thread::sleep(from.saturating_sub(world.started.elapsed()));
        let mut number = 0;
        while !over.load(Ordering::Relaxed) {
            let (world, id) = (world.clone(), format!("{}-{number}", kind.name));
            thread::spawn(move || ask(address, kind, &id, &world));
            number += 1;
            thread::sleep(interval);
        }
    });
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &str, record: &str) -> Result<bool, String> {
    let is_hot = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = File::create(record).map_err(|err| err.to_string())?;
    let store = Store::start().map_err(|err| err.to_string())?;
    let duties = start_receiver().map_err(|err| err.to_string())?;
    let world = Arc::new(World {
        started: Instant::now(),
        seen: Mutex::default(),
        begun: Mutex::default(),
    });
    for number in 1..=SERVERS {
        let (world, slot) = (world.clone(), Mutex::new(()));
        let server =
            listen(move |stream| serve(stream, &slot, &world)).map_err(|err| err.to_string())?;
        let row = format!(
            r#"{{"Service":"model","Address":"{server}","Zone":"hal-noord","Version":"v1","Slots":1,"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
        );
        store.put("servers", &format!("i-{number}"), &row);
    }
    store.put("op", "config", CONFIG);
    let host = Host::new(Path::new(folder), "front-1", MACHINE, store.address, duties);
    let mut host = host.map_err(|err| err.to_string())?;
    host.start()
        .map_err(|err| format!("agate-site does not start: {err}"))?;
    if !host.wait_ready(Duration::from_secs(20)) {
        return Err("the host is not ready".to_owned());
    }
    let over = Arc::new(AtomicBool::new(false));
    let front = host.front;
    press(
        front,
        REVIEW,
        Duration::from_millis(1_000),
        Duration::from_millis(2_500),
        &world,
        &over,
    );
    press(
        front,
        NOTE,
        Duration::from_millis(400),
        NOTES_AT,
        &world,
        &over,
    );
    let (usual_world, usual_over) = (world.clone(), over.clone());
    thread::spawn(move || {
        let mut pair = 0;
        while !usual_over.load(Ordering::Relaxed) {
            let at = USUAL_FROM + USUAL_INTERVAL * pair;
            thread::sleep(at.saturating_sub(usual_world.started.elapsed()));
            let is_in_hot_time = at >= HOT_AT && at < HOT_AT + HOT_FOR;
            for number in 0..USUAL {
                if is_hot && is_in_hot_time || usual_over.load(Ordering::Relaxed) {
                    break;
                }
                let (world, id) = (usual_world.clone(), format!("usual-{pair}-{number}"));
                thread::spawn(move || ask(front, QUERY, &id, &world));
            }
            pair += 1;
        }
    });
    if is_hot {
        thread::sleep(HOT_AT.saturating_sub(world.started.elapsed()));
        for number in 0..HOT {
            let world = world.clone();
            thread::spawn(move || ask(front, QUERY, &format!("hot-{number}"), &world));
            thread::sleep(Duration::from_millis(10));
        }
    }
    thread::sleep(END.saturating_sub(world.started.elapsed()));
    over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    if host.resident_kib().is_none() {
        return Err("the process has ended".to_owned());
    }
    let mut seen = world.seen.lock().unwrap();
    seen.sort_by_key(|seen| seen.sent);
    for seen in seen.iter() {
        let began = seen
            .began
            .map_or("never".to_owned(), |at| format!("{:.3}", at.as_secs_f64()));
        let line = format!(
            "{:8.3} {} began {began}: {}",
            seen.sent.as_secs_f64(),
            seen.kind,
            seen.answer
        );
        writeln!(record, "{line}").map_err(|err| err.to_string())?;
    }
    // Spans of five seconds after the hot time, with no server in impairment.
    let calm = HOT_AT + HOT_OVER;
    let mut worst = (0, 0, 0);
    let mut from = calm;
    while from + SPAN <= END {
        let within = |at: Duration| at >= from && at < from + SPAN;
        let notes = seen
            .iter()
            .filter(|seen| seen.kind == "note" && within(seen.sent));
        let (mut asked, mut nothing) = (0, 0);
        for seen in notes {
            asked += 1;
            nothing += usize::from(seen.answer != "200");
        }
        let less_urgent = seen
            .iter()
            .filter(|seen| seen.kind == "review" && seen.began.is_some_and(within))
            .count();
        if nothing >= worst.1 && less_urgent > 0 {
            worst = (asked, nothing, less_urgent);
        }
        from += Duration::from_millis(500);
    }
    let mut answers: BTreeMap<(&str, &str, &str), usize> = BTreeMap::new();
    for seen in seen.iter() {
        let when = if seen.sent < calm {
            "until the hot time is over"
        } else {
            "after it"
        };
        *answers.entry((when, seen.kind, &seen.answer)).or_default() += 1;
    }
    for ((when, kind, answer), count) in &answers {
        let line = format!("{when}, kind {kind}, answer {answer}: {count}");
        println!("{line}");
        writeln!(record, "{line}").map_err(|err| err.to_string())?;
    }
    let (asked, nothing, less_urgent) = worst;
    let line = format!(
        "worst five seconds after the hot time: {nothing} of {asked} notes got nothing while {less_urgent} reviews began"
    );
    println!("{line}");
    writeln!(record, "{line}").map_err(|err| err.to_string())?;
    Ok(nothing >= 10 && nothing * 12 > asked && less_urgent > 0)
}
