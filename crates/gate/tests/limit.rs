//! Endpoints that name the requests that they take from all hosts together.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::body::MessageBody as _;
use agate_fake::memory::Memory;
use agate_limit::schedule::Schedule;
use agate_store::interface::{ResponseFuture, Tables};
use agate_wire::sync;
use agate_wire::table::{Commit, Page, Row, Transaction};
use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use support::{Deployment, Endpoint, KEY, run, service, settings, text};
use tokio::time::{Instant, sleep};

/// Time from the first response with a limit until the limit holds.
const NOTICE: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// An endpoint that names a limit while the cell has one, and when it got its requests.
async fn limited(limit: Rc<Cell<Option<f64>>>) -> (Endpoint, Rc<RefCell<Vec<Instant>>>) {
    let times: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let log = times.clone();
    let endpoint = Endpoint::start(move |_| {
        log.borrow_mut().push(Instant::now());
        let mut response = actix_http::Response::build(StatusCode::OK);
        if let Some(limit) = limit.get() {
            response.insert_header(("server-limit", limit.to_string()));
        }
        let response = response.body("record").map_body(|_, body| body.boxed());
        async move { response }
    })
    .await;
    (endpoint, times)
}

async fn other() -> Endpoint {
    Endpoint::start(|_| async { text(200, "record") }).await
}

fn pair(first: &Endpoint, second: &Endpoint) -> Vec<Value> {
    vec![service("s1", first.address), service("s2", second.address)]
}

/// Lets the control process say that the endpoint `s1` has named a limit some time ago.
fn tell(deployment: &Deployment, rate: f64, age_ms: u64) {
    deployment.steer.response.borrow_mut().limits = vec![sync::Statement {
        endpoint: "s1".to_owned(),
        rate: Some(rate),
        age_ms,
    }];
}

/// Lets the control process grant permits at this rate.
fn grant(deployment: &Deployment, rate: f64) {
    let schedule = Schedule::new(std::time::Instant::now(), rate);
    *deployment.steer.owner.borrow_mut() = Some((schedule, rate));
}

/// Sends requests one after the other for as long as `time`; returns the number of those not served.
async fn send(deployment: &Deployment, time: Duration) -> usize {
    let start = Instant::now();
    let mut failed = 0;
    while start.elapsed() < time {
        let reply = deployment.call("GET", "/records/1", "").await;
        failed += usize::from(reply.status != 200);
        sleep(Duration::from_millis(5)).await;
    }
    failed
}

// Guards against: a gate sends to an endpoint that has named a limit as before (issue 56).
#[test]
fn a_limit_holds_and_work_goes_elsewhere() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(Some(1.0)))).await;
        let other = other().await;
        let deployment = Deployment::start(pair(&endpoint, &other)).await;
        let failed = send(&deployment, NOTICE + SPAN).await;
        assert_eq!(failed, 0);
        let times = times.borrow();
        let late = times.iter().filter(|at| **at >= times[0] + NOTICE);
        let count = late.count();
        assert!(count <= 11, "{count} in a span, 11 allowed");
    });
}

// Guards against: a gate reports no limit to its control process, or does not use its permits.
#[test]
fn a_gate_reports_the_limit_and_uses_its_permits() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(Some(10.0)))).await;
        let other = other().await;
        let deployment = Deployment::start(pair(&endpoint, &other)).await;
        send(&deployment, Duration::from_millis(500)).await;
        let told = {
            let requests = deployment.steer.requests.borrow();
            let last = requests.last().expect("calls").limits.clone();
            last.into_iter().next().expect("a limit")
        };
        assert_eq!((told.endpoint.as_str(), told.rate), ("s1", Some(10.0)));
        let before = times.borrow().len();
        grant(&deployment, 4.0);
        let failed = send(&deployment, SPAN).await;
        assert_eq!(failed, 0);
        let count = times.borrow().len() - before;
        assert!((8..=17).contains(&count), "{count} with permits for 16");
    });
}

