//! The list of endpoints when the store returns from an older copy.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, request, status};
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const LEAVING: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\n\
                       content-length: 4\r\n\r\nfine";
const LIMITED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-limit: 1\r\n\
                       content-length: 4\r\n\r\nfine";
const PAUSED: &str = "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nretry-after: 20\r\n\
                      content-length: 0\r\n\r\n";
/// Time after which all hosts have read what the store has, also after its return.
const SETTLE_TIME: Duration = Duration::from_millis(1_700);
/// Time after which an endpoint is dropped that the copy lacks: the drain bound without its margin.
const HOLD_TIME: Duration = Duration::from_millis(1_700);
/// Time after which a row counts that is written again with no newer statement: the bounds of drain and
/// grace.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Endpoints `e0` and `e1`, and hosts that list them.
struct Zone {
    servers: [Server; 2],
    hosts: Vec<Harness>,
}

impl Zone {
    /// Starts `count` hosts of one zone, of which one reads the store if there are several.
    async fn start(count: usize) -> Self {
        Self::with_response(count, OK).await
    }

    /// Starts hosts of one zone, with an endpoint `e0` that always gives this response.
    async fn with_response(count: usize, response: &'static str) -> Self {
        let servers = [
            Server::start(vec![vec![Step::Write(response)]]).await,
            Server::start(vec![vec![Step::Write(OK)]]).await,
        ];
        let store = Harness::store(&[&servers[0], &servers[1]]);
        let mut hosts = vec![Harness::start_in(store, "one".to_owned()).await];
        for n in 1..count {
            hosts.push(hosts[0].start_peer(&format!("other-{n}")).await);
        }
        let zone = Self { servers, hosts };
        zone.state(0, "#1");
        zone.state(1, "#1");
        let until_known = if count > 1 { 4_500 } else { 1_000 };
        sleep(Duration::from_millis(until_known)).await;
        zone
    }

    /// Writes a statement of an endpoint.
    fn state(&self, n: usize, statement: &str) {
        let row = format!("{} {statement}", self.servers[n].address);
        self.hosts[0]
            .store
            .put("endpoints", &format!("e{n}"), Some(&row));
    }

    /// Removes the row of an endpoint.
    fn remove(&self, n: usize) {
        self.hosts[0].store.put("endpoints", &format!("e{n}"), None);
    }

