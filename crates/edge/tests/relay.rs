//! Relay of tables between the hosts of a zone.

mod support;

use std::time::Duration;

use support::{Harness, Server, Step, request, status};
use tokio::time::sleep;

const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// Starts three hosts of one zone and waits until they know each other.
async fn start_zone() -> (Server, [Harness; 3]) {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let one = Harness::start(&[&server]).await;
    let two = one.start_peer("two").await;
    let three = one.start_peer("three").await;
    // Until then every host has read the rows of the others.
    sleep(Duration::from_millis(4500)).await;
    (server, [one, two, three])
}

/// Returns the number of feed calls for a table.
fn calls(harness: &Harness, table: &str) -> usize {
    harness
        .store
        .calls
        .borrow()
        .get(table)
        .copied()
        .unwrap_or(0)
}

/// Guards against each host reading each table from the store: 59 hosts made 200 calls a second, which
/// cost a tenth of the value earned.
#[actix_rt::test]
async fn one_host_of_a_zone_reads_the_store_for_all() {
    let (_server, harnesses) = start_zone().await;
    let before = calls(&harnesses[0], "endpoints");
    sleep(Duration::from_secs(4)).await;
    let reads = calls(&harnesses[0], "endpoints") - before;
    // One host reads every 0.9 s.
    assert!((3..=7).contains(&reads), "{reads} calls in 4 s by 3 hosts");
}

#[actix_rt::test]
async fn a_removed_endpoint_gets_no_new_work_from_any_host_of_the_zone() {
    let (server, harnesses) = start_zone().await;
    let other = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = &harnesses[0].store;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1500)).await;
    for harness in &harnesses {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
    assert_eq!((server.count(), other.count()), (0, 3));
}

/// The reader stops: the other hosts read the store soon enough to send a removed endpoint no new
/// work.
#[actix_rt::test]
async fn hosts_read_the_store_when_their_reader_stops() {
    let (server, harnesses) = start_zone().await;
    // The first host by name reads for the others.
    let [reader, three, two] = {
        let mut harnesses = harnesses;
        harnesses.sort_by(|left, right| left.settings.host.cmp(&right.settings.host));
        harnesses
    };
    let store = reader.store.clone();
    let closing = actix_rt::spawn(reader.program.close());
    sleep(Duration::from_millis(300)).await;
    let other = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    store.put("endpoints", "e1", Some(&other.address.to_string()));
    store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(1800)).await;
    for harness in [&two, &three] {
        assert_eq!(
            status(&harness.call(&request("read", "r", "")).await),
            "200"
        );
    }
    assert_eq!((server.count(), other.count()), (0, 2));
    closing.abort();
}
