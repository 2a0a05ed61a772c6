//! Requests whose prompt crashes the endpoints that answer it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use support::fragile::{Fleet, Form};
use support::{Harness, status};
use tokio::time::{Instant, sleep};

/// Time within which all hosts know what one of them has seen.
const CONTACT: Duration = Duration::from_secs(3);
/// Interval between two requests at a host.
const INTERVAL: Duration = Duration::from_millis(60);

/// Returns a request whose prompt has these parts.
fn prompt(route: &str, id: &str, parts: &str) -> String {
    let request = support::request(route, id, "body");
    request.replacen("\r\n", &format!("\r\nx-parts: {parts}\r\n"), 1)
}

/// Sends prompts to the hosts in turn for `time`, every third with the part `bad`. Returns the statuses
/// of the sound ones, with the times at which they were sent.
async fn play(hosts: &[Rc<Harness>], route: &str, time: Duration) -> Vec<(Instant, String)> {
    let start = Instant::now();
    let mut tasks = Vec::new();
    let mut n = 0;
    while start.elapsed() < time {
        let host = hosts[n % hosts.len()].clone();
        let is_bad = n % 3 == 0;
        let parts = match is_bad {
            true => format!("first,other,bad,own{n}"),
            false => format!("first,other,own{n}"),
        };
        let request = prompt(route, &format!("r{n}"), &parts);
        let sent = Instant::now();
        let call = async move { (is_bad, sent, status(&host.call(&request).await).to_owned()) };
        tasks.push(actix_rt::spawn(call));
        n += 1;
        sleep(INTERVAL).await;
    }
    let mut sound = Vec::new();
    for task in tasks {
        let (is_bad, sent, status) = task.await.expect("the call should end");
        if !is_bad {
            sound.push((sent, status));
        }
    }
    sound
}

// Guards against: a part of a prompt that crashes endpoints is sent to one after the other, on all hosts,
// also if the end of the connection looks like that of a response without a length.
#[rstest]
#[case::chunked_before_the_first_event("talk", Form::CHUNKED)]
#[case::unframed_before_the_first_event("talk", Form::unframed(""))]
#[case::unframed_inside_an_event("talk", Form::unframed("id: 1\nda"))]
#[case::unframed_at_an_event_border("talk", Form::unframed("id: 1\ndata\n\n"))]
#[case::unframed_inside_a_resumable_event("draft", Form::unframed("id: 1\nda"))]
#[case::unframed_without_a_stream("read", Form::unframed("id"))]
#[case::unframed_without_a_body("read", Form::unframed(""))]
#[actix_rt::test]
async fn a_part_that_crashes_endpoints_is_sent_to_no_further_one(
    #[case] route: &'static str,
    #[case] form: Form,
) {
    let store = Harness::store(&[]);
    let fleet = Fleet::start(store.clone(), 6, "bad", form).await;
    let mut hosts = Vec::new();
    for name in ["one", "two", "three"] {
        hosts.push(Rc::new(
            Harness::start_in(store.clone(), name.to_owned()).await,
        ));
    }
    let start = Instant::now();
    let sound = play(&hosts, route, Duration::from_secs(8)).await;
    let crashes = fleet.crashes.borrow();
    let late = crashes.get(4).map_or(0, |fifth| {
        let arrivals = fleet.arrivals.borrow();
        arrivals.iter().filter(|at| **at > *fifth + CONTACT).count()
    });
    assert!(
        late <= 3,
        "{late} requests came late, {} crashes",
        crashes.len()
    );
    let rested = sound
        .iter()
        .filter(|(sent, _)| *sent > start + Duration::from_secs(6));
    let statuses: Vec<&str> = rested.map(|(_, status)| status.as_str()).collect();
    let served = statuses.iter().filter(|status| **status == "200").count();
    assert!(served * 10 >= statuses.len() * 9, "{statuses:?}");
}