    /// Sends requests to each host for some time. Returns how many an endpoint gets.
    async fn sent(&self, n: usize, time: Duration) -> usize {
        let before = self.servers[n].count();
        let start = Instant::now();
        while start.elapsed() < time {
            for host in &self.hosts {
                let response = host.call(&request("read", "r", "")).await;
                assert_eq!(status(&response), "200", "{response}");
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.servers[n].count() - before
    }

    /// Returns whether all hosts list an endpoint; `None` if only some do.
    fn is_listed(&self, id: &str) -> Option<bool> {
        let lists = |host: &Harness| {
            let roster = host.program.edge().roster.borrow();
            roster.ids().any(|listed| listed == id)
        };
        let count = self.hosts.iter().filter(|host| lists(host)).count();
        (count == 0 || count == self.hosts.len()).then_some(count > 0)
    }
}

// Guards against: the copy lists an endpoint as ready that has said since that it drains, and it gets requests.
#[rstest]
#[case::at_the_store(1, 1, "#3")]
#[case::through_the_relay(2, 1, "#3")]
#[case::twice(1, 2, "#3")]
#[case::new_incarnation(1, 1, "#1@2")]
#[actix_rt::test]
async fn a_draining_endpoint_gets_nothing_until_it_states_that_it_is_ready(
    #[case] hosts: usize,
    #[case] returns: usize,
    #[case] ready: &str,
) {
    let zone = Zone::start(hosts).await;
    let copy = zone.hosts[0].store.copy();
    zone.state(0, "leaving #2");
    sleep(SETTLE_TIME).await;
    for _ in 0..returns {
        zone.hosts[0].store.return_from(copy.clone());
        assert_eq!(zone.sent(0, SETTLE_TIME).await, 0);
    }
    zone.state(0, ready);
    sleep(SETTLE_TIME).await;
    assert!(zone.sent(0, SETTLE_TIME).await > 0);
}

// Guards against: the copy lists an endpoint whose row was removed since, and it gets requests.
#[rstest]
#[case::at_the_store(1, 1, "#2")]
#[case::through_the_relay(2, 1, "#2")]
#[case::twice(1, 2, "#2")]
#[case::new_incarnation(1, 1, "#1@2")]
#[actix_rt::test]
async fn a_removed_endpoint_gets_nothing_until_it_states_that_it_is_ready(
    #[case] hosts: usize,
    #[case] returns: usize,
    #[case] ready: &str,
) {
    let zone = Zone::start(hosts).await;
    let copy = zone.hosts[0].store.copy();
    zone.remove(0);
    sleep(SETTLE_TIME).await;
    for _ in 0..returns {
        zone.hosts[0].store.return_from(copy.clone());
        assert_eq!(zone.sent(0, SETTLE_TIME).await, 0);
    }
    zone.state(0, ready);
    sleep(SETTLE_TIME).await;
    assert!(zone.sent(0, SETTLE_TIME).await > 0);
}

// Guards against: an endpoint is lost for good whose row stands in the copy and is not written again.
#[actix_rt::test]
async fn a_row_that_stands_counts_after_the_bounds_of_drain_and_grace() {
    let zone = Zone::start(1).await;
    let copy = zone.hosts[0].store.copy();
    zone.remove(0);
    sleep(SETTLE_TIME).await;
    zone.hosts[0].store.return_from(copy);
    assert_eq!(zone.sent(0, DOUBT_TIME).await, 0);
    sleep(SETTLE_TIME).await;
    assert!(zone.sent(0, SETTLE_TIME).await > 0);
}

// Guards against: an endpoint that joined in the time which the store has lost is dropped.
#[rstest]
#[case::at_the_store(1)]
#[case::through_the_relay(2)]
#[actix_rt::test]
async fn an_endpoint_that_the_copy_lacks_is_kept_until_its_row_is_written_again(
    #[case] hosts: usize,
) {
    let zone = Zone::start(hosts).await;
    zone.remove(0);
    let copy = zone.hosts[0].store.copy();
    zone.state(0, "#5");
    sleep(SETTLE_TIME).await;
    zone.hosts[0].store.return_from(copy);
    let back = Instant::now();
    while back.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(zone.is_listed("e0"), Some(true), "{:?}", back.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    // The same statement as before.
    zone.state(0, "#5");
    while back.elapsed() < HOLD_TIME + 2 * SETTLE_TIME {
        assert_eq!(zone.is_listed("e0"), Some(true), "{:?}", back.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
}

// Guards against: an endpoint that left in the time which the store was away gets requests for good.
#[rstest]
#[case::at_the_store(1)]
#[case::through_the_relay(2)]
#[actix_rt::test]
async fn an_endpoint_whose_row_is_not_written_again_is_dropped(#[case] hosts: usize) {
    let zone = Zone::start(hosts).await;
    zone.remove(0);
    let copy = zone.hosts[0].store.copy();
    zone.state(0, "#5");
    sleep(SETTLE_TIME).await;
    zone.hosts[0].store.return_from(copy);
    sleep(SETTLE_TIME + HOLD_TIME).await;
    assert_eq!(zone.is_listed("e0"), Some(false));
}

// Guards against: an endpoint that is listed again after a return of the store gets what it has asked not to get.
#[rstest]
#[case::leaving(LEAVING, 0)]
#[case::paused(PAUSED, 0)]
#[case::limited(LIMITED, 11)]
#[actix_rt::test]
async fn what_an_endpoint_has_asked_for_outlasts_a_return(
    #[case] response: &'static str,
    #[case] allowed: usize,
) {
    let zone = Zone::with_response(1, response).await;
    zone.remove(0);
    let copy = zone.hosts[0].store.copy();
    zone.state(0, "#5");
    sleep(SETTLE_TIME).await;
    assert!(zone.sent(0, SETTLE_TIME).await > 0);
    zone.hosts[0].store.return_from(copy);
    sleep(SETTLE_TIME + HOLD_TIME).await;
    assert_eq!(zone.is_listed("e0"), Some(false));
    zone.state(0, "#5");
    sleep(SETTLE_TIME).await;
    assert_eq!(zone.is_listed("e0"), Some(true));
    let sent = zone.sent(0, Duration::from_secs(4)).await;
    assert!(sent <= allowed, "{sent} requests");
}
