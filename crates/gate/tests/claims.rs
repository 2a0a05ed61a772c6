//! Requests with idempotency keys, over two hosts and a store with faults.

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
use support::raw::{Manner, Raw};
use support::{Deployment, Endpoint, KEY, OTHER_KEY, run, service, text, until};

/// Tables whose commits meet one fault after the other, then none.
#[derive(Default)]
struct Faulty {
    memory: Memory,
    commits: RefCell<VecDeque<Fault>>,
    reads: Cell<Fault>,
}

impl Tables for Faulty {
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

async fn pair(address: std::net::SocketAddr) -> (Rc<Faulty>, Deployment, Deployment) {
    let tables = Rc::new(Faulty::default());
    let one = host("host-1", address, &tables).await;
    let two = host("host-2", address, &tables).await;
    (tables, one, two)
}

async fn host(name: &str, address: std::net::SocketAddr, tables: &Rc<Faulty>) -> Deployment {
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

async fn counting(answer: &'static str) -> Endpoint {
    Endpoint::start(move |_| async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        text(201, answer)
    })
    .await
}

#[test]
fn a_resubmission_to_another_host_gets_the_first_answer() {
    run(async {
        let upstream = counting("booked").await;
        let (_, one, two) = pair(upstream.address).await;
        let first = book(&one, "lap 3").await;
        assert_eq!((first.status, first.body.as_str()), (201, "booked"));
        until(|| one.gate.activity.is_idle()).await;
        for deployment in [&one, &two] {
            let again = book(deployment, "lap 3").await;
            assert_eq!((again.status, again.body.as_str()), (201, "booked"));
        }
        assert_eq!(upstream.count(), 1);
        // The same key of another account is another request.
        assert_eq!(book_as(&two, OTHER_KEY, "lap 3").await.status, 201);
        assert_eq!(upstream.count(), 2);
        let keys: Vec<String> = upstream
            .received
            .borrow()
            .iter()
            .map(|it| it.header("idempotency-key").expect("a key").to_owned())
            .collect();
        assert!(keys[0] != keys[1] && !keys.contains(&"booking-1".to_owned()));
    });
}

#[test]
fn one_of_two_submissions_at_once_runs() {
    run(async {
        let upstream = counting("booked").await;
        let (_, one, two) = pair(upstream.address).await;
        let (first, second) = tokio::join!(book(&one, "lap 3"), book(&two, "lap 3"));
        let (won, lost) = if first.status == 201 {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!(won.status, 201);
        assert_eq!(lost.refusal(), ("claim_pending".into(), "unknown".into()));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn another_request_under_the_same_key_is_refused() {
    run(async {
        let upstream = counting("booked").await;
        let (_, one, two) = pair(upstream.address).await;
        assert_eq!(book(&one, "lap 3").await.status, 201);
        let other = book(&two, "lap 4").await;
        assert_eq!(other.refusal(), ("claim_mismatch".into(), "not run".into()));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn an_unknown_outcome_stays_unknown() {
    run(async {
        let upstream = Raw::start(Manner::CloseAfterRequest).await;
        let (_, one, two) = pair(upstream.address).await;
        let first = book(&one, "lap 3").await;
        assert_eq!(
            first.refusal(),
            ("endpoint_failed".into(), "unknown".into())
        );
        until(|| one.gate.activity.is_idle()).await;
        let again = book(&two, "lap 3").await;
        assert_eq!(again.refusal(), ("claim_unknown".into(), "unknown".into()));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn a_request_that_was_not_sent_may_be_submitted_again() {
    run(async {
        let upstream = counting("booked").await;
        let (tables, one, _) = pair(upstream.address).await;
        let (closed, _socket) = support::closed_port();
        let unreachable = host("host-3", closed, &tables).await;
        let first = book(&unreachable, "lap 3").await;
        assert_eq!(
            first.refusal(),
            ("endpoint_unreachable".into(), "not run".into())
        );
        until(|| unreachable.gate.activity.is_idle()).await;
        assert_eq!(book(&one, "lap 3").await.status, 201);
    });
}

#[rstest]
#[case::lost_once(vec![Fault::AnswerLost])]
#[case::lost_twice(vec![Fault::AnswerLost, Fault::AnswerLost])]
#[case::end_lost(vec![Fault::None, Fault::AnswerLost])]
#[case::end_down(vec![Fault::None, Fault::Down, Fault::Down])]
fn lost_answers_of_the_store_are_settled(#[case] faults: Vec<Fault>) {
    run(async {
        let upstream = counting("booked").await;
        let (tables, one, two) = pair(upstream.address).await;
        tables.commits.borrow_mut().extend(faults);
        assert_eq!(book(&one, "lap 3").await.status, 201);
        until(|| one.gate.activity.is_idle()).await;
        assert_eq!(book(&two, "lap 3").await.body, "booked");
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn without_the_store_nothing_is_run() {
    run(async {
        let upstream = counting("booked").await;
        let (tables, one, two) = pair(upstream.address).await;
        tables.commits.borrow_mut().push_back(Fault::Down);
        let refused = book(&one, "lap 3").await;
        assert_eq!(
            refused.refusal(),
            ("claim_unavailable".into(), "not run".into())
        );
        // Lost, and not to be read either: the claim stands, but nothing was sent.
        tables.commits.borrow_mut().push_back(Fault::AnswerLost);
        tables.reads.set(Fault::Down);
        let refused = book(&one, "lap 3").await;
        assert_eq!(
            refused.refusal(),
            ("claim_unavailable".into(), "not run".into())
        );
        assert_eq!(upstream.count(), 0);
        // Once the store is back, the claim is released.
        tables.reads.set(Fault::None);
        let mut reply = book(&two, "lap 3").await;
        while reply.status == 409 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            reply = book(&two, "lap 3").await;
        }
        assert_eq!((reply.status, upstream.count()), (201, 1));
    });
}

#[test]
fn a_claim_of_an_ended_run_is_unknown() {
    run(async {
        let upstream = Raw::start(Manner::Silent).await;
        let tables = Rc::new(Faulty::default());
        let one = host("host-1", upstream.address, &tables).await;
        let bearer = format!("Bearer {KEY}");
        let call = one
            .client
            .post(one.url("/bookings"))
            .insert_header(("authorization", bearer))
            .insert_header(("idempotency-key", "booking-1"))
            .send_body("lap 3");
        assert!(
            tokio::time::timeout(Duration::from_millis(200), call)
                .await
                .is_err()
        );
        assert_eq!(upstream.count(), 1);
        let restarted = host("host-1", upstream.address, &tables).await;
        let again = book(&restarted, "lap 3").await;
        assert_eq!(again.refusal(), ("claim_unknown".into(), "unknown".into()));
        assert_eq!(upstream.count(), 1);
    });
}

#[test]
fn an_execution_goes_on_when_its_caller_leaves() {
    run(async {
        let upstream = Endpoint::start(|_| async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            text(201, "booked")
        })
        .await;
        let (_, one, two) = pair(upstream.address).await;
        let gone = tokio::time::timeout(Duration::from_millis(100), book(&one, "lap 3")).await;
        assert!(gone.is_err());
        until(|| one.gate.activity.is_idle()).await;
        assert_eq!(book(&two, "lap 3").await.body, "booked");
        assert_eq!(upstream.count(), 1);
    });
}