// Guards against: a limit that another gate was told of does not hold, or never ends.
#[test]
fn a_limit_that_another_gate_was_told_holds_until_a_response_names_none() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(None))).await;
        let other = Endpoint::start(|_| async {
            sleep(Duration::from_millis(30)).await;
            text(200, "record")
        })
        .await;
        let deployment = Deployment::start(pair(&endpoint, &other)).await;
        tell(&deployment, 1.0, 0);
        sleep(Duration::from_millis(100)).await;
        send(&deployment, Duration::from_millis(500)).await;
        assert_eq!(times.borrow().len(), 0);
        grant(&deployment, 5.0);
        tell(&deployment, 1.0, 5_000);
        send(&deployment, Duration::from_secs(1)).await;
        let before = times.borrow().len();
        send(&deployment, Duration::from_secs(1)).await;
        let count = times.borrow().len() - before;
        assert!(count > 15, "{count}: still limited");
        let reported = deployment.gate.choice.limits();
        assert!(
            reported.iter().all(|told| told.rate.is_none()),
            "{reported:?}"
        );
    });
}

// Guards against: a gate that can get permits refuses what only a limited endpoint could serve (issue 56).
#[test]
fn requests_wait_for_permits_where_no_other_endpoint_is_left() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(Some(4.0)))).await;
        let deployment = Deployment::start(vec![service("s1", endpoint.address)]).await;
        grant(&deployment, 2.0);
        let failed = send(&deployment, SPAN).await;
        assert_eq!(failed, 0);
        let count = times.borrow().len();
        assert!((5..=10).contains(&count), "{count} with permits for 8");
    });
}

// Guards against: a request that can get no permit is sent, or gets no answer.
#[test]
fn a_request_that_gets_no_permit_is_refused() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(Some(4.0)))).await;
        let deployment = Deployment::start(vec![service("s1", endpoint.address)]).await;
        deployment.call("GET", "/records/1", "").await;
        let reply = deployment.call("GET", "/records/2", "").await;
        let refusal = ("deadline_passed".to_owned(), "not run".to_owned());
        assert_eq!(reply.refusal(), refusal);
        assert_eq!(times.borrow().len(), 1);
        let asked = deployment.steer.questions.borrow().len();
        assert!((2..=20).contains(&asked), "{asked} questions in 5 s");
    });
}

// Guards against: permits that no request of this gate can use are kept from other gates.
#[test]
fn no_permits_are_wanted_for_an_endpoint_that_no_request_may_use() {
    run(async {
        let (first, second) = (other().await, other().await);
        let mut endpoints = pair(&first, &second);
        endpoints[0]["capacity"] = json!("reclaimable");
        let deployment = Deployment::start(endpoints).await;
        tell(&deployment, 1.0, 0);
        sleep(Duration::from_millis(100)).await;
        grant(&deployment, 50.0);
        let failed = send(&deployment, Duration::from_millis(500)).await;
        assert_eq!((failed, first.count()), (0, 0));
        assert_eq!(*deployment.steer.questions.borrow(), []);
    });
}

/// Tables that take as long as this for each call.
struct SlowTables {
    memory: Memory,
    time: Duration,
}

impl Tables for SlowTables {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        Box::pin(async move {
            sleep(self.time).await;
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
            sleep(self.time).await;
            self.memory.commit(transaction).await
        })
    }
}

// Guards against: a request whose endpoint names a limit between choice and sending is sent all the same (issue 56).
#[test]
fn a_limit_holds_for_requests_that_were_assigned_before() {
    run(async {
        let (endpoint, times) = limited(Rc::new(Cell::new(Some(1.0)))).await;
        let other = other().await;
        let tables = SlowTables {
            memory: Memory::default(),
            time: Duration::from_millis(300),
        };
        let tables: Rc<dyn Tables> = Rc::new(tables);
        let deployment =
            Deployment::with_tables(settings(), pair(&endpoint, &other), Some(tables)).await;
        let bearer = format!("Bearer {KEY}");
        let names: Vec<String> = (0..8).map(|n| format!("booking-{n}")).collect();
        let bookings = names.iter().map(|name| {
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", name),
            ];
            let deployment = &deployment;
            async move {
                let reply = deployment.call_with("POST", "/bookings", &headers, name);
                reply.await.status
            }
        });
        let told = async {
            sleep(Duration::from_millis(100)).await;
            tell(&deployment, 1.0, 0);
        };
        let (statuses, ()) = join(join_all(bookings), told).await;
        assert_eq!(statuses, [200; 8]);
        assert_eq!(times.borrow().len(), 0);
        assert_eq!(other.count(), 8);
    });
}
