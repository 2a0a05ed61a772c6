//! Stand-ins and clients of the review's scripts: the platform's store, its receiver of duties, servers and
//! clients, all on loopback addresses. Standard library only.

mod crowd;
mod json;
mod moved;
mod platform;
mod reader;
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
