//! Stand-ins and clients of the review's scripts: the platform's store, its receiver of duties, servers and
//! clients, all on loopback addresses. Standard library only.

#[path = "second_crowd.rs"]
mod crowd;
#[path = "second_json.rs"]
mod json;
#[path = "second_moved.rs"]
mod moved;
#[path = "second_platform.rs"]
mod platform;
#[path = "second_reader.rs"]
mod reader;
#[path = "second_tier.rs"]
mod tier;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let broken = match args.get(1).map(String::as_str) {
        Some("crowd") => crowd::run(&args[2], &args[3]),
        Some("moved") => moved::run(&args[2], &args[3]),
        Some("reader") => reader::run(&args[2], &args[3]),
        Some("tier") => tier::run(&args[2], &args[3]),
        Some("crowd-sender") => crowd::send(&args[2]),
        _ => Err("usage: stand CASE FOLDER RECORD".to_owned()),
    };
    match broken {
        Ok(false) => exit(0),
        Ok(true) => exit(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            exit(2)
        }
    }
}
