//! Non-idempotent requests with idempotency keys, sent to two hosts that share a faulty store.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use agate_fake::memory::{Fault, Memory};
use agate_store::Error;
use agate_store::interface::{ResponseFuture, Tables};
use agate_wire::table::{Commit, Page, Row, Transaction};
use rstest::rstest;
use support::raw::{Behaviour, RawServer};
use support::{Deployment, Endpoint, KEY, OTHER_KEY, run, service, text, until};

/// Tables whose commits fail with the queued faults in order, then succeed. Reads fail as
/// unreachable while `reads` is set.
#[derive(Default)]
struct FaultyTables {
    memory: Memory,
    commits: RefCell<VecDeque<Fault>>,
    reads: Cell<Fault>,
}

impl Tables for FaultyTables {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            if self.reads.get() != Fault::None {
                return Err(Error::Unreached("down".to_owned()));
            }
            self.memory.fault.set(Fault::None);
            self.memory.get(table, key).await
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        self.memory.scan(table, prefix, after, limit)
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            let fault = self.commits.borrow_mut().pop_front().unwrap_or_default();
            self.memory.fault.set(fault);
            self.memory.commit(transaction).await
        })
    }
}

async fn start_pair(address: std::net::SocketAddr) -> (Rc<FaultyTables>, Deployment, Deployment) {
    let tables = Rc::new(FaultyTables::default());
    let first_host = start_host("host-1", address, &tables).await;
    let second_host = start_host("host-2", address, &tables).await;
    (tables, first_host, second_host)
}

async fn start_host(
    name: &str,
    address: std::net::SocketAddr,
    tables: &Rc<FaultyTables>,
) -> Deployment {
    let mut settings = support::settings();
    settings.host = name.to_owned();
    Deployment::with_tables(settings, vec![service("s1", address)], Some(tables.clone())).await
}

async fn book(deployment: &Deployment, body: &str) -> support::Reply {
    book_as(deployment, KEY, body).await
}

async fn book_as(deployment: &Deployment, key: &str, body: &str) -> support::Reply {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "booking-1"),
    ];
    deployment
        .call_with("POST", "/bookings", &headers, body)
        .await
}

async fn slow_service(body: &'static str) -> Endpoint {
    Endpoint::start(move |_| async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        text(201, body)
    })
    .await
}

#[test]
fn a_resubmission_to_another_host_gets_the_recorded_response() {
    run(async {
        let upstream = slow_service("booked").await;
        let (_, first_host, second_host) = start_pair(upstream.address).await;
        let first = book(&first_host, "lap 3").await;
        assert_eq!((first.status, first.body.as_str()), (201, "booked"));
        until(|| first_host.gate.activity.is_idle()).await;
        for deployment in [&first_host, &second_host] {
            let resubmitted = book(deployment, "lap 3").await;
            assert_eq!(
                (resubmitted.status, resubmitted.body.as_str()),
                (201, "booked")
            );
        }
        assert_eq!(upstream.count(), 1);
        // The same idempotency key of another account names another request.
        assert_eq!(book_as(&second_host, OTHER_KEY, "lap 3").await.status, 201);
        assert_eq!(upstream.count(), 2);
        let keys: Vec<String> = upstream
            .received
            .borrow()
            .iter()
            .map(|request| request.header("idempotency-key").expect("a key").to_owned())
            .collect();
        assert!(keys[0] != keys[1] && !keys.contains(&"booking-1".to_owned()));
    });
}

