//! Tables handed on between the hosts of a zone.

mod support;

use std::time::Duration;

use support::{Bench, Server, Step, ask, status};
use tokio::time::sleep;

const FINE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

async fn three() -> (Server, [Bench; 3]) {
    let server = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let one = Bench::start(&[&server]).await;
    let two = one.beside("two").await;
    let three = one.beside("three").await;
    // Every host reads each other's row.
    sleep(Duration::from_millis(4500)).await;
    (server, [one, two, three])
}

fn calls(bench: &Bench, table: &str) -> usize {
    bench.store.calls.borrow().get(table).copied().unwrap_or(0)
}

/// Each host asked the store for each table: on 59 hosts 200 calls a second, a tenth of the worth.
#[actix_rt::test]
async fn one_host_of_a_zone_asks_the_store_for_all() {
    let (_server, benches) = three().await;
    let before = calls(&benches[0], "endpoints");
    sleep(Duration::from_secs(4)).await;
    let asked = calls(&benches[0], "endpoints") - before;
    // One host asks every 0.9 s.
    assert!((3..=7).contains(&asked), "{asked} calls in 4 s by 3 hosts");
}

#[actix_rt::test]
async fn an_endpoint_that_leaves_gets_no_new_work_from_any_host_of_the_zone() {
    let (server, benches) = three().await;
    let other = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let store = &benches[0].store;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1500)).await;
    for bench in &benches {
        assert_eq!(status(&bench.call(&ask("read", "r", "")).await), "200");
    }
    assert_eq!((server.count(), other.count()), (0, 3));
}

/// The reader ends: the others ask the store within the time that a leaving endpoint allows.
#[actix_rt::test]
async fn hosts_whose_reader_is_gone_ask_the_store() {
    let (server, benches) = three().await;
    // The first host by name reads for the others.
    let [reader, three, two] = {
        let mut benches = benches;
        benches.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
        benches
    };
    let store = reader.store.clone();
    let closing = actix_rt::spawn(reader.program.close());
    sleep(Duration::from_millis(300)).await;
    let other = Server::start(vec![vec![Step::Write(FINE)]]).await;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1800)).await;
    for bench in [&two, &three] {
        assert_eq!(status(&bench.call(&ask("read", "r", "")).await), "200");
    }
    assert_eq!((server.count(), other.count()), (0, 2));
    closing.abort();
}
