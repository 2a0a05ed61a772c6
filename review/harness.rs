//! Runs the cases of the review: `harness CASE FOLDER`. The record goes to FOLDER/record.txt. Exits with 1
//! if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod cases;
mod http;
mod json;
mod platform;
mod server;
mod site;

use std::path::Path;
use std::time::Duration;

/// Time after which a case is ended.
const LIMIT: Duration = Duration::from_secs(116);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "server") {
        server::run(&arguments[1..]);
    }
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    // A case must not hang, and must leave no process behind.
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("not run: no end after {LIMIT:?}");
        site::end_children();
        std::process::exit(2);
    });
    let status = std::panic::catch_unwind(|| cases::run(case, trouble, Path::new(folder)));
    site::end_children();
    std::process::exit(status.unwrap_or(2));
}
