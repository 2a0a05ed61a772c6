//! Tests of the platform: tables, objects, usage reports, host list, rate limits.

use std::time::Duration;

use agate_fake::engine;
use agate_fake::platform::reports::Verdict;
use agate_fake::platform::{self, Settings};
use agate_wire::fault::Faults;
use agate_wire::manifest::Fencing;
use agate_wire::platform::{Counters, Listing, Machine, Purpose, Report, State};
use agate_wire::table::{Check, Conflict, Page, Row, Transaction, Write};

use crate::client::{ANY_PORT, Client, options, until_response};

pub(crate) fn settings() -> Settings {
    Settings {
        server: options(),
        list_lag: Duration::from_millis(100),
        reads_per_second: 0,
        writes_per_second: 0,
        fencing: Fencing::Checked,
        boot: Duration::from_millis(50),
        stop_grace: Duration::from_millis(50),
        zone_capacity: 2,
        engine: engine::Settings::new(ANY_PORT, 1),
    }
}

/// Returns a transaction that writes a row if the row's revision is `revision`.
fn put(key: &str, value: &str, revision: Option<u64>) -> Transaction {
    Transaction {
        checks: vec![Check {
            table: "config".to_owned(),
            key: key.to_owned(),
            revision,
        }],
        writes: vec![Write {
            table: "config".to_owned(),
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
    }
}

#[actix_rt::test]
async fn transaction_with_outdated_revision_conflicts() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    let first = client
        .post("/tables/transactions", &put("change/1", "a", None))
        .await;
    assert_eq!(first.status, 200);
    let second = client
        .post("/tables/transactions", &put("change/1", "b", None))
        .await;
    assert_eq!(second.status, 409);
    let conflict: Conflict = second.json();
    assert_eq!(conflict.found.expect("row exists").value, "a");
    let row: Row = client.get("/tables/config/rows/change%2F1").await.json();
    assert_eq!(row.value, "a");
    assert_eq!(
        client.get("/tables/config/rows/change%2F2").await.status,
        404
    );
    platform.close();
}

#[actix_rt::test]
async fn lost_response_keeps_the_effect() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    let faults = Faults {
        lose_answer_rate: 1.0,
        ..Faults::default()
    };
    client.set_faults(&faults).await;
    let reply = client
        .try_post("/tables/transactions", &put("head", "1", None))
        .await;
    assert!(reply.is_err());
    client.set_faults(&Faults::default()).await;
    let row: Row = client.get("/tables/config/rows/head").await.json();
    assert_eq!(row.value, "1");
    platform.close();
}

#[actix_rt::test]
async fn scan_pages_in_key_order() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    for key in ["a/2", "a/1", "b/1", "a/3"] {
        client
            .post("/tables/transactions", &put(key, "v", None))
            .await;
    }
    let page: Page = client
        .get("/tables/config/rows?prefix=a%2F&limit=2")
        .await
        .json();
    let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!((keys, page.more), (vec!["a/1", "a/2"], true));
    let page: Page = client
        .get("/tables/config/rows?prefix=a%2F&after=a%2F2&limit=2")
        .await
        .json();
    let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!((keys, page.more), (vec!["a/3"], false));
    platform.close();
}

#[actix_rt::test]
async fn objects_are_returned_unchanged() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    assert_eq!(client.get("/objects/snapshot%2F1").await.status, 404);
    let put = client
        .send("PUT", "/objects/snapshot%2F1", &[], vec![0, 255])
        .await;
    assert_eq!(put.expect("put request gets a response").status, 200);
    assert_eq!(client.get("/objects/snapshot%2F1").await.body, [0, 255]);
    platform.close();
}

#[actix_rt::test]
async fn report_with_contradictory_usage_is_refused() {
    let platform = platform::start(&settings()).expect("platform starts");
    let client = Client::new(platform.address);
    let report = |requests: u64| Report {
        account: "farrier".to_owned(),
        window: 3600,
        epoch: 4,
        figures: Counters {
            requests,
            ..Counters::default()
        },
    };
    assert_eq!(client.post("/reports", &report(5)).await.status, 200);
    assert_eq!(client.post("/reports", &report(5)).await.status, 200);
    assert_eq!(client.post("/reports", &report(6)).await.status, 409);
    let verdicts: Vec<Verdict> = platform
        .reports()
        .iter()
        .map(|report| report.verdict)
        .collect();
    let expected = [Verdict::Accepted, Verdict::Repeated, Verdict::Contradicted];
    assert_eq!(verdicts, expected);
    platform.close();
}

#[actix_rt::test]
async fn host_list_lags() {
    let lagging = Settings {
        list_lag: Duration::from_secs(1),
        ..settings()
    };
    let platform = platform::start(&lagging).expect("platform starts");
    let client = Client::new(platform.address);
    let machines = vec![Machine {
        id: "entry-1".to_owned(),
        purpose: Purpose::Host,
        zone: "meetkamer".to_owned(),
        state: State::Live,
    }];
    let set_at = std::time::Instant::now();
    let body = serde_json::to_vec(&machines).expect("machines serialise");
    let set = client.send("PUT", "/admin/machines", &[], body).await;
    assert_eq!(set.expect("admin request gets a response").status, 200);
    let early: Listing = client.get("/hosts").await.json();
    assert_eq!(early, Listing::default());
    let late: Listing =
        until_response(&client, "/hosts", |listing: &Listing| listing.revision == 1).await;
    assert!(set_at.elapsed() >= lagging.list_lag);
    assert_eq!(late.machines, machines);
    platform.close();
}

#[actix_rt::test]
async fn calls_above_the_rate_are_refused() {
    let limited = Settings {
        writes_per_second: 2,
        ..settings()
    };
    let platform = platform::start(&limited).expect("platform starts");
    let client = Client::new(platform.address);
    let mut refused = 0;
    for n in 0..6 {
        let reply = client
            .post("/tables/transactions", &put(&n.to_string(), "v", None))
            .await;
        refused += u32::from(reply.status == 429);
    }
    assert!(refused >= 2);
    assert_eq!(client.get("/tables/config/rows/0").await.status, 200);
    platform.close();
}
