//! The store gets another address: the settings of all hosts name it, and each gets SIGHUP.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Forwarder, Host, Machine, Store, listen, read_request, start_receiver};

const MACHINE: Machine = Machine {
    memory_mb: 110,
    descriptors: 4100,
};
const HOSTS: usize = 3;

/// Times from the start of the requests.
const SETTINGS_AT: Duration = Duration::from_secs(5);
/// The former address answers for ten seconds more.
const FORMER_CLOSED_AT: Duration = Duration::from_secs(15);
/// The operator sends a new configuration; `ContactMs` has passed since the address was closed.
const CONFIG_AT: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(40);
/// `ConfigApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(2_000);

/// A configuration that sends the requests of the public route to a service.
pub fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"Version":{version},
"Routes":[{{"Name":"lookup","Host":"h.example","PathPrefix":"/lookup/","Kind":"safe","TimeoutMs":2000,
"TargetLatencyMs":300,"Priority":2,"Service":"{service}","MaxAttempts":2,"Public":true}},
{{"Name":"booking","Host":"h.example","PathPrefix":"/booking/","Kind":"unsafe","TimeoutMs":2000,
"TargetLatencyMs":300,"Priority":2,"Service":"second","MaxAttempts":1,"Public":false}}],
"Services":[{{"Name":"first","HealthPath":"/health","MaxConnections":110}},{{"Name":"second","HealthPath":"/health","MaxConnections":110}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"workshop","ApiKeys":["key-of-the-workshop"],"Priority":1}}]}}"#
    )
}

/// What was seen of one request.
struct Seen {
    sent: Duration,
    host: String,
    path: &'static str,
    status: String,
    service: String,
}

/// A sound server, which names its service in its answer.
pub fn serve(stream: TcpStream, service: &str) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        thread::sleep(Duration::from_millis(60));
        let id = request
            .headers
            .get("agatebridge-request-id")
            .cloned()
            .unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Server-Stamp: s\r\nX-Service: {service}\r\n\
             Content-Length: 2\r\n\r\nok"
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request over a connection of its own; returns its status and the service that ran it.
pub fn ask(address: SocketAddr, path: &str, id: &str) -> std::io::Result<(String, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAgatebridge-Request-Id: {id}\r\nAgatebridge-Deadline-Ms: 4000\r\n\
         Authorization: Token key-of-the-workshop\r\n\r\n"
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
    let mut service = String::new();
    while !line.trim_end().is_empty() {
        if let Some(name) = line.to_ascii_lowercase().strip_prefix("x-service:") {
            service = name.trim().to_owned();
        }
        line.clear();
        reader.read_line(&mut line)?;
    }
    Ok((status, service))
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &str, record: &str) -> Result<bool, String> {
    let is_moved = std::env::var("TROUBLE").as_deref() != Ok("0");
    let text = |err: std::io::Error| err.to_string();
    let mut record = File::create(record).map_err(text)?;
    let store = Store::start().map_err(text)?;
    let former = Forwarder::start(store.address).map_err(text)?;
    let present = Forwarder::start(store.address).map_err(text)?;
    let duties = start_receiver().map_err(text)?;
    for service in ["first", "second"] {
        for number in 1..=2 {
            let server = listen(move |stream| serve(stream, service)).map_err(text)?;
            let row = format!(
                r#"{{"Service":"{service}","Address":"{server}","Zone":"hal-noord","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
            );
            store.put("servers", &format!("i-{service}-{number}"), &row);
        }
    }
    store.put("op", "config", &config(7, "first"));
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let name = format!("front-{number}");
        let mut host =
            Host::new(Path::new(folder), &name, MACHINE, former.address, duties).map_err(text)?;
        host.start()
            .map_err(|err| format!("agate-site does not start: {err}"))?;
        hosts.push(host);
    }
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", host.name));
        }
    }
    let started = Instant::now();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut clients = Vec::new();
    for host in &hosts {
        for path in ["/lookup/a", "/booking/a"] {
            let (front, host, seen) = (host.front, host.name.clone(), seen.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while started.elapsed() < END {
                    let sent = started.elapsed();
                    let id = format!("{host}-{}-{number}", &path[1..5]);
                    let answer = ask(front, path, &id);
                    let (status, service) = answer.unwrap_or_else(|err| {
                        (format!("no answer: {}", err.kind()), String::new())
                    });
                    seen.lock().unwrap().push(Seen {
                        sent,
                        host: host.clone(),
                        path,
                        status,
                        service,
                    });
                    number += 1;
                    thread::sleep(Duration::from_millis(200));
                }
            }));
        }
    }
    let wait = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    wait(SETTINGS_AT);
    for host in &hosts {
        let address = if is_moved {
            present.address
        } else {
            former.address
        };
        host.write_settings(address, duties).map_err(text)?;
        host.signal("HUP").map_err(text)?;
    }
    wait(FORMER_CLOSED_AT);
    if is_moved {
        former.close();
    }
    wait(CONFIG_AT);
    store.put("op", "config", &config(8, "second"));
    let acked = started.elapsed();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    for host in &mut hosts {
        if host.resident_kib().is_none() {
            return Err(format!("{} has ended", host.name));
        }
    }
    let mut seen = seen.lock().unwrap();
    seen.sort_by_key(|seen| seen.sent);
    let mut counts: BTreeMap<(&str, &str, String), usize> = BTreeMap::new();
    let mut late = 0;
    for seen in seen.iter() {
        let is_late = seen.sent > acked + APPLY && seen.service == "first";
        late += usize::from(is_late);
        let mark = if is_late { " by an older version" } else { "" };
        let line = format!(
            "{:8.3} {} {}: {} {}{mark}",
            seen.sent.as_secs_f64(),
            seen.host,
            seen.path,
            seen.status,
            seen.service
        );
        writeln!(record, "{line}").map_err(text)?;
        let when = match seen.sent {
            sent if sent < SETTINGS_AT => "1 before SIGHUP",
            sent if sent < FORMER_CLOSED_AT => "2 both addresses answer",
            sent if sent <= acked + APPLY => "3 one address answers",
            _ => "4 from 2 s after the new version",
        };
        *counts
            .entry((when, seen.path, format!("{} {}", seen.status, seen.service)))
            .or_default() += 1;
    }
    for ((when, path, answer), count) in &counts {
        let line = format!("{when}: {path} {answer}: {count}");
        println!("{line}");
        writeln!(record, "{line}").map_err(text)?;
    }
    println!(
        "{late} requests run by the service of the older version later than 2 s after the newer one was acknowledged"
    );
    Ok(late > 0)
}
