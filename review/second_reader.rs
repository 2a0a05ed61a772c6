//! The host from which the others of its zone read is cut off from the store, just before a new configuration.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::moved::{ask, config, serve};
use crate::platform::{Gate, Host, Machine, Store, listen, start_receiver};

const MACHINE: Machine = Machine {
    memory_mb: 110,
    descriptors: 4100,
};
/// Hosts of the site, here in one zone; the first one by name reads for all.
const HOSTS: usize = 8;
/// Cuts at most, their length, and the time from one to the next.
const CUTS: u64 = 8;
const CUT: Duration = Duration::from_millis(5_000);
const PERIOD: Duration = Duration::from_millis(11_000);
/// Time from the begin of a cut to the new configuration.
const CONFIG_AFTER: Duration = Duration::from_millis(100);
/// Cuts that broke the rule after which the run ends.
const ENOUGH: u64 = 3;
/// `ConfigApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(2_000);

/// What was seen of one request.
struct Seen {
    sent: Duration,
    host: usize,
    service: String,
}

fn service_of(version: u64) -> &'static str {
    if version % 2 == 0 { "first" } else { "second" }
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &str, record: &str) -> Result<bool, String> {
    let has_cuts = std::env::var("TROUBLE").as_deref() != Ok("0");
    let text = |err: std::io::Error| err.to_string();
    let mut record = File::create(record).map_err(text)?;
    let store = Store::start().map_err(text)?;
    let duties = start_receiver().map_err(text)?;
    for service in ["first", "second"] {
        for number in 1..=2 {
            let server = listen(move |stream| serve(stream, service)).map_err(text)?;
            let row = format!(
                r#"{{"Service":"{service}","Address":"{server}","Zone":"hal-noord","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
            );
            store.put("servers", &format!("i-{service}-{number}"), &row);
        }
    }
    let mut version = 100;
    store.put("op", "config", &config(version, service_of(version)));
    let mut hosts = Vec::new();
    let mut gates = Vec::new();
    for number in 1..=HOSTS {
        let gate = Gate::start(store.address).map_err(text)?;
        let name = format!("front-{number}");
        let mut host =
            Host::new(Path::new(folder), &name, MACHINE, gate.address, duties).map_err(text)?;
        host.start()
            .map_err(|err| format!("agate-site does not start: {err}"))?;
        hosts.push(host);
        gates.push(gate);
    }
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", host.name));
        }
    }
    let started = Instant::now();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let (front, seen, over) = (host.front, seen.clone(), over.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                let sent = started.elapsed();
                if let Ok((status, service)) = ask(front, "/lookup/a", &format!("{index}-{number}"))
                    && status == "200"
                {
                    seen.lock().unwrap().push(Seen {
                        sent,
                        host: index,
                        service,
                    });
                }
                number += 1;
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    // Heartbeats and the choice of the reader settle.
    let mut next = Duration::from_secs(8);
    let mut broken = 0;
    let mut lines = Vec::new();
    for cut in 1..=CUTS {
        thread::sleep(next.saturating_sub(started.elapsed()));
        next += PERIOD;
        let from = started.elapsed();
        if has_cuts {
            gates[0].set_silent(true);
        }
        thread::sleep(CONFIG_AFTER);
        version += 1;
        store.put("op", "config", &config(version, service_of(version)));
        let acked = started.elapsed();
        thread::sleep((from + CUT).saturating_sub(started.elapsed()));
        gates[0].set_silent(false);
        thread::sleep(Duration::from_millis(500));
        let seen = seen.lock().unwrap();
        let old = service_of(version - 1);
        let mut latest: BTreeMap<usize, Duration> = BTreeMap::new();
        for seen in seen
            .iter()
            .filter(|seen| seen.host > 0 && seen.sent > acked && seen.service == old)
        {
            let last = latest.entry(seen.host).or_default();
            *last = (*last).max(seen.sent - acked);
        }
        let late = latest.values().filter(|last| **last > APPLY).count();
        broken += u64::from(late > 0);
        let worst = latest.values().max().copied().unwrap_or_default();
        lines.push(format!(
            "cut {cut} at {:.3} s, version {version} acknowledged at {:.3} s: the last request run by the older service was sent \
             {:.3} s after the ack; {late} of {} hosts that were not cut off later than 2 s",
            from.as_secs_f64(),
            acked.as_secs_f64(),
            worst.as_secs_f64(),
            HOSTS - 1
        ));
        drop(seen);
        if broken >= ENOUGH {
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for host in &mut hosts {
        if host.resident_kib().is_none() {
            return Err(format!("{} has ended", host.name));
        }
    }
    let mut seen = seen.lock().unwrap();
    seen.sort_by_key(|seen| seen.sent);
    for seen in seen.iter() {
        writeln!(
            record,
            "{:8.3} front-{}: 200 {}",
            seen.sent.as_secs_f64(),
            seen.host + 1,
            seen.service
        )
        .map_err(text)?;
    }
    for line in &lines {
        println!("{line}");
        writeln!(record, "{line}").map_err(text)?;
    }
    Ok(broken > 0)
}