#[test]
fn only_one_of_two_concurrent_submissions_is_executed() {
    run(async {
        let upstream = slow_service("booked").await;
        let (_, first_host, second_host) = start_pair(upstream.address).await;
        let (first, second) = tokio::join!(book(&first_host, "lap 3"), book(&second_host, "lap 3"));
        let (executed, refused) = if first.status == 201 {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!(executed.status, 201);
        assert_eq!(
            refused.refusal(),
            ("claim_pending".into(), "unknown".into())
        );
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn another_request_under_the_same_key_is_refused() {
    run(async {
        let upstream = slow_service("booked").await;
        let (_, first_host, second_host) = start_pair(upstream.address).await;
        assert_eq!(book(&first_host, "lap 3").await.status, 201);
        let other = book(&second_host, "lap 4").await;
        assert_eq!(other.refusal(), ("claim_mismatch".into(), "not run".into()));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn an_unknown_outcome_stays_unknown() {
    run(async {
        let upstream = RawServer::start(Behaviour::CloseAfterRequest).await;
        let (_, first_host, second_host) = start_pair(upstream.address).await;
        let first = book(&first_host, "lap 3").await;
        assert_eq!(
            first.refusal(),
            ("endpoint_failed".into(), "unknown".into())
        );
        until(|| first_host.gate.activity.is_idle()).await;
        let resubmitted = book(&second_host, "lap 3").await;
        assert_eq!(
            resubmitted.refusal(),
            ("claim_unknown".into(), "unknown".into())
        );
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn a_request_that_was_not_sent_may_be_submitted_again() {
    run(async {
        let upstream = slow_service("booked").await;
        let (tables, first_host, _) = start_pair(upstream.address).await;
        let (closed, _socket) = support::closed_port();
        let unreachable = start_host("host-3", closed, &tables).await;
        let first = book(&unreachable, "lap 3").await;
        assert_eq!(
            first.refusal(),
            ("endpoint_unreachable".into(), "not run".into())
        );
        until(|| unreachable.gate.activity.is_idle()).await;
        assert_eq!(book(&first_host, "lap 3").await.status, 201);
    });
}

#[rstest]
#[case::lost_once(vec![Fault::ResponseLost])]
#[case::lost_twice(vec![Fault::ResponseLost, Fault::ResponseLost])]
#[case::end_lost(vec![Fault::None, Fault::ResponseLost])]
#[case::end_down(vec![Fault::None, Fault::Down, Fault::Down])]
fn store_faults_while_a_claim_is_written_cause_no_second_execution(#[case] faults: Vec<Fault>) {
    run(async {
        let upstream = slow_service("booked").await;
        let (tables, first_host, second_host) = start_pair(upstream.address).await;
        tables.commits.borrow_mut().extend(faults);
        assert_eq!(book(&first_host, "lap 3").await.status, 201);
        until(|| first_host.gate.activity.is_idle()).await;
        assert_eq!(book(&second_host, "lap 3").await.body, "booked");
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn nothing_is_executed_while_the_store_is_unavailable() {
    run(async {
        let upstream = slow_service("booked").await;
        let (tables, first_host, second_host) = start_pair(upstream.address).await;
        tables.commits.borrow_mut().push_back(Fault::Down);
        let refused = book(&first_host, "lap 3").await;
        assert_eq!(
            refused.refusal(),
            ("claim_unavailable".into(), "not run".into())
        );
        // The commit takes effect, but neither its response nor the row can be read: the claim is
        // recorded, but the request is not sent.
        tables.commits.borrow_mut().push_back(Fault::ResponseLost);
        tables.reads.set(Fault::Down);
        let refused = book(&first_host, "lap 3").await;
        assert_eq!(
            refused.refusal(),
            ("claim_unavailable".into(), "not run".into())
        );
        assert_eq!(upstream.count(), 0);
        // The claim is released once the store is reachable again.
        tables.reads.set(Fault::None);
        let mut reply = book(&second_host, "lap 3").await;
        while reply.status == 409 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            reply = book(&second_host, "lap 3").await;
        }
        assert_eq!((reply.status, upstream.count()), (201, 1));
    });
}

#[test]
fn a_claim_of_an_ended_process_incarnation_is_unknown() {
    run(async {
        let upstream = RawServer::start(Behaviour::Silent).await;
        let tables = Rc::new(FaultyTables::default());
        let first_host = start_host("host-1", upstream.address, &tables).await;
        let bearer = format!("Bearer {KEY}");
        let call = first_host
            .client
            .post(first_host.url("/bookings"))
            .insert_header(("authorization", bearer))
            .insert_header(("idempotency-key", "booking-1"))
            .send_body("lap 3");
        assert!(
            tokio::time::timeout(Duration::from_millis(200), call)
                .await
                .is_err()
        );
        assert_eq!(upstream.count(), 1);
        let restarted = start_host("host-1", upstream.address, &tables).await;
        let resubmitted = book(&restarted, "lap 3").await;
        assert_eq!(
            resubmitted.refusal(),
            ("claim_unknown".into(), "unknown".into())
        );
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn an_execution_continues_after_its_caller_disconnects() {
    run(async {
        let upstream = Endpoint::start(|_| async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            text(201, "booked")
        })
        .await;
        let (_, first_host, second_host) = start_pair(upstream.address).await;
        let timed_out =
            tokio::time::timeout(Duration::from_millis(100), book(&first_host, "lap 3")).await;
        assert!(timed_out.is_err());
        until(|| first_host.gate.activity.is_idle()).await;
        assert_eq!(book(&second_host, "lap 3").await.body, "booked");
        assert_eq!(upstream.count(), 1);
    });
}
