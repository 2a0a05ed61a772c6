//! The cases: what is sent, and the check of the rule.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Channel, End, header};
use crate::server::{BAD_PART, report_of};
use crate::site::{Route, Service, Site, note, now_ms, request};

/// Result of a case.
enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// Runs a case and returns the exit status.
pub fn run(case: &str, trouble: bool, folder: &Path) -> i32 {
    let (site, verdict) = match case {
        "early" => early(trouble),
        "unsigned" => unsigned(trouble),
        "extra" => extra(trouble),
        "repeat" => repeat(trouble),
        "reader" => reader(trouble),
        "poison" => poison(trouble),
        other => {
            eprintln!("no case {other}");
            return 2;
        }
    };
    site.close();
    let (status, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    site.record.add(&text);
    println!("{text}");
    match site.record.write(&folder.join("record.txt")) {
        Ok(()) => status,
        Err(err) => {
            eprintln!("no record: {err}");
            2
        }
    }
}

fn plain_route(name: &'static str, kind: &'static str) -> Route {
    Route {
        name,
        kind,
        service: "floor-app",
        attempts: 1,
        timeout_ms: 4000,
        target_ms: 500,
        resumable: false,
        is_public: false,
    }
}

const PLAIN: Service = Service {
    name: "floor-app",
    engine_slots: 0,
};

/// Sends one request on a channel and records it.
fn ask(
    site: &Site,
    node: usize,
    channel: &mut Channel,
    id: &str,
    head: &str,
    body: &[u8],
) -> Answer {
    let sent_at = now_ms();
    let answer = channel.send(head, body, Duration::from_millis(4000));
    note(&site.record, &site.nodes[node], id, sent_at, &answer);
    answer
}

/// A server that crashes in the middle of an answer without a length that it gave before the body was
/// in: the reset must not look like the end.
fn early(trouble: bool) -> (Arc<Site>, Verdict) {
    let routes = [plain_route("report", "unsafe")];
    let mut site = Site::start(2, 2, &[PLAIN], &routes);
    for _ in 0..6 {
        site.add_server(
            "floor-app",
            6,
            if trouble {
                &["early", "crash"]
            } else {
                &["early"]
            },
        );
    }
    let site = Arc::new(site);
    site.restart_servers(Duration::from_millis(2_500));
    if !site.wait_ready() {
        return (site, Verdict::NotRun("the nodes are not ready".to_owned()));
    }
    let body = vec![b'x'; 3_000_000];
    let (mut whole, mut truncated, mut failed) = (0, Vec::new(), 0);
    for number in 0..80 {
        // One request in three seconds meets the crash of its server, so one server of six is down.
        let id = format!("{}{number:015x}", if number % 3 == 2 { 'c' } else { 'a' });
        let node = number / 3 % 2;
        let mut channel = Channel::new(site.nodes[node].front);
        let head = request("POST", "report", &id, 4000, "", body.len());
        let answer = ask(&site, node, &mut channel, &id, &head, &body);
        let is_success = answer.end == End::Complete && (200..300).contains(&answer.status);
        if !is_success {
            failed += 1;
        } else if answer.body == report_of(&id).as_bytes() {
            whole += 1;
        } else {
            truncated.push(format!(
                "{id} ({} of {} bytes)",
                answer.body.len(),
                report_of(&id).len()
            ));
        }
        thread::sleep(Duration::from_millis(1000));
    }
    let text = format!(
        "{whole} whole answers, {failed} without success, {} truncated successes: {}",
        truncated.len(),
        truncated.join(", ")
    );
    let verdict = match truncated.is_empty() {
        false => Verdict::Broken(text),
        true if whole < 40 => Verdict::NotRun(text),
        true => Verdict::Held(text),
    };
    (site, verdict)
}

/// Sends requests to a plain service for 45 seconds, with four clients a node that keep their channels.
/// Returns what each got: id, answer, and whether its channel was a kept one.
fn plain_traffic(site: &Arc<Site>) -> Vec<(String, Answer, bool)> {
    let until = Instant::now() + Duration::from_secs(45);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients = (0..8).map(|client| {
        let (site, answers) = (site.clone(), answers.clone());
        thread::spawn(move || {
            let node = client % 2;
            let mut channel = Channel::new(site.nodes[node].front);
            let mut number = 0;
            while Instant::now() < until {
                let id = format!("{client:x}{number:015x}");
                let head = request("GET", "lookup", &id, 4000, "", 0);
                let answer = ask(&site, node, &mut channel, &id, &head, b"");
                answers
                    .lock()
                    .expect("no panic")
                    .push((id, answer, channel.was_kept));
                number += 1;
                thread::sleep(Duration::from_millis(15));
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    let answers = answers.lock().expect("no panic");
    answers.clone()
}

/// Starts two nodes and servers of a plain service. The first `garbled` of them have `option`; the others
/// fail one request in seven, as servers of safe requests do on the users' sheets.
fn plain_site(
    servers: usize,
    garbled: usize,
    option: &str,
) -> Result<Arc<Site>, (Arc<Site>, Verdict)> {
    let routes = [Route {
        attempts: 2,
        ..plain_route("lookup", "safe")
    }];
    let mut site = Site::start(2, 2, &[PLAIN], &routes);
    let start = format!("start={}", now_ms());
    for number in 0..servers {
        match number < garbled {
            true => site.add_server("floor-app", 6, &["plain", option, &start]),
            false => site.add_server("floor-app", 6, &["plain", "errors=7"]),
        }
    }
    let site = Arc::new(site);
    match site.wait_ready() {
        true => Ok(site),
        false => Err((site, Verdict::NotRun("the nodes are not ready".to_owned()))),
    }
}

fn is_success(answer: &Answer) -> bool {
    answer.end == End::Complete && (200..300).contains(&answer.status)
}

/// One server of three hands out wrong bytes in one answer of fifty, here in the header with the proof.
fn unsigned(trouble: bool) -> (Arc<Site>, Verdict) {
    let site = match plain_site(3, usize::from(trouble), "unsigned=50") {
        Ok(site) => site,
        Err(result) => return result,
    };
    let answers = plain_traffic(&site);
    let is_signed = |answer: &Answer| header(&answer.headers, "agatebridge-server-stamp").is_some();
    let successes = answers.iter().filter(|(_, answer, _)| is_success(answer));
    let (signed, unsigned): (Vec<_>, Vec<_>) =
        successes.partition(|(_, answer, _)| is_signed(answer));
    let ids: Vec<&str> = unsigned.iter().map(|(id, _, _)| id.as_str()).collect();
    let text = format!(
        "{} successes with proof, {} without: {}",
        signed.len(),
        ids.len(),
        ids.join(", ")
    );
    let verdict = match ids.is_empty() {
        false => Verdict::Broken(text),
        true if signed.len() < 1000 => Verdict::NotRun(text),
        true => Verdict::Held(text),
    };
    (site, verdict)
}

/// Three servers of five send, now and then, a second copy of the answer before, without a length, where
/// the next answer is due. Counted are only requests that had been at one of the other two servers, which
/// do nothing wrong.
fn extra(trouble: bool) -> (Arc<Site>, Verdict) {
    let site = match plain_site(5, if trouble { 3 } else { 0 }, "extra=34") {
        Ok(site) => site,
        Err(result) => return result,
    };
    let answers = plain_traffic(&site);
    let served = answers
        .iter()
        .filter(|(_, answer, _)| is_success(answer))
        .count();
    let events = site.events.lock().expect("no panic").clone();
    let is_sound = |server: &str| {
        !["i-0-", "i-1-", "i-2-"]
            .iter()
            .any(|id| server.starts_with(id))
    };
    let reached = events.iter().filter(|event| event.kind == "reached");
    let mut reached_sound = HashMap::new();
    for event in reached {
        *reached_sound.entry(event.request.as_str()).or_insert(false) |= is_sound(&event.server);
    }
    let closed = answers
        .iter()
        .filter(|(_, answer, was_kept)| answer.end == End::NoAnswer && *was_kept);
    let passed_on: Vec<bool> = closed
        .filter_map(|(id, _, _)| reached_sound.get(id.as_str()).copied())
        .collect();
    let lost = passed_on.iter().filter(|is_sound| **is_sound).count();
    let panics: usize = (0..2)
        .map(|node| site.log(node).matches("panicked at").count())
        .sum();
    let text = format!(
        "{served} of {} served; {} requests of kept channels were passed on and their channel closed \
         without an answer, {lost} of them passed on to a sound server too; {panics} panics in the logs",
        answers.len(),
        passed_on.len(),
    );
    let verdict = match lost {
        4.. => Verdict::Broken(text),
        _ if served < 1000 => Verdict::NotRun(text),
        _ => Verdict::Held(text),
    };
    (site, verdict)
}

/// The operator's write of a version is done, its answer is lost, and the operator, which has no
/// acknowledgement, sends the same write again. Without the disruption it gets its answer at once.
fn repeat(trouble: bool) -> (Arc<Site>, Verdict) {
    let first = || Route {
        is_public: true,
        ..plain_route("lookup", "safe")
    };
    let mut site = Site::start(2, 2, &[PLAIN], &[first()]);
    for _ in 0..3 {
        site.add_server("floor-app", 6, &["plain"]);
    }
    let site = Arc::new(site);
    if !site.wait_ready() {
        return (site, Verdict::NotRun("the nodes are not ready".to_owned()));
    }
    let routes = [first(), plain_route("quote", "safe")];
    if trouble {
        site.store.lose_answer();
    }
    site.configure(7, &[PLAIN], &routes);
    // Steady state: long after the last write.
    thread::sleep(Duration::from_secs(10));
    let mut served = [0, 0];
    for number in 0..200 {
        let id = format!("{number:016x}");
        let node = number % 2;
        let route = ["lookup", "quote"][number / 2 % 2];
        let mut channel = Channel::new(site.nodes[node].front);
        let answer = ask(
            &site,
            node,
            &mut channel,
            &id,
            &request("GET", route, &id, 4000, "", 0),
            b"",
        );
        served[number / 2 % 2] += u32::from(is_success(&answer));
        thread::sleep(Duration::from_millis(100));
    }
    let text = format!(
        "served of 100: {} on the first route, {} on the route that was added",
        served[0], served[1]
    );
    let verdict = match served {
        [first, added] if first >= 50 && added * 4 < first => Verdict::Broken(text),
        [first, _] if first < 50 => Verdict::NotRun(text),
        _ => Verdict::Held(text),
    };
    (site, verdict)
}

/// The reader of a zone loses the store without a sign, just before the operator moves a route to another
/// service.
fn reader(trouble: bool) -> (Arc<Site>, Verdict) {
    let (nodes, zones) = (8, 1);
    let services = || {
        [
            Service {
                name: "old-app",
                engine_slots: 0,
            },
            Service {
                name: "new-app",
                engine_slots: 0,
            },
        ]
    };
    let route = |service| {
        [Route {
            service,
            ..plain_route("lookup", "safe")
        }]
    };
    let mut site = Site::start(nodes, zones, &services(), &route("old-app"));
    for service in ["old-app", "new-app"] {
        site.add_server(service, 6, &["plain"]);
        site.add_server(service, 6, &["plain"]);
    }
    let site = Arc::new(site);
    if !site.wait_ready() {
        return (site, Verdict::NotRun("the nodes are not ready".to_owned()));
    }
    let until = Instant::now() + Duration::from_secs(84);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients = (zones..nodes).map(|node| {
        let (site, sent) = (site.clone(), sent.clone());
        thread::spawn(move || {
            let mut channel = Channel::new(site.nodes[node].front);
            let mut number = 0;
            while Instant::now() < until {
                let id = format!("{node:x}{number:015x}");
                let head = request("GET", "lookup", &id, 4000, "", 0);
                sent.lock().expect("no panic").push((id.clone(), now_ms()));
                ask(&site, node, &mut channel, &id, &head, b"");
                number += 1;
                thread::sleep(Duration::from_millis(30));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut acks = Vec::new();
    thread::sleep(Duration::from_millis(250));
    for change in 0..2 {
        if trouble {
            site.record
                .add("the link between front-1 and the store is cut");
            site.nodes[0].store.set_cut(true);
        }
        thread::sleep(Duration::from_millis(50));
        let service = ["new-app", "old-app"][change % 2];
        site.configure(10 + change as u32, &services(), &route(service));
        acks.push((now_ms(), service));
        thread::sleep(Duration::from_millis(5450));
        site.nodes[0].store.set_cut(false);
        thread::sleep(Duration::from_secs(36));
    }
    for client in clients {
        let _ = client.join();
    }
    let sent: HashMap<String, u128> = sent.lock().expect("no panic").iter().cloned().collect();
    let events = site.events.lock().expect("no panic").clone();
    let mut late = Vec::new();
    for (index, (ack, service)) in acks.iter().enumerate() {
        let end = acks.get(index + 1).map_or(u128::MAX, |(ack, _)| *ack);
        let is_old = |server: &str| {
            let is_old_app = server.starts_with("i-0-") || server.starts_with("i-1-");
            is_old_app != (*service == "old-app")
        };
        let runs = events
            .iter()
            .filter(|event| event.kind == "runs" && is_old(&event.server));
        let delays = runs.filter_map(|event| {
            let at = *sent.get(&event.request)?;
            (at > *ack && at < end).then(|| at - ack)
        });
        let delays: Vec<u128> = delays.collect();
        let last = delays.iter().max().copied().unwrap_or(0);
        late.push((last, delays.iter().filter(|delay| **delay > 2000).count()));
    }
    let count: usize = late.iter().map(|(_, count)| count).sum();
    let last: Vec<String> = late.iter().map(|(last, _)| last.to_string()).collect();
    let text = format!(
        "{count} requests sent later than 2 s after the ack were run by the old service; last ones after ms: {}",
        last.join(", ")
    );
    match count {
        0 => (site, Verdict::Held(text)),
        _ => (site, Verdict::Broken(text)),
    }
}

const ENGINE: Service = Service {
    name: "smith-llm",
    engine_slots: 64,
};

fn stream_route() -> Route {
    Route {
        name: "draft",
        kind: "streaming",
        service: "smith-llm",
        attempts: 1,
        timeout_ms: 5000,
        target_ms: 1200,
        resumable: false,
        is_public: false,
    }
}

/// Returns the head of a request to an engine with these parts of the prompt.
fn prompt(id: &str, parts: &[String]) -> String {
    let list: Vec<String> = parts.iter().map(|part| format!("{part}:400")).collect();
    let tokens = 400 * parts.len();
    let more = format!(
        "Agatebridge-Model: m\r\nAgatebridge-Token-Counts: {tokens},80\r\nAgatebridge-Prompt-Prefix: {}\r\n",
        list.join(",")
    );
    request("POST", "draft", id, 5000, &more, 2)
}

/// A request each second has a part that crashes servers, among sound ones of eight clients. The streams
/// have neither a length nor chunks, unless the variable `FRAMED` is set: then the crash of a server ends
/// the channel inside a chunk.
fn poison(trouble: bool) -> (Arc<Site>, Verdict) {
    let mut site = Site::start(2, 2, &[ENGINE], &[stream_route()]);
    let mut arguments = vec!["engine"];
    if std::env::var_os("FRAMED").is_none() {
        arguments.push("open");
    }
    if trouble {
        arguments.push("crash");
    }
    for _ in 0..4 {
        site.add_server("smith-llm", 64, &arguments);
    }
    let site = Arc::new(site);
    site.restart_servers(Duration::from_secs(3));
    if !site.wait_ready() {
        return (site, Verdict::NotRun("the nodes are not ready".to_owned()));
    }
    let until = Instant::now() + Duration::from_secs(60);
    let served = Arc::new(Mutex::new((0_u32, 0_u32)));
    let mut clients = Vec::new();
    for client in 0..8 {
        let (site, served) = (site.clone(), served.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis((client * 37 % 1000) as u64));
            let mut number = 0;
            while Instant::now() < until {
                let id = format!("a{client:05x}{number:010x}");
                let node = client % 2;
                let parts = [
                    format!("5c1e07a{}", client % 4),
                    format!("91bd{:04x}", client % 23),
                    id.clone(),
                ];
                let mut channel = Channel::new(site.nodes[node].front);
                let answer = ask(&site, node, &mut channel, &id, &prompt(&id, &parts), b"{}");
                let is_served = answer.end == End::Complete && answer.status == 200;
                {
                    let mut served = served.lock().expect("no panic");
                    match is_served {
                        true => served.0 += 1,
                        false => served.1 += 1,
                    }
                }
                if !is_served {
                    thread::sleep(Duration::from_millis(300));
                }
                number += 1;
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let mut number = 0;
    let mut bad = Vec::new();
    while Instant::now() < until {
        let id = format!("b{number:015x}");
        let node = number % 2;
        let site = site.clone();
        bad.push(thread::spawn(move || {
            let parts = [
                format!("5c1e07a{}", number % 4),
                BAD_PART.to_owned(),
                id.clone(),
            ];
            let mut channel = Channel::new(site.nodes[node].front);
            ask(&site, node, &mut channel, &id, &prompt(&id, &parts), b"{}");
        }));
        number += 1;
        thread::sleep(Duration::from_millis(1000));
    }
    for client in clients.into_iter().chain(bad) {
        let _ = client.join();
    }
    let events = site.events.lock().expect("no panic").clone();
    let mut crashes: Vec<u128> = events
        .iter()
        .filter(|event| event.kind == "crashes")
        .map(|event| event.at)
        .collect();
    crashes.sort_unstable();
    let (served, failed) = *served.lock().expect("no panic");
    let Some(fifth) = crashes.get(4) else {
        let text = format!(
            "{} crashes, {served} sound requests served, {failed} not",
            crashes.len()
        );
        let verdict = match crashes.is_empty() && (trouble || served < 50) {
            true => Verdict::NotRun(text),
            false => Verdict::Held(text),
        };
        return (site, verdict);
    };
    let is_counted = |event: &&crate::site::Event| {
        event.kind == "reached" && event.request.starts_with('b') && event.at > fifth + 3000
    };
    let reached = events.iter().filter(is_counted).count();
    let text = format!(
        "{} crashes; {reached} requests with the bad part reached servers later than 3 s after the fifth crash; {number} were sent; {served} sound requests served, {failed} not",
        crashes.len()
    );
    match reached {
        4.. => (site, Verdict::Broken(text)),
        _ => (site, Verdict::Held(text)),
    }
}
